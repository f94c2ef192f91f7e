"""An attempt that was started, with its state."""

from attrs import define

from catkinslip.limits.plan import Step
from catkinslip.proxy.exchange import AnswerHead, Attempt
from catkinslip.proxy.outcomes import NotRun, Unknown
from catkinslip.routing.base import BackendLoad
from catkinslip.routing.gates import Permits


@define(eq=False)
class Launch:
    """An attempt that was started, with its result and timing."""

    backend_id: str
    attempt: Attempt
    #: Start of the attempt, in monotonic seconds.
    began: float
    #: Delay that the router estimated, as a multiple of the call's work.
    delay: float
    #: The router's load entry of the server; None if the server was removed.
    load: BackendLoad | None = None
    #: Permits to send to the server, for the gates that restrict it.
    permits: Permits = ()
    result: AnswerHead | NotRun | Unknown | None = None
    step: Step = Step.WAIT
    is_open: bool = True
    answered_at: float | None = None

    @property
    def runs(self) -> int:
        """Return how many times the request may have run at the server."""
        runs = self.attempt.is_sent and not isinstance(self.result, NotRun)
        return int(runs) + (self.attempt.earlier_result is not None)

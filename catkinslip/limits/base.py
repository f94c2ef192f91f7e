"""What every way of admission knows and decides."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.limits.load import ServiceLoad
from catkinslip.proxy.outcomes import NotRun


@frozen
class LimitSettings:
    """Limits of one service; shares are parts of one, durations seconds."""

    queue_depth: float = 2.0
    deadline_margin: float = 1.0
    extra_share: float = 0.05
    extra_reserve: float = 10.0
    #: A reserve that all instances share; replaces the reserve of each where given.
    extra_slack: float | None = None
    max_attempts: int = 3
    hedge_percentile: float = 99.0
    admission: AdmissionSettings = AdmissionSettings()


class Admission(ABC):
    """Admit a call or refuse it at once."""

    @abstractmethod
    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""

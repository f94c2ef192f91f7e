"""The plan of a call's attempts, and the outcome that its caller gets."""

from enum import Enum, unique

from attrs import define

from catkinslip.admission.retries import MOST_URGENT, Urgency
from catkinslip.limits.budget import ExtraBudget
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown

FINAL_REASONS = frozenset({Reason.TOO_LATE, Reason.DEADLINE, Reason.STOPPING})


@unique
class Step(Enum):
    """The next step after an attempt that ended."""

    RETRY = 'retry'
    WAIT = 'wait'
    STOP = 'stop'


@define
class CallPlan:
    """The attempts of one call; the deadline is on the monotonic clock.

    A call that is not repeatable has at most one attempt whose request may have run.
    Only the first layer of load balancers that a call passes through retries the call.
    """

    repeatable: bool
    first_layer: bool
    deadline: float
    budget: ExtraBudget
    max_attempts: int = 3
    reserved_for_retries: float = 0.0
    urgency: Urgency = MOST_URGENT
    started: int = 0
    running: int = 0
    sent: int = 0
    unknown: Unknown | None = None
    refusal: NotRun = NotRun(Reason.NO_BACKEND)

    def may_start(self) -> bool:
        """Return whether an attempt may still start, as other calls may take tokens."""
        if not self.sent:
            return True
        share = self.urgency.reserved_share(self.sent - 1)
        # A full budget has a token for each call, however small the reserve is.
        return self.budget.has_token(share * max(0.0, self.budget.reserve - 1))

    def start(self) -> int:
        """Count an attempt that starts now and return its number."""
        if self.sent:
            self.budget.take()
        self.started += 1
        self.running += 1
        return self.started

    def record_unknown(self, unknown: Unknown) -> None:
        """Record that a request may have run at the server of the running attempt."""
        self._record(unknown)

    def ended(
        self,
        outcome: NotRun | Unknown,
        now: float,
        *,
        is_sent: bool,
        is_resendable: bool = True,
    ) -> Step:
        """Record an attempt that ended without an answer and return the next step."""
        self.running -= 1
        self.sent += is_sent
        self._record(outcome)
        if isinstance(outcome, Unknown) and outcome.answer_started:
            return Step.STOP
        if self.running:
            return Step.WAIT
        may_retry = is_resendable and self._may_retry(outcome, now)
        return Step.RETRY if may_retry else Step.STOP

    def may_hedge(self, now: float) -> bool:
        """Return whether a second attempt may run in parallel with the first."""
        return (
            self.repeatable
            and self.first_layer
            and self.started == self.running == 1
            and self.started < self.max_attempts
            and now < self.deadline
            and self.budget.has_token(self.reserved_for_retries)
        )

    def may_send_again(self, runs: int) -> bool:
        """Return whether a call that may have run `runs` times may run once more."""
        return (
            self.repeatable
            and self.first_layer
            and runs < self.max_attempts
            and self.budget.has_token()
        )

    def hedge(self) -> int:
        """Count an attempt that starts in parallel and return its number."""
        self.sent += 1
        return self.start()

    def refused(self, refusal: NotRun) -> None:
        """Record the reason why no further attempt starts."""
        self.refusal = refusal

    def final_outcome(self) -> NotRun | Unknown:
        """Return the outcome that the caller of a call without an answer gets."""
        return self.refusal if self.unknown is None else self.unknown

    def expired(self, sent: int, *, answer_started: bool = False) -> Outcome:
        """Return the outcome for the caller when running attempts are abandoned."""
        if sent:
            self._record(Unknown(Reason.DEADLINE, answer_started=answer_started))
        else:
            self._record(NotRun(Reason.TOO_LATE))
        return self.final_outcome()

    def _record(self, outcome: NotRun | Unknown) -> None:
        if isinstance(outcome, NotRun):
            self.refusal = outcome
        elif self.unknown is None or outcome.answer_started:
            self.unknown = outcome

    def _may_retry(self, outcome: NotRun | Unknown, now: float) -> bool:
        if self.unknown is not None and not self.repeatable:
            return False
        if not self.first_layer or self.started >= self.max_attempts:
            return False
        if outcome.reason in FINAL_REASONS or now >= self.deadline:
            return False
        return self.may_start()

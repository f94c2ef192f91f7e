"""What every policy of choice knows and decides."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

from attrs import Factory, define, frozen

NEVER = float('-inf')
#: A free slot at usual speed, in times of work on an idle server; no other server
#: could be worth waiting for.
GOOD_DELAY = 1.3
#: Starts of a server are told apart by their last digits, which take few bytes.
START_TAGS = 1000
#: More than any instance may send to one cold server in a second.
SENT_TIMES_KEPT = 16


@frozen
class LoadReport:
    """Load that a backend server reported with an answer."""

    in_flight: float
    speed: float | None = None


@unique
class ResultKind(Enum):
    """How an attempt ended, as far as it speaks about the backend server."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    SHED = 'shed'
    CANCELLED = 'cancelled'


@frozen
class AttemptResult:
    """How an attempt ended, after how many seconds, and the load report."""

    kind: ResultKind
    latency: float
    report: LoadReport | None = None


@define
class BackendLoad:
    """What one instance knows of one backend server; times are in seconds."""

    backend_id: str
    zone: str
    slots: int
    #: The start of the server that all this is known of.
    incarnation: int = 0
    in_flight: int = 0
    draining: bool = False
    report: LoadReport | None = None
    reported_at: float = NEVER
    selections_since_report: int = 0
    selected_at: float = NEVER
    reported_in_flight: float = 0.0
    speed: float = 1.0
    mean_speed: float = 1.0
    expected_in_flight: float = 0.0
    expected_by_selection: deque[float] = Factory(deque)
    underreport_share: float = 0.0
    answered_at: float = NEVER
    answers: float = 0.0
    service_seconds: float = 0.0
    inferred_slowness: float = 1.0
    slowness: float = 1.0
    is_irregular: bool = False
    failure_share: float = 0.0
    #: The share of requests that it shed, and when that was learned last.
    shed_share: float = 0.0
    shed_at: float = NEVER
    pauses: int = 0
    paused_until: float = NEVER
    #: Whether it has not answered since a probe waited for it in vain.
    is_silent: bool = False
    #: When the last requests were sent to it; those of before it turned cold count.
    sent_at: deque[float] | None = None
    #: Until when it is taken to be slow after its start.
    cold_until: float = NEVER
    #: The same as it told when it was asked from here.
    reported_cold_until: float = NEVER

    def record_sent(self, now: float) -> None:
        """Remember that a request is sent to it."""
        if self.sent_at is None:
            self.sent_at = deque(maxlen=SENT_TIMES_KEPT)
        self.sent_at.append(now)

    @property
    def start_tag(self) -> int:
        """Return what tells one start of the server from another in a datagram."""
        return self.incarnation % START_TAGS

    def is_cold(self, now: float) -> bool:
        """Tell whether it is taken to be slow after its start."""
        return now < self.cold_until


class Estimate(NamedTuple):
    """What is expected at one candidate; a tuple, as it is made for each of them."""

    load: BackendLoad
    #: Expected time until an answer, in times of work on an idle server.
    delay: float
    in_flight: float


@frozen
class Choice:
    """A chosen backend server and why; the reason is formatted when printed."""

    backend_id: str
    reason: object
    #: Expected time until an answer, in times of work on an idle server.
    delay: float = 1.0


class Policy(ABC):
    """Choose a backend server for each request of one service."""

    @abstractmethod
    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""

    def rank(self, candidates: Sequence[BackendLoad], now: float) -> list[Estimate]:
        """Return what is expected at each candidate, the best first."""
        return [Estimate(load, 1.0, load.in_flight) for load in candidates]

    def choice_of(self, estimate: Estimate, now: float) -> Choice:
        """Return a ranked candidate as a choice."""
        return Choice(estimate.load.backend_id, 'ranked', estimate.delay)

    def started(self, load: BackendLoad, now: float) -> None:  # noqa: B027
        """Learn that a request was sent."""

    def finished(  # noqa: B027
        self, load: BackendLoad, result: AttemptResult, now: float
    ) -> None:
        """Learn how a request ended."""

    def reported(  # noqa: B027
        self, load: BackendLoad, report: LoadReport, at: float
    ) -> None:
        """Learn from a load report, before it replaces the last."""

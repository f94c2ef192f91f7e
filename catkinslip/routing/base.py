"""Data types shared by the selection policies, and their common interface."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

from attrs import Factory, define, frozen

NEVER = float('-inf')
#: Expected delay at a free slot of usual speed, in service times of an idle server. A
#: server up to this delay is accepted without looking at further servers.
GOOD_DELAY = 1.3
#: Modulus of the start tag: a few digits of the incarnation distinguish the starts of a
#: server and take few bytes in a datagram.
START_TAGS = 1000
#: Number of send times kept for each server; more than any instance may send to one
#: cold server in a second.
SENT_TIMES_KEPT = 16


@frozen
class LoadReport:
    """Load that a backend server reported with an answer."""

    in_flight: float
    speed: float | None = None


@unique
class ResultKind(Enum):
    """Kind of result of an attempt, as far as it concerns the backend server."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    SHED = 'shed'
    CANCELLED = 'cancelled'


@frozen
class AttemptResult:
    """Result, latency in seconds and load report of an attempt."""

    kind: ResultKind
    latency: float
    report: LoadReport | None = None


@define
class BackendLoad:
    """State of one backend server as seen by this instance; times are in seconds."""

    backend_id: str
    zone: str
    slots: int
    #: Incarnation of the server that the state belongs to; it changes with each start.
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
    #: Share of requests that the server shed, and the time of the last update.
    shed_share: float = 0.0
    shed_at: float = NEVER
    pauses: int = 0
    paused_until: float = NEVER
    #: Whether the server has not answered since a probe of it timed out.
    is_silent: bool = False
    #: Times of the last requests sent to the server. Those sent before it turned cold
    #: count towards the quota of a cold server.
    sent_at: deque[float] | None = None
    #: Time until which the server is treated as cold.
    cold_until: float = NEVER
    #: End of the cold period that the server itself reported to this instance.
    reported_cold_until: float = NEVER

    def record_sent(self, now: float) -> None:
        """Record the time of a request to the server."""
        if self.sent_at is None:
            self.sent_at = deque(maxlen=SENT_TIMES_KEPT)
        self.sent_at.append(now)

    @property
    def start_tag(self) -> int:
        """Return the number that identifies this start of the server in a datagram."""
        return self.incarnation % START_TAGS

    def is_cold(self, now: float) -> bool:
        """Return whether the server is treated as cold, i.e. slow after its start."""
        return now < self.cold_until


class Estimate(NamedTuple):
    """Expected delay and load of one candidate.

    A named tuple, as one is created for each candidate of each request.
    """

    load: BackendLoad
    #: Expected time until an answer, in service times of an idle server.
    delay: float
    in_flight: float


@frozen
class Choice:
    """A chosen backend server and the reason, which is formatted only when printed."""

    backend_id: str
    reason: object
    #: Expected time until an answer, in service times of an idle server.
    delay: float = 1.0


class Policy(ABC):
    """Policy that selects a backend server for each request of one service."""

    @abstractmethod
    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice of a server among at least one candidate."""

    def rank(self, candidates: Sequence[BackendLoad], now: float) -> list[Estimate]:
        """Return the estimates of the candidates, the shortest delay first."""
        return [Estimate(load, 1.0, load.in_flight) for load in candidates]

    def usual_delay(self, slots: int) -> float:
        """Return the expected delay at a server of which nothing is known."""
        return GOOD_DELAY

    def choice_of(self, estimate: Estimate, now: float) -> Choice:
        """Return the choice of a ranked candidate."""
        return Choice(estimate.load.backend_id, 'ranked', estimate.delay)

    def started(self, load: BackendLoad, now: float) -> None:  # noqa: B027
        """Record that a request was sent to a server."""

    def finished(  # noqa: B027
        self, load: BackendLoad, result: AttemptResult, now: float
    ) -> None:
        """Record how a request to a server ended."""

    def reported(  # noqa: B027
        self, load: BackendLoad, report: LoadReport, at: float
    ) -> None:
        """Record a load report of a server, before it replaces the previous one."""

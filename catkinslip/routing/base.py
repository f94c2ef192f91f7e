"""What every policy of choice knows and decides."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from attrs import define, frozen


@frozen
class LoadReport:
    """Load that a backend server reported with an answer."""

    in_flight: float
    speed: float | None = None


@define
class BackendLoad:
    """What one instance knows of one backend server; times are in seconds."""

    backend_id: str
    zone: str
    slots: int
    in_flight: int = 0
    draining: bool = False
    report: LoadReport | None = None
    reported_at: float = 0.0
    picks_since_report: int = 0


@frozen
class Choice:
    """A chosen backend server and why it was chosen."""

    backend_id: str
    reason: str


class Policy(ABC):
    """Choose a backend server for each request of one service."""

    @abstractmethod
    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""

"""What the request path tells those who count, trace and explain."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.proxy.calls import Call
from catkinslip.proxy.exchange import ConnectionBreak
from catkinslip.proxy.outcomes import Outcome
from catkinslip.routing.base import Choice


class RequestObserver(ABC):
    """Learn of each decision and each end; must be quick and must not raise."""

    @abstractmethod
    def decided(self, call: Call, choice: Choice, number: int) -> None:
        """Learn of the backend server chosen for an attempt, counted from 1."""

    @abstractmethod
    def attempted(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Learn how an attempt ended and how long it took."""

    def broke(self, call: Call, broken: ConnectionBreak) -> None:  # noqa: B027
        """Learn of a connection that ended under an attempt."""

    @abstractmethod
    def ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Learn what the caller was told and how long the request took."""


@frozen
class ObserverGroup(RequestObserver):
    """Tell several observers."""

    observers: tuple[RequestObserver, ...] = ()

    def decided(self, call: Call, choice: Choice, number: int) -> None:
        """Learn of the backend server chosen for an attempt, counted from 1."""
        for observer in self.observers:
            observer.decided(call, choice, number)

    def attempted(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Learn how an attempt ended and how long it took."""
        for observer in self.observers:
            observer.attempted(call, backend_id, outcome, seconds)

    def broke(self, call: Call, broken: ConnectionBreak) -> None:
        """Learn of a connection that ended under an attempt."""
        for observer in self.observers:
            observer.broke(call, broken)

    def ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Learn what the caller was told and how long the request took."""
        for observer in self.observers:
            observer.ended(call, outcome, seconds)

"""What the request path tells those who count, trace and explain."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.proxy.calls import Call
from catkinslip.proxy.exchange import Break
from catkinslip.proxy.outcomes import Outcome
from catkinslip.routing.base import Choice


class RequestObserver(ABC):
    """Learn of each decision and each end; must be quick and must not raise."""

    @abstractmethod
    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Learn of the backend server chosen for an attempt, counted from 1."""

    @abstractmethod
    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Learn how an attempt ended and how long it took."""

    def on_connection_broken(self, call: Call, broken: Break) -> None:  # noqa: B027
        """Learn of a connection that ended under an attempt."""

    @abstractmethod
    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Learn what the caller was told and how long the request took."""


@frozen
class ObserverGroup(RequestObserver):
    """Tell several observers."""

    observers: tuple[RequestObserver, ...] = ()

    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Learn of the backend server chosen for an attempt, counted from 1."""
        for observer in self.observers:
            observer.on_server_chosen(call, choice, number)

    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Learn how an attempt ended and how long it took."""
        for observer in self.observers:
            observer.on_attempt_ended(call, backend_id, outcome, seconds)

    def on_connection_broken(self, call: Call, broken: Break) -> None:
        """Learn of a connection that ended under an attempt."""
        for observer in self.observers:
            observer.on_connection_broken(call, broken)

    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Learn what the caller was told and how long the request took."""
        for observer in self.observers:
            observer.on_request_ended(call, outcome, seconds)

"""The interface through which metrics and traces observe the request path."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.proxy.call import Call
from catkinslip.proxy.exchange import ConnectionBreak
from catkinslip.proxy.outcomes import Outcome
from catkinslip.routing.base import Choice


class RequestObserver(ABC):
    """Interface of request observers; methods must be fast and must not raise."""

    @abstractmethod
    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Record the backend server chosen for an attempt; `number` starts at 1."""

    @abstractmethod
    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record the outcome of an attempt and its duration in seconds."""

    def on_connection_broken(self, call: Call, broken: ConnectionBreak) -> None:  # noqa: B027
        """Record a connection that broke during an attempt."""

    @abstractmethod
    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Record the outcome of a request and its duration in seconds."""


@frozen
class ObserverGroup(RequestObserver):
    """Observer that forwards each event to several observers."""

    observers: tuple[RequestObserver, ...] = ()

    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Record the backend server chosen for an attempt; `number` starts at 1."""
        for observer in self.observers:
            observer.on_server_chosen(call, choice, number)

    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record the outcome of an attempt and its duration in seconds."""
        for observer in self.observers:
            observer.on_attempt_ended(call, backend_id, outcome, seconds)

    def on_connection_broken(self, call: Call, broken: ConnectionBreak) -> None:
        """Record a connection that broke during an attempt."""
        for observer in self.observers:
            observer.on_connection_broken(call, broken)

    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Record the outcome of a request and its duration in seconds."""
        for observer in self.observers:
            observer.on_request_ended(call, outcome, seconds)

"""The interface between the request path and the headers of a wire protocol."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import h11
from attrs import frozen

from catkinslip.proxy.call import Call
from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.base import LoadReport
from catkinslip.routing.signals import NO_SIGNALS, ServerSignals


@frozen
class CallParameters:
    """Call parameters from a caller's headers; the timeout is in seconds."""

    service: str
    host: str
    request_id: str | None = None
    timeout: float | None = None
    attempt: int = 1


@frozen
class ProbeAnswer:
    """The content of a probe answer; `backend_id` is None if the server sent none."""

    is_healthy: bool
    report: LoadReport | None
    backend_id: str | None = None
    #: Seconds for which the server stays cold; None if the value sent is unreadable.
    cold_seconds: float | None = 0.0
    signals: ServerSignals = NO_SIGNALS


class Dialect(ABC):
    """Codec of the headers between callers, this instance and backend servers."""

    @abstractmethod
    def read_parameters(
        self, request: RequestHead, wall: float
    ) -> CallParameters | NotRun:
        """Return the call parameters of a request, or a refusal if one is malformed.

        `wall` is the current time in Unix seconds.
        """

    @abstractmethod
    def request_headers(
        self, call: Call, backend_id: str, number: int, remaining: float
    ) -> list[Header]:
        """Return the headers of an attempt, without those that frame the body.

        `number` counts the attempts of the call from 1; `remaining` is the time to the
        deadline in seconds.
        """

    @abstractmethod
    def find_fault(
        self, call: Call, status: int, headers: list[Header]
    ) -> Unknown | None:
        """Return why an answer must not be forwarded; None if it may."""

    @abstractmethod
    def find_refusal(self, status: int, headers: list[Header]) -> Reason | None:
        """Return why a server did not run a request; None if it may have run it."""

    @abstractmethod
    def read_report(self, headers: Sequence[Header]) -> LoadReport | None:
        """Return the load report in an answer's headers; None if there is none."""

    def read_signals(self, status: int, headers: Sequence[Header]) -> ServerSignals:
        """Return the signals that a server sends in the headers of an answer."""
        return NO_SIGNALS

    @abstractmethod
    def answer_headers(self, call: Call, headers: list[Header]) -> list[Header]:
        """Return the headers of an answer as forwarded to the caller."""

    @abstractmethod
    def problem_events(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes = b'',
        *,
        close: bool = False,
    ) -> list[h11.Event]:
        """Return the error answer to a request that no backend server answered."""

    @abstractmethod
    def probe_request(self, service: str, path: str) -> h11.Request:
        """Return the request head of a probe."""

    @abstractmethod
    def read_probe(self, status: int, headers: list[Header]) -> ProbeAnswer | None:
        """Return the content of a probe answer; None if it answers another request."""

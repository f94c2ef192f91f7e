"""What requests and answers say in headers, apart from how it is spelled."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

import h11
from attrs import frozen

from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.base import LoadReport
from catkinslip.routing.words import NO_WORDS, ServerWords

if TYPE_CHECKING:
    from catkinslip.proxy.calls import Call


@frozen
class CallParameters:
    """What a caller's headers ask for; durations are in seconds."""

    service: str
    host: str
    request_id: str | None = None
    timeout: float | None = None
    attempt: int = 1


@frozen
class ProbeAnswer:
    """What the answer to a probe says; `backend_id` is None where it is not told."""

    is_healthy: bool
    report: LoadReport | None
    backend_id: str | None = None
    #: Seconds that the server stays cold; None where it told that unreadably.
    cold_seconds: float | None = 0.0
    signals: ServerWords = NO_WORDS


class Dialect(ABC):
    """Spell the headers between callers, this instance and backend servers."""

    @abstractmethod
    def read_parameters(
        self, request: RequestHead, wall: float
    ) -> CallParameters | NotRun:
        """Read a caller's headers, or refuse one that is malformed."""

    @abstractmethod
    def request_headers(
        self, call: 'Call', backend_id: str, number: int, remaining: float
    ) -> list[Header]:
        """Return the headers of an attempt, without those that frame the body."""

    @abstractmethod
    def find_fault(
        self, call: 'Call', status: int, headers: list[Header]
    ) -> Unknown | None:
        """Return why an answer must not reach the caller; None when it may."""

    @abstractmethod
    def find_refusal(self, status: int, headers: list[Header]) -> Reason | None:
        """Return why the backend server did not run a request; None if it may have."""

    @abstractmethod
    def read_report(self, headers: Sequence[Header]) -> LoadReport | None:
        """Return the load report of an answer."""

    def read_signals(self, status: int, headers: Sequence[Header]) -> ServerWords:
        """Return what an answer asks for in the name of its server."""
        return NO_WORDS

    @abstractmethod
    def answer_headers(self, call: 'Call', headers: list[Header]) -> list[Header]:
        """Return an answer's headers for the caller."""

    @abstractmethod
    def problem_events(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes = b'',
        *,
        close: bool = False,
    ) -> list[h11.Event]:
        """Return the answer that tells a caller how a request ended."""

    @abstractmethod
    def probe_request(self, service: str, path: str) -> h11.Request:
        """Return the head of a probe."""

    @abstractmethod
    def read_probe(self, status: int, headers: list[Header]) -> ProbeAnswer | None:
        """Read the answer to a probe; None when it answers something else."""

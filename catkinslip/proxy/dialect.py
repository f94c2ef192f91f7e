"""The interface between the request path and the headers of a wire protocol."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from functools import cached_property
from typing import ClassVar

import h11
from attrs import frozen

from catkinslip.proxy.call import Call
from catkinslip.proxy.headers import Header, RequestHead, find_all, without
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

    #: Header in which callers send their API key; servers never receive it.
    key_header: ClassVar[bytes]
    #: Header in which servers receive the workspace; only this instance sets it.
    workspace_header: ClassVar[bytes]
    #: Whether these headers belong to this product, also without workspaces.
    reserves_workspace_headers: ClassVar[bool] = False
    #: Header in which another instance passes the workspace on; None if none does.
    passed_header: ClassVar[bytes | None] = None

    @cached_property
    def own_headers(self) -> frozenset[bytes]:
        """Return the headers of keys and workspaces, which no caller's value passes."""
        names = (self.key_header, self.workspace_header, self.passed_header)
        return frozenset(name for name in names if name)

    def read_keys(self, headers: Sequence[Header]) -> list[bytes]:
        """Return all values of the key header."""
        return find_all(headers, self.key_header)

    def without_workspace_headers(self, headers: Sequence[Header]) -> list[Header]:
        """Return the headers without the caller's values of key and workspace."""
        return without(headers, self.own_headers)

    def workspace_headers(self, call: 'Call') -> list[Header]:
        """Return the headers that name the workspace of a call, if it has one."""
        if not call.workspace:
            return []
        return [(self.workspace_header, call.workspace.encode())]

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

    def relay_headers(self, call: Call, remaining: float) -> list[Header]:
        """Return the headers with which a call is relayed to another instance.

        `remaining` is the time to the caller's deadline in seconds.
        """
        return self.request_headers(call, '', 1, remaining)

    @abstractmethod
    def find_fault(
        self, call: Call, status: int, headers: list[Header], *, is_reused: bool = False
    ) -> Unknown | None:
        """Return why an answer must not be forwarded; None if it may.

        On a reused connection, a late second answer to an earlier exchange may come.
        """

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

"""One attempt to relay a request: at another instance, which answers like a server."""

from collections.abc import Callable

import h11
from attrs import define

from catkinslip.proxy import headers as names
from catkinslip.proxy.answers import drain_body
from catkinslip.proxy.exchange import AnswerHead, Attempt
from catkinslip.proxy.outcomes import NotRun, Unknown
from catkinslip.proxy.relayed import RelayHead, decode_outcome
from catkinslip.proxy.wire import Wire
from catkinslip.routing.signals import ServerSignals

OnServerSignals = Callable[[str, ServerSignals], None]


def ignore_server_signals(server: str, signals: ServerSignals) -> None:
    """Ignore the signals of a server."""


@define
class RelayAttempt(Attempt):
    """An attempt at an instance, whose answer carries the outcome if it has none."""

    #: Content of the header that the receiver checks.
    head: RelayHead | None = None
    #: ID of the receiver.
    receiver: str = ''
    #: Called with the ID of the server that answered, and what its answer signals.
    on_server_signals: OnServerSignals = ignore_server_signals

    async def start(self) -> AnswerHead | NotRun | Unknown:
        """Send the request on a new connection and wait for the answer's head."""
        return await self._start(0.0)

    async def _release(self, wire: Wire) -> None:
        # A kept connection would hold up the receiver's shutdown and is never reused.
        wire.must_close = True
        await super()._release(wire)

    async def _classify_response(
        self, wire: Wire, response: h11.Response
    ) -> AnswerHead | NotRun | Unknown:
        headers = list(response.headers)
        outcome = decode_outcome(headers, self.receiver)
        if outcome is not None:
            await drain_body(wire)
            return outcome
        fault = self.dialect.find_fault(self.call, response.status_code, headers)
        if fault is not None:
            wire.must_close = True
            return fault
        server = names.find(headers, names.RELAYED_SERVER)
        if server is not None:
            signals = self.dialect.read_signals(response.status_code, headers)
            self.on_server_signals(server.decode('latin-1'), signals)
        return AnswerHead(response, headers, None, wire)

    def _request_headers(self) -> list[names.Header]:
        # The receiver applies the timeout of the route itself.
        remaining = self.call.caller_deadline - self.clock.monotonic()
        headers = self.dialect.relay_headers(self.call, remaining)
        return [*headers, self.head.encode()]

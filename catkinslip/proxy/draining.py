"""End callers' connections without cutting a request."""

import h11
import trio
from attrs import Factory, define, field

from catkinslip.proxy.wire import Wire

CLOSE_HEADER = (b'connection', b'close')


@define
class CallerDrain:
    """Know the open connections of callers and end them when asked to."""

    is_closing: bool = False
    _open_wires: set[int] = Factory(set)
    _idle_scope_by_wire: dict[int, trio.CancelScope] = Factory(dict)
    _none_open: trio.Event = Factory(trio.Event)

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._open_wires)

    def wire(self, stream: trio.SocketStream) -> 'CallerWire':
        """Return the wire of a new connection."""
        wire = CallerWire(stream, h11.Connection(h11.SERVER), self)
        self._open_wires.add(id(wire))
        return wire

    def closed(self, wire: 'CallerWire') -> None:
        """Take note that a connection was closed."""
        self._open_wires.discard(id(wire))
        if self.is_closing and not self._open_wires:
            self._none_open.set()

    def start_closing(self) -> None:
        """Let every connection end with its next answer."""
        self.is_closing = True
        if not self._open_wires:
            self._none_open.set()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for scope in self._idle_scope_by_wire.values():
            scope.cancel()

    async def wait_until_closed(self) -> None:
        """Wait until no connection is open."""
        await self._none_open.wait()

    async def wait_for_bytes(self, wire: 'CallerWire') -> bool:
        """Wait for a request's first byte; False when the connection shall close."""
        with trio.CancelScope() as scope:
            self._idle_scope_by_wire[id(wire)] = scope
            try:
                await trio.lowlevel.wait_readable(wire.stream.socket)
            finally:
                del self._idle_scope_by_wire[id(wire)]
        return not scope.cancelled_caught or wire.stream.socket.is_readable()


@define(eq=False)
class CallerWire(Wire):
    """A caller's connection that ends politely while its instance closes."""

    drain: CallerDrain = field(kw_only=False)

    async def receive(self):
        """Return the next event; an idle connection may end instead."""
        if self._is_idle() and not await self.drain.wait_for_bytes(self):
            return h11.ConnectionClosed()
        return await super().receive()

    async def send(self, *events) -> None:
        """Send events; say that the connection ends if it does."""
        if self.drain.is_closing:
            events = tuple(announce_close(event) for event in events)
        await super().send(*events)

    async def close(self) -> None:
        """Close the connection at once."""
        self.drain.closed(self)
        await super().close()

    def _is_idle(self) -> bool:
        return self.codec.their_state is h11.IDLE and not self.codec.trailing_data[0]


def announce_close(event):
    """Return a final response's head that ends the connection."""
    if type(event) is not h11.Response:
        return event
    headers = [each for each in event.headers if each[0] != b'connection']
    return h11.Response(
        status_code=event.status_code,
        headers=[*headers, CLOSE_HEADER],
        reason=event.reason,
    )

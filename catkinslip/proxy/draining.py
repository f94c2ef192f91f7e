"""Closing of callers' connections without interrupting a request."""

import logging

import h11
import trio
from attrs import Factory, define

from catkinslip.proxy.pipelining import FollowingRequests
from catkinslip.proxy.wire import Wire, server_wire

CLOSE_HEADER = (b'connection', b'close')

#: Idle connections that are closed between two turns of the other tasks.
CLOSED_AT_ONCE = 16

ANSWERING = (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY)

log = logging.getLogger('lifecycle')


@define
class CallerDrain:
    """The open connections of callers, which are closed when the instance drains."""

    is_closing: bool = False
    #: Whether connections no longer wait for a request.
    is_closing_idle: bool = False
    open_wires: set[Wire] = Factory(set)
    _none_open: trio.Event = Factory(trio.Event)

    def open(self, stream: trio.abc.Stream) -> 'CallerWire':
        """Return the server side of a caller's new connection and register it."""
        wire = server_wire(stream)
        wire = CallerWire(wire.stream, wire.codec, wire.peer, drain=self)
        self.open_wires.add(wire)
        return wire

    def remove(self, wire: Wire) -> None:
        """Remove a connection that was closed."""
        self.open_wires.discard(wire)
        self._notify_if_none_open()

    def start_closing(self) -> None:
        """Close every connection after its next answer."""
        self.is_closing = True
        self._notify_if_none_open()

    async def close_idle(self) -> None:
        """Close the idle connections, those that are idle for longest first.

        A request that arrives before the last read of its connection is answered. The
        connections are closed in parts, so that other requests are answered meanwhile.
        """
        self.is_closing_idle = True
        idle = sorted(
            (wire for wire in self.open_wires if wire.idle_scope is not None),
            key=lambda wire: wire.idle_scope.deadline,
        )
        log.info('lifecycle: closing idle connections. idle=%d', len(idle))
        for start in range(0, len(idle), CLOSED_AT_ONCE):
            for wire in idle[start : start + CLOSED_AT_ONCE]:
                wire.end_wait()
            await trio.lowlevel.checkpoint()

    async def wait_until_closed(self) -> None:
        """Wait until closing has started and no connection is open."""
        while self.open_wires or not self.is_closing:
            self._none_open = trio.Event()
            await self._none_open.wait()

    def _notify_if_none_open(self) -> None:
        if self.is_closing and not self.open_wires:
            self._none_open.set()


@define(eq=False)
class CallerWire(Wire):
    """A caller's connection; its answers carry `connection: close` during a drain."""

    drain: CallerDrain = Factory(CallerDrain)
    #: Requests behind the one that is answered, if any are read before their turn.
    read_ahead: FollowingRequests | None = None
    #: Whether requests may be read before their turn now.
    may_read_ahead: bool = False
    #: Whether the caller has sent a request before the answer to another.
    is_pipelining: bool = False

    async def wait_for_request(self, seconds: float) -> None:
        """Read the first bytes of a request, without a wait while idle ones end."""
        await super().wait_for_request(0.0 if self.drain.is_closing_idle else seconds)

    def encode(self, *events: object) -> bytes:
        """Return the bytes of events; they must be the next that are sent."""
        if self.drain.is_closing and not self.has_requests_behind():
            events = tuple(with_close_header(event) for event in events)
        return super().encode(*events)

    def is_receiving_body(self) -> bool:
        """Return whether the body of a request has not been read whole."""
        return self.codec.their_state is h11.SEND_BODY

    def has_answered(self) -> bool:
        """Return whether the whole answer to the current request was encoded."""
        return self.codec.our_state not in ANSWERING

    def has_requests_behind(self) -> bool:
        """Return whether a request behind the one that is answered was started."""
        return self.read_ahead is not None and self.read_ahead.has_requests()


def with_close_header(event: object) -> object:
    """Return an event; the head of a final response gets `connection: close`."""
    if type(event) is not h11.Response:
        return event
    headers = [each for each in event.headers if each[0] != b'connection']
    return h11.Response(
        status_code=event.status_code,
        headers=[*headers, CLOSE_HEADER],
        reason=event.reason,
    )

"""Connections to backend servers, kept for reuse."""

import h11
import trio
from attrs import Factory, define

from catkinslip.models import Address
from catkinslip.proxy.wire import Wire, client_wire

MAX_IDLE = 16
MAX_IDLE_SECONDS = 30.0


@define
class IdleWire:
    """A connection without a request, and since when."""

    wire: Wire
    since: float


@define
class BackendPool:
    """Open, reuse and close connections to backend servers."""

    idle_by_address: dict[Address, list[IdleWire]] = Factory(dict)

    async def acquire(self, address: Address) -> Wire:
        """Return a connection without a request; raise OSError if none opens."""
        idle = self.idle_by_address.get(address, [])
        while idle:
            entry = idle.pop()
            age = trio.current_time() - entry.since
            if age < MAX_IDLE_SECONDS and not is_readable(entry.wire):
                return entry.wire
            await entry.wire.close()
        stream = await trio.open_tcp_stream(address.host, address.port)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return client_wire(stream)

    async def release(self, address: Address, wire: Wire) -> None:
        """Keep a connection whose exchange ended cleanly; close any other."""
        idle = self.idle_by_address.setdefault(address, [])
        if not ended_cleanly(wire) or len(idle) >= MAX_IDLE:
            await wire.close()
            return
        wire.codec.start_next_cycle()
        idle.append(IdleWire(wire, trio.current_time()))

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self.idle_by_address.values():
            while idle:
                await idle.pop().wire.close()


def ended_cleanly(wire: Wire) -> bool:
    """Tell whether both sides ended and no surplus bytes came."""
    codec = wire.codec
    if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
        return False
    surplus, closed = codec.trailing_data
    return not surplus and not closed


def is_readable(wire: Wire) -> bool:
    """Tell whether an idle connection was closed or got surplus bytes."""
    return wire.stream.socket.is_readable()

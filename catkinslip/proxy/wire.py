"""One HTTP/1.1 connection: h11's codec over a trio stream."""

from typing import Any

import h11
import trio
from attrs import define

RECEIVE_SIZE = 65536


@define
class Wire:
    """Send and receive HTTP events on one connection."""

    stream: trio.abc.Stream
    codec: h11.Connection

    async def receive(self) -> Any:
        """Return the next event; raise h11.RemoteProtocolError or a trio error."""
        while True:
            event = self.codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.codec.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.codec.receive_data(await self.stream.receive_some(RECEIVE_SIZE))

    async def send(self, *events: Any) -> None:
        """Send events in one write."""
        data = b''.join(self.codec.send(event) or b'' for event in events)
        if data:
            await self.stream.send_all(data)

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)


def server_wire(stream: trio.abc.Stream) -> Wire:
    """Return the server's side of a connection."""
    return Wire(stream, h11.Connection(h11.SERVER))


def client_wire(stream: trio.abc.Stream) -> Wire:
    """Return the client's side of a connection."""
    return Wire(stream, h11.Connection(h11.CLIENT))

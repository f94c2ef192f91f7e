"""One HTTP/1.1 connection: h11's codec over a trio stream."""

import os
import socket
import struct
from typing import Any

import h11
import trio
from attrs import define

from catkinslip.proxy.chunk_checks import ChunkCheck

RECEIVE_SIZE = 65536
LINGER_SECONDS = 1.0
LINGER_BYTES = 1 << 20
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

ConnectionErrors = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@define(eq=False)
class Wire:
    """Send and receive HTTP events on one connection."""

    stream: trio.abc.Stream
    codec: h11.Connection
    peer: str = ''
    is_reused: bool = False
    is_spoiled: bool = False
    chunk_check: ChunkCheck | None = None

    async def receive(self) -> Any:
        """Return the next event; raise h11.RemoteProtocolError or a trio error."""
        while True:
            event = self.codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.codec.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.fill()

    async def fill(self) -> None:
        """Read what has come into the codec."""
        data = await self._read()
        if self.chunk_check is not None:
            self.check_chunks(data)
        self.codec.receive_data(data)

    def check_chunks(self, data: bytes) -> None:
        """Raise h11.RemoteProtocolError when a chunked body is framed oddly."""
        fault = self.chunk_check.feed(data)
        if fault is not None:
            raise h11.RemoteProtocolError(fault)

    def encode(self, *events: Any) -> bytes:
        """Return the bytes of events, which must be sent next."""
        return b''.join([self.codec.send(event) or b'' for event in events])

    async def send(self, *events: Any) -> None:
        """Send events in one write."""
        data = self.encode(*events)
        if data:
            await self.write(data)

    async def write(self, data: bytes) -> None:
        """Send bytes, without a task switch when the socket takes them at once."""
        if type(self.stream) is trio.SocketStream:
            try:
                sent = os.write(self._descriptor(), data)
            except BlockingIOError:
                sent = 0
            if sent == len(data):
                return
            data = data[sent:]
        await self.stream.send_all(data)

    async def _read(self) -> bytes:
        if type(self.stream) is not trio.SocketStream:
            return await self.stream.receive_some(RECEIVE_SIZE)
        while True:
            await trio.lowlevel.wait_readable(self._descriptor())
            try:
                return os.read(self._descriptor(), RECEIVE_SIZE)
            except BlockingIOError:
                continue

    def _descriptor(self) -> int:
        # Asked for anew each time: a closed one may belong to another connection.
        descriptor = self.stream.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError
        return descriptor

    def start_next_cycle(self) -> None:
        """Make ready for the next exchange."""
        self.chunk_check = None
        self.codec.start_next_cycle()

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)

    async def reset(self) -> None:
        """Close so that the other side sees a broken message in any framing."""
        if type(self.stream) is trio.SocketStream:
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.close()

    async def close_gently(self) -> None:
        """Close after the other side had time to read what was sent."""
        left = LINGER_BYTES
        with trio.move_on_after(LINGER_SECONDS):
            await self.stream.send_eof()
            while left > 0:
                data = await self.stream.receive_some(RECEIVE_SIZE)
                if not data:
                    break
                left -= len(data)
        await self.close()


def server_wire(stream: trio.abc.Stream) -> Wire:
    """Return the server's side of a connection."""
    codec = h11.Connection(h11.SERVER, max_incomplete_event_size=RECEIVE_SIZE)
    return Wire(stream, codec, peer_of(stream))


def peer_of(stream: trio.abc.Stream) -> str:
    """Return the IP number of the other side; empty where it is not known."""
    if not isinstance(stream, trio.SocketStream):
        return ''
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        # Reset before it was accepted; the first read tells, and is caught.
        return ''


def client_wire(stream: trio.abc.Stream) -> Wire:
    """Return the client's side of a connection."""
    return Wire(stream, h11.Connection(h11.CLIENT))

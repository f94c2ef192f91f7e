"""An HTTP/1.1 connection: an h11 codec on a trio stream."""

import errno
import os
import socket
import struct
from typing import Any

import h11
import trio
from attrs import define

from catkinslip.proxy.answer_checks import find_head_fault
from catkinslip.proxy.chunk_checks import ChunkCheck

RECEIVE_SIZE = 65536
MAX_INTERIM_ANSWERS = 16
#: Events of a connection that are parsed before it waits for its turn. Those of a whole
#: read, one byte each, would hold the loop for a fifth of a second.
MAX_EVENTS_IN_TURN = 64
LINGER_SECONDS = 1.0
LINGER_BYTES = 1 << 20
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

#: Bytes of a chunked body that are checked before the number of their lines counts.
CHECKED_BYTES = 4 << 10
#: Lock that lets one connection at a time go on to parse a long message.
TURN_LOCK: trio.lowlevel.RunVar[trio.Lock] = trio.lowlevel.RunVar('turn')

#: States of a server in which the head of an answer is due; it may come early.
HEAD_STATES = frozenset({h11.IDLE, h11.SEND_RESPONSE})
ANSWER_HEADS = frozenset({h11.Response, h11.InformationalResponse})

ConnectionErrors = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@define(eq=False)
class Wire:
    """An HTTP/1.1 connection that sends and receives h11 events."""

    stream: trio.abc.Stream
    codec: h11.Connection
    #: IP address of the other side; empty if unknown.
    peer: str = ''
    #: Whether the connection carried an earlier request.
    is_reused: bool = False
    #: Whether the connection must not be reused.
    must_close: bool = False
    #: Check of the chunked body that is received, if any.
    chunk_check: ChunkCheck | None = None
    #: Bytes of a request head that was refused.
    refused_head: bytes = b''
    #: When the bytes arrived that wait to be parsed, in monotonic seconds; None if they
    #: are parsed as they arrive.
    arrived_at: float | None = None
    #: Whether encoded bytes are not all written; the codec counts them as sent.
    has_unwritten: bool = False
    #: Error that a write took from the connection; it is not reported to reads.
    write_error: OSError | None = None
    #: Events that were parsed since the connection last waited for its turn.
    events_in_turn: int = 0
    #: Interim answers (1xx) that were received before the final one.
    interim_answers: int = 0
    #: Whether the other side was seen to close its sending half under a request.
    has_left: bool = False
    #: Scope of the wait for the first bytes of a request; None while there is none.
    idle_scope: trio.CancelScope | None = None

    async def receive(self) -> Any:
        """Return the next event; raise h11.RemoteProtocolError or a trio error."""
        while True:
            if self.is_turn_over():
                await self._await_turn()
            event = self.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.codec.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.read_into_codec()

    def next_event(self) -> Any:
        """Return the next event that has arrived, or h11.NEED_DATA.

        Raise h11.RemoteProtocolError if bytes are invalid or no final answer comes.
        """
        event = self._next_head() if self._is_head_due() else self.codec.next_event()
        self.events_in_turn += 1
        if type(event) is h11.InformationalResponse:
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                raise h11.RemoteProtocolError('too many interim answers')
        return event

    def _is_head_due(self) -> bool:
        """Return whether the next bytes from a server are those of an answer's head."""
        codec = self.codec
        return codec.our_role is h11.CLIENT and codec.their_state in HEAD_STATES

    def _next_head(self) -> Any:
        received, _ = self.codec.trailing_data
        event = self.codec.next_event()
        if type(event) in ANSWER_HEADS:
            behind, _ = self.codec.trailing_data
            head = received[: len(received) - len(behind)]
            fault = find_head_fault(head, event)
            if fault is not None:
                self.must_close = True
                raise h11.RemoteProtocolError(fault)
        return event

    def take_arrived(self) -> list[Any]:
        """Return the events that have arrived, as far as the turn and message go."""
        events: list[Any] = []
        while not self.is_turn_over():
            event = self.next_event()
            if event is h11.NEED_DATA:
                break
            events.append(event)
            if type(event) is h11.EndOfMessage:
                break
        return events

    async def wait_for_more(self) -> None:
        """Wait until further events may have arrived."""
        if self.is_turn_over():
            await self._await_turn()
        else:
            await self.read_into_codec()

    def is_turn_over(self) -> bool:
        """Return whether other connections go first before more events are parsed."""
        return self.events_in_turn >= MAX_EVENTS_IN_TURN

    async def _await_turn(self) -> None:
        await take_turn()
        self.events_in_turn = 0

    async def read_into_codec(self) -> None:
        """Read the available bytes from the connection into the codec."""
        data = await self.read()
        if self.chunk_check is not None:
            await self.check_chunks(data)
        self.codec.receive_data(data)

    async def wait_for_request(self, seconds: float) -> None:
        """Read the first bytes of a request into the codec.

        There are none if none come within `seconds` or before `end_wait` is called.
        """
        with trio.move_on_after(seconds) as self.idle_scope:
            await self.read_into_codec()
        scope, self.idle_scope = self.idle_scope, None
        if scope.cancelled_caught:
            self._read_arrived()

    def end_wait(self) -> None:
        """End the wait for a request; one that has arrived by then is read."""
        if self.idle_scope is not None:
            self.idle_scope.cancel()

    def _read_arrived(self) -> None:
        """Read the bytes that have arrived into the codec, without a task switch."""
        if type(self.stream) is not trio.SocketStream:
            return
        try:
            data = os.read(self._descriptor(), RECEIVE_SIZE)
        except BlockingIOError:
            return
        self.codec.receive_data(data)

    async def check_chunks(self, data: bytes) -> None:
        """Raise h11.RemoteProtocolError if the framing of a chunked body is invalid."""
        for start in range(0, len(data), CHECKED_BYTES):
            lines = self.chunk_check.lines
            fault = self.chunk_check.feed(data[start : start + CHECKED_BYTES])
            if fault is not None:
                raise h11.RemoteProtocolError(fault)
            if self.chunk_check.lines - lines > MAX_EVENTS_IN_TURN:
                await take_turn()

    def encode(self, *events: Any) -> bytes:
        """Return the bytes of events; they must be the next that are written.

        Raise trio.BrokenResourceError if earlier bytes are not all written: these would
        follow a part of a message, which the other side takes for the rest of it.
        """
        if self.has_unwritten:
            raise trio.BrokenResourceError('an earlier message is not written whole')
        data = b''.join([self.codec.send(event) or b'' for event in events])
        self.has_unwritten = bool(data)
        return data

    async def send(self, *events: Any) -> None:
        """Send events in one write."""
        data = self.encode(*events)
        if data:
            await self.write(data)

    async def write(self, data: bytes) -> None:
        """Write encoded bytes, without a task switch if the socket takes them at once.

        If the write fails or is cancelled, the bytes remain unwritten for good.
        """
        try:
            await self._write(data)
        except ConnectionErrors as error:
            self._keep_write_error(error)
            raise
        self.has_unwritten = False

    async def _write(self, data: bytes) -> None:
        if type(self.stream) is trio.SocketStream:
            try:
                sent = os.write(self._descriptor(), data)
            except BlockingIOError:
                sent = 0
            data = data[sent:]
        if data:
            await self.stream.send_all(data)

    def _keep_write_error(self, error: Exception) -> None:
        """Keep the error of a connection that broke under a write.

        EPIPE is none: then the other side has ended its stream before it reset the
        connection, and what it sent is whole.
        """
        cause = error if isinstance(error, OSError) else error.__cause__
        if isinstance(cause, OSError) and cause.errno != errno.EPIPE:
            self.write_error = cause

    async def read(self, max_bytes: int = RECEIVE_SIZE) -> bytes:
        """Return the next bytes, past the codec; no bytes at the end of the stream.

        Raise trio.BrokenResourceError where the stream has no end but broke: the system
        reports an error once, and after a write took it, a read returns no bytes.
        """
        data = await self._read(max_bytes)
        if not data and self.write_error is not None:
            raise trio.BrokenResourceError(
                f'the connection broke under a write: {self.write_error}'
            ) from self.write_error
        return data

    async def _read(self, max_bytes: int) -> bytes:
        if type(self.stream) is not trio.SocketStream:
            return await self.stream.receive_some(max_bytes)
        while True:
            await trio.lowlevel.wait_readable(self._descriptor())
            try:
                return os.read(self._descriptor(), max_bytes)
            except BlockingIOError:
                continue

    def _descriptor(self) -> int:
        # Read anew each time: a closed descriptor may belong to another connection.
        descriptor = self.stream.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError
        return descriptor

    def start_next_cycle(self) -> None:
        """Prepare the connection for the next request."""
        self.chunk_check = None
        self.interim_answers = self.events_in_turn = 0
        self.codec.start_next_cycle()

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)

    async def reset(self) -> None:
        """Close with a reset, so that no unfinished message looks complete."""
        if type(self.stream) is trio.SocketStream:
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.close()

    async def close_gracefully(self) -> None:
        """Close the connection after the other side had time to read what was sent."""
        remaining = LINGER_BYTES
        with trio.move_on_after(LINGER_SECONDS):
            await self.stream.send_eof()
            while remaining > 0:
                data = await self.stream.receive_some(RECEIVE_SIZE)
                if not data:
                    break
                remaining -= len(data)
        await self.close()


async def take_turn() -> None:
    """Wait until no other connection goes on to parse a long message in this step.

    In each step of the loop one connection goes on, however many send small chunks.
    """
    lock = TURN_LOCK.get(None)
    if lock is None:
        lock = trio.Lock()
        TURN_LOCK.set(lock)
    async with lock:
        pass


def server_wire(stream: trio.abc.Stream) -> Wire:
    """Return the server side of a connection on a stream."""
    return Wire(stream, server_codec(), peer_ip(stream))


def server_codec() -> h11.Connection:
    """Return the codec of the server side of a connection."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=RECEIVE_SIZE)


def peer_ip(stream: trio.abc.Stream) -> str:
    """Return the IP address of the other side; empty if it is unknown."""
    if not isinstance(stream, trio.SocketStream):
        return ''
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        # Reset before it was accepted; the first read raises an error that is handled.
        return ''


def client_wire(stream: trio.abc.Stream) -> Wire:
    """Return the client side of a connection on a stream."""
    return Wire(stream, h11.Connection(h11.CLIENT))

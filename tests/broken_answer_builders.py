"""Servers whose answers break off under an upload, and callers that upload."""

import socket
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from enum import Enum, auto, unique
from unittest import mock

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import SystemClock
from catkinslip.models import Address
from catkinslip.platform.dialect import PlatformDialect
from catkinslip.proxy.call import Call
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.outcomes import Outcome
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.relayed import RelayHead
from catkinslip.proxy.wire import RESET_ON_CLOSE, ConnectionErrors, Wire
from catkinslip.relaying.attempt import RelayAttempt
from tests.builders import OneBackendForwarder, caller_server

GENEROUS_SECONDS = 20.0
PART_BYTES = 64 << 10
#: Parts of an upload that has a length; more than all buffers on its way hold.
SIZED_PARTS = 512
SIGNED = b'Request-Id: r1\r\nResponse-Signature: s.1\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n'
REQUEST = b'POST /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n'
CHUNKED_UPLOAD = REQUEST + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n' % PART_BYTES + bytes(PART_BYTES) + b'\r\n'


GET = (
    b'GET /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n'
)


def sized_upload(parts: int) -> bytes:
    """Return the head of an upload of HTTP/1.0 with this number of parts."""
    head = REQUEST.replace(b'HTTP/1.1', b'HTTP/1.0')
    return head + b'Content-Length: %d\r\n\r\n' % (PART_BYTES * parts)


@unique
class End(Enum):
    """How a server ends a connection whose upload it does not read."""

    #: With a reset in place of the end of its stream.
    RESET = auto()
    #: With the end of its stream; the rest of the upload is then answered by a reset.
    SHUT_DOWN = auto()
    #: Not at all.
    NONE = auto()


@define
class EarlyServer:
    """Server that reads the head of an upload, answers at once and ends."""

    answer: bytes
    end: End = End.RESET
    #: Whether the upload is read before the answer is sent.
    reads: bool = False
    #: Whether the answer is sent, behind which the connection ends in the same step.
    has_sent: bool = False

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            await self._answer(stream)
        except trio.BrokenResourceError:
            # The other side does not want the rest of the answer.
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream) -> None:
        data = b''
        while b'\r\n\r\n' not in data:
            data += await stream.receive_some()
        if self.reads:
            await read_body(stream, data)
        await stream.send_all(self.answer)
        self.has_sent = True
        if self.end is End.NONE:
            await trio.sleep_forever()
        if self.end is End.SHUT_DOWN:
            await stream.send_eof()
        else:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(stream)


async def read_body(stream: trio.SocketStream, data: bytes) -> None:
    """Read the rest of a body with a length."""
    head, _, body = data.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].partition(b'\r')[0])
    remaining = length - len(body)
    while remaining > 0:
        remaining -= len(await stream.receive_some())


@define
class UploadProxy:
    """A caller server in front of one server, and what callers received."""

    server: CallerServer
    forwarder: OneBackendForwarder
    port: int

    async def ask(self) -> bytes:
        """Send a request without a body, and return all bytes of the answer."""
        return await self.upload(GET, parts=0)

    async def upload(
        self,
        head: bytes = CHUNKED_UPLOAD,
        part: bytes = CHUNK,
        parts: int | None = None,
    ) -> bytes:
        """Upload in parallel to reading, and return all bytes of the answer.

        Without a number of parts, the upload goes on until the answer has ended.
        """
        received = bytearray()
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(send_upload, stream, head, part, parts)
            await read_to_end(stream, received)
            nursery.cancel_scope.cancel()
        return bytes(received)


async def send_upload(
    stream: trio.SocketStream, head: bytes, part: bytes, parts: int | None
) -> None:
    """Send an upload until it is whole, or the other side takes no more of it."""
    try:
        await stream.send_all(head)
        sent = 0
        while parts is None or sent < parts:
            await stream.send_all(part)
            sent += 1
    except trio.BrokenResourceError:
        # The reader of the answer sees what came of it.
        return


async def read_to_end(stream: trio.SocketStream, received: bytearray) -> None:
    """Collect bytes until the connection ends or is reset."""
    try:
        while data := await stream.receive_some():
            received += data
    except trio.BrokenResourceError:
        return


@define
class RelayingForwarder(OneBackendForwarder):
    """Forwarder that relays every call to one other instance."""

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Relay a call and return its outcome."""
        attempt = RelayAttempt(
            call,
            self.address,
            caller,
            self.pool,
            self.clock,
            dialect=self.dialect,
            head=RelayHead('token', 'edge-1', 1, 'one'),
            receiver='edge-2',
        )
        self.outcomes.append(await attempt.run())
        return self.outcomes[-1]


@asynccontextmanager
async def upload_proxy(
    server: EarlyServer | CallerServer,
    dialect: Dialect | None = None,
    make_forwarder: Callable[..., OneBackendForwarder] = OneBackendForwarder,
):
    """Run a caller server, of the platform by default, that calls one server."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        dialect = dialect or PlatformDialect()
        forwarder = make_forwarder(
            address, BackendPool(), SystemClock(), dialect=dialect
        )
        callers = caller_server(forwarder, dialect)
        nursery.start_soon(callers.run)
        listeners = await nursery.start(trio.serve_tcp, callers.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(GENEROUS_SECONDS):
            yield UploadProxy(callers, forwarder, port)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def relaying_proxy(server: EarlyServer):
    """Run an instance that relays every call to another one in front of a server."""
    async with (
        upload_proxy(server) as receiver,
        upload_proxy(receiver.server, make_forwarder=RelayingForwarder) as sender,
    ):
        yield sender


@define
class FailedWrites:
    """Events that are set as a write to a connection fails, by wire."""

    event_by_wire: dict[Wire, trio.Event] = Factory(dict)

    def event_of(self, wire: Wire) -> trio.Event:
        """Return the event of a connection."""
        return self.event_by_wire.setdefault(wire, trio.Event())


@contextmanager
def write_fails_first(server: EarlyServer) -> Iterator[None]:
    """Read the end of a server's connection only after a write to it failed.

    Linux reports the error of a connection once, to the call that comes first.
    """
    failed = FailedWrites()
    read, write = Wire.read, Wire.write

    async def late_read(wire: Wire, *arguments: int) -> bytes:
        if wire.codec.our_role is h11.CLIENT:
            await trio.lowlevel.wait_readable(wire.stream.socket.fileno())
            if server.has_sent:
                await failed.event_of(wire).wait()
        return await read(wire, *arguments)

    async def noted_write(wire: Wire, data: bytes) -> None:
        try:
            await write(wire, data)
        except ConnectionErrors:
            failed.event_of(wire).set()
            raise

    with (
        mock.patch.object(Wire, 'read', late_read),
        mock.patch.object(Wire, 'write', noted_write),
    ):
        yield


def is_complete(answer: bytes) -> bool:
    """Return whether a chunked answer has its last chunk."""
    return answer.endswith(b'0\r\n\r\n')

"""Servers that send without end, and a count of the work in each step of the loop."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import SystemClock
from catkinslip.models import Address
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.pool import BackendPool
from tests.builders import OneBackendForwarder, caller_server

BLOCK_BYTES = 64 << 10
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
ONE_BYTE_CHUNK = b'1\r\nx\r\n'
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nCatkinslip-Outcome: not-run\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
UPLOAD = b'POST /a HTTP/1.1\r\nHost: limits\r\nTransfer-Encoding: chunked\r\n\r\n'
GET = b'GET /a HTTP/1.1\r\nHost: limits\r\n\r\n'


@define
class EndlessServer:
    """Server that answers each request with bytes without end."""

    first: bytes
    more: bytes
    #: Pause between two parts in seconds; None to send as fast as they are read.
    pause: float | None = None
    sent_bytes: int = 0
    closed: trio.Event = Factory(trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until the other side closes it."""
        part = self.more
        if self.pause is None:
            part *= max(1, BLOCK_BYTES // max(1, len(part)))
        try:
            await stream.receive_some()
            await stream.send_all(self.first)
            while True:
                await stream.send_all(part)
                self.sent_bytes += len(part)
                await trio.sleep(self.pause or 0.0)
        except trio.BrokenResourceError:
            self.closed.set()
        finally:
            await trio.aclose_forcefully(stream)


@define
class EndlessProxy:
    """A caller server in front of a server that sends without end."""

    server: CallerServer
    forwarder: OneBackendForwarder
    port: int

    async def connect(self) -> trio.SocketStream:
        """Open a caller's connection."""
        return await trio.open_tcp_stream('127.0.0.1', self.port)

    async def ask(self) -> bytes:
        """Send a request and return the first bytes of the answer."""
        async with await self.connect() as stream:
            await stream.send_all(GET)
            return await stream.receive_some()


async def read_all(stream: trio.SocketStream) -> None:
    """Read a connection until the other side closes it, and answer nothing."""
    try:
        while await stream.receive_some():
            pass
    finally:
        await trio.aclose_forcefully(stream)


def proxy_of(endless: EndlessServer):
    """Run a caller server that sends every call to one endless server."""
    return proxy_to(endless.serve)


def upload_proxy(**limits: int):
    """Run a caller server that sends every call to a server that only reads."""
    return proxy_to(read_all, **limits)


@asynccontextmanager
async def proxy_to(
    serve: Callable[[trio.SocketStream], Awaitable[None]], **limits: int
):
    """Run a caller server that sends every call to one server."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        forwarder = OneBackendForwarder(address, BackendPool(), SystemClock())
        server = caller_server(forwarder, **limits)
        nursery.start_soon(server.run)
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(20.0):
            yield EndlessProxy(server, forwarder, port)
        nursery.cancel_scope.cancel()


@define(eq=False)
class ParseCount(trio.abc.Instrument):
    """Counts of the events that codecs return, by step of a task and batch of steps."""

    step: int = 0
    batch: int = 0
    total: int = 0
    max_step: int = 0
    max_batch: int = 0

    def add(self) -> None:
        """Count an event."""
        self.step += 1
        self.batch += 1
        self.total += 1
        self.max_step = max(self.max_step, self.step)
        self.max_batch = max(self.max_batch, self.batch)

    async def wait_for(self, total: int) -> None:
        """Wait until this many events were counted."""
        while self.total < total:
            await trio.sleep(0.001)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.step = 0

    def before_io_wait(self, timeout: float) -> None:
        self.batch = 0


@contextmanager
def count_parsing() -> Iterator[ParseCount]:
    """Count the events of all codecs, in a running loop."""
    count = ParseCount()
    next_event = h11.Connection.next_event

    def counted(codec: h11.Connection) -> object:
        count.add()
        return next_event(codec)

    trio.lowlevel.add_instrument(count)
    try:
        with mock.patch.object(h11.Connection, 'next_event', counted):
            yield count
    finally:
        trio.lowlevel.remove_instrument(count)

"""Builders of pipelined requests, and a forwarder that answers them on demand."""

from contextlib import asynccontextmanager

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import Clock, SystemClock
from catkinslip.proxy.call import Call
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.outcomes import Answered, Outcome
from catkinslip.proxy.wire import Wire
from tests.builders import caller_server

GENEROUS_SECONDS = 20


def get(path: str, *headers: str) -> bytes:
    """Return the bytes of an idempotent request."""
    return request_bytes('GET', path, headers)


def post(path: str, body: bytes = b'ab', *headers: str) -> bytes:
    """Return the bytes of a request that is not idempotent."""
    length = f'Content-Length: {len(body)}'
    return request_bytes('POST', path, (length, *headers)) + body


def request_bytes(method: str, path: str, headers: tuple[str, ...]) -> bytes:
    """Return the bytes of a request without its body."""
    lines = (f'{method} {path} HTTP/1.1', 'Host: limits', *headers, '', '')
    return '\r\n'.join(lines).encode()


def answer_events(body: bytes) -> list[h11.Event]:
    """Return the events of an answer with status 200."""
    headers = [('content-length', str(len(body)))]
    response = h11.Response(status_code=200, headers=headers)
    return [response, h11.Data(data=body), h11.EndOfMessage()]


@define
class ScriptedForwarder:
    """Forwarder that ends each call when the test tells it to."""

    clock: Clock = Factory(SystemClock)
    #: Calls by path, in the order in which they started.
    call_by_path: dict[str, Call] = Factory(dict)
    outcome_by_path: dict[str, Outcome] = Factory(dict)
    body_by_path: dict[str, bytes] = Factory(dict)
    #: Paths whose answers break off after the head.
    cut_paths: set[str] = Factory(set)
    #: Paths whose calls go on after their answers, until `<path> end` is released.
    lingering_paths: set[str] = Factory(set)
    released: set[str] = Factory(set)
    #: Paths whose answers were passed on or held whole.
    finished: list[str] = Factory(list)
    cancelled: set[str] = Factory(set)
    changed: trio.Event = Factory(trio.Event)

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Wait until the path is released, then answer or fail as scripted."""
        path = call.target.decode()
        self.call_by_path[path] = call
        self._notify()
        try:
            await self.wait_for(lambda: path in self.released)
            outcome = await self._end(path, caller)
        except trio.Cancelled:
            self.cancelled.add(path)
            self._notify()
            raise
        self.finished.append(path)
        self._notify()
        return outcome

    async def _end(self, path: str, caller: Wire) -> Outcome:
        if path in self.cut_paths:
            await caller.send(answer_events(b'cut')[0])
        if path in self.outcome_by_path:
            return self.outcome_by_path[path]
        for event in answer_events(self.body_by_path.get(path, path.encode())):
            await caller.send(event)
        if path in self.lingering_paths:
            await self.wait_for(lambda: f'{path} end' in self.released)
        return Answered(200)

    @property
    def started(self) -> list[str]:
        """Return the paths of the calls in the order in which they started."""
        return list(self.call_by_path)

    def release(self, *paths: str) -> None:
        """Let the calls of some paths end."""
        self.released.update(paths)
        self._notify()

    async def wait_for_start(self, *paths: str) -> None:
        """Wait until the calls of some paths have started."""
        await self.wait_for(lambda: self.call_by_path.keys() >= set(paths))

    async def wait_for_end(self, *paths: str) -> None:
        """Wait until the answers of some paths are passed on or held."""
        await self.wait_for(lambda: set(self.finished) >= set(paths))

    async def wait_for(self, condition) -> None:
        """Wait until a condition holds."""
        while not condition():
            await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


@define
class CallerConnection:
    """The caller's side of a connection; answers are read one at a time."""

    stream: trio.SocketStream
    unread: bytes = b''

    async def send(self, *requests: bytes) -> None:
        """Send requests in one write."""
        await self.stream.send_all(b''.join(requests))

    async def read(self) -> tuple[int, dict[bytes, bytes], bytes]:
        """Return status, headers and body of the next answer."""
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method='GET', target='/', headers=[('host', 'a')]))
        codec.send(h11.EndOfMessage())
        if self.unread:
            codec.receive_data(self.unread)
        response, body = None, b''
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await self.stream.receive_some())
            elif type(event) is h11.Response:
                response = event
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                self.unread = codec.trailing_data[0]
                return response.status_code, dict(response.headers), body
            elif type(event) is h11.ConnectionClosed:
                raise EOFError

    async def read_bodies(self, count: int) -> list[str]:
        """Return the bodies of the next answers."""
        return [(await self.read())[2].decode() for _ in range(count)]

    async def is_closed(self) -> bool:
        """Return whether the other side closed without another byte."""
        return not self.unread and await self.stream.receive_some() == b''

    async def is_reset(self) -> bool:
        """Return whether the other side reset the connection."""
        try:
            while await self.stream.receive_some():
                pass
        except trio.BrokenResourceError:
            return True
        return False


@define
class PipeliningProxy:
    """A running caller server with a scripted forwarder behind it."""

    server: CallerServer
    forwarder: ScriptedForwarder
    port: int
    callers: list[CallerConnection] = Factory(list)

    async def connect(self) -> CallerConnection:
        """Open a caller's connection."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        self.callers.append(CallerConnection(stream))
        return self.callers[-1]

    def is_pipelining(self) -> bool:
        """Return whether the server has a second task for its only connection."""
        (wire,) = self.server.drain.open_wires
        return wire.is_pipelining

    async def close(self) -> None:
        """Close all callers' connections and wait until the server has noticed."""
        for caller in self.callers:
            await caller.stream.aclose()
        while self.server.connections:
            await trio.sleep(0.01)


@asynccontextmanager
async def running_proxy(**limits):
    """Run a caller server that allows 8 requests for a connection."""
    forwarder = ScriptedForwarder()
    server = caller_server(forwarder, **{'max_pipelined_requests': 8, **limits})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(GENEROUS_SECONDS):
            proxy = PipeliningProxy(server, forwarder, port)
            yield proxy
            await proxy.close()
        nursery.cancel_scope.cancel()

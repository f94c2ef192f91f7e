"""Stand-in backend servers that inject faults and count requests."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Sequence
from enum import Enum, auto, unique
from typing import NoReturn

import h11
import trio
from attrs import Factory, define, frozen

from standins.requests import receive

HEALTH_PATH = '/healthz'
#: Factor by which work takes longer on a cold server.
COLD_SLOWNESS = 2.0


def max_within(seconds: float, times: Sequence[float]) -> int:
    """Return the maximum number of the sorted times within one span of `seconds`."""
    ends = (bisect_left(times, at + seconds) for at in times)
    return max((end - n for n, end in enumerate(ends)), default=0)


@unique
class Fault(Enum):
    """Fault that a server injects into the handling of a request."""

    NONE = auto()
    #: The server refuses the request and reports that it did not run.
    SHED = auto()
    #: The server runs the request and closes the connection without an answer.
    RESET = auto()
    #: The server runs the request and closes the connection within the answer.
    CUT = auto()
    #: The server answers with another request's ID.
    CROSSED = auto()
    #: The server sends a second answer after the first.
    EXTRA = auto()
    #: The server accepts the request and never answers.
    SILENT = auto()


@frozen
class Endless:
    """Bytes without end that a server sends in place of an answer."""

    #: The start, in which `ID` stands for the ID of the request.
    head: bytes
    part: bytes
    #: Pause after each part in seconds; 0 to send as fast as they are read.
    pause: float = 0.0
    #: How often `part` is sent in one write.
    repeats: int = 1


@frozen
class RefusedRequest:
    """A refused request and the rest period that the refusal asked for, in seconds."""

    at: float
    request_id: str
    seconds: float


@define
class Worker:
    """Server that runs the requests addressed to it and records which ran."""

    server_id: str
    slots: int = 2
    work_seconds: float = 0.0
    #: Time until a health check is answered, in seconds.
    probe_seconds: float = 0.0
    #: Duration of work in percent of `work_seconds`.
    percent: int = 100
    fault: Fault = Fault.NONE
    is_unresponsive: bool = False
    #: Bytes without end in place of answers to requests; None for sound answers.
    endless: Endless | None = None
    #: Number of connections that were closed by the other side under such bytes.
    endless_closed: int = 0
    is_unframed: bool = False
    #: Whether requests run but get an error answer that advertises no rate.
    is_failing: bool = False
    #: Paths of requests that crash the process once they ran.
    crashing_paths: set[str] = Factory(set)
    #: Number of crashes by the path of the request that caused them.
    crashes: Counter[str] = Factory(Counter)
    #: Cancel scope of the server process; set by the code that starts the server.
    process: trio.CancelScope = Factory(trio.CancelScope)
    running: int = 0
    waiting: int = 0
    probes: int = 0
    sheds: int = 0
    runs_by_request: Counter[str] = Factory(Counter)
    cancelled: list[str] = Factory(list)
    heads: list[h11.Request] = Factory(list)
    bodies: list[bytes] = Factory(list)
    freed: trio.Condition = Factory(trio.Condition)
    #: Time until which the server is cold: slow, and crashed by too many requests
    #: in a second.
    cold_until: float = -math.inf
    #: Maximum number of requests in any second that a cold server can handle.
    cold_bound: float = math.inf
    #: Request rate that the server advertises; None for none.
    advertised_rate: bytes | None = None
    #: Rest period that refusals ask for, in seconds; None for none.
    rest: bytes | None = None
    #: Whether all answers report that the server is leaving.
    is_leaving: bool = False
    #: Whether answers to health checks and refusals advertise the rate too.
    is_rate_in_all_answers: bool = False
    #: Arrival times of requests for this server.
    arrived_at: list[float] = Factory(list)
    #: Arrival times and IDs of requests for this server.
    arrivals: list[tuple[float, str]] = Factory(list)
    refused_requests: list[RefusedRequest] = Factory(list)
    #: Arrival times of requests while the server was cold.
    cold_arrivals: list[float] = Factory(list)

    def turn_cold(self, seconds: float) -> None:
        """Mark the server as cold for a number of seconds from now."""
        self.cold_until = trio.current_time() + seconds

    @property
    def cold_seconds(self) -> float:
        """Return the seconds for which the server stays cold."""
        return max(0.0, self.cold_until - trio.current_time())

    def max_cold_arrivals(self) -> int:
        """Return the maximum number of requests in one second while cold."""
        return max_within(1.0, self.cold_arrivals)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        codec = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(stream, codec):
                codec.start_next_cycle()
        except (h11.ProtocolError, OSError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, stream: trio.SocketStream, codec) -> bool:
        head, body = await receive(stream, codec)
        if head is None:
            return False
        if self.is_unresponsive:
            await trio.sleep_forever()
        if head.target.decode() == HEALTH_PATH:
            self.probes += 1
            await trio.sleep(self.probe_seconds)
            headers = self._rate_headers(is_answer=False)
            if self.cold_seconds:
                headers.append((b'cold-ms', b'%d' % (self.cold_seconds * 1000)))
            status = 503 if self.is_leaving else 200
            await self._send(stream, codec, status, headers, b'')
            return True
        return await self._work(stream, codec, head, body)

    async def _work(self, stream, codec, head: h11.Request, body: bytes) -> bool:
        headers = dict(head.headers)
        request_id = headers[b'request-id']
        if headers.get(b'target-instance') != self.server_id.encode():
            await self._send(stream, codec, 421, [(b'request-id', request_id)], b'')
            return True
        self.arrived_at.append(trio.current_time())
        self.arrivals.append((trio.current_time(), request_id.decode()))
        if self.cold_seconds:
            self.cold_arrivals.append(trio.current_time())
            if self.max_cold_arrivals() > self.cold_bound:
                self.process.cancel()
                await trio.sleep_forever()
        if self.fault is Fault.SHED:
            self.sheds += 1
            headers = [
                (b'request-id', request_id),
                (b'not-executed', b'1'),
                *self._rate_headers(is_answer=False),
            ]
            if self.rest is not None:
                headers.append((b'retry-after', self.rest))
                refused = RefusedRequest(
                    trio.current_time(), request_id.decode(), float(self.rest)
                )
                self.refused_requests.append(refused)
            await self._send(stream, codec, 503, headers, b'')
            return True
        self.heads.append(head)
        self.bodies.append(body)
        await self._run(stream, request_id.decode())
        path = head.target.decode().partition('?')[0]
        if path in self.crashing_paths:
            self.crashes[path] += 1
            self.process.cancel()
            await trio.sleep_forever()
        return await self._answer(stream, codec, request_id)

    async def _run(self, stream: trio.SocketStream, request_id: str) -> None:
        self.waiting += 1
        async with self.freed:
            while self.running >= self.slots:
                await self.freed.wait()
        self.waiting -= 1
        self.running += 1
        self.runs_by_request[request_id] += 1
        seconds = self.work_seconds * self.percent / 100
        if self.cold_seconds:
            seconds *= COLD_SLOWNESS
        if self.fault is Fault.SILENT:
            seconds = math.inf
        try:
            with trio.move_on_after(seconds):
                await stream.receive_some(1)
                self.cancelled.append(request_id)
                raise trio.BrokenResourceError
        finally:
            self.running -= 1
            with trio.CancelScope(shield=True):
                async with self.freed:
                    self.freed.notify()

    async def _answer(self, stream, codec, request_id: bytes) -> bool:
        if self.endless is not None:
            await self._send_endless(stream, self.endless, request_id)
        if self.fault is Fault.RESET:
            return False
        if self.fault is Fault.CROSSED:
            request_id = b'of-another'
        headers = [
            (b'request-id', request_id),
            (b'response-signature', b'signed-' + request_id),
            *self._rate_headers(is_answer=True),
        ]
        body = b'answer to ' + request_id
        if self.is_failing:
            await self._send(stream, codec, 500, headers[:2], body)
            return True
        if self.fault is Fault.CUT:
            framing = [(b'content-length', b'1000')]
            response = h11.Response(status_code=200, headers=headers + framing)
            await stream.send_all(codec.send(response) + body)
            return False
        await self._send(stream, codec, 200, headers, body)
        if self.fault is Fault.EXTRA:
            await stream.send_all(b'HTTP/1.1 200 OK\r\nrequest-id: x\r\n\r\n')
        return not self.is_unframed

    async def _send_endless(
        self, stream, endless: Endless, request_id: bytes
    ) -> NoReturn:
        try:
            await stream.send_all(endless.head.replace(b'ID', request_id))
            while True:
                await stream.send_all(endless.part * endless.repeats)
                await trio.sleep(endless.pause)
        except trio.BrokenResourceError:
            self.endless_closed += 1
            raise

    def _rate_headers(self, *, is_answer: bool) -> list[tuple[bytes, bytes]]:
        if self.advertised_rate is None or not (
            is_answer or self.is_rate_in_all_answers
        ):
            return []
        return [(b'server-limit', self.advertised_rate)]

    async def _send(self, stream, codec, status: int, headers, body: bytes) -> None:
        load = f'{self.running},{self.waiting},{self.slots},{self.percent}'
        headers = [*headers, (b'server-load', load.encode())]
        headers.append((b'instance-id', self.server_id.encode()))
        if self.is_leaving:
            headers.append((b'server-leaving', b'1'))
        if self.is_unframed and body:
            headers.append((b'connection', b'close'))
        else:
            headers.append((b'content-length', b'%d' % len(body)))
        response = h11.Response(status_code=status, headers=headers)
        if self.is_unframed and body:
            # For an HTTP/1.1 caller, the codec would send the body in chunks.
            codec.their_http_version = b'1.0'
        events = (response, h11.Data(data=body), h11.EndOfMessage())
        await stream.send_all(b''.join(codec.send(event) or b'' for event in events))

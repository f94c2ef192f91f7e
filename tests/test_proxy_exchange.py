"""Tests of faulty answers, lost callers, connection limits and bodies in transit."""

import unittest
from contextlib import asynccontextmanager
from unittest import mock

import h11
import trio
from attrs import define

from catkinslip.clock import Clock, SystemClock
from catkinslip.models import Address
from catkinslip.proxy import exchange, pool
from catkinslip.proxy.outcomes import Answered, Reason
from catkinslip.proxy.pool import BackendConnections, BackendPool
from standins.raw import CLOSE, WAIT, RawAnswer, RawBackend, ok
from tests.builders import OneBackendForwarder, caller_server

GENEROUS_SECONDS = 20
GET = b'GET /a HTTP/1.1\r\nHost: limits\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: limits\r\nContent-Length: 2\r\n\r\nhi'
LARGE = bytes(1 << 20)


@define
class ManualClock(Clock):
    """A clock that only advances when a test sets it."""

    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


@define
class RunningProxy:
    """A caller server that forwards to one raw backend server."""

    backend: RawBackend
    forwarder: OneBackendForwarder
    port: int

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream('127.0.0.1', self.port)

    async def send(self, *requests: bytes) -> list:
        """Send requests one by one on one connection and return the answers."""
        stream = await self.connect()
        answers = []
        for request in requests:
            await stream.send_all(request)
            answers.append(await receive_answer(stream, request))
        await stream.aclose()
        return answers


@asynccontextmanager
async def running(backend: RawBackend, clock: Clock | None = None, **limits):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        address = Address('127.0.0.1', port)
        forwarder = OneBackendForwarder(address, BackendPool(), clock or SystemClock())
        server = caller_server(forwarder, **limits)
        nursery.start_soon(server.watch.run)
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        with trio.fail_after(GENEROUS_SECONDS):
            yield RunningProxy(backend, forwarder, listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def receive_answer(stream, request: bytes) -> tuple[int, dict, bytes]:
    """Return status, headers and body; raise RemoteProtocolError if incomplete."""
    codec = h11.Connection(h11.CLIENT)
    method = request.split(b' ')[0]
    codec.send(h11.Request(method=method, target='/', headers=[('host', 'a')]))
    codec.send(h11.EndOfMessage())
    response, body = None, b''
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            codec.receive_data(await stream.receive_some())
        elif type(event) is h11.Response:
            response = event
        elif type(event) is h11.Data:
            body += event.data
        elif type(event) is h11.EndOfMessage:
            return response.status_code, dict(response.headers), body
        elif type(event) is h11.ConnectionClosed:
            raise h11.RemoteProtocolError('closed before an answer')


def run(test):
    """Return a test method that runs an async test with trio."""

    def test_method(self):
        trio.run(test, self)

    test_method.__name__ = test.__name__
    return test_method


class FaultyAnswerTest(unittest.TestCase):
    """Outcomes that callers receive when a backend server answers incorrectly."""

    @run
    async def test_a_body_cut_short_is_never_whole_to_the_caller(self):
        for head in (b'Content-Length: 10', b'Transfer-Encoding: chunked'):
            data = b'HTTP/1.1 200 OK\r\n' + head + b'\r\n\r\n5\r\nabc'
            backend = RawBackend([RawAnswer(data, closes=True)])
            for version in (b'HTTP/1.1', b'HTTP/1.0'):
                backend.answers = [RawAnswer(data, closes=True)]
                async with running(backend) as proxy:
                    with self.assertRaises(
                        (h11.RemoteProtocolError, trio.BrokenResourceError)
                    ):
                        await proxy.send(GET.replace(b'HTTP/1.1', version))

    @run
    async def test_an_answer_without_a_defined_end_is_unknown(self):
        for head in (b'', b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n'):
            data = b'HTTP/1.1 200 OK\r\n' + head + b'\r\nok'
            async with running(RawBackend([RawAnswer(data, closes=True)])) as proxy:
                ((status, headers, _),) = await proxy.send(GET)
                self.assertEqual(status, 502)
                self.assertEqual(headers[b'catkinslip-outcome'], b'unknown')

    @run
    async def test_surplus_bytes_end_the_connection(self):
        surplus = RawAnswer(ok(b'one').data + ok(b'evil').data)
        async with running(RawBackend([surplus, ok(b'two')])) as proxy:
            answers = await proxy.send(GET, GET)
            self.assertEqual([body for _, _, body in answers], [b'one', b'two'])
            self.assertEqual(proxy.backend.connections, 2)

    @run
    async def test_an_answer_to_another_request_is_not_passed_on(self):
        refusal = (
            b'HTTP/1.1 503 No\r\nCatkinslip-Outcome: not-run\r\n'
            b'Catkinslip-Request-Id: other\r\nContent-Length: 0\r\n\r\n'
        )
        crossed = ok(headers=b'Catkinslip-Request-Id: other\r\n')
        for answer in (crossed, RawAnswer(refusal)):
            async with running(RawBackend([answer])) as proxy:
                (status, headers, body), after = await proxy.send(GET, GET)
                self.assertEqual((status, after[2]), (502, b'ok'))
                self.assertEqual(headers[b'catkinslip-outcome'], b'unknown')
                self.assertIn(b'urn:catkinslip:problem:crossed', body)
                self.assertEqual(proxy.backend.connections, 2)

    @run
    async def test_a_connection_closed_under_a_request_is_retried_if_repeatable(self):
        async with running(RawBackend([ok(), CLOSE, ok(b'two')])) as proxy:
            answers = await proxy.send(GET, GET)
            self.assertEqual(answers[1][2], b'two')
        async with running(RawBackend([ok(), CLOSE])) as proxy:
            (_, _), (status, headers) = [
                each[:2] for each in await proxy.send(POST, POST)
            ]
            self.assertEqual(
                (status, headers[b'catkinslip-outcome']), (502, b'unknown')
            )
            self.assertEqual(len(proxy.backend.heads), 2)

    @run
    async def test_a_non_repeatable_request_avoids_a_connection_long_idle(self):
        for recent_seconds, connections in ((0.0, 2), (GENEROUS_SECONDS, 1)):
            with mock.patch.object(exchange, 'RECENT_SECONDS', recent_seconds):
                async with running(RawBackend()) as proxy:
                    await proxy.send(POST, POST)
                    self.assertEqual(proxy.backend.connections, connections)

    @run
    async def test_a_refused_connection_is_not_run(self):
        async with running(RawBackend()) as proxy:
            proxy.forwarder.address = Address('127.0.0.1', 1)
            ((status, headers, _),) = await proxy.send(POST)
            self.assertEqual(
                (status, headers[b'catkinslip-outcome']), (503, b'not-run')
            )
            self.assertIn(b'retry-after', headers)

    @run
    async def test_a_pause_before_the_first_byte_is_not_run(self):
        clock = ManualClock()

        async def acquire_slowly(self, address, max_idle_seconds):
            clock.now += 60
            return await pool.connect(address)

        with mock.patch.object(BackendPool, 'acquire', acquire_slowly):
            async with running(RawBackend(), clock) as proxy:
                ((status, headers, _),) = await proxy.send(POST)
                self.assertEqual(status, 504)
                self.assertEqual(headers[b'catkinslip-outcome'], b'not-run')
                self.assertEqual(proxy.backend.heads, [])


class CallerWatchTest(unittest.TestCase):
    """Callers that disconnect, idle connections and calls that wait for one."""

    @run
    async def test_a_caller_that_leaves_ends_its_request_upstream(self):
        async with running(RawBackend([WAIT])) as proxy:
            stream = await proxy.connect()
            await stream.send_all(GET + GET)
            await proxy.backend.request_received.wait()
            await stream.aclose()
            await proxy.backend.disconnected.wait()
            self.assertEqual((await proxy.send(GET))[0][2], b'ok')
            self.assertEqual(proxy.backend.connections, 2)

    @run
    async def test_connections_that_idled_long_are_trimmed(self):
        for idle_seconds in (0.0, GENEROUS_SECONDS):
            async with running(RawBackend()) as proxy:
                await proxy.send(GET)
                with mock.patch.object(pool, 'MAX_IDLE_SECONDS', idle_seconds):
                    await proxy.forwarder.pool.trim()
                (connections,) = proxy.forwarder.pool.connections_by_address.values()
                self.assertEqual(len(connections.idle), int(idle_seconds > 0))

    @run
    async def test_calls_beyond_the_limit_wait_in_order(self):
        backend = RawBackend([WAIT])
        async with running(backend) as proxy:
            address = proxy.forwarder.address
            proxy.forwarder.pool.connections_by_address[address] = BackendConnections(1)
            waiters = proxy.forwarder.pool.connections_by_address[address].waiters
            async with trio.open_nursery() as nursery:
                nursery.start_soon(proxy.send, GET)
                await backend.request_received.wait()
                for number in (1, 2):
                    path = b'/%d' % number
                    nursery.start_soon(proxy.send, GET.replace(b'/a', path))
                    while len(waiters) < number:
                        await trio.sleep(0)
                with mock.patch.object(pool, 'MAX_WAITING', 2):
                    ((status, _, body),) = await proxy.send(GET)
                self.assertEqual(status, 503)
                self.assertIn(b'connection-limit', body)
                backend.resumed.set()
            paths = [head.split(b' ')[1] for head in backend.heads]
            self.assertEqual(paths, [b'/a', b'/1', b'/2'])
            self.assertEqual(backend.connections, 1)


class BodyTest(unittest.TestCase):
    """Bodies and headers that are passed on in both directions."""

    @run
    async def test_large_bodies_are_streamed_both_ways(self):
        size = b'%d' % len(LARGE)
        head = b'POST /a HTTP/1.1\r\nHost: limits\r\n'
        plain = head + b'Content-Length: ' + size + b'\r\n\r\n' + LARGE
        chunk = b'%x\r\n' % len(LARGE) + LARGE + b'\r\n0\r\n\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
        async with running(RawBackend([ok(LARGE), ok(LARGE)])) as proxy:
            answers = await proxy.send(plain, chunked)
            self.assertEqual([len(body) for _, _, body in answers], [len(LARGE)] * 2)
            self.assertEqual(proxy.backend.bodies[0], LARGE)
            self.assertGreater(len(proxy.backend.bodies[1]), len(LARGE))
            self.assertIn(b'transfer-encoding: chunked', proxy.backend.heads[1])

    @run
    async def test_an_early_answer_reaches_a_caller_that_still_sends(self):
        early = RawAnswer(
            b'HTTP/1.1 413 Large\r\nContent-Length: 3\r\n\r\nbig', closes=True
        )
        request = (
            b'POST /a HTTP/1.1\r\nHost: limits\r\nContent-Length: 10000000\r\n\r\n'
        )
        async with running(RawBackend([early])) as proxy:
            ((status, headers, body),) = await proxy.send(request + LARGE)
            self.assertEqual((status, body), (413, b'big'))
            self.assertEqual(headers[b'connection'], b'close')

    @run
    async def test_a_cut_upload_never_reaches_the_backend_as_whole(self):
        for framing in (b'Content-Length: 200000', b'Transfer-Encoding: chunked'):
            request = b'POST /a HTTP/1.1\r\nHost: limits\r\n' + framing + b'\r\n\r\n'
            request += b'30000\r\n' + bytes(100_000)
            async with running(RawBackend()) as proxy:
                stream = await proxy.connect()
                await stream.send_all(request)
                await proxy.backend.request_received.wait()
                await stream.aclose()
                await proxy.backend.disconnected.wait()
                self.assertEqual(proxy.backend.bodies, [])

    @run
    async def test_a_streamed_body_over_the_limit_is_stopped(self):
        chunk = b'%x\r\n' % len(LARGE) + LARGE + b'\r\n'
        request = POST.replace(b'Content-Length: 2', b'Transfer-Encoding: chunked')
        request = request[:-2] + chunk + chunk + b'0\r\n\r\n'
        async with running(RawBackend(), max_body_bytes=len(LARGE)) as proxy:
            ((status, headers, body),) = await proxy.send(request)
            self.assertEqual(status, 413)
            self.assertEqual(headers[b'catkinslip-outcome'], b'unknown')
            self.assertIn(b'body-too-large', body)
            self.assertEqual(proxy.backend.bodies, [])

    @run
    async def test_answers_without_a_body_keep_the_connection(self):
        heads = (b'HTTP/1.1 204 None', b'HTTP/1.1 304 Same', b'HTTP/1.1 200 OK')
        answers = [RawAnswer(head + b'\r\n\r\n') for head in heads]
        head_request = GET.replace(b'GET', b'HEAD')
        async with running(RawBackend(answers)) as proxy:
            received = await proxy.send(GET, GET, head_request, GET)
            self.assertEqual([each[0] for each in received], [204, 304, 200, 200])
            self.assertEqual(proxy.backend.connections, 1)

    @run
    async def test_headers_of_the_call_are_set_anew(self):
        request = GET[:-2] + (
            b'Connection: x-hop\r\nX-Hop: 1\r\nTraceparent: 00-a\r\n'
            b'X-Forwarded-For: 10.0.0.1\r\nCatkinslip-Timeout: 5\r\n'
            b'Catkinslip-Attempt: 2\r\nCatkinslip-Request-Id: id-1\r\n\r\n'
        )
        async with running(RawBackend()) as proxy:
            ((_, headers, _),) = await proxy.send(request)
            head = proxy.backend.heads[0].lower()
            self.assertNotIn(b'x-hop', head)
            self.assertNotIn(b'catkinslip-timeout', head)
            for line in (
                b'host: limits',
                b'traceparent: 00-a',
                b'x-forwarded-for: 10.0.0.1, 127.0.0.1',
                b'catkinslip-attempt: 2',
                b'catkinslip-request-id: id-1',
                b'via: 1.1 catkinslip',
            ):
                self.assertIn(line, head)
            self.assertEqual(headers[b'catkinslip-request-id'], b'id-1')
            self.assertIsInstance(proxy.forwarder.outcomes[0], Answered)

    @run
    async def test_pipelined_requests_are_answered_in_order(self):
        answers = [ok(b'%d' % n) for n in range(5)]
        async with running(RawBackend(answers)) as proxy:
            stream = await proxy.connect()
            await stream.send_all(GET * 4 + GET[:-2] + b'Connection: close\r\n\r\n')
            data = b''
            async for part in stream:
                data += part
            bodies = [each.rpartition(b'\r\n')[2] for each in data.split(b'HTTP/1.1')]
            self.assertEqual(bodies[1:], [b'%d' % n for n in range(5)])


class ReasonTest(unittest.TestCase):
    """The identifiers of the reasons for refusals."""

    def test_each_not_run_refusal_has_a_type_of_its_own(self):
        slugs = [reason.slug for reason in Reason]
        self.assertEqual(len(set(slugs)), len(slugs))

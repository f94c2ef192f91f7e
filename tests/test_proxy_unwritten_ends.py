"""Tests of connections on which the last bytes of a message were not written."""

import unittest
from contextlib import asynccontextmanager

import h11
import trio

from catkinslip.clock import SystemClock
from catkinslip.models import Address
from catkinslip.proxy.caller_answers import is_reusable
from catkinslip.proxy.draining import CallerDrain
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import Wire, client_wire, server_wire
from catkinslip.tickets.replay import RecordingWire
from tests.builders import OneBackendForwarder, caller_server
from tests.stalled_streams import StalledStream

GENEROUS_SECONDS = 20.0
ADDRESS = Address('127.0.0.1', 1)
#: Longer than what is read before a request is sent on.
BODY = b'a' * 150_000 + b'Z'
HEAD = b'POST /a HTTP/1.1\r\nHost: limits\r\n'
CHUNK = b'%x\r\n' % len(BODY) + BODY + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNK
WITH_LENGTH = HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY
CHUNKS_END = b'0\r\n\r\n'
DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
REFUSED = (
    b'HTTP/1.1 503 Full\r\nCatkinslip-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno'
)


@asynccontextmanager
async def upload_to(stream: StalledStream, request: bytes):
    """Send an upload to a server behind a stream; yield the pool and the caller."""

    async def connect(address: Address, uses_keepalive: bool) -> Wire:
        return client_wire(stream)

    pool = BackendPool(connect=connect)
    forwarder = OneBackendForwarder(ADDRESS, pool, SystemClock())
    server = caller_server(forwarder)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.watch.run)
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        caller = await trio.open_tcp_stream('127.0.0.1', port)
        with trio.fail_after(GENEROUS_SECONDS):
            await caller.send_all(request)
            yield pool, caller
        nursery.cancel_scope.cancel()


async def check_closed(
    case: unittest.TestCase, stream: StalledStream, request: bytes, status: bytes
) -> None:
    """Check that the connection of an upload that is answered early is closed."""
    async with upload_to(stream, request) as (pool, caller):
        answer = await caller.receive_some()
        case.assertIn(status, answer.partition(b'\r\n')[0])
        await stream.closed.wait()
        case.assertEqual(pool.connections_by_address[ADDRESS].idle, [])
        left = len(stream.offered) - len(stream.written)
        case.assertEqual(left, stream.unwritten)
        case.assertTrue(stream.offered.startswith(stream.written))


class UnwrittenBodyEndTest(unittest.TestCase):
    """An early answer to an upload of which the last bytes are not written."""

    def check(self, end: bytes, unwritten: int, request: bytes) -> None:
        for answer, status in ((DONE, b'200'), (REFUSED, b'503')):
            with self.subTest(end=end, unwritten=unwritten, answer=answer):
                stream = StalledStream(end, unwritten, answer)
                trio.run(check_closed, self, stream, request, status)

    def test_no_request_takes_the_place_of_an_unwritten_end_of_chunks(self):
        # The next request was written where the end of the body was due.
        for unwritten in range(1, len(CHUNKS_END) + 1):
            self.check(CHUNKS_END, unwritten, CHUNKED + CHUNKS_END)

    def test_no_request_takes_the_place_of_an_unwritten_end_of_a_chunk(self):
        # The same, earlier in the body.
        for unwritten in (1, 2, 3):
            self.check(b'Z\r\n', unwritten, CHUNKED + CHUNKS_END)

    def test_no_request_takes_the_place_of_an_unwritten_last_byte(self):
        # The end of a body with a length has no bytes of its own.
        self.check(b'Z', 1, WITH_LENGTH)

    def test_head_that_is_not_written_whole_leaves_no_connection(self):
        # A caller leaves while the head of its upload is being written.
        async def check():
            stream = StalledStream(b'\r\n\r\n', 1, DONE)
            async with upload_to(stream, WITH_LENGTH) as (pool, caller):
                await stream.stalled.wait()
                await caller.aclose()
                await stream.closed.wait()
                self.assertEqual(pool.connections_by_address[ADDRESS].idle, [])

        trio.run(check)


class UnwrittenAnswerTest(unittest.TestCase):
    """An answer to a caller of which the last bytes are not written."""

    def test_no_answer_is_written_behind_a_part_of_another(self):
        # An answer whose write was cancelled counted as sent.
        async def check():
            stream = StalledStream(b'ok', 1)
            wire = server_wire(stream)
            wire.codec.receive_data(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            self.assertIs(type(wire.codec.next_event()), h11.Request)
            self.assertIs(type(wire.codec.next_event()), h11.EndOfMessage)
            response = h11.Response(status_code=200, headers=[('content-length', '2')])
            events = [response, h11.Data(data=b'ok'), h11.EndOfMessage()]
            with trio.move_on_after(0):
                await wire.send(*events)
            self.assertFalse(is_reusable(wire))
            wire.start_next_cycle()
            wire.codec.receive_data(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            wire.codec.next_event()
            with self.assertRaises(trio.BrokenResourceError):
                await wire.send(*events)
            self.assertTrue(stream.written.endswith(b'o'))

        trio.run(check)

    def test_two_writers_do_not_mix_their_bytes(self):
        # The interim response to an upload may wait while the answer is written.
        async def check():
            stream = StalledStream(b'\r\n\r\n', 1)
            wire = server_wire(stream)
            head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n'
            wire.codec.receive_data(head + b'Expect: 100-continue\r\n\r\n')
            wire.codec.next_event()
            response = h11.Response(status_code=413, headers=[('content-length', '0')])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.receive)
                await stream.stalled.wait()
                with self.assertRaises(trio.BrokenResourceError):
                    await wire.send(response, h11.EndOfMessage())
                nursery.cancel_scope.cancel()

        trio.run(check)

    def test_answer_to_a_keyed_request_counts_on_the_callers_connection(self):
        # The part that keeps such answers wrote past the connection: what was unwritten
        # stayed unknown there, and a connection that drains was not said to close.
        async def check():
            stream = StalledStream(b'ok', 1)
            drain = CallerDrain()
            caller = drain.open(stream)
            drain.start_closing()
            caller.codec.receive_data(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            caller.codec.next_event()
            caller.codec.next_event()
            recorder = RecordingWire(stream, caller.codec, caller=caller)
            response = h11.Response(status_code=200, headers=[('content-length', '2')])
            with trio.move_on_after(0):
                await recorder.send(response, h11.Data(data=b'ok'), h11.EndOfMessage())
            self.assertTrue(caller.has_unwritten)
            self.assertIn(b'connection: close', stream.written.lower())

        trio.run(check)

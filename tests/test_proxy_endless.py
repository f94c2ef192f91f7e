"""Tests of bytes without end, from servers and from callers."""

import unittest

import trio

from catkinslip.pages import PageServer
from catkinslip.proxy.head_reader import HeadReader
from catkinslip.proxy.outcomes import Reason
from catkinslip.proxy.wire import MAX_EVENTS_IN_TURN, MAX_INTERIM_ANSWERS
from tests.endless_builders import (
    BLOCK_BYTES,
    CHUNKED,
    GET,
    INTERIM,
    ONE_BYTE_CHUNK,
    REFUSAL,
    UPLOAD,
    EndlessServer,
    ParseCount,
    count_parsing,
    proxy_of,
    upload_proxy,
)

CONNECTIONS = 8
#: Events after which all connections have used their first turns.
WARM_EVENTS = 20_000

#: Bytes that the buffers of both ends of a connection may take, besides those read.
SOCKET_BUFFER_BYTES = 16 << 20


def run(check):
    """Return a test method that runs an async one."""

    def test(self):
        trio.run(check, self)

    test.__doc__ = check.__doc__
    return test


class EndlessInterimAnswersTest(unittest.TestCase):
    """A server sends interim answers, and no final one."""

    # Guards against a loop that is held, or a request that waits until its deadline,
    # while interim answers come.

    @run
    async def test_endless_interim_answers_end_the_exchange(self):
        await self.check(EndlessServer(b'', INTERIM))

    @run
    async def test_slow_endless_interim_answers_end_the_exchange(self):
        await self.check(EndlessServer(b'', INTERIM, pause=0.02))

    async def check(self, endless: EndlessServer) -> None:
        async with proxy_of(endless) as proxy:
            with count_parsing() as count:
                answer = await proxy.ask()
                await endless.closed.wait()
            self.assertIn(b' 502 ', answer)
            self.assertEqual(proxy.forwarder.outcomes[0].reason, Reason.BROKEN)
            self.assertLess(count.max_step, 2 * MAX_INTERIM_ANSWERS)
            self.assertLess(endless.sent_bytes, SOCKET_BUFFER_BYTES + BLOCK_BYTES)

    @run
    async def test_some_interim_answers_are_passed_over(self):
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        endless = EndlessServer(INTERIM * MAX_INTERIM_ANSWERS + answer, b'')
        async with proxy_of(endless) as proxy:
            self.assertIn(b' 200 ', await proxy.ask())


class SmallChunksTest(unittest.TestCase):
    """A body comes in chunks of one byte each, without end."""

    # Guards against a loop that is held while a read of small chunks is parsed.

    @run
    async def test_endless_small_chunks_of_servers_leave_turns_to_other_tasks(self):
        async with proxy_of(EndlessServer(CHUNKED, ONE_BYTE_CHUNK)) as proxy:
            with count_parsing() as count:
                async with trio.open_nursery() as nursery:
                    for _ in range(CONNECTIONS):
                        nursery.start_soon(read_for_ever, await proxy.connect(), GET)
                    await count.wait_for(WARM_EVENTS)
                    count.max_batch = 0
                    await count.wait_for(2 * WARM_EVENTS)
                    nursery.cancel_scope.cancel()
            self.check(count)

    @run
    async def test_endless_small_chunks_of_callers_leave_turns_to_other_tasks(self):
        async with upload_proxy() as proxy:
            with count_parsing() as count:
                async with trio.open_nursery() as nursery:
                    for _ in range(CONNECTIONS):
                        nursery.start_soon(send_for_ever, await proxy.connect())
                    await count.wait_for(WARM_EVENTS)
                    count.max_batch = 0
                    await count.wait_for(2 * WARM_EVENTS)
                    nursery.cancel_scope.cancel()
            self.check(count)

    @run
    async def test_endless_refusal_in_small_chunks_leaves_turns_to_other_tasks(self):
        endless = EndlessServer(REFUSAL, ONE_BYTE_CHUNK)
        async with proxy_of(endless) as proxy:
            with count_parsing() as count:
                self.assertIn(b' 503 ', await proxy.ask())
                await endless.closed.wait()
            self.assertLessEqual(count.max_step, 2 * MAX_EVENTS_IN_TURN)

    def check(self, count: ParseCount) -> None:
        """Check that one connection at a time goes on, and not for long."""
        self.assertLessEqual(count.max_step, 2 * MAX_EVENTS_IN_TURN)
        self.assertLessEqual(count.max_batch, 2 * MAX_EVENTS_IN_TURN)


async def read_for_ever(stream: trio.SocketStream, request: bytes) -> None:
    """Send a request and read the answer as fast as it comes."""
    async with stream:
        await stream.send_all(request)
        while await stream.receive_some():
            pass


async def send_for_ever(
    stream: trio.SocketStream, first: bytes = UPLOAD, more: bytes = ONE_BYTE_CHUNK
) -> None:
    """Send bytes, by default a body in chunks of one byte, as fast as they are read."""
    async with stream:
        await stream.send_all(first)
        while True:
            await stream.send_all(more * 1000)


class DiscardedAnswersTest(unittest.TestCase):
    """A message that nobody needs is discarded, so that its connection may be kept."""

    # Guards against a request that the server refused at once, and which waits for the
    # end of the refusal until its deadline.

    @run
    async def test_slow_endless_refusal_does_not_hold_its_request(self):
        endless = EndlessServer(REFUSAL, ONE_BYTE_CHUNK, pause=1.0)
        async with proxy_of(endless) as proxy:
            self.assertIn(b' 503 ', await proxy.ask())
            self.assertEqual(proxy.forwarder.outcomes[0].reason, Reason.SHED)
            await endless.closed.wait()

    @run
    async def test_endless_body_of_a_page_request_is_not_read(self):
        # Guards against a caller of a small page that sends a body without end.
        server = PageServer({}, HeadReader(15.0, 3.0))
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
            port = listeners[0].socket.getsockname()[1]
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            with trio.fail_after(20.0), self.assertRaises(trio.BrokenResourceError):
                await send_for_ever(stream)
            nursery.cancel_scope.cancel()


class EndlessCallersTest(unittest.TestCase):
    """A caller sends bytes without end in place of a request or behind one."""

    # Guards against callers whose bytes are read for as long as they come.

    @run
    async def test_endless_bytes_of_callers_end_their_connections(self):
        parts = {
            'lines of a head': (b'GET /a HTTP/1.1\r\n', b'a: b\r\n'),
            'one line': (b'GET /', b'a' * 1000),
            'zeros': (b'', bytes(1000)),
            'one chunk line': (UPLOAD, b'0' * 1000),
            'trailers': (UPLOAD + b'0\r\n', b'a: b\r\n'),
        }
        for name, (first, more) in parts.items():
            with self.subTest(name=name):
                async with upload_proxy() as proxy:
                    with self.assertRaises(trio.BrokenResourceError):
                        await send_for_ever(await proxy.connect(), first, more)

    @run
    async def test_endless_bytes_behind_a_request_wait_in_the_socket(self):
        for requests in (1, 8):
            async with upload_proxy(max_pipelined_requests=requests) as proxy:
                stream = await proxy.connect()
                sent = 0
                with trio.move_on_after(1.0):
                    await stream.send_all(GET)
                    while True:
                        await stream.send_all(bytes(10_000))
                        sent += 10_000
                held = proxy.server.pipelines.instance.held
                self.assertLessEqual(held, proxy.server.limits.max_pipelined_bytes)
                self.assertLess(sent, SOCKET_BUFFER_BYTES)
                await stream.aclose()

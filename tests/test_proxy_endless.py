"""Tests of bytes without end, from servers and from callers."""

import unittest

import trio

from catkinslip.proxy.outcomes import Reason
from catkinslip.proxy.wire import MAX_INTERIM_ANSWERS
from tests.endless_builders import (
    BLOCK_BYTES,
    INTERIM,
    EndlessServer,
    count_parsing,
    proxy_of,
)

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

"""Tests of the HTTP client of the object store with answers without end."""

import unittest
from unittest import mock

import httpx
import trio
from returns.result import Failure

from catkinslip.store import http
from catkinslip.store.base import AnswerLost, ObjectKey
from catkinslip.store.http import HttpStore
from tests.endless_builders import CHUNKED, EndlessServer

KEY = ObjectKey('kind', 'name')


class EndlessAnswerTest(unittest.TestCase):
    """The store sends an answer without end."""

    # Guards against a call that never ends, as each part comes in time, or whose answer
    # takes all memory.

    def test_slow_endless_answer_ends_the_call(self):
        self.check(EndlessServer(CHUNKED, b'1\r\nx\r\n', pause=0.05), timeout=0.3)

    def test_fast_endless_answer_ends_the_call(self):
        part = b'fa00\r\n' + bytes(64_000) + b'\r\n'
        with mock.patch.object(http, 'MAX_ANSWER_BYTES', 1 << 20):
            self.check(EndlessServer(CHUNKED, part), timeout=600.0)

    def check(self, endless: EndlessServer, timeout: float) -> None:
        """Check that a read of an object ends without an answer."""

        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, endless.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                url = f'http://127.0.0.1:{port}'
                with trio.fail_after(20.0):
                    async with httpx.AsyncClient(base_url=url) as client:
                        result = await HttpStore(client, timeout).read(KEY)
                    await endless.closed.wait()
                nursery.cancel_scope.cancel()
            return result

        result = trio.run(run)
        self.assertIsInstance(result, Failure)
        self.assertIsInstance(result.failure(), AnswerLost)


if __name__ == '__main__':
    unittest.main()

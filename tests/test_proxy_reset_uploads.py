"""Tests of answers without a length whose connection is reset under an upload."""

import unittest
from collections.abc import Awaitable, Callable

import httpx
import trio
from returns.result import Failure

from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.proxy.outcomes import Answered, Outcome, Reason, Unknown
from catkinslip.store.base import AnswerLost, ObjectKey
from catkinslip.store.http import HttpStore
from tests.broken_answer_builders import (
    PART_BYTES,
    UNFRAMED,
    EarlyServer,
    End,
    is_complete,
    relaying_proxy,
    upload_proxy,
    write_fails_first,
)

FAILURE = UNFRAMED.replace(b'200 OK', b'500 Broken')
CHUNKED = UNFRAMED[:-2] + b'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'
SIZED = UNFRAMED[:-2] + b'Content-Length: 9\r\n\r\npart'
SECONDS = 20.0
#: More than the buffers of a connection hold.
LARGE_BODY_BYTES = 32 << 20
KEY = ObjectKey('kind', 'name')


def play(server: EarlyServer, run_proxy=upload_proxy) -> tuple[bytes, Outcome]:
    """Return the answer to an upload and the outcome, where a write fails first."""

    async def run() -> tuple[bytes, Outcome]:
        with write_fails_first(server):
            async with run_proxy(server) as proxy:
                answer = await proxy.upload()
                return answer, proxy.forwarder.outcomes[0]

    return trio.run(run)


class ResetUnderUploadTest(unittest.TestCase):
    """A write to the server takes the reset; the next read sees an end of stream."""

    # Guards against a part of a body that callers receive as a complete answer.

    def check_cut(self, answer: bytes) -> None:
        """Check that the caller's answer is cut and counts as broken."""
        received, outcome = play(EarlyServer(answer))
        self.assertFalse(is_complete(received), received[-40:])
        self.assertIsInstance(outcome, Unknown)
        self.assertIs(outcome.reason, Reason.BROKEN)

    def test_part_of_a_body_looked_complete(self):
        self.check_cut(UNFRAMED + b'part')

    def test_head_without_any_body_looked_complete(self):
        self.check_cut(UNFRAMED)

    def test_large_part_of_a_body_looked_complete(self):
        self.check_cut(UNFRAMED + bytes(5 * PART_BYTES))

    def test_part_of_a_failure_looked_complete(self):
        self.check_cut(FAILURE + b'part')

    def test_answers_that_are_framed_are_cut(self):
        for answer in (CHUNKED, SIZED):
            with self.subTest(answer):
                self.check_cut(answer)

    def test_answer_whose_server_ended_its_stream_first_is_whole(self):
        received, outcome = play(EarlyServer(UNFRAMED + b'all of it', End.SHUT_DOWN))
        self.assertTrue(received.endswith(b'9\r\nall of it\r\n0\r\n\r\n'), received)
        self.assertIsInstance(outcome, Answered)

    def test_part_of_a_relayed_answer_looked_complete(self):
        received, outcome = play(EarlyServer(UNFRAMED + b'part'), relaying_proxy)
        self.assertFalse(is_complete(received), received[-40:])
        self.assertIsInstance(outcome, Unknown)
        self.assertIs(outcome.reason, Reason.BROKEN)


class ResetUnderOwnCallTest(unittest.TestCase):
    """The store, or a peer, resets a call of an instance whose body is being sent."""

    # Guards against a part of an answer that is taken for the whole.

    def test_part_of_an_answer_to_a_page_client_is_no_answer(self):
        async def send(address: Address) -> object:
            body = bytes(LARGE_BODY_BYTES)
            return await PageClient().send(address, '/', SECONDS, 'PUT', body)

        server = EarlyServer(b'HTTP/1.1 200 OK\r\n\r\n')
        self.assertIsInstance(trio.run(call_server, server, send), Unknown)

    def test_part_of_an_answer_to_the_store_client_is_no_answer(self):
        async def send(address: Address) -> object:
            url = f'http://{address}'
            async with httpx.AsyncClient(base_url=url) as client:
                store = HttpStore(client, SECONDS)
                return await store.write(KEY, 'x' * LARGE_BODY_BYTES, 0)

        server = EarlyServer(b'HTTP/1.1 200 OK\r\n\r\n{"version": 1')
        result = trio.run(call_server, server, send)
        self.assertIsInstance(result, Failure)
        self.assertIsInstance(result.failure(), AnswerLost)


async def call_server(
    server: EarlyServer, send: Callable[[Address], Awaitable[object]]
) -> object:
    """Return the result of a call to a server."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(SECONDS):
            result = await send(Address('127.0.0.1', port))
        nursery.cancel_scope.cancel()
    return result


if __name__ == '__main__':
    unittest.main()

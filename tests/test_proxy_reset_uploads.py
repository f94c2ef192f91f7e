"""Tests of answers without a length whose connection is reset under an upload."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import httpx
import trio
from returns.result import Failure

from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.proxy import whole_answers
from catkinslip.proxy.outcomes import Answered, Outcome, Reason, Unknown
from catkinslip.proxy.whole_answers import MAX_WHOLE_ANSWER_BYTES
from catkinslip.store.base import AnswerLost, ObjectKey
from catkinslip.store.http import HttpStore
from tests.broken_answer_builders import (
    PART_BYTES,
    SIZED_PARTS,
    UNFRAMED,
    EarlyServer,
    End,
    is_complete,
    relaying_proxy,
    sized_upload,
    upload_proxy,
    write_fails_first,
)

FAILURE = UNFRAMED.replace(b'200 OK', b'500 Broken')
CHUNKED = UNFRAMED[:-2] + b'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'
SIZED = UNFRAMED[:-2] + b'Content-Length: 9\r\n\r\npart'
LAST_CHUNK = b'0\r\n\r\n'
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


class OldCallerTest(unittest.TestCase):
    """A caller of HTTP/1.0 uploads while its answer, without a length, breaks off."""

    # Guards against a break that the caller's write takes, so that its read sees the
    # end of the connection, which is the end of such an answer.

    def upload(self, server: EarlyServer, parts: int = SIZED_PARTS) -> bytes:
        """Return the answer to an upload with a length."""

        async def run() -> bytes:
            async with upload_proxy(server) as proxy:
                head = sized_upload(parts)
                return await proxy.upload(head, bytes(PART_BYTES), parts)

        return trio.run(run)

    def test_part_of_an_answer_reached_an_uploading_caller(self):
        for answer in (UNFRAMED, UNFRAMED + b'part', FAILURE + b'part', CHUNKED):
            with self.subTest(answer):
                received = self.upload(EarlyServer(answer))
                self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received)

    def test_answer_that_is_whole_gets_its_length(self):
        answers = (UNFRAMED + b'whole', CHUNKED.replace(b'part', b'whol') + LAST_CHUNK)
        for answer in answers:
            with self.subTest(answer):
                received = self.upload(EarlyServer(answer, End.SHUT_DOWN))
                head, _, body = received.partition(b'\r\n\r\n')
                self.assertIn(b'content-length: %d' % len(body), head.lower())
                self.assertTrue(body.startswith(b'whol'), body)

    def test_answer_that_cannot_be_held_is_not_sent(self):
        body = bytes(2 * MAX_WHOLE_ANSWER_BYTES)
        server = EarlyServer(UNFRAMED + body, End.NONE)
        received = self.upload(server)
        self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received[:99])

    def test_answers_that_are_held_at_once_have_a_limit(self):
        # A server of such answers must not take all memory.
        with mock.patch.object(whole_answers, 'MAX_HELD_BYTES', 1000):
            received = self.upload(EarlyServer(UNFRAMED + bytes(1001), End.NONE))
        self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received[:99])

    def test_long_answer_behind_the_upload_is_passed_on(self):
        body = bytes(2 * MAX_WHOLE_ANSWER_BYTES)
        server = EarlyServer(UNFRAMED + body, End.SHUT_DOWN, reads=True)
        received = self.upload(server, parts=2)
        self.assertTrue(received.endswith(b'\r\n\r\n' + body), received[:200])


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

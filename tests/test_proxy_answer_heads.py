"""Tests of heads of servers that are no answers, and of unusual ones that are."""

import unittest
from collections.abc import Awaitable, Callable

import h11
import trio

from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.proxy.answers import receive_response
from catkinslip.proxy.native_dialect import NativeDialect
from catkinslip.proxy.outcomes import Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool, Purpose
from tests.broken_answer_builders import (
    SIGNED,
    EarlyServer,
    End,
    RelayingForwarder,
    relaying_proxy,
    upload_proxy,
)

SECONDS = 20.0
BODY = b'body'
REST = SIGNED + b'Content-Length: 4\r\n'
LENGTH_FIRST = b'Content-Length: 4\r\n' + SIGNED
START = b'HTTP/1.1 200 OK\r\n'


def answer(lines: bytes = b'', start: bytes = START, rest: bytes = REST) -> bytes:
    """Return an answer with these lines behind the others of its head."""
    return start + rest + lines + b'\r\n' + BODY


def ask(data: bytes, run_proxy=upload_proxy, *arguments) -> tuple[bytes, Outcome]:
    """Return what a caller got for the bytes of a server, and the outcome."""

    async def run() -> tuple[bytes, Outcome]:
        server = EarlyServer(data, End.NONE)
        async with run_proxy(server, *arguments) as proxy:
            received = await proxy.ask()
            return received, proxy.forwarder.outcomes[0]

    return trio.run(run)


class AnswerHeadTest(unittest.TestCase):
    """What a caller gets for the head of a server's answer."""

    def check_broken(self, *answers: bytes) -> None:
        """Check that none of these reaches the caller as an answer."""
        for data in answers:
            with self.subTest(data):
                received, outcome = ask(data)
                self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received)
                self.assertNotIn(b'response-signature', received.lower())
                self.assertIsInstance(outcome, Unknown)
                self.assertIs(outcome.reason, Reason.BROKEN)

    def check_passed_on(self, *answers: bytes) -> None:
        """Check that each of these reaches the caller whole."""
        for data in answers:
            with self.subTest(data):
                received, _ = ask(data)
                self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received)
                self.assertIn(b'response-signature: s.1\r\n', received)
                self.assertTrue(received.endswith(BODY), received)

    # Guards against bytes that are no status and reach callers as one.
    def test_status_that_is_none_is_no_answer(self):
        statuses = (b'000', b'099', b'20', b'2000', b'+20', b'101', b'2x0', b'')
        starts = [b'HTTP/1.1 %s OK\r\n' % status for status in statuses]
        self.check_broken(*(answer(start=start) for start in starts))

    # Guards against a line without a sound name that is passed on or hides others.
    def test_name_of_a_field_that_is_none_is_no_answer(self):
        names = (b'A B', b'A\tB', b'A ', b'A\t', b'A\x01', b'A\0', b'A\x7f', b'A\x85')
        lines = [name + b': 1\r\n' for name in (*names, b'A\x0b', b'A\r', b'')]
        starts = (START, b'HTTP/1.1 500 X\r\n', b'HTTP/1.1 503 X\r\n')
        self.check_broken(
            *(answer(line, start) for line in (*lines, b'A\r\n') for start in starts)
        )

    # Guards against a body that is complete to its caller before a line that is none.
    def test_name_in_a_trailer_that_is_none_is_no_answer(self):
        chunks = b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n'
        start = START + SIGNED + chunks
        names = (b'A B', b'A ', b'A\x01', b'A\x7f', b'')
        self.check_broken(*(start + name + b': 1\r\n\r\n' for name in names))

    # Guards against a body whose end two readers would find at different bytes.
    def test_framing_that_is_ambiguous_is_no_answer(self):
        framings = (
            b'Content-Length: 4\r\nContent-Length: 5\r\n',
            b'Content-Length: +4\r\n',
            b'Content-Length: -1\r\n',
            b'Content-Length: 4, 5\r\n',
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
            b'Transfer-Encoding: gzip\r\n',
            b'Transfer-Encoding: gzip, chunked\r\n',
            b'Content-Length: 4\r\nA: \0\r\n',
            b'Content-Length: 4\r\nA: 1\r2\r\n',
        )
        self.check_broken(*(answer(SIGNED + each, rest=b'') for each in framings))

    # Guards against a line that is joined to the signature before it.
    def test_line_that_begins_with_a_blank_changed_the_signature(self):
        lines = (b' Bad-Name: 1\r\n', b'\tBad-Name: 1\r\n', b' \r\n', b' x\r\n')
        self.check_broken(*(answer(line, rest=LENGTH_FIRST) for line in lines))

    # Guards against a length that is joined to the field before it, so that a body is
    # read to the end of the connection.
    def test_length_behind_a_blank_was_no_length(self):
        lines = (b' Content-Length: 4\r\n', b'\tContent-Length: 4\r\n')
        self.check_broken(*(answer(line, rest=SIGNED) for line in lines))

    def test_line_that_begins_with_a_blank_in_an_interim_answer_is_none(self):
        interim = b'HTTP/1.1 103 Early\r\nA: 1\r\n b\r\n\r\n'
        self.check_broken(interim + answer())

    # Guards against control characters that callers get with an answer.
    def test_control_character_in_a_head_was_passed_on(self):
        controls = (b'\x01', b'\x08', b'\x1b', b'\x7f')
        self.check_broken(
            *(answer(b'A: 1' + each + b'2\r\n') for each in controls),
            *(answer(start=b'HTTP/1.1 200 O%sK\r\n' % each) for each in controls),
        )

    # Guards against a status of no class that callers get with a signature.
    def test_status_above_599_was_passed_on(self):
        statuses = (b'600', b'700', b'999')
        starts = (b'HTTP/1.1 %s X\r\n' % status for status in statuses)
        self.check_broken(*(answer(start=start) for start in starts))

    # Guards against an answer in a protocol that this instance does not speak.
    def test_version_with_another_major_number_was_passed_on(self):
        starts = (b'HTTP/%s 200 OK\r\n' % each for each in (b'0.9', b'2.7', b'3.0'))
        self.check_broken(*(answer(start=start) for start in starts))

    # Guards against a body whose end a proxy before the server may have missed.
    def test_chunks_of_http_1_0_were_decoded(self):
        chunks = b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
        self.check_broken(b'HTTP/1.0 200 OK\r\n' + SIGNED + chunks)

    def test_unusual_heads_are_passed_on(self):
        self.check_passed_on(
            answer(),
            answer(b'A:\r\n'),
            answer(b'A:1\r\n'),
            answer(b'A: \xe4\t"b c" \r\n'),
            answer(start=b'HTTP/1.1 200\r\n'),
            answer(start=b'HTTP/1.1 200 Gr\xfcn\t1\r\n'),
            answer(start=b'HTTP/1.0 200 OK\r\n'),
            answer(start=b'HTTP/1.9 200 OK\r\n'),
            answer().replace(b'\r\n', b'\n'),
        )


class OtherReaderTest(unittest.TestCase):
    """Readers of answers besides that of callers' requests."""

    # Guards against a check of heads that one of the readers does not make.

    broken = answer(b' Bad-Name: 1\r\n', rest=LENGTH_FIRST)

    def test_answer_to_a_relayed_request_is_checked_at_both_ends(self):
        received, _ = ask(self.broken, relaying_proxy)
        self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received)
        received, outcome = ask(self.broken, upload_proxy, None, RelayingForwarder)
        self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received)
        self.assertIs(outcome.reason, Reason.BROKEN)

    def test_answer_to_the_native_program_is_checked(self):
        received, outcome = ask(self.broken, upload_proxy, NativeDialect())
        self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received)
        self.assertIs(outcome.reason, Reason.BROKEN)

    def test_answer_to_a_page_client_is_checked(self):
        async def send(address: Address) -> object:
            return await PageClient().send(address, '/', SECONDS)

        self.assertIsInstance(trio.run(call_server, self.broken, send), Unknown)

    def test_answer_to_a_health_check_is_checked(self):
        async def send(address: Address) -> object:
            pool = BackendPool()
            wire = await pool.acquire(address, purpose=Purpose.PROBE)
            request = NativeDialect().probe_request('a', '/')
            await wire.send(request, h11.EndOfMessage())
            with self.assertRaises(h11.RemoteProtocolError):
                await receive_response(wire)
            await pool.release(address, wire)
            return pool.has_idle(address)

        self.assertFalse(trio.run(call_server, self.broken, send))


async def call_server(
    data: bytes, send: Callable[[Address], Awaitable[object]]
) -> object:
    """Return the result of a call to a server that answers with these bytes."""
    async with trio.open_nursery() as nursery:
        server = EarlyServer(data, End.NONE)
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(SECONDS):
            result = await send(Address('127.0.0.1', port))
        nursery.cancel_scope.cancel()
    return result


if __name__ == '__main__':
    unittest.main()

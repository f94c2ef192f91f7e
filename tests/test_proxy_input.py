"""Tests that malformed input of callers is refused before it reaches a server."""

import re
import unittest

import orjson
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from catkinslip.clock import SystemClock
from catkinslip.proxy.chunk_checks import BodyPart, ChunkCheck
from catkinslip.proxy.head_reader import extract_head
from catkinslip.proxy.outcomes import NotRun, Reason
from tests.builders import caller_server

TIMEOUT_SECONDS = 20
GET = b'GET /a HTTP/1.1\r\nHost: limits\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: limits\r\n%s\r\n\r\n%s'
CHUNKED = b'Transfer-Encoding: chunked'
STATUS = re.compile(rb'HTTP/1.1 ([0-9]{3}) ')
WELL_FORMED_HEAD = re.compile(rb'\A([^\r\n]+\r\n)+\r\n\Z')

STATUS_BY_REQUEST = {
    b'GET /a HTTP/1.1\nHost: limits\n\n': 400,
    b'GET /a HTTP/1.1\r\nHost: limits\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost: limits\r\nA: 1\rB: 2\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost: limits\r\nA: 1\r\n folded\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost : limits\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost: limits\r\nA: \x01\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n': 400,
    b'GET /a HTTP/1.1\r\nHost: a@b\r\n\r\n': 400,
    b'GET /a#b HTTP/1.1\r\nHost: limits\r\n\r\n': 400,
    b'GET http://other/a HTTP/1.1\r\nHost: limits\r\n\r\n': 400,
    b'CONNECT limits:80 HTTP/1.1\r\nHost: limits\r\n\r\n': 400,
    b'GET /a HTTP/2.0\r\nHost: limits\r\n\r\n': 505,
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n': 400,
    b'GET /%s HTTP/1.1\r\nHost: limits\r\n\r\n' % (b'a' * 40_000): 431,
    GET[:-2] + b'Catkinslip-Timeout: soon\r\n\r\n': 400,
    GET[:-2] + b'Catkinslip-Timeout: nan\r\n\r\n': 400,
    GET[:-2] + b'Catkinslip-Deadline: -1\r\n\r\n': 400,
    GET[:-2] + b'Catkinslip-Attempt: 0\r\n\r\n': 400,
    GET[:-2] + b'Catkinslip-Request-Id: a b\r\n\r\n': 400,
    GET[:-2] + b'Expect: 200-ok\r\n\r\n': 417,
    POST % (b'Content-Length: 2\r\n' + CHUNKED, b'0\r\n\r\n'): 400,
    POST % (b'Content-Length: 2\r\nContent-Length: 2', b'ab'): 400,
    POST % (b'Content-Length: 2, 2', b'ab'): 400,
    POST % (b'Content-Length: +2', b'ab'): 400,
    POST % (CHUNKED + b'\r\n' + CHUNKED, b'0\r\n\r\n'): 400,
    POST % (b'Transfer-Encoding: gzip, chunked', b'0\r\n\r\n'): 501,
    POST % (b'Transfer-Encoding: xchunked', b'0\r\n\r\n'): 501,
    POST % (CHUNKED, b'2;a=b\r\nab\r\n0\r\n\r\n'): 400,
    POST % (CHUNKED, b'0x2\r\nab\r\n0\r\n\r\n'): 400,
    POST % (CHUNKED, b'2 \r\nab\r\n0\r\n\r\n'): 400,
    POST % (CHUNKED, b'2\nab\r\n0\r\n\r\n'): 400,
    POST % (CHUNKED, b'2\r\nabc\r\n0\r\n\r\n'): 400,
    POST % (CHUNKED, b'2\r\nab\r\n0\r\nA: 1\nB: 2\r\n\r\n'): 400,
    POST % (CHUNKED, b'FFFFFFFFFFFF\r\nab'): 400,
    POST % (b'Content-Length: 70000', b''): 413,
    POST
    % (CHUNKED, b'FFFF\r\n' + bytes(0xFFFF) + b'\r\nFFFF\r\n' + bytes(0xFFFF)): 413,
}


class CountingForwarder:
    """Forwarder that records calls and refuses each of them."""

    def __init__(self):
        self.clock = SystemClock()
        self.calls = []

    async def forward(self, call, caller):
        self.calls.append(call)
        return NotRun(Reason.NO_BACKEND)


async def exchange_bytes(*parts: bytes, keeps_open: bool = False, **limits):
    """Send parts on one connection; return all bytes received and the calls."""
    forwarder = CountingForwarder()
    server = caller_server(forwarder, max_body_bytes=66_000, **limits)
    ours, theirs = trio.testing.memory_stream_pair()
    received = b''
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            for part in parts:
                await ours.send_all(part)
                await trio.testing.wait_all_tasks_blocked()
            if not keeps_open:
                await ours.send_eof()
            try:
                async for data in ours:
                    received += data
            except trio.BrokenResourceError:
                pass
            await ours.aclose()
    return received, forwarder.calls


def status_of(received: bytes) -> int:
    return int(received.split(b' ', 2)[1])


class BadInputTest(unittest.TestCase):
    """Requests that are refused without being forwarded."""

    def test_each_bad_request_is_refused_and_its_connection_closed(self):
        for request, status in STATUS_BY_REQUEST.items():
            with self.subTest(request[:100]):
                received, calls = trio.run(exchange_bytes, request + GET)
                self.assertEqual(status_of(received), status)
                self.assertEqual((calls, len(STATUS.findall(received))), ([], 1))
                head, _, body = received.partition(b'\r\n\r\n')
                self.assertIn(b'connection: close', head.lower())
                self.assertIn(b'catkinslip-outcome: not-run', head.lower())
                problem = orjson.loads(body)
                self.assertEqual(problem['status'], status)
                self.assertTrue(problem['instance'].endswith(problem['request_id']))

    def test_a_slow_sender_gets_status_408(self):
        post = POST % (b'Content-Length: 9', b'ab')
        for part, limits in (
            (GET[:-4], {'head_timeout': 0.01}),
            (post, {'body_timeout': 0.01}),
        ):
            received, calls = trio.run(
                lambda p=part, k=limits: exchange_and_stall(p, **k)
            )
            self.assertEqual((status_of(received), calls), (408, []))

    def test_an_idle_connection_is_closed_without_an_answer(self):
        received, _ = trio.run(lambda: exchange_and_stall(b'', idle_timeout=0.01))
        self.assertEqual(received, b'')

    def test_a_connection_over_the_limit_gets_retry_after(self):
        received, calls = trio.run(lambda: exchange_bytes(GET, max_connections=0))
        self.assertEqual((status_of(received), calls), (503, []))
        self.assertIn(b'retry-after: 1', received.lower())

    def test_a_passed_deadline_of_the_caller_is_not_run(self):
        request = GET[:-2] + b'Catkinslip-Deadline: 1000.5\r\n\r\n'
        received, calls = trio.run(exchange_bytes, request)
        self.assertEqual((status_of(received), calls), (504, []))
        self.assertIn(b'catkinslip-outcome: not-run', received)

    def test_100_continue_is_sent_unless_the_body_is_too_large(self):
        head = POST % (b'Content-Length: 2\r\nExpect: 100-continue', b'')
        received, (call,) = trio.run(exchange_bytes, head, b'ab')
        self.assertTrue(received.startswith(b'HTTP/1.1 100 '))
        self.assertEqual(call.body, b'ab')
        head = POST % (b'Content-Length: 70000\r\nExpect: 100-continue', b'')
        received, _ = trio.run(exchange_bytes, head)
        self.assertEqual(status_of(received), 413)

    def test_absolute_targets_are_turned_into_paths(self):
        request = GET.replace(b'/a', b'http://limits/b?c')
        _, (call,) = trio.run(exchange_bytes, request)
        self.assertEqual((call.target, call.service), (b'/b?c', 'limits'))

    def test_refusals_of_head_requests_have_no_body(self):
        received, calls = trio.run(exchange_bytes, GET.replace(b'GET', b'HEAD') + GET)
        self.assertEqual(len(calls), 2)
        self.assertEqual(received.count(b'"status":503'), 1)


async def exchange_and_stall(part: bytes, **limits):
    return await exchange_bytes(part, keeps_open=True, **limits)


FRAGMENTS = st.sampled_from(
    [
        GET,
        b'GET /a HTTP/1.1\r\n',
        b'Host: limits\r\n',
        b'Content-Length: 3\r\n',
        CHUNKED + b'\r\n',
        b'\r\n',
        b'\n',
        b'\r',
        b' ',
        b':',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'abc',
    ]
)
FRAGMENT_LISTS = st.lists(FRAGMENTS | st.binary(max_size=6), max_size=12)


class FuzzTest(unittest.TestCase):
    """On any input, only well-formed requests pass and the connection ends."""

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(FRAGMENT_LISTS)
    @example([b'\r\n', GET])
    def test_any_input_gets_valid_answers_and_a_closed_connection(self, parts):
        with self.assertNoLogs('request', 'ERROR'):
            received, calls = trio.run(exchange_bytes, *parts)
        statuses = STATUS.findall(received)
        self.assertEqual(statuses.count(b'503'), len(calls))
        self.assertLessEqual(len(statuses) - len(calls), 1)
        for call in calls:
            self.assertTrue(call.target.startswith(b'/'))

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(st.integers(0, len(GET) - 1), st.binary(max_size=2), st.integers(0, 2))
    def test_a_changed_head_passes_only_when_every_line_is_plain(self, at, new, cut):
        data = GET[:at] + new + GET[at + cut :]
        head = extract_head(data)
        if isinstance(head, bytes):
            self.assertRegex(head, WELL_FORMED_HEAD)
            self.assertNotRegex(head, rb'\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]')

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(FRAGMENT_LISTS, st.integers(1, 7))
    @example([b'a\r\n0123456789\r\n', b'0\r\n', b'A: 1\r\n', b'\r\n'], 3)
    def test_chunk_checks_do_not_depend_on_how_data_is_split(self, parts, step):
        data = b''.join(parts)
        whole, split = ChunkCheck(), ChunkCheck()
        fault = whole.feed(data)
        faults = [split.feed(data[n : n + step]) for n in range(0, len(data), step)]
        self.assertEqual(fault, next((each for each in faults if each), None))
        if fault is None and whole.part is BodyPart.END:
            self.assertRegex(
                data, rb'\A([0-9A-Fa-f]+\r\n(?s:.*?)\r\n)*0+\r\n([^\r\n]+\r\n)*\r\n'
            )


if __name__ == '__main__':
    unittest.main()

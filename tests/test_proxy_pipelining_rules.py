"""Tests of the decisions about pipelined requests, without input and output."""

import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.pipelining import (
    EVENT_BYTES,
    REQUEST_BYTES,
    ConnectionBytes,
    InstanceBytes,
    SplitFailure,
    SplitRequest,
    size_of,
    split_request,
)
from tests.pipeline_builders import get, post

STEPS = st.lists(
    st.tuples(st.sampled_from(('read', 'hold', 'drop', 'clear')), st.integers(0, 3000)),
    max_size=60,
)


def split_all(data: bytes) -> tuple[list[SplitRequest], SplitFailure]:
    """Return all whole requests at the start of the data, and why there are no more."""
    requests = []
    while isinstance(found := split_request(data), SplitRequest):
        requests.append(found)
        data = data[found.size :]
    return requests, found


class SplitTest(unittest.TestCase):
    """Whole requests are split off the bytes of a connection."""

    def test_requests_are_split_where_they_end(self):
        # Guards against bytes of one request that become part of another.
        data = get('/1') + post('/2', b'GET /x HTTP/1.1\r\n\r\n') + get('/3')
        requests, rest = split_all(data)
        targets = [each.head.target for each in requests]
        self.assertEqual(targets, [b'/1', b'/2', b'/3'])
        self.assertEqual(requests[1].body, b'GET /x HTTP/1.1\r\n\r\n')
        self.assertEqual(sum(each.size for each in requests), len(data))
        self.assertIs(rest, SplitFailure.INCOMPLETE)

    def test_every_cut_leaves_an_incomplete_request(self):
        # Guards against a request that starts before its last byte.
        data = post('/1', b'abc')
        for end in range(len(data)):
            self.assertIs(split_request(data[:end]), SplitFailure.INCOMPLETE)

    def test_what_must_be_read_in_its_turn_is_not_split(self):
        # Guards against refusals and bodies that are handled out of their turn.
        for data in (
            get('/1', 'Transfer-Encoding: chunked') + b'0\r\n\r\n',
            get('/1', 'Content-Length: 70000') + bytes(70000),
            post('/1', b'ab', 'Expect: 100-continue'),
            get('/a#b'),
            get('/1', 'Content-Length: 1', 'Content-Length: 1') + b'a',
            get('/1', 'A: \x01'),
            b'GET /1 HTTP/1.1\nHost: limits\n\n',
            get('/' + 'a' * 40_000),
        ):
            self.assertIs(split_request(data), SplitFailure.IN_TURN, data[:80])

    def test_the_last_request_of_a_connection_is_known(self):
        # Guards against requests that run behind the end of the connection.
        self.assertFalse(split_request(get('/1')).is_last)
        self.assertTrue(split_request(get('/1', 'Connection: close')).is_last)
        old = get('/1').replace(b'HTTP/1.1', b'HTTP/1.0')
        self.assertTrue(split_request(old).is_last)


class BytesTest(unittest.TestCase):
    """The bytes that are held for connections and for the instance are bounded."""

    def test_an_answer_that_does_not_fit_is_not_held(self):
        # Guards against connections that together fill the memory.
        instance = InstanceBytes(1000)
        first, second = (ConnectionBytes(800, instance) for _ in range(2))
        self.assertFalse(first.hold_answer(801))
        self.assertTrue(first.hold_answer(600))
        self.assertFalse(second.hold_answer(600))
        first.clear()
        self.assertTrue(second.hold_answer(600))

    def test_the_memory_of_requests_in_flight_counts(self):
        # Guards against thousands of connections with several requests of few bytes.
        instance = InstanceBytes(2 * REQUEST_BYTES)
        first, second = (ConnectionBytes(100, instance) for _ in range(2))
        self.assertTrue(first.start_request() and second.start_request())
        self.assertFalse(first.start_request())
        self.assertEqual(first.room_for_requests(), 0)
        second.end_request(0)
        self.assertTrue(first.start_request())
        first.clear()
        self.assertEqual(instance.held, 0)

    def test_requests_leave_room_for_answers(self):
        # Guards against requests that use all bytes, so that no answer can be held.
        account = ConnectionBytes(1000, InstanceBytes(10_000))
        account.add_request(account.room_for_requests())
        self.assertEqual((account.requests, account.room_for_requests()), (500, 0))
        self.assertTrue(account.hold_answer(500))

    def test_heads_count_too(self):
        # Guards against answers without bodies that are held without bound.
        response = h11.Response(status_code=204, headers=[('a', 'b' * 100)])
        self.assertEqual(size_of(response), EVENT_BYTES + 101)
        self.assertEqual(size_of(h11.Data(data=b'abc')), EVENT_BYTES + 3)
        self.assertEqual(size_of(h11.EndOfMessage()), EVENT_BYTES)

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(STEPS, STEPS)
    def test_the_instance_holds_what_its_connections_hold(self, first, second):
        # Guards against bytes that are counted twice or never returned.
        instance = InstanceBytes(5000)
        accounts = [ConnectionBytes(4000, instance) for _ in range(2)]
        for account, own_steps in zip(accounts, (first, second), strict=True):
            for step, size in own_steps:
                apply_step(account, step, size)
                self.assertEqual(
                    instance.held, sum(a.requests + a.answers for a in accounts)
                )
                self.assertLessEqual(instance.held, instance.limit)
                self.assertLessEqual(account.requests + account.answers, account.limit)


def apply_step(account: ConnectionBytes, step: str, size: int) -> None:
    """Apply a step of a connection within what it may do."""
    match step:
        case 'read':
            account.add_request(min(size, account.room_for_requests()))
        case 'hold':
            account.hold_answer(size)
        case 'drop':
            account.remove_answer(min(size, account.answers))
            account.remove_request(min(size, account.requests))
        case 'clear':
            account.clear()


class LimitsTest(unittest.TestCase):
    """The limits of pipelined requests are checked."""

    def test_a_wrong_limit_is_named(self):
        # Guards against limits that stop every connection.
        for name, value in (
            ('max_pipelined_requests', 0),
            ('max_pipelined_bytes', -1),
            ('max_instance_pipelined_bytes', -1),
        ):
            with self.assertRaisesRegex(ValueError, f"'{name}' must be >= .*{value}"):
                CallerLimits(**{name: value})

    def test_pipelining_is_off_unless_it_is_enabled(self):
        # Guards against a change for deployments that do not ask for it.
        self.assertFalse(CallerLimits().pipeline_limits().is_enabled)
        limits = CallerLimits(max_pipelined_requests=2).pipeline_limits()
        self.assertTrue(limits.is_enabled)


if __name__ == '__main__':
    unittest.main()

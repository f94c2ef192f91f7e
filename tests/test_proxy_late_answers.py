"""Tests of answers that come late, as the answer to another exchange."""

import unittest

import h11
import trio
import trio.testing

from catkinslip.clock import SystemClock
from catkinslip.models import Address
from catkinslip.platform.dialect import PlatformDialect
from catkinslip.proxy.answers import drain_body, receive_response
from catkinslip.proxy.exchange import Attempt
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool, Purpose
from catkinslip.proxy.wire import server_wire
from standins.raw import RawAnswer, RawBackend
from tests.builders import plain_call

GENEROUS_SECONDS = 20.0
REFUSAL = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n'
WITHOUT_ID = RawAnswer(REFUSAL + b'\r\n')
WITH_ID = RawAnswer(REFUSAL + b'Request-Id: r\r\n\r\n')


async def probe(pool: BackendPool, address: Address) -> None:
    """Send a health check on a new connection and keep the connection."""
    wire = await pool.acquire(address, purpose=Purpose.PROBE)
    request = h11.Request(method='GET', target='/healthz', headers=[('host', 'a')])
    await wire.send(request, h11.EndOfMessage())
    await receive_response(wire)
    await drain_body(wire)
    await pool.release(address, wire)


async def send_after_a_check(answer: RawAnswer) -> Outcome:
    """Return the outcome of a call on the connection of a rejected health check."""
    backend = RawBackend([WITHOUT_ID, answer])
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
        address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        pool = BackendPool()
        call = plain_call('one')
        call.headers.append((b'host', b'a.example'))
        call.repeatable = False
        caller = server_wire(trio.testing.memory_stream_pair()[0])
        attempt = Attempt(
            call, address, caller, pool, SystemClock(), dialect=PlatformDialect()
        )
        with trio.fail_after(GENEROUS_SECONDS):
            await probe(pool, address)
            result = await attempt.run()
        nursery.cancel_scope.cancel()
    assert backend.connections == 1
    return result


class LateAnswerTest(unittest.TestCase):
    """A late answer to a health check says nothing about a request."""

    def test_late_second_answer_to_a_health_check_does_not_send_a_request_twice(self):
        # It was read as "not run", and another server ran the request as well.
        result = trio.run(send_after_a_check, WITHOUT_ID)
        self.assertIsInstance(result, Unknown)
        self.assertIs(result.reason, Reason.BROKEN)

    def test_refusal_with_the_id_of_the_request_is_trusted(self):
        # A server that is full names the request that it refuses.
        result = trio.run(send_after_a_check, WITH_ID)
        self.assertIsInstance(result, NotRun)
        self.assertIs(result.reason, Reason.SHED)

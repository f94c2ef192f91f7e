"""Tests of the requests that reach an instance while it stops."""

import unittest

import httpx
import trio
import trio.testing
from attrs import Factory, define

from catkinslip.clock import SystemClock
from catkinslip.lifecycle import IDLE_GRACE_SECONDS, Lifecycle, StopRequest
from catkinslip.limits.budget import ExtraBudget
from catkinslip.limits.plan import CallPlan, Step
from catkinslip.models import Address
from catkinslip.proxy.exchange import Attempt
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.stopping import StopGate, StopTimes
from catkinslip.proxy.wire import server_wire
from catkinslip.relaying.forwarder import is_receiver_refusal
from catkinslip.stop_budget import plan_stop
from standins.raw import WAIT, RawBackend
from tests.builders import OneBackendForwarder, caller_server, plain_call
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform

#: The platform kills the process this long after SIGTERM, by the settings of the tests.
GRACE_SECONDS = 6.0
#: A request sent later than this after SIGTERM must be answered if it is passed on.
EXCUSED_SECONDS = 3.0
#: Time from the last byte of a request to an answer that comes from no server.
REFUSAL_SECONDS = 0.2
TIMEOUT_SECONDS = 2.0
LONG_SECONDS = 1.5
#: How long the daemon waits for the last requests, and the timeout of a request.
DRAIN_SECONDS = 1.0
#: The outcome of a connection that was not accepted.
NOT_ACCEPTED = 'not accepted'
CUT = 'cut'


@define
class Result:
    """How a request ended, when, and how often it ran."""

    outcome: object
    seconds: float
    runs: int


@define
class Callers:
    """Callers that send requests to an instance at times after its SIGTERM."""

    platform: SmallPlatform
    began: float = Factory(trio.current_time)
    result_by_id: dict[str, Result] = Factory(dict)

    async def send(self, at: float, path: str = '/p/a', method: str = 'POST') -> None:
        """Send a request on a new connection at a time in seconds after the start."""
        await trio.sleep_until(self.began + at)
        name = f'{method}-{path}-{at:g}'
        sent_at = trio.current_time()
        try:
            response = await self.platform.send(
                method, path, request_id=name, deadline_ms=4000
            )
            outcome = response.status_code
        except httpx.ConnectError:
            outcome = NOT_ACCEPTED
        except httpx.HTTPError:
            outcome = CUT
        seconds = trio.current_time() - sent_at
        runs = self.platform.runs(name)
        self.result_by_id[name] = Result(outcome, seconds, runs)


async def start_platform(platform: SmallPlatform, work_seconds: float) -> None:
    """Start servers and an instance with routes that take 2 s at most."""
    spec = config_spec(timeout=TIMEOUT_SECONDS, target=1.8)
    platform.store.put('config', 'main', spec)
    for number in range(4):
        await platform.add_worker(f's{number}', slots=8)
    await platform.add_entry()
    # Callers learn the usual work of a request before the stop.
    for number in range(8):
        await platform.send('POST', '/p/a', request_id=f'calm-{number}')
    for worker in platform.worker_by_id.values():
        worker.work_seconds = work_seconds


class LateRequestTest(unittest.TestCase):
    """No request is read by an instance that stops and then left without an answer."""

    def check_all(self, work_seconds: float, times: tuple[float, ...]) -> Callers:
        """Send requests at times after SIGTERM and check that none is cut."""
        kept = []

        async def check(platform: SmallPlatform):
            await start_platform(platform, work_seconds)
            callers = Callers(platform)
            kept.append(callers)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(platform.stop_entry)
                for at in times:
                    nursery.start_soon(callers.send, at)
            ended = trio.current_time() - callers.began
            self.assertLess(ended, GRACE_SECONDS)

        on_platform(check)
        results = kept[0].result_by_id
        self.assertEqual(len(results), len(times))
        for name, result in results.items():
            with self.subTest(name=name, result=result):
                self.assertIn(result.outcome, (200, 503, NOT_ACCEPTED))
                self.assertEqual(result.runs, int(result.outcome == 200))
                if result.outcome != 200:
                    self.assertLess(result.seconds, REFUSAL_SECONDS)
        return kept[0]

    def test_late_requests_are_not_passed_on_and_cut(self):
        # Requests read later than 3 s after SIGTERM were cut at five sixths of 6 s.
        self.check_all(LONG_SECONDS, (3.3, 3.6, 3.9, 4.2, 4.5, 4.8, 5.1))

    def test_requests_that_are_sure_to_end_are_served_while_the_instance_stops(self):
        # A refusal of more than has to be refused costs callers a second attempt.
        times = (0.5, 1.0, 1.5, 2.0, 2.5, 2.9, 3.1)
        callers = self.check_all(LONG_SECONDS, times)
        outcomes = [each.outcome for each in callers.result_by_id.values()]
        self.assertEqual(outcomes, [200] * len(times))

    def test_large_body_is_refused_before_it_is_read(self):
        # A body that is still on its way cannot be answered in time.
        async def check(platform: SmallPlatform):
            await start_platform(platform, LONG_SECONDS)
            address = Address.parse(platform.entries[0].settings.own.caller_address)
            head = (
                b'POST /p/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: large\r\n'
                b'Deadline-Ms: 4000\r\nContent-Length: 1000000\r\n\r\n'
            )
            platform.nursery.start_soon(platform.stop_entry)
            await trio.sleep(3.0)
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(head[:20])
            await trio.sleep(1.0)
            sent_at = trio.current_time()
            await stream.send_all(head[20:])
            answer = await stream.receive_some()
            self.assertIn(b' 503 ', answer)
            self.assertIn(b'stopping', answer)
            self.assertLess(trio.current_time() - sent_at, REFUSAL_SECONDS)
            self.assertEqual(platform.runs('large'), 0)

        on_platform(check)


class WaitingCallTest(unittest.TestCase):
    """A call that waits while the instance stops is refused instead of being cut."""

    def test_call_that_waits_for_a_connection_is_refused_in_time(self):
        # A call that waited for a connection slot was cut without an answer.
        async def check():
            backend = RawBackend()
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                address = Address('127.0.0.1', port)
                pool, gate, clock = BackendPool(), StopGate(), SystemClock()
                pool._connections(address).limit = 1
                held = await pool.acquire(address)
                caller = server_wire(trio.testing.memory_stream_pair()[0])
                call = plain_call('one')
                attempt = Attempt(call, address, caller, pool, clock, stop_gate=gate)
                results = []

                async def run():
                    results.append(await attempt.run())

                nursery.start_soon(run)
                await trio.testing.wait_all_tasks_blocked()
                now = clock.monotonic()
                gate.start(StopTimes(now, now, now + 1))
                gate.end_waits(now)
                await trio.testing.wait_all_tasks_blocked()
                self.assertIs(results[0].reason, Reason.STOPPING)
                await pool.release(address, held)
                connections = pool.connections_by_address[address]
                self.assertEqual(connections.in_use, 0)
                self.assertEqual(len(connections.waiters), 0)
                self.assertEqual(backend.heads, [])
                nursery.cancel_scope.cancel()

        trio.run(check)

    def test_call_is_not_sent_on_a_connection_that_opened_too_late(self):
        # The last check is right before the first byte.
        async def check():
            backend = RawBackend()
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                now = SystemClock().monotonic()
                gate = StopGate(StopTimes(now, now, now + 1))
                caller = server_wire(trio.testing.memory_stream_pair()[0])
                call = plain_call('one')
                call.headers.append((b'host', b'a.example'))
                attempt = Attempt(
                    call,
                    Address('127.0.0.1', port),
                    caller,
                    BackendPool(),
                    SystemClock(),
                    stop_gate=gate,
                )
                result = await attempt.run()
                self.assertIs(result.reason, Reason.STOPPING)
                self.assertFalse(attempt.is_sent)
                nursery.cancel_scope.cancel()

        trio.run(check)

    def test_refused_call_gets_no_second_attempt_here(self):
        # A second attempt would be refused for the same reason.
        plan = CallPlan(True, True, 10.0, ExtraBudget(1.0, 10.0, 5.0))
        plan.start()
        refusal = NotRun(Reason.STOPPING)
        self.assertIs(plan.ended(refusal, 0.0, is_sent=False), Step.STOP)

    def test_sender_tries_another_instance_than_one_that_stops(self):
        # A relayed request that a stopping instance refuses may run at the next one.
        self.assertTrue(is_receiver_refusal(NotRun(Reason.STOPPING)))


class NativeStopTest(unittest.TestCase):
    """The daemon's stop: connections close, then the last requests are waited for."""

    def test_request_that_is_read_too_late_is_refused_instead_of_being_cut(self):
        # The end of a head came after the wait for the last requests had begun.
        async def check():
            backend = RawBackend([WAIT])
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                address, clock = Address('127.0.0.1', port), SystemClock()
                forwarder = OneBackendForwarder(address, BackendPool(), clock)
                server = caller_server(forwarder, request_timeout=DRAIN_SECONDS)
                stop = StopRequest()
                lifecycle = Lifecycle(
                    stop=stop,
                    drain=server.drain,
                    stop_gate=server.stop_gate,
                    clock=clock,
                    address_lifetime=0.0,
                    peer_interval=0.0,
                    drain_timeout=DRAIN_SECONDS,
                    leave=trio.lowlevel.checkpoint,
                )
                listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(lifecycle.run, server.serve, listeners)
                stream = await trio.open_tcp_stream('127.0.0.1', port)
                await stream.send_all(b'GET /a HTTP/1.1\r\n')
                stop.expedited.set()
                stop.requested.set()
                await trio.sleep(IDLE_GRACE_SECONDS + DRAIN_SECONDS / 2)
                await stream.send_all(b'Host: limits\r\n\r\n')
                answer = await stream.receive_some()
                self.assertIn(b' 503 ', answer)
                self.assertIn(b'not-run', answer)
                self.assertEqual(backend.heads, [])
                nursery.cancel_scope.cancel()

        trio.run(check)


class StopBudgetTest(unittest.TestCase):
    """The moments of a stop keep what is promised for each grace period."""

    def test_budget_holds_for_each_grace_period(self):
        # Five sixths of the period stood for three different moments.
        for grace in (1.0, 2.0, 3.0, 6.0, 10.0, 30.0):
            for lifetime in (0.5, 3.0, 60.0):
                with self.subTest(grace=grace, lifetime=lifetime):
                    times = plan_stop(100.0, grace, EXCUSED_SECONDS, lifetime)
                    self.assertLess(times.cut_at, 100.0 + grace)
                    self.assertGreaterEqual(times.cut_at, 100.0 + grace * 5 / 6)
                    self.assertLess(times.unsure_until, 100.0 + EXCUSED_SECONDS)
                    self.assertLessEqual(times.unsure_until, times.last_request)
                    self.assertLessEqual(times.last_request, times.cut_at)

    def test_call_that_ends_before_the_cut_is_passed_on_at_any_time(self):
        # What is sure to end in time is not refused.
        gate = StopGate(plan_stop(0.0, GRACE_SECONDS, EXCUSED_SECONDS, 3.0))
        call = plain_call('one')
        call.deadline = gate.times.last_end
        self.assertIsNone(gate.check(call, 5.0))
        call.deadline += 0.01
        self.assertIsNone(gate.check(call, 2.5))
        self.assertIs(gate.check(call, 3.0).reason, Reason.STOPPING)
        self.assertEqual(gate.refused, 1)

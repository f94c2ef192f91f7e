"""Attempts, retries and hedges of one call against scripted backend servers."""

import unittest
from random import Random
from unittest import mock

import h11
import trio
import trio.testing
from attrs import Factory, define
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.clock import Clock
from catkinslip.config.documents import AcceptedConfig, Document
from catkinslip.crashes.guard import CrashGuard
from catkinslip.health.base import NoSampler
from catkinslip.health.tracker import make_tracker
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.budget import ExtraBudget
from catkinslip.limits.plan import CallPlan, Step
from catkinslip.limits.service import LimitRegistry
from catkinslip.proxy.exchange import Attempt, Call
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.outcomes import Answered, NotRun, Reason, Unknown
from catkinslip.proxy.runner import ANSWER_GRACE_SECONDS, CallRunner
from catkinslip.proxy.stopping import StopTimes
from catkinslip.proxy.wire import client_wire, server_wire
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from tests.builders import document_of, document_plain

DEADLINE = 2.0
HEDGE_DELAY = 0.1
SLOW = 0.5
DELAY_BY_SCRIPT = {
    'slow': SLOW,
    'slow shed': SLOW,
    'with the slow': SLOW - HEDGE_DELAY,
    'on deadline': DEADLINE,
}
ANSWERING = ('answer', 'slow', 'with the slow', 'on deadline', 'late end')
RAN = (*ANSWERING, 'silent', 'break', 'cut', 'stall')
SCRIPTS = (*RAN, 'shed', 'slow shed', 'refuse', 'hang')
PARTIAL = {'cut', 'stall'}


class TrioClock(Clock):
    """A clock with the time of the running event loop."""

    def monotonic(self) -> float:
        return trio.current_time()

    def wall(self) -> float:
        return trio.current_time()


@define
class ScriptedPool:
    """A pool of connections to backend servers that each follow a script."""

    nursery: trio.Nursery
    scripts: list[str]
    reached: list[str] = Factory(list)
    ledger: list[str] = Factory(list)
    attempts: list[int] = Factory(list)
    in_use: int = 0

    def is_full(self, address) -> bool:
        return False

    async def acquire(self, address, max_idle_seconds):
        script = self.scripts[len(self.reached) % len(self.scripts)]
        self.reached.append(script)
        if script == 'refuse':
            return NotRun(Reason.CONNECT_FAILED)
        if script == 'hang':
            await trio.sleep_forever()
        self.in_use += 1
        near, far = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.serve, far, script)
        return client_wire(near)

    async def release(self, address, wire):
        self.in_use -= 1
        await wire.close()

    async def serve(self, stream, script: str) -> None:
        wire = server_wire(stream)
        try:
            request = await wire.receive()
            if type(request) is h11.ConnectionClosed:
                # Closed before a request, for example because a hedge was cancelled.
                return
            while type(await wire.receive()) is not h11.EndOfMessage:
                pass
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return
        self.attempts.append(int(dict(request.headers)[b'catkinslip-attempt']))
        if script in RAN:
            self.ledger.append(script)
        try:
            await self.answer(wire, script)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await wire.close()

    async def answer(self, wire, script: str) -> None:
        if script == 'silent':
            await trio.sleep_forever()
        if script == 'break':
            return
        if script in DELAY_BY_SCRIPT:
            await trio.sleep(DELAY_BY_SCRIPT[script])
        status, outcome_headers = (503, [('catkinslip-outcome', 'not-run')])
        if not script.endswith('shed'):
            status, outcome_headers = 200, []
        headers = [*outcome_headers, ('content-length', '4')]
        await wire.send(h11.Response(status_code=status, headers=headers))
        if script == 'late end':
            await trio.sleep(DEADLINE + ANSWER_GRACE_SECONDS / 2)
        await wire.send(h11.Data(data=b'an' if script in PARTIAL else b'answ'))
        if script == 'stall':
            await trio.sleep_forever()
        if script != 'cut':
            await wire.send(h11.EndOfMessage())


@define
class Result:
    """The outcome and the side effects of one call."""

    outcome: object
    pool: ScriptedPool
    forwarder: Forwarder
    received: bytes
    took: float
    in_use: int


@define
class CompetingSampler(NoSampler):
    """A sampler that takes the budget's tokens while a retry waits, as a call may."""

    budget: ExtraBudget | None = None
    waits: int = 0

    async def refresh(self, router, tried) -> None:
        self.waits += 1
        if self.waits > 1:
            self.budget.tokens = 0.0


def forward(
    scripts,
    *,
    repeatable,
    attempt=1,
    tokens=5.0,
    limits=None,
    competitor=None,
    stop_times=None,
    meanwhile=None,
) -> Result:
    """Forward one call on a virtual clock."""

    async def main() -> Result:
        async with trio.open_nursery() as nursery:
            pool = ScriptedPool(nursery, list(scripts))
            forwarder = make_forwarder(pool, limits or LimitSettings())
            forwarder.stop_gate.times = stop_times
            nursery.start_soon(forwarder.hedges.run)
            if meanwhile is not None:
                nursery.start_soon(meanwhile, forwarder)
            router = forwarder.directory.router_by_service['limits']
            service = forwarder.limits.limits_of('limits', router, 0.0)
            service.budget.tokens = tokens
            service.latency.value = HEDGE_DELAY
            if competitor is not None:
                competitor.budget = service.budget
                forwarder.sampler = competitor
            near, far = trio.testing.memory_stream_pair()
            call = Call(
                request_id='r1',
                service='limits',
                method=b'POST',
                target=b'/',
                headers=[(b'host', b'limits')],
                body=b'body',
                repeatable=repeatable,
                deadline=trio.current_time() + DEADLINE,
                attempt=attempt,
            )
            outcome = await forwarder.forward(call, await expecting_wire(near, far))
            took = trio.current_time()
            await near.aclose()
            await trio.testing.wait_all_tasks_blocked()
            in_use = pool.in_use
            received = await read_all(far)
            nursery.cancel_scope.cancel()
        return Result(outcome, pool, forwarder, received, took, in_use)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def expecting_wire(near, far):
    """Return the caller's wire after a request arrived on it."""
    wire = server_wire(near)
    await far.send_all(b'POST / HTTP/1.1\r\nHost: limits\r\nContent-Length: 0\r\n\r\n')
    while type(await wire.receive()) is not h11.EndOfMessage:
        pass
    return wire


async def read_all(stream) -> bytes:
    """Return all bytes that the caller received."""
    data = b''
    while chunk := await stream.receive_some(65536):
        data += chunk
    return data


def make_forwarder(pool, limits: LimitSettings) -> Forwarder:
    """Return a forwarder to four backend servers of one service."""
    backends = {f'limits-{n}': f'127.0.0.1:{n}' for n in range(1, 5)}
    directory = Directory(lambda: LeastInFlight(Random(0)))
    health = make_tracker(directory, TrioClock(), Random(0), max_instances=20)
    config = AcceptedConfig(document=document_of(document_plain(backends)))
    directory.update(config)
    health.update(config)
    registry = LimitRegistry(limits, lambda _: 1)
    return Forwarder(directory, pool, TrioClock(), registry, health, HedgeTimer())


class AttemptsTest(unittest.TestCase):
    """The outcomes that callers get from the attempts."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        scripts=st.lists(st.sampled_from(SCRIPTS), min_size=1, max_size=4),
        repeatable=st.booleans(),
        attempt=st.sampled_from((1, 1, 1, 2)),
        tokens=st.sampled_from((0.0, 1.0, 5.0, 10.0)),
    )
    def test_outcome_matches_the_attempts(self, scripts, repeatable, attempt, tokens):
        result = forward(scripts, repeatable=repeatable, attempt=attempt, tokens=tokens)
        pool, outcome = result.pool, result.outcome
        if isinstance(outcome, NotRun):
            self.assertEqual(pool.ledger, [])
        if not repeatable:
            self.assertLessEqual(len(pool.ledger), 1)
        if attempt > 1:
            self.assertEqual(len(pool.reached), 1)
        self.assertLessEqual(len(pool.attempts) - 1, tokens)
        self.assertEqual(len(set(pool.attempts)), len(pool.attempts))
        bound = DEADLINE + ANSWER_GRACE_SECONDS * bool(result.received)
        self.assertLessEqual(result.took, bound + 0.001)
        self.check_answer(result)
        self.check_counts(result)

    def check_answer(self, result: Result) -> None:
        outcome, received = result.outcome, result.received
        if isinstance(outcome, Answered):
            self.assertEqual(received.count(b'HTTP/1.1'), 1)
            self.assertTrue(received.endswith(b'\r\n\r\nansw'), received)
        elif isinstance(outcome, Unknown) and outcome.answer_started:
            self.assertFalse(received.endswith(b'answ'))
        else:
            self.assertEqual(received, b'')

    def check_counts(self, result: Result) -> None:
        router = result.forwarder.directory.router_by_service['limits']
        limits = result.forwarder.limits.limits_by_service['limits']
        self.assertEqual(limits.load.in_flight, 0)
        self.assertEqual(result.in_use, 0)
        for load in router.load_by_id.values():
            self.assertEqual(load.in_flight, 0)

    def test_not_repeatable_stops_at_the_first_unknown(self):
        result = forward(['shed', 'break', 'answer'], repeatable=False)
        self.assertIsInstance(result.outcome, Unknown)
        self.assertEqual(result.pool.reached, ['shed', 'break'])

    def test_unknown_stays_unknown_after_a_retry_was_refused(self):
        result = forward(['break', 'shed', 'refuse'], repeatable=True)
        self.assertEqual(result.outcome.reason, Reason.BROKEN)
        self.assertIsInstance(result.outcome, Unknown)

    def test_hedge_answers_for_a_silent_backend(self):
        result = forward(['silent', 'answer'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))
        self.assertAlmostEqual(result.took, HEDGE_DELAY)
        self.assertEqual(result.pool.attempts, [1, 2])

    def test_first_answers_before_a_slow_hedge(self):
        result = forward(['slow', 'silent'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))
        self.assertAlmostEqual(result.took, SLOW)

    def test_hedge_goes_on_when_the_first_did_not_run(self):
        result = forward(['slow shed', 'slow'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual(result.pool.reached, ['slow shed', 'slow'])

    def test_heads_that_come_together_are_one_answer(self):
        # trio runs the two tasks in an arbitrary order.
        for _ in range(20):
            result = forward(['slow', 'with the slow'], repeatable=True, tokens=10.0)
            self.assertEqual(result.outcome, Answered(200))
            self.assertEqual(result.pool.ledger, ['slow', 'with the slow'])
            self.check_answer(result)
            self.check_counts(result)

    def test_fault_within_a_hedge_leaves_the_first_attempt(self):
        start = Attempt.start

        async def fail_second(attempt):
            if attempt.number == 2:
                raise RuntimeError('a fault of ours')
            return await start(attempt)

        with (
            mock.patch.object(Attempt, 'start', fail_second),
            self.assertLogs('routing', 'ERROR'),
        ):
            result = forward(['slow'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))
        self.check_counts(result)

    def test_hedge_that_is_given_up_while_its_server_is_looked_at_ends_once(self):
        finished = []
        finish = ServiceRouter.finished

        async def examine_slowly(guard, call, server, address, **fields):
            with trio.CancelScope(shield=True):
                await trio.sleep(SLOW)
            return False

        def count(router, backend_id, result, now):
            finished.append(backend_id)
            finish(router, backend_id, result, now)

        with (
            mock.patch.object(CrashGuard, 'detect_crash', examine_slowly),
            mock.patch.object(ServiceRouter, 'finished', count),
        ):
            result = forward(['slow', 'break'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual(len(finished), 2)

    def test_hedge_leaves_tokens_for_retries(self):
        result = forward(['silent', 'answer'], repeatable=True, tokens=5.0)
        self.assertEqual(result.outcome, Unknown(Reason.DEADLINE))
        self.assertEqual(result.pool.reached, ['silent'])

    def test_deadline_before_the_first_byte_is_not_run(self):
        result = forward(['hang'], repeatable=False)
        self.assertEqual(result.outcome, NotRun(Reason.TOO_LATE))

    def test_answer_that_began_in_time_is_not_cut(self):
        result = forward(['late end'], repeatable=False)
        self.assertEqual(result.outcome, Answered(200))
        self.assertGreater(result.took, DEADLINE)

    def test_head_that_comes_after_the_deadline_is_not_begun(self):
        start = Attempt.start

        async def start_late(attempt):
            head = await start(attempt)
            trio.lowlevel.current_clock().jump(2 * DEADLINE)
            return head

        with mock.patch.object(Attempt, 'start', start_late):
            result = forward(['answer'], repeatable=False)
        self.assertEqual(result.outcome, Unknown(Reason.DEADLINE))
        self.assertEqual(result.received, b'')

    def test_deadline_within_an_answer_is_not_answered_again(self):
        result = forward(['stall'], repeatable=True)
        self.assertEqual(result.outcome, Unknown(Reason.DEADLINE, answer_started=True))

    def test_refused_connections_cost_no_token(self):
        scripts = ['refuse', 'refuse', 'answer']
        result = forward(scripts, repeatable=False, tokens=0.0)
        self.assertEqual(result.outcome, Answered(200))

    def test_spent_budget_returns_the_last_outcome(self):
        result = forward(['shed', 'answer'], repeatable=False, tokens=0.0)
        self.assertEqual(result.outcome.reason, Reason.SHED)
        self.assertEqual(result.pool.reached, ['shed'])

    def test_attempts_are_limited(self):
        limits = LimitSettings(max_attempts=2)
        result = forward(['shed'], repeatable=True, limits=limits)
        self.assertEqual(result.pool.reached, ['shed', 'shed'])

    def test_body_that_went_in_part_is_not_sent_again(self):
        for is_resendable, step in ((True, Step.RETRY), (False, Step.STOP)):
            plan = CallPlan(True, True, DEADLINE, ExtraBudget(0.05, 10.0, 5.0))
            plan.start()
            refusal = NotRun(Reason.SHED)
            ended = plan.ended(refusal, 0.0, is_sent=True, is_resendable=is_resendable)
            self.assertIs(ended, step)

    def test_retry_whose_token_went_to_another_call_is_not_sent(self):
        competitor = CompetingSampler()
        result = forward(
            ['shed', 'answer'], repeatable=True, tokens=1.0, competitor=competitor
        )
        self.assertIs(result.outcome.reason, Reason.SHED)
        self.assertEqual(result.pool.ledger, [])
        self.assertGreaterEqual(competitor.budget.tokens, 0.0)

    def test_token_that_another_call_took_meanwhile_starts_no_attempt(self):
        budget = ExtraBudget(0.0, 10.0, 1.0)
        plans = [CallPlan(True, True, DEADLINE, budget) for _ in range(2)]
        for plan in plans:
            plan.start()
            step = plan.ended(NotRun(Reason.SHED), 0.0, is_sent=True)
            self.assertIs(step, Step.RETRY)
        plans[0].start()
        self.assertFalse(plans[1].may_start())
        self.assertEqual(budget.tokens, 0.0)

    def test_layers_do_not_multiply(self):
        self.assertEqual(requests_at_the_last_layer(12, attempt=1), 25)


def requests_at_the_last_layer(layers: int, attempt: int) -> int:
    """Return how many requests reach the backend servers when all of them fail."""
    if not layers:
        return 1
    budget = ExtraBudget(1.0, 100.0, 100.0)
    plan = CallPlan(True, attempt == 1, DEADLINE, budget)
    requests, step = 0, Step.RETRY
    while step is Step.RETRY:
        number = attempt + plan.start() - 1
        requests += requests_at_the_last_layer(layers - 1, number)
        step = plan.ended(Unknown(Reason.BROKEN), 0.0, is_sent=True)
    return requests


class StoppingInstanceTest(unittest.TestCase):
    """A call of an instance that stops starts no attempt that it may have to cut."""

    def test_call_that_was_refused_is_not_sent_again_too_late(self):
        # A second attempt after "not run" was started and cut at the end of the stop.
        times = StopTimes(SLOW / 2, SLOW / 2, DEADLINE)
        result = forward(['slow shed', 'answer'], repeatable=False, stop_times=times)
        self.assertEqual(result.pool.reached, ['slow shed'])
        self.assertIs(result.outcome.reason, Reason.STOPPING)
        self.assertIsInstance(result.outcome, NotRun)

    def test_call_in_flight_is_not_hedged_too_late(self):
        # A hedge is an attempt like any other.
        times = StopTimes(HEDGE_DELAY / 2, HEDGE_DELAY / 2, DEADLINE)
        result = forward(
            ['slow', 'answer'], repeatable=True, tokens=10.0, stop_times=times
        )
        self.assertEqual(result.pool.reached, ['slow'])
        self.assertIsInstance(result.outcome, Answered)

    def test_call_that_ends_in_time_is_sent_again_and_hedged(self):
        # Refusing more than has to be refused costs callers an answer.
        times = StopTimes(0.0, 0.0, DEADLINE + 1)
        result = forward(['slow shed', 'answer'], repeatable=False, stop_times=times)
        self.assertEqual(result.pool.reached, ['slow shed', 'answer'])
        result = forward(
            ['slow', 'answer'], repeatable=True, tokens=10.0, stop_times=times
        )
        self.assertEqual(result.pool.reached, ['slow', 'answer'])


async def drop_service(forwarder: Forwarder) -> None:
    """Apply a configuration without the service and its servers to a call in flight."""
    await trio.sleep(HEDGE_DELAY / 2)
    config = AcceptedConfig(document=Document())
    forwarder.directory.update(config)
    forwarder.health.update(config)


class DroppedServiceTest(unittest.TestCase):
    """A version of the configuration drops a service with calls in flight."""

    def test_hedge_to_a_dropped_service_does_not_end_the_instance(self):
        # The hedge chose a server that had no address any more, and the error ended the
        # process with all its requests.
        result = forward(
            ['slow', 'answer'], repeatable=True, tokens=10.0, meanwhile=drop_service
        )
        self.assertEqual(result.outcome, Answered(200))
        self.assertEqual(result.pool.reached, ['slow'])

    def test_second_attempt_at_a_dropped_service_is_refused(self):
        # The same choice, after a refusal of the first server.
        result = forward(
            ['slow shed', 'answer'], repeatable=False, meanwhile=drop_service
        )
        self.assertEqual(result.pool.reached, ['slow shed'])
        self.assertIsInstance(result.outcome, NotRun)

    def test_error_of_a_hedge_does_not_end_the_instance(self):
        # An error in the hedge of one call must not end the others.
        with (
            mock.patch.object(CallRunner, 'launch_hedge', side_effect=KeyError('x')),
            self.assertLogs('routing', 'ERROR'),
        ):
            result = forward(['slow'], repeatable=True, tokens=10.0)
        self.assertEqual(result.outcome, Answered(200))

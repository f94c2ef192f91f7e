"""Servers that request rest periods, on an emulated platform in one event loop."""

import unittest
from functools import partial
from random import Random

import trio

from catkinslip.admission.restricted import (
    EARLY_RETRY_SECONDS,
    MAX_EARLY_RETRY_SECONDS,
    restricted_retry_after,
)
from catkinslip.admission.waiting import AdmissionSettings, WaitingCall
from catkinslip.config.documents import (
    AcceptedConfig,
    Backend,
    Document,
    Register,
    Service,
)
from catkinslip.entry import metrics_page
from catkinslip.resting.signals import MALFORMED_REST, NO_REST, RestSignal
from catkinslip.routing.base import AttemptResult, BackendLoad, ResultKind
from catkinslip.routing.directory import Directory
from catkinslip.routing.gates import Closure, RestrictionReason
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.signals import AnswerKind
from standins.workers import Fault
from tests.small_platform import SmallPlatform, on_platform, wait_for

NOW = 100.0
REST_SECONDS = 3.0


def router_of(*server_ids: str) -> ServiceRouter:
    """Return a router of some servers."""
    router = ServiceRouter(LeastInFlight(Random(1)))
    router.update(Service(), servers(*server_ids), NOW)
    return router


def servers(*server_ids: str, incarnation: int = 0) -> dict[str, Backend]:
    """Return the entries of some servers."""
    return {
        server_id: Backend(
            'one', zone='zone-a', host='10.0.0.1', port=80, incarnation=incarnation
        )
        for server_id in server_ids
    }


def request_rest(router: ServiceRouter, server_id: str, now: float = NOW) -> None:
    """Apply a refusal that requests a rest period."""
    signals = ServerSignals(rest=RestSignal(REST_SECONDS))
    load = router.load_by_id[server_id]
    router.apply_signals(load, signals, AnswerKind.REFUSAL, now, now)


def apply_success(
    router: ServiceRouter, server_id: str, sent_at: float, now: float
) -> None:
    """Apply a success without a rest period."""
    signals = ServerSignals(rest=NO_REST)
    load = router.load_by_id[server_id]
    router.apply_signals(load, signals, AnswerKind.ANSWER, sent_at, now)


async def resting(platform: SmallPlatform, *server_ids: str) -> None:
    """Start servers that have just requested a rest period from the only instance."""
    for server_id in server_ids:
        await platform.add_worker(server_id, fault=Fault.SHED, rest=b'60')
    entry = await platform.add_entry()
    await wait_for(lambda: len(entry.assembler.current_backends) == len(server_ids))
    router = entry.sampler.health.directory.router_by_service['one']
    while len(router.rest.registry.resting(entry.sampler.clock.monotonic())) < len(
        server_ids
    ):
        await platform.send('POST', '/p/x', request_id='first')


def arrived(platform: SmallPlatform, server_id: str) -> tuple[int, int]:
    """Return how many requests and probes arrived at a server."""
    worker = platform.worker_by_id[server_id]
    return len(worker.arrived_at), worker.probes


class ObservabilityTest(unittest.TestCase):
    """Logs and metrics of a server that requests a rest period."""

    def test_log_and_metrics_show_the_rest_period(self):
        async def check(platform):
            await platform.add_worker('i-1', fault=Fault.SHED, rest=b'3')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs(level='INFO') as logs:
                answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            text = '\n'.join(record.getMessage() for record in logs.records)
            self.assertIn(
                'i-1 requested a rest period. seconds=3 left_s=3.0 by=refusal', text
            )
            self.assertIn('r1 one may go elsewhere, i-1 ended as not run, shed.', text)
            self.assertIn('r1 one is refused, 1 servers that asked for rest', text)
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_resting_backends{service="one"} 1', page)
            self.assertIn('catkinslip_rest_events_total{event="asked"} 1', page)

        on_platform(check)


class KindsOfSendTest(unittest.TestCase):
    """No kind of request is sent to a server in a rest period."""

    def test_second_send_after_a_refusal_and_probes(self):
        async def check(platform):
            await resting(platform, 'i-1')
            await platform.add_worker('i-2', fault=Fault.SHED)
            backends = platform.entries[0].assembler
            await wait_for(lambda: len(backends.current_backends) == 2)
            before = arrived(platform, 'i-1')
            for number in range(5):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 503)
            self.assertGreater(platform.worker_by_id['i-2'].sheds, 0)
            self.assertEqual(arrived(platform, 'i-1'), before)

        on_platform(check)

    def test_hedge(self):
        async def check(platform):
            await resting(platform, 'i-1')
            await platform.add_worker('i-2', fault=Fault.SILENT)
            backends = platform.entries[0].assembler
            await wait_for(lambda: len(backends.current_backends) == 2)
            before = arrived(platform, 'i-1')
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(partial(platform.get, request_id=f'r{number}'))
            self.assertEqual(arrived(platform, 'i-1'), before)

        on_platform(check)

    def test_silent_server_that_asked_for_rest_is_not_probed(self):
        async def check(platform):
            await resting(platform, 'i-1')
            entry = platform.entries[0]
            router = entry.sampler.health.directory.router_by_service['one']
            router.mark_silent('i-1')
            before = arrived(platform, 'i-1')
            await trio.sleep(1.2)
            self.assertEqual(arrived(platform, 'i-1'), before)

        on_platform(check)

    def test_call_is_refused_at_once_if_all_servers_rest(self):
        async def check(platform):
            await resting(platform, 'i-1', 'i-2')
            before = arrived(platform, 'i-1'), arrived(platform, 'i-2')
            began = trio.current_time()
            answer = await platform.send('POST', '/p/x', request_id='r9')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('resting', answer.text)
            self.assertLess(trio.current_time() - began, 1.0)
            self.assertGreaterEqual(float(answer.headers['retry-after']), 0.05)
            after = arrived(platform, 'i-1'), arrived(platform, 'i-2')
            self.assertEqual(after, before)

        on_platform(check)

    def test_promised_request_is_not_sent_once_the_server_asked_for_rest(self):
        router = router_of('a')
        permits = router.reserve('a', NOW)
        load = router.started('a', NOW)
        request_rest(router, 'a')
        self.assertFalse(router.may_send(load, permits, NOW + 0.1))
        self.assertTrue(router.may_send(load, permits, NOW + REST_SECONDS))

    def test_resting_server_takes_no_share(self):
        router = router_of('a', 'b')
        load = router.load_by_id['a']
        request_rest(router, 'a')
        self.assertFalse(router.takes_full_share(load, NOW + 1))
        self.assertTrue(router.takes_full_share(load, NOW + REST_SECONDS))


class EndTest(unittest.TestCase):
    """Events that end a rest period, and events that do not."""

    def test_one_request_after_the_other_tries_a_server_until_it_takes_one(self):
        router = router_of('a')
        request_rest(router, 'a')
        self.assertIsNone(router.choose(NOW + 2.9))
        rest_ended_at = NOW + REST_SECONDS
        self.assertEqual(router.choose(rest_ended_at).backend_id, 'a')
        router.started('a', rest_ended_at)
        self.assertIsNone(router.choose(rest_ended_at))
        # The trial request failed, so the next request is the trial.
        router.finished('a', AttemptResult(ResultKind.FAILED, 0.1), rest_ended_at + 0.1)
        self.assertEqual(router.choose(rest_ended_at + 0.2).backend_id, 'a')
        router.started('a', rest_ended_at + 0.2)
        apply_success(router, 'a', rest_ended_at + 0.2, rest_ended_at + 0.3)
        self.assertEqual(router.choose(rest_ended_at + 0.3).backend_id, 'a')

    def test_answer_to_a_request_of_before_ends_nothing(self):
        router = router_of('a')
        router.started('a', NOW - 1)
        request_rest(router, 'a')
        apply_success(router, 'a', NOW - 1, NOW + 0.2)
        self.assertIsNone(router.choose(NOW + 1))

    def test_request_of_before_that_still_runs_is_no_trial(self):
        router = router_of('a')
        router.started('a', NOW - 1)
        request_rest(router, 'a')
        self.assertEqual(router.choose(NOW + REST_SECONDS).backend_id, 'a')

    def test_entry_that_expires_and_returns_ends_no_rest(self):
        router = router_of('a')
        request_rest(router, 'a')
        router.update(Service(), {}, NOW)
        router.update(Service(), servers('a'), NOW + 0.5)
        self.assertIsNone(router.choose(NOW + 1))
        self.assertIsNotNone(router.choose(NOW + REST_SECONDS))

    def test_next_start_of_a_server_does_not_rest(self):
        router = router_of('a')
        request_rest(router, 'a')
        router.update(Service(), servers('a', incarnation=7), NOW)
        self.assertIsNotNone(router.choose(NOW + 1))

    def test_service_that_is_removed_and_returns_ends_no_rest(self):
        directory = Directory(lambda: LeastInFlight(Random(1)))
        document = Document(Register({'one': Service()}, servers('a')))
        directory.update(AcceptedConfig(document=document))
        router = directory.router_by_service['one']
        request_rest(router, 'a', directory.clock.monotonic())
        directory.update(AcceptedConfig())
        directory.update(AcceptedConfig(document=document))
        router = directory.router_by_service['one']
        self.assertIsNone(router.choose(directory.clock.monotonic()))


class MalformedTest(unittest.TestCase):
    """A rest period that cannot be parsed."""

    def test_it_neither_rests_a_server_nor_puts_it_on_trial(self):
        router = router_of('a')
        load = router.load_by_id['a']
        signals = ServerSignals(rest=MALFORMED_REST)
        router.apply_signals(load, signals, AnswerKind.REFUSAL, NOW, NOW)
        router.started('a', NOW + 1)
        self.assertEqual(router.choose(NOW + 1).backend_id, 'a')


class RetryTest(unittest.TestCase):
    """Retry time of calls that found only servers in rest periods."""

    def retry(self, wait: float, *, is_late: bool = False) -> float:
        """Return the retry time of a call with 0.4 s until its deadline."""
        closure = Closure(RestrictionReason.REST, 1, wait)
        waiting = WaitingCall(
            AdmissionSettings(), NOW, NOW + 0.4, NOW + 3, NOW + 3, 0.4, is_late=is_late
        )
        return restricted_retry_after(closure, waiting, Random(1), NOW)

    def test_rest_that_ends_in_time_is_waited_for(self):
        self.assertGreaterEqual(self.retry(0.2), 0.2)
        self.assertLess(self.retry(0.2), 0.4)

    def test_another_instance_may_have_room_where_the_rest_lasts(self):
        self.assertGreaterEqual(self.retry(2.0), EARLY_RETRY_SECONDS)
        self.assertLessEqual(self.retry(2.0), MAX_EARLY_RETRY_SECONDS)

    def test_late_call_comes_back_later(self):
        self.assertGreater(self.retry(2.0, is_late=True), 0.5)


class RestoredTest(unittest.TestCase):
    """A rest period belongs to one start of a server."""

    def test_rest_holds_for_the_server_as_it_is_known_now(self):
        router = router_of('a')
        request_rest(router, 'a')
        router.update(Service(), {}, NOW)
        router.update(Service(), servers('a'), NOW)
        rest = router.rest.registry.rest_by_id['a']
        self.assertIs(rest.load, router.load_by_id['a'])
        self.assertIsInstance(rest.load, BackendLoad)


if __name__ == '__main__':
    unittest.main()

"""Servers that advertise a rate, on the users' platform, in one event loop."""

import unittest
from functools import partial
from math import inf
from random import Random
from types import SimpleNamespace

import orjson
import trio

from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.admission.work import WorkTimes
from catkinslip.config.documents import Backend, Service
from catkinslip.entry import metrics_page
from catkinslip.health.base import NoSampler
from catkinslip.health.sharing import MAX_DATAGRAM_BYTES
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun
from catkinslip.proxy.server_wait import ServerWait
from catkinslip.routing.base import BackendLoad, Choice
from catkinslip.routing.directory import Directory
from catkinslip.routing.gates import Gates
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.gossip import MAX_RATES, RateGossip
from catkinslip.throttling.messages import RateReport
from catkinslip.throttling.registry import AdvertisedRate
from catkinslip.throttling.signals import NO_RATE, AnswerKind, RateSignal
from catkinslip.warmup.gate import ColdGate
from catkinslip.warmup.quotas import Sender
from catkinslip.warmup.senders import SenderPosition
from catkinslip.wiring.entry import Entry
from standins.workers import Fault
from tests.small_platform import SmallPlatform, on_platform, wait_for

NOW = 100.0
SENDER = Sender('zone-a', 0)


def sender_gate(per_second: float) -> ThrottleGate:
    """Return the gate of an instance that may send at a rate to a throttled server."""
    return ThrottleGate(
        lambda *_: {SENDER: per_second}, lambda: SenderPosition(SENDER, is_recent=True)
    )


async def start_sender(platform: SmallPlatform) -> Entry:
    """Start a server with a high advertised rate and an instance that may use it."""
    await platform.add_worker('i-1', advertised_rate=b'50')
    entry = await platform.add_entry()
    lease = entry.instances.sender_lease
    await wait_for(lambda: lease.listed_since < inf)
    lease.listed_since -= 60
    return entry


def throttle_of(entry: Entry) -> ThrottleGate:
    """Return an instance's gate for the throttled servers of the one service."""
    return entry.sampler.health.directory.router_by_service['one'].throttle


async def start_throttled_servers(
    platform: SmallPlatform, server_ids: tuple[str, ...], instances: int = 1
) -> None:
    """Start throttled servers, and instances that list one another.

    Returns when the first instance has received the rates of all servers.
    """
    for server_id in server_ids:
        await platform.add_worker(
            server_id, advertised_rate=b'0.1', is_rate_in_all_answers=True
        )
    for _ in range(instances):
        entry = await platform.add_entry()
        await wait_for(lambda e=entry: e.instances.sender_lease.listed_since < inf)
    for entry in platform.entries:
        await wait_for(
            lambda e=entry: len(e.instances.serving_peers()) == instances - 1
        )
    first = platform.entries[0]
    while len(throttle_of(first).registry.active_rates()) < len(server_ids):
        await platform.send('POST', '/p/x', request_id='first')


def choose(router: ServiceRouter, *, is_suspect: bool) -> Choice | NotRun | None:
    """Choose a server for a call."""
    call = Call(
        request_id='r1',
        service='one',
        method=b'GET',
        target=b'/',
        headers=[],
        body=b'',
        repeatable=True,
        deadline=NOW + 1,
        is_suspect=is_suspect,
    )
    limits = SimpleNamespace(
        settings=SimpleNamespace(admission=AdmissionSettings()), work=WorkTimes()
    )
    health = SimpleNamespace(choose=lambda router, tried: router.choose(NOW, tried))
    clock = SimpleNamespace(monotonic=lambda: NOW)
    wait = ServerWait(
        call, limits, router, health, NoSampler(), clock, Random(1), began=NOW
    )
    return trio.run(wait.choose, [])


class LogsAndMetricsTest(unittest.TestCase):
    """Logs and metrics about a server that advertises a rate."""

    def test_log_lines_and_metrics_show_the_rate(self):
        async def check(platform):
            await platform.add_worker('i-1', advertised_rate=b'1.2')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs(level='INFO') as logs:
                answers = [
                    await platform.send('POST', '/p/x', request_id=f'r{number}')
                    for number in range(2)
                ]
            text = '\n'.join(record.getMessage() for record in logs.records)
            self.assertIn('i-1 advertises a rate. per_second=1.2 by=answer', text)
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_throttled_backends{service="one"} 1', page)
            self.assertIn('catkinslip_rate_events_total{event="named"} 1', page)
            # The instance has not been listed for long enough to be a sender.
            self.assertEqual([it.status_code for it in answers], [200, 503])
            self.assertIn('throttled', answers[1].text)
            self.assertIn('r1 one is refused, 1 servers in need at their rates', text)

        on_platform(check)

    def test_choice_is_logged_with_the_known_rate(self):
        async def check(platform):
            await start_sender(platform)
            await platform.send('POST', '/p/x')
            await trio.sleep(0.1)
            with self.assertLogs('routing', 'INFO') as logs:
                answer = await platform.send('POST', '/p/x', request_id='r2')
            self.assertEqual(answer.status_code, 200)
            text = '\n'.join(record.getMessage() for record in logs.records)
            self.assertRegex(text, r'r2 one goes to i-1, .* rate=50\.')

        on_platform(check)


class KindsOfSendTest(unittest.TestCase):
    """The rate as a limit for every kind of send."""

    def test_second_send_after_a_refusal(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',))
            await platform.add_worker('i-2', fault=Fault.SHED)
            backends = platform.entries[0].assembler
            await wait_for(lambda: len(backends.current_backends) == 2)
            before = len(platform.worker_by_id['i-1'].arrived_at)
            for number in range(5):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 503)
            self.assertGreater(platform.worker_by_id['i-2'].sheds, 0)
            self.assertEqual(len(platform.worker_by_id['i-1'].arrived_at), before)

        on_platform(check)

    def test_hedge(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',))
            await platform.add_worker('i-2', fault=Fault.SILENT)
            backends = platform.entries[0].assembler
            await wait_for(lambda: len(backends.current_backends) == 2)
            before = len(platform.worker_by_id['i-1'].arrived_at)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    get = partial(platform.get, request_id=f'r{number}')
                    nursery.start_soon(get)
            self.assertEqual(len(platform.worker_by_id['i-1'].arrived_at), before)

        on_platform(check)

    def test_call_is_refused_at_once_when_all_servers_are_throttled(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1', 'i-2'))
            began = trio.current_time()
            answer = await platform.send('POST', '/p/x', request_id='r9')
            self.assertEqual(answer.status_code, 503)
            self.assertLess(trio.current_time() - began, 1.0)
            # Another instance may have a turn, now or after the throttling.
            self.assertGreaterEqual(float(answer.headers['retry-after']), 0.05)
            self.assertEqual(platform.runs('r9'), 0)

        on_platform(check)

    def test_server_chosen_before_it_advertised_a_rate(self):
        load = BackendLoad('i-1', 'zone-a', 2)
        gate = ThrottleGate(lambda *_: {SENDER: 1.0})
        gates = Gates((gate,))
        permits = gates.reserve(load, NOW)
        gate.registry.apply_answer(load, RateSignal(1.0), AnswerKind.ANSWER, NOW, NOW)
        self.assertFalse(gates.may_send(load, permits, NOW))
        gate.place = lambda: SenderPosition(SENDER, is_recent=True)
        self.assertTrue(gates.may_send(load, permits, NOW))
        self.assertFalse(gates.may_send(load, permits, NOW + 0.9))

    def test_cold_throttled_server_needs_permits_of_both_gates(self):
        load = BackendLoad('i-1', 'zone-a', 2)
        throttle = sender_gate(1.0)
        cold = ColdGate(lambda *_: {SENDER: 2}, lambda: SENDER)
        cold.configure(3.0, 2.0)
        gates = Gates((cold, throttle))
        cold.mark_cold(load, 60.0, NOW, 'test')
        self.assertTrue(gates.may_send(load, gates.reserve(load, NOW), NOW))
        throttle.registry.apply_answer(
            load, RateSignal(1.0), AnswerKind.ANSWER, NOW, NOW
        )
        throttle.find(load, NOW).count_sent(NOW)
        # A request that one gate refuses is not counted by the other.
        for _ in range(5):
            self.assertFalse(gates.may_send(load, (None, None), NOW + 0.5))
        self.assertEqual(len(cold.find(load, NOW).sent_at), 1)
        self.assertTrue(gates.may_send(load, (None, None), NOW + 1.0))

    def test_entry_that_expires_and_returns_opens_no_turn(self):
        document = {'i-1': Backend('one', zone='zone-a', host='10.0.0.1', port=80)}
        gate = sender_gate(1.0)
        router = ServiceRouter(LeastInFlight(Random(1)), throttle=gate)
        router.update(Service(), document, NOW)
        load = router.load_by_id['i-1']
        gate.registry.apply_answer(load, RateSignal(1.0), AnswerKind.ANSWER, NOW, NOW)
        self.assertTrue(router.gates.may_send(load, router.reserve('i-1', NOW), NOW))
        router.update(Service(), {}, NOW)
        self.assertEqual(gate.closed(NOW), [])
        router.update(Service(), document, NOW + 0.5)
        self.assertIsNone(router.choose(NOW + 0.5))
        load = router.load_by_id['i-1']
        permits = router.reserve('i-1', NOW + 0.5)
        self.assertFalse(router.gates.may_send(load, permits, NOW + 0.5))
        self.assertEqual(router.choose(NOW + 1.0).backend_id, 'i-1')

    def test_suspect_request_is_not_sent_to_a_throttled_server(self):
        gate = sender_gate(1.0)
        router = ServiceRouter(LeastInFlight(Random(1)), throttle=gate)
        backend = Backend('one', zone='zone-a', host='10.0.0.1', port=80)
        router.update(Service(), {'i-1': backend}, NOW)
        load = router.load_by_id['i-1']
        gate.registry.apply_answer(load, RateSignal(1.0), AnswerKind.ANSWER, NOW, NOW)
        self.assertEqual(choose(router, is_suspect=False).backend_id, 'i-1')
        self.assertIsNone(choose(router, is_suspect=True))

    def test_requests_sent_before_count_for_the_first_turn(self):
        load = BackendLoad('i-1', 'zone-a', 2)
        gate = sender_gate(0.5)
        load.record_sent(NOW - 0.5)
        gate.registry.apply_answer(load, RateSignal(1.0), AnswerKind.ANSWER, NOW, NOW)
        self.assertEqual(gate.closed(NOW + 1.4), ['i-1'])
        self.assertEqual(gate.closed(NOW + 1.5), [])


class RateGossipTest(unittest.TestCase):
    """Gossip among instances about the start and the end of throttling."""

    def test_instances_that_sent_nothing_receive_the_rate_and_its_end(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',), instances=3)
            registries = [throttle_of(entry).registry for entry in platform.entries]
            await wait_for(
                lambda: all(registry.active_rates() for registry in registries)
            )
            platform.worker_by_id['i-1'].advertised_rate = None
            # A refused call makes the instance probe the server; no request is sent for
            # it.
            await trio.sleep(0.8)
            before = len(platform.worker_by_id['i-1'].arrived_at)
            answer = await platform.send('POST', '/p/x', entry=2, request_id='r2')
            self.assertEqual(answer.status_code, 503)
            await wait_for(
                lambda: not any(registry.active_rates() for registry in registries)
            )
            self.assertEqual(len(platform.worker_by_id['i-1'].arrived_at), before)

        on_platform(check)

    def test_probes_without_a_rate_are_not_repeated(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',))
            worker = platform.worker_by_id['i-1']
            worker.is_rate_in_all_answers = False
            registry = throttle_of(platform.entries[0]).registry
            registry.rate_by_id['i-1'].kinds.clear()
            await trio.sleep(0.6)
            before = worker.probes
            for number in range(5):
                await platform.send('POST', '/p/x', request_id=f'r{number}')
                await trio.sleep(0.1)
            self.assertEqual(worker.probes, before + 1)
            self.assertTrue(registry.active_rates())

        on_platform(check)

    def test_error_without_a_rate_does_not_end_throttling(self):
        async def check(platform):
            entry = await start_sender(platform)
            await platform.send('POST', '/p/x')
            platform.worker_by_id['i-1'].is_failing = True
            await trio.sleep(0.1)
            answer = await platform.send('POST', '/p/x', request_id='r2')
            self.assertEqual(answer.status_code, 500)
            self.assertTrue(throttle_of(entry).registry.active_rates())

        on_platform(check)

    def test_instance_that_missed_the_end_sends_a_query(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',), instances=2)
            first, second = (throttle_of(e).registry for e in platform.entries)
            await wait_for(second.active_rates)
            await trio.sleep(0.5)
            rate = first.rate_by_id['i-1']
            now = platform.entries[0].sampler.clock.monotonic()
            first.on_observation = lambda *_: None
            first.apply_answer(rate.load, NO_RATE, AnswerKind.ANSWER, now, now)
            self.assertTrue(second.active_rates())
            await wait_for(lambda: not second.active_rates())

        on_platform(check)

    def test_rates_of_another_start_and_malformed_datagrams_are_ignored(self):
        async def check(platform):
            await start_throttled_servers(platform, ('i-1',))
            sharer = platform.entries[0].sharer
            registry = throttle_of(platform.entries[0]).registry
            other = [['i-1', 7, 9.0, 0, None, 0]]
            sharer.apply_datagram(orjson.dumps({'rates': other, 'by': 'edge-9'}))
            self.assertEqual(registry.rate_by_id['i-1'].per_second, 0.1)
            for wrong in (
                {'rates': other},
                {'rates': [['i-1', 0, -1.0, 0, None, 0]], 'by': 'x'},
                {'rates': [['i-1', 0, 'nan', 0, None, 0]], 'by': 'x'},
                {'rates': [['i-1', 0, 1.0]], 'by': 'x'},
                {'rates': 3, 'by': 'x'},
                {'doubts': [['i-1']], 'by': 'x'},
                {'doubts': None, 'by': 'x'},
                {'something': 1},
            ):
                before = sharer.malformed
                sharer.apply_datagram(orjson.dumps(wrong))
                self.assertEqual(sharer.malformed, before + 1, wrong)
            self.assertEqual(registry.rate_by_id['i-1'].per_second, 0.1)

        on_platform(check)

    def test_rates_of_servers_with_long_names_fit_into_datagrams(self):
        sent = []
        gossip = RateGossip(
            'edge-1',
            Directory(LeastInFlight),
            SimpleNamespace(monotonic=lambda: NOW),
            Random(1),
            targets=list,
            find_address=lambda _: None,
            post=lambda data, _: sent.append(data),
        )
        names = [f'server-{number:02}-{"x" * 80}' for number in range(MAX_RATES)]
        rates = [
            AdvertisedRate(BackendLoad(name, 'zone-a', 2), 1.2, advertised_at=NOW - 1)
            for name in names
        ]
        gossip._send(rates, [])
        self.assertLessEqual(max(map(len, sent)), MAX_DATAGRAM_BYTES)
        sent_names = [each[0] for data in sent for each in orjson.loads(data)['rates']]
        self.assertEqual(sent_names, names)

    def test_reports_have_the_same_effect_in_any_order_and_twice(self):
        named = RateReport('i-1', 0, 2.0, advertised_seconds=3.0, cleared_seconds=None)
        ended = RateReport('i-1', 0, 2.0, advertised_seconds=3.0, cleared_seconds=1.0)
        again = RateReport('i-1', 0, 1.0, advertised_seconds=0.5, cleared_seconds=1.0)
        load = BackendLoad('i-1', 'zone-a', 2)
        for order in ((named, ended, again), (again, named, ended), (ended, again)):
            gate = ThrottleGate()
            for report in (*order, *order):
                gate.registry.apply_peer_report(load, report, NOW)
            self.assertEqual(gate.registry.find(load).per_second, 1.0)
        gate = ThrottleGate()
        for report in (ended, named, ended):
            gate.registry.apply_peer_report(load, report, NOW)
        self.assertIsNone(gate.registry.find(load))


if __name__ == '__main__':
    unittest.main()

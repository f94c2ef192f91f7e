"""Limits on the requests to cold servers, and detection of cold servers."""

import unittest
from random import Random

import trio
import trio.testing
from attrs import evolve

from catkinslip.config.documents import Backend, Service
from catkinslip.discovery.instances import InstanceTable
from catkinslip.routing.base import BackendLoad, LoadReport
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from catkinslip.warmup.gate import ColdGate
from catkinslip.warmup.quotas import (
    NEAR_SHARE,
    SENDERS_PER_ZONE,
    USED_SHARE,
    Sender,
    divide,
)
from catkinslip.warmup.senders import LISTED_SECONDS, STALE_LIST_SECONDS
from tests.discovery_builders import instance_entry
from tests.sender_builders import Site

NOW = 100.0
#: Requests a second that a cold server handles: 4.5, times 1.5 and 8 more.
BOUND = 4.5 * 1.5 + 8
ZONES = ('zone-a', 'zone-b', 'zone-c')
INSTANCES = 118
SERVICE = Service(cold_seconds=3.0, cold_requests_per_second=4.5)


class QuotaTest(unittest.TestCase):
    """The quotas of all senders add up to the bound."""

    def test_parts_add_up_to_at_most_the_bound(self):
        for zones in (ZONES[:1], ZONES, tuple(f'z{n}' for n in range(16))):
            for bound in (0.0, 0.9, 1.0, 2.2, 3.9, 6.75, BOUND, 40.0, 1000.0):
                for share in (0.0, 1 / 3, NEAR_SHARE, 1.0):
                    parts = divide(bound, 'i-1', zones[0], zones, share)
                    self.assertLessEqual(sum(parts.values()), bound)
                    used = max(bound * USED_SHARE, min(bound, 1.0))
                    self.assertEqual(sum(parts.values()), int(used))

    def test_near_senders_get_most(self):
        parts = divide(BOUND, 'i-1', 'zone-b', ZONES)
        near = [n for sender, n in parts.items() if sender.zone == 'zone-b']
        far = [n for sender, n in parts.items() if sender.zone != 'zone-b']
        self.assertEqual(near, [3, 3])
        self.assertEqual(sorted(far), [1, 1, 1, 1])

    def test_small_bound_is_left_to_the_own_zone(self):
        self.assertEqual(
            {s: n for s, n in divide(1.5, 'i-1', 'zone-b', ZONES).items() if n},
            {Sender('zone-b', 0): 1},
        )

    def test_zone_without_instances_leaves_its_part_unused(self):
        parts = divide(BOUND, 'i-1', 'zone-x', ZONES)
        self.assertGreater(sum(n for s, n in parts.items() if s.zone != 'zone-x'), 0)


def gate(sender: Sender | None = None, bound: float = BOUND) -> ColdGate:
    """Return the gate of an instance with a sender position."""
    made = ColdGate(
        lambda load, bound: divide(bound, load.backend_id, load.zone, ZONES),
        lambda: sender,
    )
    made.configure(3.0, bound)
    return made


def load(backend_id: str = 'i-1', zone: str = 'zone-a') -> BackendLoad:
    """Return the initial state of a server."""
    return BackendLoad(backend_id, zone, 3)


class GateTest(unittest.TestCase):
    """Requests of one instance to one cold server."""

    def test_quota_holds_in_any_second(self):
        cold_gate, server = gate(Sender('zone-a', 0)), load()
        cold_gate.mark_cold(server, 60.0, NOW, 'test')
        sent = []
        for step in range(3000):
            now = NOW + step / 200
            if not cold_gate.closed(now) and cold_gate.may_send(server, None, now):
                sent.append(now)
        for first, fourth in zip(sent, sent[3:], strict=False):
            self.assertGreater(fourth - first, 1.0)
        self.assertGreaterEqual(len(sent), 3 * 14)

    def test_promised_requests_count_until_they_are_given_up(self):
        cold_gate, server = gate(Sender('zone-a', 0)), load()
        cold_gate.mark_cold(server, 60.0, NOW, 'test')
        permits = [cold_gate.reserve(server, NOW) for _ in range(4)]
        self.assertEqual([permit is None for permit in permits], [False] * 3 + [True])
        self.assertEqual(cold_gate.closed(NOW), ['i-1'])
        permits[0].release()
        self.assertEqual(cold_gate.closed(NOW), [])
        # A connection took 5 s: the second is counted from the first byte.
        self.assertTrue(cold_gate.may_send(server, permits[1], NOW + 5))
        permits[1].release()
        self.assertTrue(cold_gate.may_send(server, permits[2], NOW + 5))
        self.assertTrue(cold_gate.may_send(server, None, NOW + 5))
        self.assertFalse(cold_gate.may_send(server, None, NOW + 5.5))
        # A used permit does not allow a second request.
        self.assertFalse(cold_gate.may_send(server, permits[1], NOW + 5.5))

    def test_instance_that_is_no_sender_sends_nothing(self):
        for sender in (None, Sender('zone-x', 0), Sender('zone-a', SENDERS_PER_ZONE)):
            cold_gate, server = gate(sender), load()
            cold_gate.mark_cold(server, 3.0, NOW, 'test')
            self.assertEqual(cold_gate.closed(NOW), ['i-1'])
            self.assertFalse(cold_gate.may_send(server, None, NOW))
            self.assertEqual(cold_gate.closed(NOW + 3), [])
            self.assertTrue(cold_gate.may_send(server, None, NOW + 3))

    def test_what_was_sent_before_it_turned_cold_counts(self):
        cold_gate, server = gate(Sender('zone-a', 0)), load()
        for step in range(20):
            server.record_sent(NOW + step / 10)
        cold_gate.mark_cold(server, 60.0, NOW + 2, 'test')
        self.assertEqual(cold_gate.closed(NOW + 2), ['i-1'])
        self.assertEqual(cold_gate.closed(NOW + 3.2), [])

    def test_server_that_turned_cold_since_the_choice_is_not_sent_to(self):
        cold_gate, server = gate(), load()
        self.assertIsNone(cold_gate.reserve(server, NOW))
        cold_gate.apply_report(server, 3.0, NOW)
        self.assertFalse(cold_gate.may_send(server, None, NOW))

    def test_without_a_bound_nothing_is_kept_back(self):
        cold_gate, server = gate(None, float('inf')), load()
        cold_gate.mark_cold(server, 3.0, NOW, 'test')
        self.assertEqual(cold_gate.closed(NOW), [])
        self.assertTrue(cold_gate.may_send(server, None, NOW))
        self.assertTrue(server.is_cold(NOW))

    def test_bound_that_changes_holds_at_once(self):
        cold_gate, server = gate(Sender('zone-a', 0)), load()
        cold_gate.mark_cold(server, 60.0, NOW, 'test')
        cold_gate.configure(3.0, 2.0)
        self.assertTrue(cold_gate.may_send(server, None, NOW))
        self.assertFalse(cold_gate.may_send(server, None, NOW))


class DetectionTest(unittest.TestCase):
    """Detection of cold servers."""

    def setUp(self):
        self.router = ServiceRouter(LeastInFlight(Random(1)), cold=gate())
        self.change()

    def change(self, at: float = NOW, **fields: object) -> BackendLoad:
        fields = {'cold_seconds': 0.0, 'zone': 'zone-a', **fields}
        backend = Backend('limits', host='10.0.0.1', port=80, **fields)
        self.router.change(SERVICE, {'i-1': backend}, at)
        return self.router.load_by_id['i-1']

    def cold(self, at: float = NOW) -> bool:
        return self.router.load_by_id['i-1'].is_cold(at)

    def test_entry_marks_a_server_as_cold(self):
        self.assertFalse(self.cold())
        self.change(cold_seconds=2.0)
        self.assertEqual((self.cold(NOW + 1.9), self.cold(NOW + 2)), (True, False))
        self.assertIsNone(self.router.choose(NOW))
        self.assertEqual(self.router.choose(NOW + 2).backend_id, 'i-1')

    def test_new_server_without_a_report_is_cold(self):
        load = self.change(incarnation=7, cold_seconds=None)
        self.assertEqual(load.cold_until, NOW + SERVICE.cold_seconds)

    def test_entry_without_a_cold_period_makes_no_server_cold_again(self):
        self.change(at=NOW + 60, cold_seconds=None, slots=4)
        self.assertFalse(self.cold(NOW + 60))

    def test_start_under_the_same_id_is_cold(self):
        self.change(incarnation=8, cold_seconds=3.0)
        self.assertTrue(self.cold())

    def test_probe_reports_a_cold_period_at_any_time(self):
        self.router.apply_cold_report('i-1', 2.5, NOW)
        self.assertTrue(self.cold(NOW + 2.4))
        self.router.apply_cold_report('i-1', 0.0, NOW + 1)
        self.assertFalse(self.cold(NOW + 1))

    def test_reopened_zone_is_cold_until_its_servers_report(self):
        self.router.close_zones(frozenset({'zone-a'}), NOW)
        self.assertIsNone(self.router.choose(NOW))
        self.router.close_zones(frozenset(), NOW + 9)
        self.assertIsNone(self.router.choose(NOW + 9))
        # A report from before the zone was reopened is ignored.
        self.router.apply_cold_report('i-1', 0.0, NOW + 8.9)
        self.assertTrue(self.cold(NOW + 9))
        self.router.apply_cold_report('i-1', 0.0, NOW + 9.1)
        self.assertFalse(self.cold(NOW + 9.1))
        self.assertEqual(self.router.choose(NOW + 9.1).backend_id, 'i-1')

    def test_silence_that_ends_may_be_a_start(self):
        self.router.mark_silent('i-1')
        report = LoadReport(0.0, 1.0)
        self.router.apply_peer_report('i-1', report, NOW)
        self.assertTrue(self.cold())
        self.router.mark_silent('i-1')
        self.router.apply_peer_report('i-1', report, NOW + 1)
        self.router.apply_cold_report('i-1', 0.0, NOW + 1)
        self.assertFalse(self.cold(NOW + 1))

    def test_refused_connection_may_be_a_start(self):
        self.router.mark_possibly_restarted('i-1', NOW)
        self.assertTrue(self.cold())
        self.assertIn('i-1', self.router.cold.possible_restart_at_by_id)

    def test_removed_server_is_forgotten(self):
        self.router.mark_possibly_restarted('i-1', NOW)
        self.router.change(SERVICE, {'i-1': None}, NOW)
        self.assertEqual(self.router.cold.closed(NOW), [])
        self.assertEqual(self.router.cold.possible_restart_at_by_id, {})


class ListTest(unittest.TestCase):
    """Which instances read the list of instances, which sender positions depend on."""

    def test_strongest_of_a_zone_read_it_though_callers_are_sent_to_others_first(self):
        entries = [
            evolve(instance_entry(f'e{number}', 'zone-a'), cores=2.0 + number / 10)
            for number in range(8)
        ]
        senders = set()
        for own in entries:
            table = InstanceTable(own)
            table.apply_list(entries, 1)
            for other in entries:
                table.record_answer(other.instance_id, is_ready=True)
            table.is_own_ready = True
            if table.may_be_sender():
                senders.add(own.instance_id)
        self.assertEqual(senders, {'e6', 'e7'})


class SiteTest(unittest.TestCase):
    """All instances of a site together, with different lists of instances."""

    def simulate(self, seed: int, readers: float, steps: int) -> tuple[int, float]:
        """Simulate a site; return the most senders of a zone and the greatest sum."""
        most_senders, greatest = 0, 0.0

        async def run():
            nonlocal most_senders, greatest
            random = Random(seed)
            site = Site(random, lists=[(-100.0, {})], table_by_id={})
            for number in range(INSTANCES):
                site.start_instance(random.choice(ZONES), 2.15 if number < 9 else 0.43)
            partitioned = set()
            for _ in range(steps):
                passed = random.choice((0.2, 1.0, 5.0))
                await trio.sleep(passed)
                site.now += passed
                for table in list(site.table_by_id.values()):
                    name = table.own.instance_id
                    if name not in partitioned and random.random() < readers:
                        site.read(table)
                if random.random() < 0.3:
                    # A stronger new instance takes the position of a sender.
                    site.start_instance(
                        random.choice(ZONES), random.choice((2.15, 4.0))
                    )
                if random.random() < 0.2:
                    site.stop_instance(random.choice(list(site.lists[-1][1])))
                partitioned ^= {random.choice(list(site.table_by_id))}
                positions = site.senders()
                for zone in ZONES:
                    count = sum(position.zone == zone for position in positions)
                    most_senders = max(most_senders, count)
                    parts = divide(BOUND, 'i-1', zone, ZONES)
                    total = sum(parts.get(position, 0) for position in positions)
                    greatest = max(greatest, total)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return most_senders, greatest

    def test_bound_holds_with_118_instances_and_any_partition(self):
        reached = 0.0
        for seed in range(6):
            senders, total = self.simulate(seed, readers=0.6, steps=120)
            self.assertLessEqual(senders, SENDERS_PER_ZONE)
            self.assertLessEqual(total, BOUND)
            reached = max(reached, total)
        # The cold servers do get requests.
        self.assertGreater(reached, BOUND / 2)

    def test_instance_that_leaves_or_reads_no_list_is_no_sender(self):
        async def run():
            site = Site(Random(1), lists=[(-100.0, {})], table_by_id={})
            site.start_instance('zone-a', 1.0)
            (table,) = site.table_by_id.values()
            self.assertIsNone(table.sender())
            for _ in range(round(LISTED_SECONDS + STALE_LIST_SECONDS) + 2):
                await trio.sleep(1)
                site.now += 1
                site.read(table)
            self.assertEqual(table.sender(), Sender('zone-a', 0))
            await trio.sleep(9)
            self.assertIsNone(table.sender())
            site.read(table)
            self.assertIsNotNone(table.sender())
            table.leave()
            self.assertIsNone(table.sender())

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == '__main__':
    unittest.main()

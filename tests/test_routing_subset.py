"""The subset of servers that an instance uses."""

import statistics
import unittest
from collections import Counter

from catkinslip.config.documents import Service
from catkinslip.routing.base import LoadReport
from catkinslip.routing.sample import SAMPLE_SIZE
from catkinslip.routing.subset import (
    LIGHT_REQUESTS_PER_SECOND,
    MIN_INSTANCES,
    MIN_SERVERS,
    Demand,
)
from catkinslip.warmup.gate import ColdGate
from catkinslip.warmup.quotas import Sender
from tests.subset_builders import (
    SLOTS,
    ZONES,
    backend,
    backends_of_zones,
    end,
    send,
    subset_router,
    used_ids,
)

NOW = 100.0
SERVICE = Service(SLOTS)
SERVERS = 220


class SpreadTest(unittest.TestCase):
    """Idle instances of any fleet use all servers about equally often.

    If the IDs of instances and servers were hashed apart, or each instance took the
    first servers of the list, some servers would get most of the connections.
    """

    def test_servers_are_in_equally_many_subsets(self):
        for instances in (30, 100, 300):
            count = Counter()
            for number in range(instances):
                count.update(used_ids(subset_router(number, SERVERS, instances), NOW))
            mean = instances * MIN_SERVERS / SERVERS
            each = [count[name] for name in backends_of_zones(SERVERS)]
            with self.subTest(instances=instances):
                self.assertAlmostEqual(statistics.mean(each), mean)
                # Independent draws have this variance; a bad hash has a larger one.
                self.assertLess(statistics.pvariance(each), 1.4 * mean)
                self.assertLess(max(each), mean + 4.5 * mean**0.5)

    def test_near_servers_come_first(self):
        used = subset_router(1).subset.servers((), NOW)
        self.assertEqual({load.zone for load in used}, {ZONES[1]})


class StabilityTest(unittest.TestCase):
    """A change of one server moves at most one server, and time moves none.

    A sample that was drawn anew every 5 s opened connections to other servers each
    time.
    """

    def test_removed_server_is_replaced_by_one(self):
        router = subset_router()
        before = used_ids(router, NOW)
        for name in sorted(before):
            router.change(SERVICE, {name: None}, NOW)
            after = used_ids(router, NOW)
            self.assertEqual(before - after, {name})
            self.assertEqual(len(after - before), 1)
            router.update(SERVICE, backends_of_zones(SERVERS), NOW)
            self.assertEqual(used_ids(router, NOW), before)

    def test_added_server_replaces_at_most_one(self):
        router = subset_router()
        before = used_ids(router, NOW)
        moved = 0
        for number in range(SERVERS, SERVERS + 60):
            router.change(SERVICE, {f'limits-{number}': backend(number)}, NOW)
            after = used_ids(router, NOW)
            self.assertLessEqual(len(before - after), 1)
            self.assertLessEqual(after - before, {f'limits-{number}'})
            moved += len(after - before)
            before = after
        self.assertLess(moved, 12)

    def test_other_instances_and_time_move_no_server(self):
        few, many = (subset_router(1, SERVERS, number) for number in (99, 100))
        self.assertEqual(used_ids(few, NOW), used_ids(many, NOW + 1000))


class SmallSystemTest(unittest.TestCase):
    """Small services and fleets have no subset, and are served as before."""

    def test_small_service_has_no_subset(self):
        self.assertFalse(subset_router(0, MIN_SERVERS).subset.applies)
        self.assertTrue(subset_router(0, MIN_SERVERS + 1).subset.applies)

    def test_small_fleet_has_no_subset(self):
        self.assertFalse(subset_router(0, SERVERS, 14).subset.applies)
        self.assertTrue(subset_router(0, SERVERS, MIN_INSTANCES).subset.applies)

    def test_small_fleet_chooses_as_without_subsets(self):
        with_subset, without = (subset_router(0, 40, 14) for _ in range(2))
        without.subset.is_enabled = False
        for step in range(50):
            now = NOW + step / 10
            chosen = send(with_subset, 3, now)
            self.assertEqual(chosen, send(without, 3, now))
            end(with_subset, chosen, now + 0.05)
            end(without, chosen, now + 0.05)


class GrowthTest(unittest.TestCase):
    """The subset grows at once with the load and with failures, and shrinks slowly."""

    def test_silent_servers_are_replaced_at_once(self):
        router = subset_router()
        before = used_ids(router, NOW)
        for name in before:
            router.mark_silent(name)
        after = used_ids(router, NOW)
        self.assertEqual(len(after - before), MIN_SERVERS)
        self.assertNotIn(router.choose(NOW).backend_id, before)

    def test_all_servers_are_used_if_few_are_usable(self):
        router = subset_router()
        for name in list(router.load_by_id)[5:]:
            router.mark_silent(name)
        self.assertEqual(len(used_ids(router, NOW)), SERVERS)

    def test_full_cold_paused_and_draining_servers_do_not_count(self):
        router = subset_router()
        first, second, third, fourth, *_ = router.subset.servers((), NOW)
        router.apply_peer_report(first.backend_id, LoadReport(SLOTS, 1.0), NOW)
        second.cold_until = third.paused_until = NOW + 1
        fourth.draining = True
        self.assertEqual(len(used_ids(router, NOW)), MIN_SERVERS + 3)

    def test_hot_instance_uses_what_it_needs(self):
        router = subset_router()
        ids = send(router, 20, NOW)
        self.assertGreater(len(used_ids(router, NOW)), SAMPLE_SIZE)
        self.assertGreaterEqual(router.subset.size * SLOTS, 16 * 20)
        # No server got two while others of the zone were idle.
        self.assertEqual(max(Counter(ids).values()), 1)

    def test_subset_shrinks_slowly(self):
        router = subset_router()
        end(router, send(router, 20, NOW), NOW + 0.1)
        large = len(used_ids(router, NOW + 1))
        self.assertEqual(len(used_ids(router, NOW + 5)), large)
        for second in range(6, 120):
            small = len(used_ids(router, NOW + second))
        self.assertEqual(small, MIN_SERVERS)

    def test_size_does_not_flap_at_a_step(self):
        router = subset_router()
        sizes = []
        for step in range(300):
            now = NOW + step / 10
            count = 4 + (step % 7 == 0)
            end(router, send(router, count, now), now + 0.05)
            used_ids(router, now + 0.06)
            sizes.append(router.subset.size)
        changes = sum(a != b for a, b in zip(sizes, sizes[1:], strict=False))
        self.assertLessEqual(changes, 3)

    def test_resize_is_logged_with_its_inputs(self):
        router = subset_router()
        with self.assertLogs('routing', 'INFO') as logs:
            send(router, 6, NOW)
        self.assertEqual(len(logs.output), 1)
        self.assertIn('size=64 before=32 servers=220 in_flight=5', logs.output[0])

    def test_removed_server_takes_its_requests_from_the_demand(self):
        # Requests to a removed server end unrecorded, and would count forever.
        router = subset_router()
        ids = send(router, 4, NOW)
        router.change(SERVICE, dict.fromkeys(ids), NOW)
        self.assertEqual(router.subset.demand.in_flight, 0)


class AddedServerTest(unittest.TestCase):
    """A server that was just added gets its share.

    A stable subset without it would never use it. Instances with much load take it up
    at once, as they select among all servers of their zone.
    """

    def test_hot_instances_select_it_at_once(self):
        added = 'limits-220'
        for number in (1, 4, 7):
            router = subset_router(number)
            send(router, 20, NOW)
            self.assertEqual(backend(220).zone, router.subset.zone)
            router.change(SERVICE, {added: backend(220)}, NOW)
            with self.subTest(number):
                self.assertIn(added, send(router, 40, NOW + 0.1))

    def test_server_of_an_evacuated_zone_is_not_selected(self):
        # It joined the sample, from which closed zones are not filtered.
        router = subset_router(1)
        router.close_zones(frozenset({router.subset.zone}), NOW)
        send(router, 20, NOW)
        router.change(SERVICE, {'limits-220': backend(220)}, NOW)
        self.assertNotIn('limits-220', send(router, 40, NOW + 0.1))

    def test_fleet_gives_it_its_share_in_four_seconds(self):
        # Six of 30 instances have nearly all the load, as with home sets.
        added = 'limits-220'
        routers = [subset_router(number, SERVERS, 30) for number in range(30)]
        for router in routers[:6]:
            end(router, send(router, 20, NOW), NOW + 0.1)
            router.sample.get(router.loads, NOW + 0.1)
        for router in routers:
            router.change(SERVICE, {added: backend(220)}, NOW + 0.1)
        count = Counter()
        for step in range(20):
            now = NOW + 0.2 + step / 5
            for number, router in enumerate(routers):
                ids = send(router, 10 if number < 6 else step % 5 == 0, now)
                count.update(ids)
                end(router, ids, now + 0.1)
        zone = routers[0].load_by_id[added].zone
        near = [load.backend_id for load in routers[0].loads if load.zone == zone]
        mean = statistics.mean(count[name] for name in near)
        self.assertGreater(count[added], 0.5 * mean)
        self.assertLess(count[added], 3 * mean)

    def test_it_is_in_as_many_subsets_as_others(self):
        count = Counter()
        for number in range(300):
            router = subset_router(number)
            router.change(SERVICE, {'limits-220': backend(220)}, NOW)
            count.update(used_ids(router, NOW))
        mean = statistics.mean(count.values())
        self.assertLess(abs(count['limits-220'] - mean), 4 * mean**0.5)

    def test_cold_server_is_used_by_its_sender_within_the_quota(self):
        # Only a few senders may send to a cold server: a subset without it would leave
        # it without any request, and one that ignored the quota would overload it.
        sender = Sender(ZONES[0], 0)
        router = subset_router()
        router.cold = ColdGate(lambda load, bound: {sender: 2}, lambda: sender)
        router.gates.gates = (router.throttle, router.cold, router.rest)
        router.cold.configure(5.0, 2.0)
        outside = next(
            name for name in router.load_by_id if name not in used_ids(router, NOW)
        )
        router.cold.mark_cold(router.load_by_id[outside], 5.0, NOW, 'test')
        used = [load.backend_id for load in router._used((), NOW)]
        self.assertIn(outside, used)
        load = router.load_by_id[outside]
        for _ in range(2):
            permits = router.reserve(outside, NOW)
            self.assertTrue(router.may_send(load, permits, NOW))
        self.assertFalse(router.may_send(load, router.reserve(outside, NOW), NOW))
        self.assertNotEqual(router.choose(NOW).backend_id, outside)
        self.assertNotIn(outside, [each.load.backend_id for each in router.rank(NOW)])

    def test_cold_server_is_left_out_by_others(self):
        router = subset_router()
        router.cold.configure(5.0, 2.0)
        cold = sorted(used_ids(router, NOW))[0]
        router.cold.mark_cold(router.load_by_id[cold], 5.0, NOW, 'test')
        self.assertNotIn(cold, [each.load.backend_id for each in router.rank(NOW)])


class LightTest(unittest.TestCase):
    """An instance with little load prefers the servers that it is connected to."""

    def test_good_connected_server_is_selected(self):
        router = subset_router()
        connected = sorted(used_ids(router, NOW))[3]
        router.is_connected = lambda load: load.backend_id == connected
        for name in used_ids(router, NOW):
            router.apply_peer_report(name, LoadReport(0, 1.0), NOW)
        self.assertEqual(send(router, 1, NOW), [connected])

    def test_connected_server_with_an_old_report_is_not_preferred(self):
        # Its speed may have changed, and there is no probe left to find out. With such
        # a preference callers got 0.90 of the worth of their requests, not 0.95.
        router = subset_router()
        connected, fresh = sorted(used_ids(router, NOW))[3:5]
        router.is_connected = lambda load: load.backend_id == connected
        for name in used_ids(router, NOW):
            router.apply_peer_report(name, LoadReport(1, 1.0), NOW)
        router.apply_peer_report(connected, LoadReport(0, 1.0), NOW + 0.01)
        router.apply_peer_report(fresh, LoadReport(0, 1.0), NOW + 4.99)
        self.assertEqual(send(router, 1, NOW + 5), [fresh])

    def test_full_connected_server_is_not_selected(self):
        router = subset_router()
        connected = sorted(used_ids(router, NOW))[3]
        router.is_connected = lambda load: load.backend_id == connected
        router.apply_peer_report(connected, LoadReport(SLOTS, 1.0), NOW)
        self.assertNotEqual(send(router, 1, NOW), [connected])

    def test_demand_is_light_until_it_grows(self):
        demand = Demand()
        now = NOW
        for _ in range(30):
            now += 1.0
            demand.record_start(now)
            demand.record_end(0.1, now + 0.1)
            self.assertTrue(demand.is_light(now + 0.1))
        for _ in range(int(4 * LIGHT_REQUESTS_PER_SECOND)):
            now += 1 / (4 * LIGHT_REQUESTS_PER_SECOND)
            demand.record_start(now)
            demand.record_end(0.01, now)
        self.assertFalse(demand.is_light(now))


if __name__ == '__main__':
    unittest.main()

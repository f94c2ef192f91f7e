"""Failures, one at a time: the bound holds, and below it most requests pass."""

import unittest
from unittest import mock

from attrs import evolve

from catkinslip.proxy.outcomes import NotRun
from catkinslip.quotas.slots import key_of, slot_of
from catkinslip.quotas.view import FleetView
from tests.quota_builders import (
    BOUNDS,
    Fleet,
    config_of,
    home_names,
    limited,
    make_fleet,
)

HOMES = home_names()
RATE, BURST = 100.0, 100.0
ALLOWED = BOUNDS.largest(RATE, BURST)
OVERLOAD = 5 * RATE
BELOW = 0.6 * RATE


def busy_fleet(per_second: float, **fields: object) -> Fleet:
    """Return a fleet with one workspace whose requests enter at all home instances."""
    fleet = make_fleet(config_of(a=limited(RATE, BURST)), others=2, **fields)
    fleet.load('a', per_second, list(HOMES), 40)
    fleet.run(6)
    return fleet


def pool_of(fleet: Fleet, workspace: str = 'a') -> str:
    """Return the pool that the first home instance uses for a workspace."""
    quotas = fleet.node_by_name[HOMES[0]].quotas
    return quotas.choice.pool_by_slot[slot_of(key_of(workspace))]


def callers_elsewhere(fleet: Fleet, without: str, per_second: float) -> None:
    """Send a workspace's requests to all home instances but one."""
    fleet.forget()
    fleet.load('a', per_second, [each for each in HOMES if each != without], 20)


class FailureTest(unittest.TestCase):
    """Each test brings about one failure."""

    def assert_bound(self, fleet: Fleet, allowed: float = ALLOWED) -> None:
        self.assertLessEqual(fleet.largest_window('a'), allowed)

    def test_killed_pool_is_replaced(self):
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.node_by_name[pool].is_dead = True
        callers_elsewhere(fleet, pool, BELOW)
        fleet.run(1.5)
        self.assertNotEqual(pool_of(fleet), pool)
        fleet.forget()
        fleet.run(15)
        # One of six shares is gone, and 0.83 of the limit is above the load.
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_killed_pool_stops_a_workspace_for_at_most_a_second_and_a_half(self):
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.node_by_name[pool].is_dead = True
        callers_elsewhere(fleet, pool, BELOW)
        fleet.run(10)
        refused = fleet.sent['a'] - fleet.passed['a']
        self.assertLess(refused, 1.5 * BELOW)

    def test_frozen_pool_that_resumes_has_no_old_permits(self):
        # Its bucket was full, and its socket's buffer holds leases and asks.
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.node_by_name[pool].is_frozen = True
        callers_elsewhere(fleet, pool, OVERLOAD)
        fleet.run(6)
        fleet.node_by_name[pool].resume()
        fleet.run(12)
        self.assert_bound(fleet)

    def test_pool_that_resumes_within_a_lease(self):
        fleet = busy_fleet(OVERLOAD)
        for _ in range(6):
            fleet.node_by_name[pool_of(fleet)].is_frozen = True
            fleet.run(0.5)
            for node in fleet.node_by_name.values():
                if node.is_frozen:
                    node.resume()
            fleet.run(0.7)
        self.assert_bound(fleet)

    def test_frozen_holder_that_resumes_has_no_old_permits(self):
        fleet = busy_fleet(OVERLOAD)
        for name in HOMES[:3]:
            fleet.node_by_name[name].is_frozen = True
        fleet.run(7)
        for name in HOMES[:3]:
            fleet.node_by_name[name].resume()
        fleet.run(6)
        self.assert_bound(fleet)

    def test_killed_pool_is_replaced_at_an_instance_outside_the_home_sets(self):
        # It chooses pools only each second, and asks for single permits.
        fleet = make_fleet(config_of(a=limited(RATE, BURST)), others_serve=True)
        pool = pool_of(fleet)
        fleet.node_by_name[pool].is_dead = True
        fleet.load('a', 5, ['other-1'], 20)
        fleet.run(3)
        fleet.forget()
        fleet.run(15)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_pool_whose_answers_are_lost_is_avoided(self):
        # Its peers reach it, and it does not reach them.
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.cut = {(pool, other) for other in fleet.node_by_name}
        callers_elsewhere(fleet, pool, BELOW)
        fleet.run(1.5)
        fleet.forget()
        fleet.run(10)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)
        self.assert_bound(fleet)

    def test_pool_that_gets_no_messages_is_avoided(self):
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.cut = {(other, pool) for other in fleet.node_by_name}
        callers_elsewhere(fleet, pool, BELOW)
        fleet.run(1.5)
        fleet.forget()
        fleet.run(10)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_pool_comes_back_when_it_answers_again(self):
        fleet = busy_fleet(0)
        pool = pool_of(fleet)
        fleet.cut = {(pool, other) for other in fleet.node_by_name}
        fleet.run(3)
        fleet.cut = set()
        fleet.run(2)
        self.assertEqual(pool_of(fleet), pool)

    def test_partition_in_two(self):
        fleet = busy_fleet(OVERLOAD)
        sides = HOMES[:3], HOMES[3:]
        fleet.cut = {(a, b) for a in sides[0] for b in sides[1]}
        fleet.cut |= {(b, a) for a, b in fleet.cut}
        fleet.run(10)
        self.assert_bound(fleet)
        at = fleet.now
        passed = sum(1 for when, _ in fleet.passes if when > at - 5)
        # Both sides together still generate the whole limit.
        self.assertGreaterEqual(passed, 0.9 * 5 * RATE)
        fleet.cut = set()
        fleet.run(10)
        self.assert_bound(fleet)

    def test_each_instance_alone(self):
        homes = home_names(zones=5, size=8)
        fleet = make_fleet(config_of(a=limited(RATE, BURST)), homes, others=0)
        fleet.cut = {(a, b) for a in homes for b in homes if a != b}
        fleet.load('a', 2 * OVERLOAD, list(homes), 15)
        fleet.run(16)
        self.assert_bound(fleet)

    def test_restart_of_all(self):
        fleet = busy_fleet(OVERLOAD)
        for node in fleet.node_by_name.values():
            node.start()
        fleet.run(1.2)
        passed = fleet.passed['a']
        fleet.run(3)
        # After the leases of the earlier start have ended, the full rate is there.
        self.assertGreaterEqual(fleet.passed['a'] - passed, 0.9 * 3 * RATE)
        fleet.run(5)
        self.assert_bound(fleet)

    def test_restart_of_all_refuses_for_a_moment_only(self):
        # No instance holds a lease of an earlier start, and all say so at once. With a
        # wait for the end of such leases nobody was served for about a second.
        fleet = busy_fleet(BELOW)
        for node in fleet.node_by_name.values():
            node.start()
        fleet.run(0.35)
        fleet.forget()
        fleet.run(0.65)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.9)
        fleet.run(5)
        self.assert_bound(fleet)

    def test_start_waits_for_an_instance_that_does_not_answer(self):
        # It may still hold the lease of the earlier start.
        fleet = busy_fleet(OVERLOAD)
        pool = pool_of(fleet)
        other = next(each for each in HOMES if each != pool)
        fleet.cut = {(other, pool), (pool, other)}
        fleet.node_by_name[other].start()
        fleet.run(0.7)
        self.assertFalse(fleet.node_by_name[other].quotas.generator.holding_by_slot)
        fleet.run(8)
        self.assert_bound(fleet)

    def test_start_waits_for_home_instances_that_left_its_list(self):
        # One of them may hold the lease of the earlier start.
        fleet = busy_fleet(OVERLOAD)
        other = next(each for each in HOMES if each != pool_of(fleet))
        node = fleet.node_by_name[other]
        fleet.cut = {(other, each) for each in HOMES} | {(e, other) for e in HOMES}
        node.start()
        fleet.run(0.3)
        node.view = evolve(node.view, peer_ids=frozenset())
        fleet.run(0.4)
        self.assertFalse(node.quotas.generator.holding_by_slot)
        fleet.run(8)
        self.assert_bound(fleet)

    def test_instance_with_quotas_turned_off_is_no_pool(self):
        # It knew no limits, so it refused everything of the workspaces of its slots.
        fleet = busy_fleet(0)
        fleet.node_by_name[pool_of(fleet)].quotas.apply_bounds(None)
        fleet.run(3)
        fleet.forget()
        on = [n for n in HOMES if fleet.node_by_name[n].quotas.bounds is not None]
        fleet.load('a', BELOW, on, 10)
        fleet.run(11)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_servers_that_run_nothing_leave_no_permits_over(self):
        # Each permit that came back had a new expiry, so they added up, and all were
        # used once servers ran requests again.
        fleet = make_fleet(config_of(a=limited(RATE)), HOMES[:1], others=0)
        node = fleet.node_by_name[HOMES[0]]
        end = 14.0
        record = Fleet.record

        def record_refused(
            fleet: Fleet, workspace: str, refusal: NotRun | None, expires_at: float
        ):
            if refusal is None and fleet.now < end:
                fleet.later(0.28, lambda: node.quotas.release(workspace, expires_at))
            else:
                record(fleet, workspace, refusal)

        fleet.load('a', OVERLOAD, [HOMES[0]], 20)
        with mock.patch.object(Fleet, 'record', record_refused):
            fleet.run(21)
        self.assert_bound(fleet, BOUNDS.largest(RATE, 0))

    def test_first_lists_that_lack_a_pool_are_within_the_bound(self):
        # Guards against generators that lease at once after a restart although a pool
        # that their first list lacks still holds a lease of their earlier start.
        rate = 300.0
        for seed in range(3):
            fleet = make_fleet(config_of(a=limited(rate)), others=2, seed=seed)
            fleet.load('a', 5 * rate, list(HOMES), 20)
            fleet.run(6)
            pool = pool_of(fleet)
            others = [each for each in HOMES if each != pool]
            for name in others:
                node = fleet.node_by_name[name]
                node.view = FleetView(
                    1 / 5, True, tuple(others), frozenset(others) - {name}
                )
                node.start()
            fleet.run(1.5)
            for name in others:
                peer_ids = frozenset(HOMES) - {name}
                fleet.node_by_name[name].view = FleetView(1 / 6, True, HOMES, peer_ids)
            fleet.run(10)
            self.assert_bound(fleet, BOUNDS.largest(rate, 0.0))

    def test_pool_that_ignores_all_generators_is_replaced(self):
        # Guards against callers that are refused for as long as a pool that started
        # again ignores generators: it got a late message of an earlier start of each.
        fleet = busy_fleet(0)
        pool = fleet.node_by_name[pool_of(fleet)]
        others = [each for each in HOMES if each != pool.name]
        late = [
            fleet.node_by_name[name].quotas.generator.make_ping(pool.name)
            for name in others
        ]
        for name in others:
            fleet.node_by_name[name].start()
        fleet.run(1.5)
        pool.start()
        fleet.run(2.0)
        for lease in late:
            pool.quotas.pool.apply_lease(lease, pool.quotas.clock.monotonic())
        fleet.run(1.0)
        fleet.forget()
        fleet.load('a', BELOW, others, 5)
        fleet.run(5.5)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_restarts_again_and_again(self):
        # Each start must not get stock for nothing.
        fleet = busy_fleet(OVERLOAD)
        for _ in range(20):
            fleet.node_by_name[fleet.random.choice(HOMES)].start()
            fleet.run(0.4)
        self.assert_bound(fleet)

    def test_instances_without_the_store_keep_their_shares(self):
        # Quotas make no store calls; a third of the instances has an older list, in
        # which other instances may be pools.
        fleet = busy_fleet(0)
        stale = HOMES[:2]
        for name in stale:
            node = fleet.node_by_name[name]
            node.view = evolve(node.view, pool_ids=HOMES[:5])
        fleet.forget()
        fleet.load('a', BELOW, list(HOMES), 20)
        fleet.run(21)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.90)

    def test_every_instance_has_another_view(self):
        fleet = busy_fleet(OVERLOAD)
        for _ in range(20):
            for node in fleet.node_by_name.values():
                known = fleet.random.sample(HOMES, fleet.random.randint(0, len(HOMES)))
                node.view = evolve(node.view, pool_ids=tuple(known))
            fleet.run(0.6)
        self.assert_bound(fleet)

    def test_instance_that_joins_a_list_is_within_the_bound(self):
        # Its peers have an older list for a second, in which the shares are larger.
        fleet = busy_fleet(OVERLOAD)
        homes = (*HOMES, 'home-new')
        fleet.add(('home-new',), homes)
        new = fleet.node_by_name['home-new']
        new.view = evolve(new.view, was_listed=False)
        fleet.run(1)
        for node in fleet.node_by_name.values():
            share = 1 / len(homes) if node.name in homes else 0.0
            node.view = evolve(node.view, share=share, pool_ids=homes)
        fleet.run(8)
        self.assert_bound(fleet)


class LimitChangeTest(unittest.TestCase):
    """A changed limit holds at once for all that is in stock."""

    def test_lowered_limit(self):
        fleet = busy_fleet(OVERLOAD)
        fleet.apply(config_of(a=limited(10, 10)))
        at = fleet.now
        fleet.run(10)
        self.assertLessEqual(fleet.largest_window('a', at), BOUNDS.largest(10, 10))

    def test_raised_limit(self):
        fleet = busy_fleet(OVERLOAD)
        fleet.apply(config_of(a=limited(2 * RATE, 2 * BURST)))
        fleet.run(2)
        passed = fleet.passed['a']
        fleet.run(5)
        self.assertGreaterEqual(fleet.passed['a'] - passed, 0.95 * 5 * 2 * RATE)
        self.assertLessEqual(
            fleet.largest_window('a'), BOUNDS.largest(2 * RATE, 2 * BURST)
        )

    def test_limit_of_zero_is_none_and_back(self):
        fleet = busy_fleet(OVERLOAD)
        fleet.apply(config_of(a=limited(0)))
        fleet.run(0.2)
        fleet.forget()
        fleet.run(2)
        # Requests that arrived before are in flight.
        self.assertGreaterEqual(fleet.share_passed('a'), 0.99)
        fleet.apply(config_of(a=limited(RATE, BURST)))
        at = fleet.now
        fleet.run(8)
        self.assertLessEqual(fleet.largest_window('a', at), ALLOWED)

    def test_changes_within_a_second(self):
        # A bucket that began full after each change would give a burst each time.
        fleet = busy_fleet(OVERLOAD)
        at = fleet.now
        other = config_of(b=limited(RATE, BURST))
        for _ in range(10):
            fleet.apply(other)
            fleet.run(0.01)
            fleet.apply(config_of(a=limited(RATE, BURST)))
            fleet.run(0.6)
        # Without its limit, the workspace is unknown and passes for 0.01 s.
        unlimited = 10 * 0.02 * OVERLOAD
        self.assertLessEqual(fleet.largest_window('a', at), ALLOWED + unlimited)

    def test_removed_workspace_leaves_nothing_behind(self):
        fleet = busy_fleet(OVERLOAD)
        fleet.apply(config_of(b=limited(1, 1)))
        fleet.run(1)
        for node in fleet.node_by_name.values():
            quotas = node.quotas
            self.assertNotIn('a', quotas.holder.stock_by_name)
            self.assertNotIn(key_of('a'), quotas.pool.usage_by_key)
            self.assertNotIn('a', quotas.counts.granted)
            for slot in quotas.pool.slot_by_number.values():
                self.assertNotIn(key_of('a'), slot.bucket_by_key)

    def test_renamed_workspace_gets_its_rate_from_the_start(self):
        fleet = busy_fleet(0)
        fleet.apply(config_of(renamed=limited(RATE, BURST)))
        fleet.load('renamed', BELOW, list(HOMES), 10)
        fleet.run(10.5)
        self.assertGreaterEqual(fleet.share_passed('renamed'), 0.98)


class StartTest(unittest.TestCase):
    """After a start, the first requests of small workspaces find a permit."""

    def test_small_workspaces_after_a_restart_of_all(self):
        # A permit of 0.2 requests a second takes 5 s to generate.
        names = [f'w{number}' for number in range(40)]
        fleet = make_fleet(config_of(**{name: limited(0.2, 1) for name in names}))
        for node in fleet.node_by_name.values():
            node.start()
        fleet.run(2.6)
        for name in names:
            fleet.node_by_name[fleet.random.choice(HOMES)].request(name)
        fleet.run(0.2)
        self.assertEqual(fleet.passed.total(), len(names))

    def test_changes_of_the_pool_do_not_add_up(self):
        # Each change would otherwise bring the start level to the new pool.
        fleet = make_fleet(config_of(a=limited(0.01, 0)))
        fleet.load('a', 50, list(HOMES), 30)
        for number in range(20):
            for node in fleet.node_by_name.values():
                node.view = evolve(node.view, pool_ids=(HOMES[number % len(HOMES)],))
            fleet.run(1.5)
        self.assertLessEqual(fleet.largest_window('a'), BOUNDS.largest(0.01, 0))
        # Of the cap of 10 some permits, and 2 in each 5 s.
        self.assertLessEqual(fleet.passed['a'], 10 + 2 * 30 / 5)

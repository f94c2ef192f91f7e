"""Tests of the exchange between peers, the choice of watchers and platform budgets."""

import unittest
from random import Random

from catkinslip.config.bootstrap import MAX_ANSWERS, Bootstrap, answers_needed
from catkinslip.config.history import Head, extend_head
from catkinslip.config.watcher_choice import (
    WATCHERS_PER_ZONE,
    choose_watchers,
    is_watcher,
)
from catkinslip.membership.members import Member
from catkinslip.store.backoff import Backoff
from catkinslip.store.budget import BURST_CALLS, TokenBucket, share_of
from standins.fleet import TopicFleet
from tests.builders import config_with

FIRST = config_with(40, 1)
SECOND = config_with(41, 2)
CHANGES = extend_head(Head(snapshot_name='s'), FIRST, SECOND, 0.0)[0].changes


def member(name: str, zone: str = 'zone-a', leaving: bool = False) -> Member:
    return Member(name, 1, zone, f'{name}:1', f'{name}:2', leaving)


def fleet_with(size: int, ready: int, seed: int = 1) -> TopicFleet:
    """Return a fleet in which `ready` instances have the configuration FIRST."""
    fleet = TopicFleet.of_size(size, seed)
    for topic in fleet.topics[:ready]:
        topic.config.offer(FIRST)
    return fleet


class GossipTest(unittest.TestCase):
    """An update reaches every instance, as changes alone where these are enough."""

    def test_change_reaches_a_fleet_in_few_rounds_and_few_bytes(self):
        for size in (3, 17, 300):
            fleet = fleet_with(size, size)
            fleet.topics[0].config.offer_changes(CHANGES)
            self.assertLess(fleet.rounds_until(SECOND.version), 8)
            self.assertLess(fleet.bytes_sent / size, 7 * 2 * 400)

    def test_instance_too_far_behind_gets_the_whole_document(self):
        fleet = fleet_with(2, 2)
        fleet.topics[0].config.offer(config_with(50, 90))
        fleet.run_round()
        self.assertEqual(fleet.topics[1].config.current, config_with(50, 90))

    def test_instance_a_little_behind_gets_the_changes_alone(self):
        behind, newer = fleet_with(2, 2).topics
        newer.config.offer_changes(CHANGES)
        update = newer.updates_for(behind.digest())
        self.assertIsNone(update['whole'])
        behind.receive(update)
        self.assertEqual(behind.config.current, SECOND)
        self.assertIsNone(newer.updates_for(behind.digest()))

    def test_malformed_update_is_a_value_error_and_changes_nothing(self):
        topic = fleet_with(2, 2).topics[0]
        for update in (None, 3, [], {'sender': 'x', 'whole': {'version': 'y'}}):
            with self.assertRaises(ValueError):
                topic.receive(update)
        self.assertEqual(topic.config.current, FIRST)


class FreshInstanceTest(unittest.TestCase):
    """A fresh instance without the platform waits for the answers of enough peers."""

    def test_newest_of_a_majority_comes_into_force(self):
        fleet = fleet_with(6, 5)
        fresh = fleet.topics[5]
        fleet.topics[1].config.offer_changes(CHANGES)
        for peer, is_ready in ((0, False), (0, False), (1, False), (2, True)):
            fleet.exchange(fresh, fleet.topics[peer])
            self.assertEqual(fresh.config.is_ready, is_ready)
        self.assertEqual(fresh.config.current, SECOND)

    def test_fresh_peers_are_no_majority(self):
        fleet = fleet_with(6, 1)
        fresh = fleet.topics[5]
        for peer in (2, 3, 4, 0):
            fleet.exchange(fresh, fleet.topics[peer])
        self.assertFalse(fresh.config.is_ready)
        for peer in (2, 3):
            fleet.topics[peer].config.offer(FIRST)
            fleet.exchange(fresh, fleet.topics[peer])
        self.assertTrue(fresh.config.is_ready)

    def test_peer_that_holds_the_best_one_confirms_it_in_few_bytes(self):
        fleet = fleet_with(6, 5)
        fleet.exchange(fleet.topics[5], fleet.topics[0])
        before = fleet.bytes_sent
        fleet.exchange(fleet.topics[5], fleet.topics[1])
        self.assertLess(fleet.bytes_sent - before, 100)

    def test_needed_answers_are_a_majority_up_to_a_bound(self):
        needed = [answers_needed(known) for known in (0, 1, 2, 3, 16, 400)]
        self.assertEqual(needed, [1, 1, 2, 2, MAX_ANSWERS, MAX_ANSWERS])
        self.assertIsNone(Bootstrap().add('a', FIRST, 16))


class WatcherChoiceTest(unittest.TestCase):
    """A few instances per availability zone watch the platform."""

    def test_few_watch_and_a_leaving_one_is_replaced(self):
        members = [member(f'entry-{number}') for number in range(17)]
        members += [member(f'other-{number}', 'zone-b') for number in range(17)]
        chosen = [each for each in members if is_watcher(each, members)]
        self.assertEqual(len(chosen), 2 * WATCHERS_PER_ZONE)
        first, second = choose_watchers('zone-a', members)
        left = [each for each in members if each is not first]
        left.append(member(first.member_id, leaving=True))
        self.assertIn(second, choose_watchers('zone-a', left))
        self.assertEqual(len(choose_watchers('zone-a', left)), WATCHERS_PER_ZONE)
        self.assertTrue(is_watcher(members[0], members[:1]))


class PlatformBudgetTest(unittest.TestCase):
    """The number of platform calls never exceeds the budget."""

    def count_calls(self, buckets: dict[str, TokenBucket], seconds: float, now=0.0):
        """Try a call with each bucket every 5 ms; return the count of allowed calls."""
        calls = 0
        for step in range(int(seconds / 0.005)):
            for bucket in buckets.values():
                calls += bucket.take(now + step * 0.005) == 0.0
        return calls

    def test_fleets_of_3_and_17_stay_within_the_budget_in_every_window(self):
        for size in (3, 17):
            share = share_of(100, 17, size)
            buckets = {f'entry-{number}': TokenBucket(share) for number in range(size)}
            for window in range(5):
                calls = self.count_calls(buckets, 4.0, window * 4.0)
                self.assertLessEqual(calls, 100 * 4.0 + size * BURST_CALLS)
                self.assertGreater(calls, share * size * 4.0 * 0.9)

    def test_members_split_in_two_stay_within_the_budget(self):
        share = share_of(100, 17, visible_instances=8)
        buckets = {f'entry-{number}': TokenBucket(share) for number in range(17)}
        self.assertLessEqual(self.count_calls(buckets, 10.0), 100 * 10.0)

    def test_more_instances_than_planned_shrink_the_share_at_once(self):
        bucket = TokenBucket(share_of(100, 10, 10))
        bucket.take(0.0)
        bucket.set_rate(share_of(100, 10, 100), 0.0)
        self.assertLessEqual(self.count_calls({'entry': bucket}, 10.0), 10.0)

    def test_restart_loop_gives_no_calls(self):
        share = share_of(100, 17, 17)
        calls = sum(
            self.count_calls({'entry': TokenBucket(share)}, 0.1, restart * 0.1)
            for restart in range(100)
        )
        self.assertLessEqual(calls, share * 10.0)

    def test_clock_that_stops_or_goes_back_gives_no_calls(self):
        bucket = TokenBucket(1000.0)
        self.assertGreater(bucket.take(50.0), 0.0)
        self.assertGreater(bucket.take(40.0), 0.0)
        self.assertGreater(bucket.take(50.0), 0.0)

    def test_delays_grow_with_full_jitter_up_to_a_bound(self):
        backoff, random = Backoff(0.5, 8.0), Random(1)
        delays = [backoff.next_delay(random) for _ in range(200)]
        self.assertLessEqual(max(delays), 8.0)
        self.assertLess(min(delays[10:]), 1.0)
        self.assertGreater(max(delays), 7.0)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay(random), 0.5)

"""Tests of where an instance that starts gets its first list of instances from."""

import logging
import unittest
from random import Random

from benchmarks.store_calls import PLAYS, SIZES, replay
from benchmarks.store_calls_world import STAGGER_SECONDS
from catkinslip.discovery.first_list import (
    IMMEDIATE_READ_CORES,
    MAX_WAITING,
    SEED_READ_SECONDS,
    SEED_WAIT_SECONDS,
    SPREAD_SECONDS,
    TRIES_PER_SECOND,
    WAITING_SECONDS,
    FirstList,
    ListSource,
    WaitingInstances,
)
from catkinslip.discovery.messages import (
    InstanceList,
    compress_list,
    decompress_list,
)
from tests.discovery_builders import instance_entry

WEAK_CORES = 0.3
#: Bound of the calls for each zone within 5 s of a restart of all instances. Replays of
#: 202 instances made 367 to 575 calls with eight seeds of the random numbers, as those
#: that start well before the first seed read the store.
RESTART_CALLS_PER_ZONE = 220
#: Start of the last process, its wait for seeds, one request to them, and its reads.
NO_SEED_SECONDS = STAGGER_SECONDS + SEED_WAIT_SECONDS + SPREAD_SECONDS + 0.3
FEW_SIZES = (SIZES[0], SIZES[2])


class FirstListTest(unittest.TestCase):
    """The decision of one instance."""

    def first_list(self, cores: float = WEAK_CORES, seed: int = 1) -> FirstList:
        return FirstList(Random(seed), 0.0, cores)

    def test_weak_instance_reads_the_store_soon_where_no_seed_answers(self):
        """Guards against instances that wait for seeds that do not exist any more."""
        first = self.first_list()
        first.next_delay()
        self.assertIs(first.next_source(SEED_WAIT_SECONDS - 0.01), ListSource.SEED)
        longest = SEED_WAIT_SECONDS + SPREAD_SECONDS
        self.assertIs(first.next_source(longest), ListSource.STORE)

    def test_strong_instance_makes_one_request_to_a_seed(self):
        first = self.first_list(IMMEDIATE_READ_CORES)
        self.assertIs(first.next_source(0.0), ListSource.SEED)
        first.next_delay()
        self.assertIs(first.next_source(0.0), ListSource.STORE)

    def test_store_is_not_read_while_a_seed_reads_it(self):
        first = self.first_list()
        first.record_answer(5.0, 60)
        self.assertIs(first.next_source(5.0 + SEED_READ_SECONDS / 2), ListSource.SEED)

    def test_instances_that_wait_for_a_seed_take_turns_at_the_store(self):
        """Guards against a store that refuses only the seeds when all restart."""
        waiting = 60
        tries_at = []
        for number in range(waiting):
            first = self.first_list(seed=number)
            first.record_answer(0.0, waiting)
            tries_at.append(first.try_at)
        self.assertLess(min(tries_at), SEED_READ_SECONDS + 1.0)
        early = sum(each < SEED_READ_SECONDS + 2.0 for each in tries_at)
        self.assertLess(early, 4 * TRIES_PER_SECOND)
        first.answered_at = first.try_at
        self.assertIs(first.next_source(first.try_at), ListSource.STORE_ONCE)
        first.record_try(first.try_at, waiting)
        self.assertIs(first.next_source(first.answered_at), ListSource.SEED)

    def test_seed_counts_the_instances_that_wait(self):
        waiting = WaitingInstances()
        for number in range(5):
            waiting.record(f'i{number}', 0.0)
        self.assertEqual(waiting.record('i0', 1.0), 5)
        self.assertEqual(waiting.record('i0', WAITING_SECONDS + 0.5), 1)

    def test_number_of_waiting_instances_is_bounded(self):
        waiting = WaitingInstances({f'i{n}': 0.0 for n in range(MAX_WAITING)})
        self.assertEqual(waiting.record('more', 0.0), MAX_WAITING)


class ListMessageTest(unittest.TestCase):
    """The compressed list."""

    def test_list_is_read_as_it_was_written(self):
        listed = InstanceList(3, (instance_entry('one'),))
        self.assertEqual(decompress_list(compress_list(listed)), listed)

    def test_invalid_list_is_none(self):
        for body in (b'', b'null', compress_list(InstanceList(1))[:-9]):
            self.assertIsNone(decompress_list(body))

    def test_list_of_all_instances_is_small(self):
        """Guards against seconds on links of 5 Mbit/s when all of them request it."""
        entries = tuple(instance_entry(f'instance-{n}') for n in range(202))
        self.assertLess(len(compress_list(InstanceList(1, entries))), 6_000)


class RestartTest(unittest.TestCase):
    """Restarts of whole fleets: calls of the store, and when callers are served."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_restart_of_all(self):
        """Guards against 1,717 calls of 202 instances, 1,010 for their first lists."""
        for count, zones in FEW_SIZES:
            outcome = replay(PLAYS['restart'], count, zones)
            self.assertLess(outcome.calls, RESTART_CALLS_PER_ZONE * zones, count)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(outcome.home_seconds, 0.8, count)

    def test_restart_of_all_without_the_store(self):
        """Guards against 3,163 calls of 202 instances that know no others."""
        for count, zones in FEW_SIZES:
            outcome = replay(PLAYS['restart, no store'], count, zones)
            self.assertLess(outcome.calls, RESTART_CALLS_PER_ZONE * zones, count)
            self.assertLess(outcome.calls_after, RESTART_CALLS_PER_ZONE * zones, count)
            self.assertEqual(outcome.missing, 0, count)

    def test_store_that_refuses_the_seeds_is_read_by_others(self):
        for count, zones in FEW_SIZES:
            outcome = replay(PLAYS['restart, seeds refused'], count, zones)
            self.assertLess(outcome.home_seconds, 2.5, count)
            self.assertLess(outcome.calls, 300 * zones, count)

    def test_restart_without_seeds(self):
        for count, zones in FEW_SIZES:
            outcome = replay(PLAYS['restart, seeds dead'], count, zones)
            self.assertEqual(outcome.missing, 0, count)
            self.assertLess(outcome.home_seconds, NO_SEED_SECONDS, count)


if __name__ == '__main__':
    unittest.main()

"""Tests of which instances read the store, and of the spread of their tries."""

import unittest
from random import Random

from catkinslip.discovery.readers import (
    BACKOFF_PACE,
    FIRST_RETRY_SECONDS,
    LAST_RESORT_TRIES_PER_SECOND,
    LEADER_TRIES_PER_SECOND,
    MAX_RETRY_SECONDS,
    READERS,
    ReaderRole,
    ZoneView,
    reads_list,
    reads_store,
    try_pace,
)
from catkinslip.store.backoff import Backoff

LEADERS = 13
SIZES = (5, 40, 68, 105)
OUTAGE_SECONDS = 8.0
FIRST_TRIES_SECONDS = 1.0


def lost_view(position: int, size: int) -> ZoneView:
    """Return the view of an instance before which all leaders lost the store."""
    lost = min(position, LEADERS)
    return ZoneView(position, min(LEADERS, size), size, lost_before=lost)


def tries_in_outage(view: ZoneView, random: Random, seconds: float) -> list[float]:
    """Return the times of an instance's tries while all of them fail."""
    backoff = Backoff(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS)
    pace = try_pace(view)
    tries, now = [], 0.0
    while (now := now + pace.next_delay(backoff, random)) < seconds:
        tries.append(now)
    return tries


class TriesTest(unittest.TestCase):
    """The number of tries of a zone and the time until a served instance tries."""

    def test_tries_of_a_zone_do_not_grow_with_its_instances(self):
        """Guards against the 235 calls a second of 202 instances without a store."""
        for size in SIZES:
            random = Random(size)
            tries = [
                each
                for position in range(size)
                for each in tries_in_outage(
                    lost_view(position, size), random, OUTAGE_SECONDS
                )
            ]
            # Readers and leaders start with some quick tries; later ones are steady.
            self.assertLess(len(tries), 110, size)
            late = [each for each in tries if each >= OUTAGE_SECONDS / 2]
            self.assertLess(len(late) / (OUTAGE_SECONDS / 2), 12.0, size)

    def test_each_leader_tries_within_about_a_second(self):
        """Guards against changes that nobody reads though the store serves a part."""
        for position in range(READERS, LEADERS):
            tries = tries_in_outage(lost_view(position, 68), Random(position), 10.0)
            self.assertLessEqual(tries[0], FIRST_TRIES_SECONDS)

    def test_instances_of_last_resort_take_turns(self):
        for size in SIZES[1:]:
            random = Random(size)
            first = [
                min(tries_in_outage(lost_view(position, size), random, 100.0))
                for position in range(LEADERS, size)
            ]
            served = sum(each < 1.0 for each in first)
            self.assertGreaterEqual(served, 1, size)
            self.assertLess(served, 4 * LAST_RESORT_TRIES_PER_SECOND, size)

    def test_small_zone_retries_with_backoff_as_its_first_readers(self):
        """Guards against slower recoveries in zones of up to five instances."""
        for position in range(5):
            pace = try_pace(lost_view(position, 5))
            self.assertIn(pace.max_delay, (None, MAX_RETRY_SECONDS))

    def test_first_call_waits_only_where_another_instance_lost_the_store(self):
        for position in (READERS, LEADERS):
            calm = ZoneView(position, LEADERS, 68)
            self.assertFalse(try_pace(calm).is_delayed)
            self.assertTrue(try_pace(lost_view(position, 68)).is_delayed)
        self.assertIs(try_pace(lost_view(1, 68)), BACKOFF_PACE)

    def test_leaders_share_their_tries(self):
        pace = try_pace(lost_view(LEADERS - 1, 68))
        rate = 2 * (LEADERS - READERS) / pace.max_delay
        self.assertAlmostEqual(rate, LEADER_TRIES_PER_SECOND)


class ReadersTest(unittest.TestCase):
    """Which instances read."""

    def test_roles_follow_from_the_rank(self):
        roles = [ZoneView(each, LEADERS, 68).role for each in (0, READERS, LEADERS)]
        self.assertEqual(roles, list(ReaderRole))

    def test_leader_reads_where_fewer_than_three_before_it_do(self):
        self.assertTrue(reads_store(ZoneView(5, LEADERS, 68, READERS - 1)))
        self.assertFalse(reads_store(ZoneView(5, LEADERS, 68, READERS)))

    def test_last_resort_reads_where_no_leader_does(self):
        self.assertTrue(reads_store(lost_view(20, 68)))
        self.assertFalse(reads_store(ZoneView(20, LEADERS, 68, 1)))

    def test_last_resort_leaves_reading_to_one_that_reached_the_store(self):
        """Guards against reads of all instances where the store refuses the leaders."""
        view = lost_view(20, 68)
        covered = ZoneView(20, LEADERS, 68, 0, LEADERS, 1)
        self.assertTrue(reads_store(view))
        self.assertFalse(reads_store(covered))
        # The reader itself goes on although others were reported too.
        self.assertTrue(reads_store(ZoneView(20, LEADERS, 68, 0, LEADERS, 1, True)))

    def test_list_is_not_read_while_the_turn_to_try_is_awaited(self):
        """Guards against a list read every 5 s by each instance in an outage."""
        self.assertTrue(reads_list(lost_view(1, 68)))
        self.assertFalse(reads_list(lost_view(5, 68)))
        self.assertFalse(reads_list(lost_view(20, 68)))
        reading = ZoneView(20, LEADERS, 68, 0, LEADERS, is_reading=True)
        self.assertTrue(reads_list(reading))


if __name__ == '__main__':
    unittest.main()

"""Replays of outages with whole fleets: calls of the store, and changes in force."""

import logging
import unittest

from benchmarks.store_calls import PLAYS, replay

#: Instances and zones of a small, a usual and two large deployments.
SMALL = ((14, 3), (17, 4))
SIZES = ((14, 3), (118, 3), (202, 3), (313, 5))
#: The smallest and a usual one, where a size between them shows nothing more.
FEW_SIZES = (SIZES[0], SIZES[2])
#: Bounds for each zone, as the readers of a zone are alone responsible for it.
OUTAGE_CALLS_PER_ZONE = 110
RETURN_CALLS_PER_ZONE = 100
IN_FORCE_SECONDS = 2.5


class StoreCallsTest(unittest.TestCase):
    """The number of calls does not grow with the number of instances."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_whole_outage_and_return(self):
        """Guards against 1,435 calls in 8 s and 1,047 at the return of the store."""
        for count, zones in SIZES:
            outcome = replay(PLAYS['whole outage'], count, zones)
            self.assertLess(outcome.calls, OUTAGE_CALLS_PER_ZONE * zones, count)
            self.assertLess(outcome.calls_after, RETURN_CALLS_PER_ZONE * zones, count)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(outcome.in_force_seconds, 2.0, count)

    def test_changes_are_in_force_where_a_part_of_the_instances_is_refused(self):
        """Guards against instances that the store serves but that wait for a turn."""
        for name in ('a third refused', 'a half refused', 'first 3 refused'):
            for count, zones in FEW_SIZES:
                outcome = replay(PLAYS[name], count, zones)
                at = f'{name}, {count}'
                self.assertLess(outcome.calls, OUTAGE_CALLS_PER_ZONE * zones, at)
                self.assertEqual(outcome.missing, 0, at)
                self.assertLess(outcome.in_force_seconds, IN_FORCE_SECONDS, at)

    def test_reader_of_last_resort_serves_leaders_that_are_all_refused(self):
        """Guards against leaders that never get what only others can read."""
        for count, zones in SIZES[2:3]:
            outcome = replay(PLAYS['first 13 refused'], count, zones)
            self.assertEqual(outcome.missing, 0, count)
            self.assertLess(outcome.calls, 150 * zones, count)
            self.assertLess(outcome.in_force_seconds, 2 * IN_FORCE_SECONDS, count)

    def test_partition_between_zones(self):
        """Guards against more calls where a zone reaches neither store nor others."""
        for count, zones in FEW_SIZES:
            outcome = replay(PLAYS['partition'], count, zones)
            self.assertLess(outcome.calls, OUTAGE_CALLS_PER_ZONE * zones, count)
            self.assertEqual(outcome.missing, 0, count)

    def test_small_deployments_recover_as_soon_as_before(self):
        for count, zones in SMALL:
            outcome = replay(PLAYS['whole outage'], count, zones)
            self.assertLess(outcome.calls, 250, count)
            self.assertLess(outcome.in_force_seconds, 1.0, count)


if __name__ == '__main__':
    unittest.main()

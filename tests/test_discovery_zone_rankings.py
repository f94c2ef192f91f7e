"""Tests of rankings that are calculated once for each list of instances."""

import unittest

from attrs import evolve

from catkinslip.discovery.ranking import HOME_INSTANCES
from catkinslip.discovery.zone_rankings import ZoneRankings
from tests.discovery_builders import instance_entry


class ZoneRankingsTest(unittest.TestCase):
    """Rankings of the zones of one list."""

    def setUp(self):
        self.own = instance_entry('own')
        self.entries = [
            self.own,
            *(instance_entry(f'i-{number}') for number in range(20)),
            instance_entry('far', 'zone-b'),
        ]
        self.rankings = ZoneRankings(self.own, lambda: self.entries)

    def test_zones_are_ranked_apart(self):
        self.assertEqual(len(self.rankings.ranked('zone-a')), 21)
        self.assertEqual(self.rankings.ranked('zone-b'), self.entries[-1:])
        self.assertEqual(self.rankings.home_size('zone-a'), HOME_INSTANCES)
        self.assertEqual(self.rankings.home_size('zone-b'), 1)

    def test_results_change_after_clear(self):
        """Guards against an instance that keeps the parts of an earlier list."""
        self.rankings.ranked('zone-b')
        before = self.rankings.budget_divisor()
        self.entries = self.entries[:1]
        self.rankings.clear()
        self.assertEqual(self.rankings.ranked('zone-b'), [])
        self.assertEqual(self.rankings.budget_divisor(), 1)
        self.assertNotEqual(before, 1)

    def test_strongest_instance_is_the_first_sender(self):
        own = evolve(self.own, cores=2.15)
        rankings = ZoneRankings(own, lambda: [own, *self.entries[1:]])
        self.assertEqual(rankings.sender_rank(), 0)


if __name__ == '__main__':
    unittest.main()

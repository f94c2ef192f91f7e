"""Callers get the ready instances of their zone while there is one."""

import unittest
from random import Random

from catkinslip.addresses.zonal import MAX_ADDRESSES, ZoneAddresses
from catkinslip.discovery.instances import InstanceTable
from tests.discovery_builders import instance_entry


class InstanceTableTest(unittest.TestCase):
    """Which instances callers may use."""

    def setUp(self):
        self.table = InstanceTable(instance_entry('own'))
        for name, zone in (('near', 'zone-a'), ('far', 'zone-b')):
            self.table.learn(instance_entry(name, zone))
            self.table.answered(name, is_ready=True)

    def usable(self, zone: str) -> list[str]:
        return sorted(each.instance_id for each in self.table.usable(zone))

    def test_own_zone_first(self):
        self.table.is_own_ready = True
        self.assertEqual(self.usable('zone-a'), ['near', 'own'])
        self.assertEqual(self.usable('zone-b'), ['far'])

    def test_stopping_instance_is_left_out_at_once(self):
        self.table.answered('near', is_ready=False)
        self.assertEqual(self.usable('zone-a'), ['far'])

    def test_silent_instance_is_left_out_after_two_polls(self):
        self.table.missed('near')
        self.assertEqual(self.usable('zone-a'), ['near'])
        self.table.missed('near')
        self.assertEqual(self.usable('zone-a'), ['far'])
        self.table.answered('near', is_ready=True)
        self.assertEqual(self.usable('zone-a'), ['near'])

    def test_zone_without_instances_gets_all_others(self):
        self.assertEqual(self.usable('zone-c'), ['far', 'near'])

    def test_some_address_is_always_answered(self):
        for name in ('near', 'far'):
            self.table.answered(name, is_ready=False)
        self.assertEqual(self.usable('zone-a'), ['far', 'near', 'own'])

    def test_silent_instance_still_counts_for_shared_budgets(self):
        for _ in range(5):
            self.table.missed('far')
        self.assertEqual(self.table.count(), 3)
        self.table.keep_only({'own', 'near'})
        self.assertEqual(self.table.count(), 2)

    def test_answer_has_a_bound(self):
        for number in range(2 * MAX_ADDRESSES):
            self.table.learn(instance_entry(f'i{number}'))
            self.table.answered(f'i{number}', is_ready=True)
        answer = ZoneAddresses(self.table, 1.0, Random(1)).answer('zone-a')
        self.assertEqual(len(set(answer.addresses)), MAX_ADDRESSES)


if __name__ == '__main__':
    unittest.main()

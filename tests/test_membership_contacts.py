"""Tests that tries of contact addresses and reads of the instance list are bounded."""

import unittest
from random import Random

from catkinslip.membership.contacts import MAX_PAUSE_SECONDS, Contacts
from catkinslip.membership.members import MemberTable, Status
from catkinslip.store.base import ListedInstance
from tests.builders import member

HOUR = 3600


def listed(name: str, **fields) -> ListedInstance:
    own = member(name)
    fields = {'leaving': False, **fields}
    return ListedInstance(name, own.zone, own.address, own.control_address, **fields)


class ContactsTest(unittest.TestCase):
    """Contact addresses of one instance that has a few known members."""

    def setUp(self):
        self.table = MemberTable(member('zone-a-0'))
        self.contacts = Contacts(self.table, ('seed:90',), Random(1))

    def tries(self) -> dict[str, int]:
        tries_by_address: dict[str, int] = {}
        for second in range(HOUR):
            for address in self.contacts.due(float(second)):
                tries_by_address[address] = tries_by_address.get(address, 0) + 1
        return tries_by_address

    def test_listed_but_dead_instance_is_tried_ever_more_seldom(self):
        self.contacts.apply_list([listed('dead')])
        bound = HOUR / MAX_PAUSE_SECONDS + 10
        for address, tries in self.tries().items():
            with self.subTest(address):
                self.assertLessEqual(tries, bound)

    def test_known_leaving_and_failed_instances_are_not_tried(self):
        self.table.merge(member('known'))
        self.table.merge(member('failed', status=Status.FAILED))
        instances = [listed('known'), listed('failed'), listed('gone', leaving=True)]
        self.contacts.apply_list([*instances, listed('fresh')])
        self.assertEqual(set(self.tries()), {'seed:90', 'fresh:90'})

    def reads(self, begin: int, is_gateway: bool, succeeds: bool = True) -> int:
        count = 0
        for second in range(begin, begin + HOUR):
            if self.contacts.is_list_due(float(second), is_gateway):
                count += 1
                if succeeds:
                    self.contacts.apply_list([])
        return count

    def test_list_is_read_until_it_can_be_and_seldom_then(self):
        failing = self.reads(0, False, succeeds=False)
        without_peers = self.reads(HOUR, False)
        self.table.merge(member('known'))
        gateway = self.reads(2 * HOUR, True)
        other = self.reads(3 * HOUR, False)
        self.assertGreater(failing, HOUR / 3)
        self.assertLessEqual(without_peers, 62)
        self.assertLessEqual(gateway, 40)
        self.assertEqual(other, 0)

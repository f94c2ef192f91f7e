"""Tries of seeds and listed instances, and reads of the list, are bounded."""

import unittest
from random import Random

from catkinslip.membership.contacts import MAX_PAUSE_SECONDS, Contacts
from catkinslip.membership.members import MemberTable, Status
from catkinslip.platform.base import ListedInstance
from tests.builders import member

HOUR = 3600


def listed(name: str, **fields) -> ListedInstance:
    own = member(name)
    fields = {'leaving': False, **fields}
    return ListedInstance(name, own.zone, own.address, own.control_address, **fields)


class ContactsTest(unittest.TestCase):
    """One instance with a few known members."""

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
        self.contacts.learn([listed('dead')])
        bound = HOUR / MAX_PAUSE_SECONDS + 10
        for address, tries in self.tries().items():
            with self.subTest(address):
                self.assertLessEqual(tries, bound)

    def test_known_leaving_and_failed_instances_are_not_tried(self):
        self.table.merge(member('known'))
        self.table.merge(member('failed', status=Status.FAILED))
        instances = [listed('known'), listed('failed'), listed('gone', leaving=True)]
        self.contacts.learn([*instances, listed('fresh')])
        self.assertEqual(set(self.tries()), {'seed:90', 'fresh:90'})

    def test_list_is_read_seldom_once_peers_are_known(self):
        reads = sum(self.contacts.wants_list(float(s), True) for s in range(HOUR))
        self.contacts.learn([])
        self.table.merge(member('known'))
        later = range(HOUR, 2 * HOUR)
        with_peers = sum(self.contacts.wants_list(float(s), True) for s in later)
        as_others = sum(self.contacts.wants_list(float(s + HOUR), False) for s in later)
        self.assertLessEqual(reads, 60)
        self.assertLessEqual(with_peers, 40)
        self.assertEqual(as_others, 0)

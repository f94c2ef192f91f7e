"""Tests of the health of one peer, by polls and by lists of instances."""

import unittest

from catkinslip.discovery.peer_health import (
    MISSED_LISTS,
    MISSED_POLLS,
    Peer,
    PeerHealth,
)
from tests.discovery_builders import instance_entry


class PeerTest(unittest.TestCase):
    """One peer."""

    def setUp(self):
        self.peer = Peer(instance_entry('one'))

    def test_peer_is_silent_after_missed_polls_in_a_row(self):
        """Guards against callers that lose an instance for one lost answer."""
        self.peer.set_health(PeerHealth.READY, 0)
        changes = [self.peer.record_missed_poll() for _ in range(MISSED_POLLS)]
        self.assertEqual(changes, [False] * (MISSED_POLLS - 1) + [True])
        self.assertIs(self.peer.health, PeerHealth.SILENT)
        self.assertTrue(self.peer.set_health(PeerHealth.READY, 0))
        self.assertFalse(self.peer.record_missed_poll())

    def test_unlisted_peer_is_removable_unless_it_answers(self):
        for _ in range(MISSED_LISTS):
            self.assertFalse(self.peer.is_removable())
            self.peer.record_list(False)
        self.assertTrue(self.peer.is_removable())
        self.peer.set_health(PeerHealth.NOT_READY, 0)
        self.assertFalse(self.peer.is_removable())

    def test_peer_that_was_listed_is_removable_at_the_first_list_without_it(self):
        self.peer.record_list(True)
        self.peer.record_list(False)
        self.assertTrue(self.peer.is_removable())

    def test_silent_peer_has_not_lost_the_store(self):
        """Guards against an outage that is concluded from instances that are gone."""
        self.peer.set_health(PeerHealth.NOT_READY, 0)
        self.assertTrue(self.peer.has_lost_store)
        self.peer.set_health(PeerHealth.SILENT, MISSED_POLLS)
        self.assertFalse(self.peer.has_lost_store)


if __name__ == '__main__':
    unittest.main()

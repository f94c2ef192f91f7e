"""What the list of instances tells the quotas, also at a restart of all.

Most requests of workspaces were refused after a restart of all instances. Those that
got their first list from a peer did not use their shares for two seconds, and those
that were not ready yet were no pools.
"""

import unittest

from catkinslip.discovery.instances import InstanceTable
from tests.discovery_builders import instance_entry

OWN, NEAR, FAR = (
    instance_entry('own'),
    instance_entry('near'),
    instance_entry('far', 'zone-b'),
)


class QuotaViewTest(unittest.TestCase):
    """The share of this instance, and the instances that may be pools."""

    def setUp(self):
        self.table = InstanceTable(OWN, is_own_ready=True)

    def test_no_list_gives_no_share(self):
        self.table.add_instance(NEAR)
        view = self.table.quota_view()
        self.assertEqual(view.share, 0.0)
        self.assertIsNone(view.peer_ids)

    def test_share_and_peers_follow_the_list(self):
        self.table.apply_list((OWN, NEAR, FAR), 7)
        view = self.table.quota_view()
        self.assertEqual(view.share, 1 / 3)
        self.assertEqual(view.peer_ids, {'near', 'far'})

    def test_list_of_a_peer_tells_whether_this_instance_was_listed(self):
        self.table.apply_list((OWN, NEAR), 7)
        self.assertTrue(self.table.quota_view().was_listed)

    def test_instance_that_a_later_list_adds_was_not_listed(self):
        self.table.apply_list((NEAR, FAR), 7)
        self.table.apply_list((OWN, NEAR, FAR), 8)
        self.assertFalse(self.table.quota_view().was_listed)

    def test_peer_that_leaves_is_no_pool(self):
        self.table.apply_list((OWN, NEAR, FAR), 7)
        self.table.record_answer('near', is_ready=False)
        self.assertEqual(set(self.table.quota_view().pool_ids), {'own', 'far'})

    def test_silent_peer_is_no_pool(self):
        self.table.apply_list((OWN, NEAR, FAR), 7)
        for _ in range(2):
            self.table.record_missed_poll('near')
        self.assertEqual(set(self.table.quota_view().pool_ids), {'own', 'far'})

    def test_instances_that_start_together_are_pools_before_they_are_ready(self):
        table = InstanceTable(OWN, is_starting=True)
        table.apply_list((OWN, NEAR, FAR), 7)
        table.record_answer('near', is_ready=False)
        self.assertEqual(set(table.quota_view().pool_ids), {'own', 'near', 'far'})
        table.end_start_phase()
        self.assertEqual(set(table.quota_view().pool_ids), {'far'})

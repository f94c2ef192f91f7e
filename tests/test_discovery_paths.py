"""Address answers and choices of receivers where instances reach no servers."""

import unittest
from random import Random

from catkinslip.config.documents import converter
from catkinslip.discovery.instances import InstanceTable, PeerHealth
from catkinslip.discovery.messages import PeerState
from catkinslip.discovery.paths import PeerPaths
from catkinslip.relaying.peers import MAX_IN_FLIGHT, RelayPeers
from tests.discovery_builders import instance_entry

CUT_OFF = PeerPaths('token', ('one', 'two'), is_cut_off=True)
REACHING = PeerPaths('token')


class CutOffTest(unittest.TestCase):
    """Instances that callers of a zone get while some reach no server."""

    def setUp(self):
        self.table = InstanceTable(instance_entry('own'), is_own_ready=True)
        for name, zone in (
            ('a1', 'zone-a'),
            ('a2', 'zone-a'),
            ('a3', 'zone-a'),
            ('b1', 'zone-b'),
        ):
            self.table.add_instance(instance_entry(name, zone))
            self.table.record_answer(name, is_ready=True)
            self.table.record_paths(name, REACHING)

    def cut_off(self, *names: str) -> None:
        """Record that some instances reach no server."""
        for name in names:
            self.table.record_paths(name, CUT_OFF)

    def usable(self, zone: str = 'zone-a') -> list[str]:
        """Return the IDs of the instances for callers of a zone."""
        region = self.table.own.region
        return sorted(each.instance_id for each in self.table.usable(zone, region))

    def test_instances_that_reach_no_server_are_left_out(self):
        self.cut_off('a1')
        self.assertEqual(self.usable(), ['a2', 'a3', 'own'])

    def test_own_instance_is_left_out_too(self):
        self.table.own_paths = lambda: CUT_OFF
        self.assertEqual(self.usable(), ['a1', 'a2', 'a3'])

    def test_others_of_the_region_join_where_most_of_the_zone_is_cut_off(self):
        self.cut_off('a1', 'a2', 'a3')
        self.assertEqual(self.usable(), ['b1', 'own'])

    def test_callers_of_a_zone_that_is_cut_off_get_another_zone(self):
        self.cut_off('a1', 'a2', 'a3')
        self.table.own_paths = lambda: CUT_OFF
        self.assertEqual(self.usable(), ['b1'])

    def test_all_are_named_where_none_reaches_servers(self):
        self.cut_off('a1', 'a2', 'a3', 'b1')
        self.table.own_paths = lambda: CUT_OFF
        self.assertEqual(self.usable(), ['a1', 'a2', 'a3', 'own'])

    def test_leader_reports_which_instances_are_cut_off(self):
        self.cut_off('a1')
        self.assertEqual(self.table.cut_off_ids(), ['a1'])
        follower = InstanceTable(instance_entry('f1'), is_own_ready=True)
        for name in ('own', 'a1', 'a2'):
            follower.add_instance(instance_entry(name))
        health = dict.fromkeys(('own', 'a1', 'a2'), PeerHealth.READY)
        follower.apply_peer_report('own', health, (), (), ['a1'])
        self.assertEqual(follower.cut_off_ids(), ['a1'])
        follower.apply_peer_report('own', health, ())
        self.assertEqual(follower.cut_off_ids(), [])

    def test_state_of_an_earlier_program_reaches_all_but_accepts_no_relays(self):
        state = PeerState(instance_entry('old'), True, 1, 1)
        plain = converter.unstructure(state)
        for name in ('paths', 'cut_off'):
            del plain[name]
        paths = converter.structure(plain, PeerState).paths
        self.assertFalse(paths.is_cut_off)
        self.assertFalse(paths.reaches('one'))


class RelayPeersTest(unittest.TestCase):
    """The instance to which a request is relayed."""

    def setUp(self):
        self.table = InstanceTable(instance_entry('own'))
        for name, zone in (('near', 'zone-a'), ('far', 'zone-b')):
            self.table.add_instance(instance_entry(name, zone))
            self.table.record_answer(name, is_ready=True)
            self.table.record_paths(name, REACHING)
        self.peers = RelayPeers('zone-a', Random(1), self.table.ready_peers)

    def choose(self, service: str = 'one', *excluded: str) -> str | None:
        """Return the ID of the chosen instance, if there is one."""
        peer = self.peers.choose(service, excluded)
        return None if peer is None else peer.entry.instance_id

    def test_own_zone_is_preferred_among_equals(self):
        self.assertEqual(self.choose(), 'near')
        self.peers.in_flight_by_id['near'] = 1
        self.assertEqual(self.choose(), 'far')

    def test_instance_that_lost_the_service_is_left_out(self):
        self.table.record_paths('near', PeerPaths('token', ('one',)))
        self.assertEqual(self.choose(), 'far')
        self.assertEqual(self.choose('two'), 'near')

    def test_instance_that_is_not_ready_is_left_out(self):
        self.table.record_answer('near', is_ready=False)
        self.assertEqual(self.choose(), 'far')

    def test_no_instance_is_chosen_once_all_are_full(self):
        for name in ('near', 'far'):
            self.peers.in_flight_by_id[name] = MAX_IN_FLIGHT
        self.assertIsNone(self.choose())

    def test_tried_instance_is_not_chosen_again(self):
        self.assertEqual(self.choose('one', 'near'), 'far')
        self.assertIsNone(self.choose('one', 'near', 'far'))

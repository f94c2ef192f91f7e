"""Tests of the peer protocol between a few instances, on a virtual clock."""

import unittest
from random import Random

from attrs import Factory, define, evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.membership.members import (
    TOMBSTONE_SECONDS,
    Member,
    MemberTable,
    Status,
    join,
)
from catkinslip.membership.protocol import ROUNDS_PER_COMPARISON, PeerProtocol
from catkinslip.membership.updates import transmissions
from catkinslip.membership.zones import SETTLED_SECONDS, SILENT_SECONDS
from tests.builders import member

ROUND_SECONDS = 1.0


@define
class Peers:
    """Simulated instances that exchange in memory; messages of cut pairs are lost."""

    random: Random = Factory(lambda: Random(7))
    now: float = 100.0
    peer_by_id: dict[str, PeerProtocol] = Factory(dict)
    stopped: set[str] = Factory(set)
    cut_pairs: set[frozenset[str]] = Factory(set)

    def start(self, own: Member, seed: str = '') -> PeerProtocol:
        peer = PeerProtocol(MemberTable(own), {}, self.random, ROUND_SECONDS)
        self.peer_by_id[own.member_id] = peer
        self.stopped.discard(own.member_id)
        if seed:
            self.exchange(peer, seed)
        return peer

    def reaches(self, one: str, other: str) -> bool:
        if other in self.stopped or other not in self.peer_by_id:
            return False
        return one not in self.stopped and frozenset((one, other)) not in self.cut_pairs

    def exchange(self, peer: PeerProtocol, other_id: str) -> bool:
        if not self.reaches(peer.table.own.member_id, other_id):
            return False
        other = self.peer_by_id[other_id]
        request = peer.request(self.now, peer.table.find(other_id))
        answer = other.answer(request, self.now)
        missing = peer.apply_answer(request, answer, self.now)
        if missing is not None:
            other.answer(missing, self.now)
        return True

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now += ROUND_SECONDS
            for name, peer in list(self.peer_by_id.items()):
                if name not in self.stopped:
                    self.run_round(peer)

    def run_round(self, peer: PeerProtocol) -> None:
        peer.detector.tick(self.now)
        for target in peer.detector.next_targets(self.now):
            if self.exchange(peer, target.member_id):
                continue
            group_zones = peer.detector.probe_group_zones(self.now)
            if target.status is Status.FAILED or target.zone not in group_zones:
                continue
            helpers = peer.detector.helpers(target, self.now)
            reached = [
                self.reaches(each.member_id, target.member_id)
                for each in helpers
                if self.reaches(peer.table.own.member_id, each.member_id)
            ]
            if not any(reached):
                peer.detector.suspect(target, self.now)

    def run_until(self, condition, rounds: int = 200) -> int:
        for count in range(rounds):
            if condition():
                return count
            self.run(1)
        raise AssertionError('the condition did not become true within the rounds')

    def cut(self, group: set[str]) -> None:
        others = self.peer_by_id.keys() - group
        self.cut_pairs = {frozenset((a, b)) for a in group for b in others}

    def usable(self, of: str) -> set[str]:
        return {each.member_id for each in self.peer_by_id[of].table.usable()}

    def all_see(self, expected: set[str], of: set[str] | None = None) -> bool:
        running = self.peer_by_id.keys() - self.stopped
        return all(self.usable(name) == expected for name in of or running)


def fleet(size_by_zone: dict[str, int]) -> Peers:
    """Return peers that all have each other in their member tables."""
    peers = Peers()
    seed = ''
    for zone, size in size_by_zone.items():
        for number in range(size):
            own = member(f'{zone}-{number}', zone)
            peers.start(own, seed)
            seed = seed or own.member_id
    names = set(peers.peer_by_id)
    peers.run_until(lambda: peers.all_see(names))
    return peers


class GossipTest(unittest.TestCase):
    """Member updates reach all members and are sent a bounded number of times."""

    def test_one_seed_is_enough_and_updates_stop(self):
        peers = fleet({'zone-a': 20})
        peers.run_until(
            lambda: (
                not any(
                    each.table.updates.sent_by_id for each in peers.peer_by_id.values()
                )
            )
        )
        request = peers.peer_by_id['zone-a-3'].request(peers.now)
        self.assertEqual(request.words, ())

    def test_joining_instance_passes_on_only_itself(self):
        peers = fleet({'zone-a': 12})
        joining = PeerProtocol(MemberTable(member('zone-a-new')), {}, peers.random, 1.0)
        request = joining.request(peers.now)
        self.assertEqual(request.words, (joining.table.own,))
        answer = peers.peer_by_id['zone-a-0'].answer(request, peers.now)
        self.assertIsNone(joining.apply_answer(request, answer, peers.now))
        self.assertEqual(len(joining.table.member_by_id), 12)
        self.assertLessEqual(joining.table.updates.sent_by_id.keys(), {'zone-a-new'})

    def test_update_is_sent_a_bounded_number_of_times(self):
        peers = fleet({'zone-a': 3})
        table = peers.peer_by_id['zone-a-0'].table
        table.updates.sent_by_id.clear()
        table.mark_leaving()
        sent = sum(len(table.updates.take(8, 50)) for _ in range(1000))
        self.assertEqual(sent, transmissions(50))

    def test_one_repair_updates_both_sides(self):
        peers = Peers()
        one = peers.start(member('zone-a-0'))
        other = peers.start(member('zone-a-1'), 'zone-a-0')
        one.table.merge(member('zone-a-2'))
        other.table.merge(member('zone-a-3'))
        for peer in (one, other):
            peer.zones.refresh(peers.now)
            peer.table.updates.sent_by_id.clear()
        peers.now += SETTLED_SECONDS
        for _ in range(ROUNDS_PER_COMPARISON):
            peers.exchange(one, 'zone-a-1')
        self.assertEqual(self.names(one), self.names(other))
        self.assertEqual(len(self.names(one)), 4)

    def names(self, peer: PeerProtocol) -> set[str]:
        return {each.member_id for each in peer.table.live()}

    def test_leaving_is_passed_on_at_once(self):
        peers = fleet({'zone-a': 20, 'zone-b': 20})
        for peer in peers.peer_by_id.values():
            peer.has_urgent_updates = False
        for _ in range(3):
            leaving = sorted(peers.usable('zone-b-0'))[0]
            peers.peer_by_id[leaving].table.mark_leaving()
            self.gossip_urgent(peers, leaving)
        informed = [
            name for name in peers.peer_by_id if leaving not in peers.usable(name)
        ]
        # No round has run. The other members receive the update in the next rounds.
        self.assertGreater(len(informed), 30)
        peers.run_until(lambda: peers.all_see(peers.usable(leaving)), rounds=5)

    def gossip_urgent(self, peers: Peers, first: str) -> None:
        waiting = [first]
        while waiting:
            peer = peers.peer_by_id[waiting.pop(0)]
            peer.has_urgent_updates = False
            for target in peer.detector.gossip_targets(peers.now):
                peers.exchange(peer, target.member_id)
            for name, other in peers.peer_by_id.items():
                if other.has_urgent_updates and name not in waiting:
                    waiting.append(name)

    def test_large_zones_are_not_probed_from_other_zones(self):
        peers = fleet({'zone-a': 9, 'zone-b': 9, 'zone-c': 9})
        gateways = 0
        for peer in peers.peer_by_id.values():
            own = peer.table.own
            probed = peer.detector.probe_group(peers.now)
            self.assertEqual({each.zone for each in probed}, {own.zone})
            gateways += peer.detector.is_gateway(peers.now)
        self.assertEqual(gateways, 9)


class FailureTest(unittest.TestCase):
    """Failed members are detected, and live ones are not removed."""

    def test_stopped_member_fails_and_old_records_do_not_restore_it(self):
        peers = fleet({'zone-a': 5})
        old = peers.peer_by_id['zone-a-1'].table.find('zone-a-4')
        peers.stopped.add('zone-a-4')
        remaining = peers.peer_by_id.keys() - peers.stopped
        peers.run_until(lambda: peers.all_see(remaining))
        peers.run_until(
            lambda: all(
                'zone-a-4' in peers.peer_by_id[name].table.tombstone_by_id
                for name in remaining
            )
        )
        table = peers.peer_by_id['zone-a-1'].table
        self.assertFalse(table.merge(old, peers.now))
        self.assertNotIn('zone-a-4', table.member_by_id)
        table.remove_old_tombstones(peers.now + TOMBSTONE_SECONDS)
        self.assertEqual(table.tombstone_by_id, {})

    def test_only_member_of_a_zone_is_found_failed(self):
        peers = fleet({'zone-a': 1, 'zone-b': 1, 'zone-c': 1})
        peers.stopped.add('zone-c-0')
        for name in ('zone-a-0', 'zone-b-0'):
            table = peers.peer_by_id[name].table
            peers.run_until(lambda t=table: 'zone-c-0' in t.tombstone_by_id)

    def test_old_tombstone_is_not_merged(self):
        table = MemberTable(member('zone-a-0'))
        failed = member('zone-a-1', status=Status.FAILED)
        self.assertFalse(table.merge(failed, 0.0, age=TOMBSTONE_SECONDS))

    def test_member_reached_by_others_is_not_suspected(self):
        peers = fleet({'zone-a': 5})
        peers.cut_pairs.add(frozenset(('zone-a-0', 'zone-a-1')))
        for _ in range(60):
            peers.run(1)
            self.assertTrue(peers.all_see(set(peers.peer_by_id)))

    def test_paused_member_is_left_out_and_refutes(self):
        peers = fleet({'zone-a': 5})
        all_ids = set(peers.peer_by_id)
        for rounds_after in (0, 20):
            peers.stopped.add('zone-a-2')
            peers.run_until(lambda: peers.all_see(all_ids - {'zone-a-2'}))
            peers.run(rounds_after)
            before = peers.peer_by_id['zone-a-2'].table.own
            peers.stopped.clear()
            peers.run_until(lambda: peers.all_see(all_ids))
            after = peers.peer_by_id['zone-a-2'].table.own
            self.assertGreater(after.revision, before.revision)
            self.assertEqual(after.incarnation, before.incarnation)

    def test_process_that_was_paused_marks_no_member_as_failed(self):
        peers = fleet({'zone-a': 5})
        peer = peers.peer_by_id['zone-a-0']
        target = peer.table.member_by_id['zone-a-1']
        peer.detector.suspect(target, peers.now)
        peer.detector.tick(peers.now)
        peer.detector.tick(peers.now + 3600)
        self.assertEqual(peer.table.find('zone-a-1').status, Status.SUSPECT)
        self.assertEqual(peer.table.silent_zones, frozenset())

    def test_restart_replaces_the_earlier_process(self):
        peers = fleet({'zone-a': 4})
        old = peers.peer_by_id['zone-a-3'].table.own
        peers.peer_by_id['zone-a-3'].table.mark_leaving()
        peers.run(5)
        peers.start(evolve(old, incarnation=2, address='new:80'), 'zone-a-0')
        peers.run_until(lambda: peers.all_see(set(peers.peer_by_id)))
        table = peers.peer_by_id['zone-a-1'].table
        self.assertFalse(table.merge(evolve(old, leaving=True), peers.now))
        self.assertEqual(table.find('zone-a-3').address, 'new:80')


class PartitionTest(unittest.TestCase):
    """Both sides of a partition continue, and merge after the partition ends."""

    def test_small_fleet_split_in_two_merges(self):
        peers = fleet({'zone-a': 3, 'zone-b': 3})
        group = {name for name in peers.peer_by_id if name.startswith('zone-a')}
        others = peers.peer_by_id.keys() - group
        peers.cut(group)
        peers.run_until(lambda: peers.all_see(group, group))
        peers.run_until(lambda: peers.all_see(others, others))
        peers.run(60)
        peers.cut_pairs.clear()
        peers.run_until(lambda: peers.all_see(group | others))

    def test_regions_cut_off_go_on_and_merge(self):
        peers = fleet({'zone-a': 9, 'zone-b': 9, 'zone-c': 9})
        group = {name for name in peers.peer_by_id if name.startswith('zone-a')}
        all_ids = set(peers.peer_by_id)
        others = all_ids - group
        peers.cut(group)
        peers.run(int(SILENT_SECONDS / ROUND_SECONDS) + 40)
        # No member across the cut is marked as failed; only its zone is left out.
        self.assertTrue(peers.all_see(group, group))
        self.assertTrue(peers.all_see(others, others))
        for peer in peers.peer_by_id.values():
            self.assertEqual(peer.table.tombstone_by_id, {})
        peers.peer_by_id['zone-b-1'].table.mark_leaving()
        peers.stopped.add('zone-a-2')
        restarted = evolve(peers.peer_by_id['zone-c-1'].table.own, incarnation=2)
        peers.start(restarted, 'zone-c-0')
        peers.run(40)
        peers.cut_pairs.clear()
        expected = all_ids - {'zone-b-1', 'zone-a-2'}
        peers.run_until(lambda: peers.all_see(expected))
        for name in expected:
            found = peers.peer_by_id[name].table.find('zone-c-1')
            self.assertEqual(found.incarnation, 2)


MEMBER_RECORDS = st.builds(
    member,
    name=st.just('zone-a-1'),
    incarnation=st.integers(1, 2),
    leaving=st.booleans(),
    status=st.sampled_from(Status),
    revision=st.integers(0, 2),
)


class MergeTest(unittest.TestCase):
    """Member records merge to the same result in any order."""

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(MEMBER_RECORDS, min_size=1, max_size=5), st.randoms())
    def test_order_and_repeats_do_not_matter(self, records, random):
        first, second = (MemberTable(member('zone-a-0')) for _ in range(2))
        shuffled = records + records
        random.shuffle(shuffled)
        for record in records:
            first.merge(record)
        for record in shuffled:
            second.merge(record)
        found = first.find('zone-a-1')
        self.assertEqual(found, second.find('zone-a-1'))
        latest = [each for each in records if each.incarnation == found.incarnation]
        self.assertEqual(found.leaving, any(each.leaving for each in latest))
        self.assertEqual(join(found, found), found)

"""Tests of change logs and updates: peers get the changes that they lack, or all."""

import unittest
from random import Random
from unittest.mock import patch

import trio
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.answers import (
    MAX_SENT_BACKENDS,
    MAX_SENT_CHANGES,
    PeerAnswers,
)
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import Changes, Listing
from catkinslip.discovery.catch_up import MAX_PARTS
from catkinslip.discovery.changes import MAX_CHANGES, ChangeLog, difference
from catkinslip.discovery.follower import Follower
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.peers import PeerPoller
from catkinslip.page_client import PageClient
from tests.discovery_builders import (
    ScriptedSource,
    backend_entry,
    changes_at,
    instance_entry,
    listing,
    no_kinds,
    rule_set,
)

SETTINGS = settings(derandomize=True, deadline=None)
ONE, TWO = backend_entry('one'), backend_entry('two', port=81)
NAMES = st.sampled_from('abcd')
VALUES = st.none() | st.integers(0, 2)


def apply(values: dict, changes: tuple) -> dict:
    """Return the values that result from changes."""
    after = dict(values)
    for name, value in changes:
        if value is None:
            after.pop(name, None)
        else:
            after[name] = value
    return after


class ChangeLogTest(unittest.TestCase):
    """Changes of a log after a revision."""

    def test_only_later_changes_are_returned(self):
        log = ChangeLog()
        log.start(5)
        log.add((('a', 1), ('b', 2)), 7)
        log.add((('a', None),), 9)
        self.assertEqual(log.after(7), (('a', None),))
        self.assertEqual(log.after(5), (('a', 1), ('b', 2), ('a', None)))
        self.assertEqual(log.after(9), ())
        self.assertIsNone(log.after(4))

    def test_log_is_bounded(self):
        log = ChangeLog()
        for revision in range(1, MAX_CHANGES + 11):
            log.add((('a', revision),), revision)
        self.assertEqual(len(log.entries), MAX_CHANGES)
        self.assertIsNone(log.after(9))
        self.assertEqual(len(log.after(10)), MAX_CHANGES)

    @SETTINGS
    @given(
        st.lists(st.lists(st.tuples(NAMES, VALUES), max_size=4), max_size=8),
        st.integers(0, 8),
    )
    def test_changes_lead_from_any_known_state_to_the_last(self, batches, known):
        log, values = ChangeLog(), {}
        values_by_revision = [values]
        for number, batch in enumerate(batches):
            values = apply(values, batch)
            values_by_revision.append(values)
            log.add(batch, number + 1)
        known = min(known, len(batches))
        after = apply(values_by_revision[known], log.after(known))
        self.assertEqual(after, values)

    @SETTINGS
    @given(st.dictionaries(NAMES, VALUES), st.dictionaries(NAMES, VALUES))
    def test_difference_leads_from_one_to_the_other(self, before, after):
        before = {name: each for name, each in before.items() if each is not None}
        after = {name: each for name, each in after.items() if each is not None}
        self.assertEqual(apply(before, difference(before, after)), after)


def follower() -> Follower:
    """Return a follower that makes no calls."""
    return Follower('backends', ScriptedSource(), Random(1))


class SnapshotTest(unittest.TestCase):
    """Rules and servers that an instance sends to a peer."""

    def setUp(self):
        clock = patch('trio.current_time', return_value=100.0)
        clock.start()
        self.addCleanup(clock.stop)
        self.assembler = Assembler(ConfigHolder(), follower(), follower())
        self.answers = PeerAnswers(
            InstanceTable(instance_entry('own')), self.assembler, no_kinds()
        )
        self.assembler.offer_rules(rule_set(3))
        self.assembler.backends.offer(listing(5, ONE), 'test')

    def test_peer_without_anything_gets_everything(self):
        sent = self.answers.snapshot_after(0, 0)
        self.assertEqual(sent.rules, rule_set(3))
        self.assertEqual((sent.backends, sent.changes), ({'one': ONE}, None))

    def test_peer_with_the_same_rules_gets_only_changes(self):
        self.assembler.backends.apply_peer_changes(
            changes_at(8, ('two', TWO), ('one', None)), 5
        )
        sent = self.answers.snapshot_after(3, 5)
        self.assertIsNone(sent.rules)
        self.assertEqual(sent.backends, {})
        names = [(each.name, each.entry) for each in sent.changes]
        self.assertEqual(names, [('two', TWO), ('one', None)])

    def test_whole_list_that_was_read_again_is_sent_as_its_changes(self):
        self.assembler.backends.offer(listing(9, TWO), 'test')
        names = [each.name for each in self.answers.snapshot_after(3, 5).changes]
        self.assertEqual(names, ['one', 'two'])

    def test_peer_that_lacks_too_much_gets_everything(self):
        sent = self.answers.snapshot_after(3, 4)
        self.assertEqual((sent.backends, sent.changes), ({'one': ONE}, None))

    def test_large_rules_are_left_to_the_store_unless_it_does_not_answer(self):
        many = evolve(
            rule_set(9),
            routes={str(n): rule_set(9).routes['a'] for n in range(300)},
        )
        self.assembler.offer_rules(many)
        sent = self.answers.snapshot_after(3, 5)
        self.assertIsNone(sent.rules)
        self.assertTrue(sent.are_rules_large)
        self.assertEqual(self.answers.snapshot_after(3, 5, is_whole=True).rules, many)
        self.assertFalse(self.answers.snapshot_after(9, 5).are_rules_large)

    def many(self, count: int) -> dict:
        """Return the given number of servers, by name."""
        entries = [backend_entry(f'i-{n}', port=n + 1) for n in range(count)]
        return {each.backend_id: each for each in entries}

    def test_all_of_many_servers_are_left_to_the_store_unless_it_does_not_answer(self):
        many = self.many(MAX_SENT_BACKENDS + 1)
        self.assembler.backends.offer(Listing(many, 9), 'test')
        sent = self.answers.snapshot_after(0, 0)
        self.assertTrue(sent.are_backends_large)
        self.assertEqual((sent.backends, sent.rules), ({}, rule_set(3)))
        sent = self.answers.snapshot_after(0, 0, is_whole=True)
        self.assertEqual((sent.backends, sent.are_backends_large), (many, False))

    def test_many_changes_are_sent_in_parts_that_lead_to_the_same(self):
        backends = self.assembler.backends
        for revision, (name, entry) in enumerate(self.many(2000).items(), 6):
            backends.apply_peer_changes(
                changes_at(revision, (name, entry)), revision - 1
            )
        other = follower()
        other.offer(listing(5, ONE), 'test')
        parts = 0
        while other.revision < backends.changed_at:
            sent = self.answers.snapshot_after(3, other.revision)
            self.assertLessEqual(len(sent.changes), MAX_SENT_CHANGES)
            changes = tuple((each.name, each.entry) for each in sent.changes)
            other.apply_peer_changes(
                Changes(changes, sent.backends_revision), other.revision
            )
            parts += 1
        self.assertEqual(other.value_by_name, backends.value_by_name)
        self.assertLessEqual(parts, MAX_PARTS)

    def test_more_changes_at_one_revision_than_fit_are_marked_as_large(self):
        many = self.many(3 * MAX_SENT_CHANGES)
        self.assembler.backends.offer(Listing(many, 9), 'test')
        self.assertTrue(self.answers.snapshot_after(3, 5).are_backends_large)

    def test_peer_that_lacks_too_many_servers_reads_the_store_once(self):
        peer = Assembler(ConfigHolder(), follower(), follower())
        peer.start()
        poller = PeerPoller(
            InstanceTable(instance_entry('peer')),
            peer,
            no_kinds(),
            PageClient(),
            Random(1),
            (),
            ScriptedSource(),
            None,
        )
        many = self.many(MAX_SENT_BACKENDS + 1)
        self.assembler.backends.offer(Listing(many, 9), 'test')
        poller.catch_up.apply_snapshot(self.answers.snapshot_after(0, 0), 0, 'peer')
        self.assertEqual(peer.rules_version, 3)
        self.assertTrue(peer.backends.reads_once)
        self.assertEqual(peer.backends.revision, 0)

    def test_invalid_query_is_refused(self):
        for query in ('', '3', '3.x', '3.5.all', '3.5.whole.', '-3.5'):
            page = trio.run(self.answers.snapshot, query)
            self.assertEqual(page.status, 400, query)
        for query in ('3.5', '3.5.whole'):
            page = trio.run(self.answers.snapshot, query)
            self.assertEqual(page.status, 200, query)

    def test_end_of_an_outage_is_sent_with_its_age(self):
        self.assertIsNone(self.answers.snapshot_after(3, 5).regained_seconds)
        self.assembler.backends.recovered_at = 99.0
        self.assertEqual(self.answers.snapshot_after(3, 5).regained_seconds, 1.0)
        other = follower()
        other.apply_peer_recovery(1.0)
        self.assertEqual(other.recovered_at, 99.0)
        other.apply_peer_recovery(None)
        other.apply_peer_recovery(50.0)
        self.assertEqual(other.recovered_at, 99.0)


class PeerChangesTest(unittest.TestCase):
    """Changes from a peer that a follower applies."""

    def setUp(self):
        self.follower = follower()
        self.follower.offer(listing(5, ONE), 'test')

    def test_newer_changes_are_applied(self):
        self.assertTrue(
            self.follower.apply_peer_changes(changes_at(8, ('two', TWO)), 5)
        )
        self.assertEqual(self.follower.value_by_name, {'one': ONE, 'two': TWO})
        self.assertEqual(self.follower.revision, 8)

    def test_older_changes_are_not_applied(self):
        self.assertFalse(
            self.follower.apply_peer_changes(Changes((('one', None),), 5), 4)
        )
        self.assertEqual(self.follower.value_by_name, {'one': ONE})

    def test_changes_after_an_unknown_revision_are_not_applied(self):
        self.assertFalse(
            self.follower.apply_peer_changes(changes_at(9, ('two', TWO)), 6)
        )
        self.assertEqual(self.follower.revision, 5)

    def test_empty_listing_is_known_and_sent(self):
        empty = follower()
        empty.offer(Listing({}, 4), 'test')
        self.assertTrue(empty.is_known)
        self.assertEqual(empty.changed_at, 4)


if __name__ == '__main__':
    unittest.main()

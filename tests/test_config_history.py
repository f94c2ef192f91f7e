"""Tests of changes, snapshots and the configuration holder in random orders."""

import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    canonical_json,
    converter,
    to_plain,
)
from catkinslip.config.history import (
    MAX_CHANGES,
    MAX_PATCH_BYTES,
    Head,
    config_after_change,
    extend_head,
)
from catkinslip.config.holder import ConfigHolder, OfferResult
from catkinslip.config.merge import merge_diff, merge_patch
from catkinslip.config.reading import build_config
from catkinslip.config.revision import revise_document
from standins.registers import many_workers
from tests.builders import config_with, document_of

KEYS = st.sampled_from('abc')
SCALARS = st.one_of(st.integers(0, 2), st.booleans(), st.lists(st.integers(0, 1)))
MAPS = st.recursive(
    st.dictionaries(KEYS, SCALARS),
    lambda inner: st.dictionaries(KEYS, st.one_of(SCALARS, inner)),
    max_leaves=8,
)
SIZES = st.lists(st.integers(0, 12), min_size=1, max_size=8)
SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)


def write_all(sizes: list[int]) -> list[tuple[AcceptedConfig, Head, dict]]:
    """Return configuration, head and snapshot after each change of a sequence.

    Each size is the number of workers in the document of a change.
    """
    config, head, snapshot_plain = AcceptedConfig(), Head(), {}
    written = []
    for number, size in enumerate(sizes, 1):
        after = config_with(size, number)
        head, snapshot = extend_head(head, config, after, 0.0)
        if snapshot is not None:
            snapshot_plain = to_plain(snapshot)
        config = after
        written.append((config, head, snapshot_plain))
    return written


class MergeTest(unittest.TestCase):
    """A patch contains exactly the differences between two documents."""

    @SETTINGS
    @given(MAPS, MAPS)
    def test_patch_of_a_difference_gives_the_other_map(self, before, after):
        patch = merge_diff(before, after)
        self.assertEqual(merge_patch(before, patch), after)

    @SETTINGS
    @given(st.integers(0, 9), st.integers(0, 9), st.booleans())
    def test_revised_document_is_the_document_read_whole(self, old, new, with_rules):
        before = document_of(many_workers(old, 2))
        plain = many_workers(new, 2)
        if with_rules:
            plain['rules'] = {'services': {'service-0': {'slots': 3}}}
        after = document_of(plain)
        patch = merge_diff(to_plain(before), to_plain(after))
        revised = revise_document(before, to_plain(after), patch)
        self.assertEqual(revised, after)

    def test_change_whose_digest_differs_is_not_followed(self):
        before, after = config_with(2, 1), config_with(3, 2)
        head, _ = extend_head(Head(snapshot_name='s'), before, after, 0.0)
        self.assertEqual(config_after_change(before, head.last), after)
        damaged = evolve(head.last, patch={'register': {'backends': None}})
        self.assertIsNone(config_after_change(before, damaged))


class HeadTest(unittest.TestCase):
    """The snapshot and the changes give the document of the last change."""

    @SETTINGS
    @given(SIZES)
    def test_each_head_gives_its_document(self, sizes):
        for config, head, snapshot in write_all(sizes):
            head = converter.structure(to_plain(head), Head)
            self.assertEqual(build_config(head, snapshot), config)

    def test_head_stays_small_over_many_changes(self):
        written = write_all([number % 7 for number in range(200)])
        for config, head, snapshot in written:
            self.assertEqual(build_config(head, snapshot), config)
            self.assertLessEqual(len(head.changes), MAX_CHANGES)
            size = len(canonical_json(to_plain(head)))
            self.assertLess(size, MAX_PATCH_BYTES + 300 * MAX_CHANGES)

    def test_large_document_goes_into_the_snapshot_alone(self):
        ((config, head, snapshot),) = write_all([600])
        self.assertIsNone(head.last.patch)
        self.assertEqual(build_config(head, snapshot), config)

    def test_new_epoch_begins_with_a_snapshot(self):
        before, head, _ = write_all([1, 2])[-1]
        after = evolve(config_with(3), version=ConfigVersion(1, 3))
        head, snapshot = extend_head(head, before, after, 0.0)
        self.assertEqual(head.changes[0].version, ConfigVersion(1, 3))
        self.assertEqual(build_config(head, to_plain(snapshot)), after)


class HolderTest(unittest.TestCase):
    """The configuration in force is never replaced by an older one."""

    @SETTINGS
    @given(SIZES, st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=20))
    def test_no_order_of_offers_goes_back(self, sizes, offers):
        written = write_all(sizes)
        holder = ConfigHolder()
        seen = [holder.current.version]
        holder.listeners.append(lambda config: seen.append(config.version))
        for index, whole in offers:
            config, head, _ = written[index % len(written)]
            if whole:
                holder.offer(config, head.changes)
            else:
                holder.offer_changes(head.changes)
            self.assertGreaterEqual(holder.current.version, seen[-1])
            number = holder.current.version.number
            if number:
                self.assertEqual(holder.current, written[number - 1][0])
        self.assertEqual(seen, sorted(set(seen)))

    def test_holder_returns_exactly_the_missing_changes(self):
        written = write_all([1, 2, 3, 4])
        holder = ConfigHolder()
        holder.offer(written[1][0])
        self.assertEqual(
            holder.offer_changes(written[3][1].changes), OfferResult.APPLIED
        )
        changes = holder.changes_after(ConfigVersion(0, 2))
        self.assertEqual([each.version.number for each in changes], [3, 4])
        self.assertIsNone(holder.changes_after(ConfigVersion(0, 1)))
        behind = ConfigHolder(written[1][0])
        self.assertEqual(behind.offer_changes(changes), OfferResult.APPLIED)
        self.assertEqual(behind.current, holder.current)

    def test_gap_leaves_everything_as_it_is(self):
        # The last change alone would also give the right document.
        written = write_all([1, 2, 1])
        holder = ConfigHolder(written[0][0])
        result = holder.offer_changes(written[2][1].changes[-1:])
        self.assertEqual(result, OfferResult.GAP)
        self.assertEqual(holder.current, written[0][0])

    def test_same_version_of_another_change_is_logged_and_not_applied(self):
        holder = ConfigHolder(config_with(1, 5, 'mine'))
        with self.assertLogs('config', 'ERROR') as logs:
            self.assertFalse(holder.offer(config_with(2, 5, 'other')))
        self.assertIn('version=0.5 in_force=mine other=other', logs.output[0])
        self.assertEqual(holder.contradictions, 1)
        self.assertEqual(holder.current.change_id, 'mine')

    def test_raised_epoch_is_above_every_number(self):
        holder = ConfigHolder(config_with(1, 500))
        restored = AcceptedConfig(ConfigVersion(1, 3), 'x', 'ana', Document())
        self.assertFalse(holder.offer(config_with(2, 480)))
        self.assertTrue(holder.offer(restored))

    def test_accepted_document_with_fields_of_a_newer_program_is_kept_whole(self):
        plain = to_plain(config_with(1).document)
        plain['register']['owner'] = 'ana'
        snapshot = {'version': {'number': 1}, 'change_id': 'c', 'author': 'a'}
        config = build_config(
            converter.structure(
                {
                    'changes': [
                        {
                            **snapshot,
                            'digest': AcceptedConfig(plain=plain).digest,
                        }
                    ],
                    'snapshot_version': {'number': 1},
                },
                Head,
            ),
            {**snapshot, 'document': plain},
        )
        self.assertEqual(config.plain['register']['owner'], 'ana')
        self.assertEqual(config.document, config_with(1).document)

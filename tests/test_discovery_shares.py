"""Property tests of budget parts and readers of the store for arbitrary zones."""

import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.readers import READERS
from tests.discovery_builders import instance_entry

SETTINGS = settings(derandomize=True, deadline=None)
CORES = st.sampled_from((0.43, 0.86, 2.15))
ZONES = st.sampled_from(('zone-a', 'zone-b', 'zone-c'))
MANY = st.lists(st.tuples(ZONES, CORES), min_size=1, max_size=60)


def entries_of(many: list[tuple[str, float]]) -> list[InstanceEntry]:
    """Return instances of the given zones and cores."""
    return [
        evolve(instance_entry(f'i-{number}', zone), cores=cores)
        for number, (zone, cores) in enumerate(many)
    ]


def table_of(own: InstanceEntry, known: list[InstanceEntry]) -> InstanceTable:
    """Return the table of an instance with the given others, all of them ready."""
    table = InstanceTable(own, is_own_ready=True)
    for entry in known:
        table.add_instance(entry)
        table.record_answer(entry.instance_id, is_ready=True)
    return table


class SharesTest(unittest.TestCase):
    """Parts of budgets, calculated by each instance alone."""

    @SETTINGS
    @given(MANY)
    def test_parts_add_up_to_the_whole_where_all_know_all(self, many):
        entries = entries_of(many)
        parts = [1 / table_of(own, entries).budget_divisor() for own in entries]
        self.assertAlmostEqual(sum(parts), 1.0)
        self.assertGreater(min(parts), 0.0)

    @SETTINGS
    @given(MANY, st.data())
    def test_silent_instance_still_has_its_part(self, many, data):
        entries = entries_of(many)
        own = data.draw(st.sampled_from(entries))
        table = table_of(own, entries)
        before = table.budget_divisor()
        for entry in data.draw(st.lists(st.sampled_from(entries))):
            table.record_missed_poll(entry.instance_id)
            table.record_missed_poll(entry.instance_id)
        self.assertEqual(table.budget_divisor(), before)


class ReadersTest(unittest.TestCase):
    """Instances that read the store."""

    @SETTINGS
    @given(MANY, st.data())
    def test_each_zone_has_a_reader_and_few(self, many, data):
        entries = entries_of(many)
        lost = set(data.draw(st.lists(st.sampled_from(entries))))
        readers = []
        for own in entries:
            table = table_of(own, entries)
            for entry in lost:
                table.record_answer(
                    entry.instance_id, is_ready=True, reaches_store=False
                )
            if table.reads_store():
                readers.append(own)
        for zone in {entry.zone for entry in entries}:
            here = [entry for entry in readers if entry.zone == zone]
            able = [entry for entry in here if entry not in lost]
            others = [e for e in entries if e.zone == zone and e not in lost]
            self.assertTrue(here)
            self.assertLessEqual(len(able), READERS)
            self.assertTrue(able or not others)


if __name__ == '__main__':
    unittest.main()

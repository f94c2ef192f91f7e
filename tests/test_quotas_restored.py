"""Test of the fleet-wide bound while the store is restored from a short copy."""

import unittest

import trio
import trio.testing

from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.revisions import revision_of
from tests.discovery_builders import instance_entry
from tests.quota_builders import BOUNDS, Fleet, config_of, limited

ZONES = ('zone-a', 'zone-b', 'zone-c')
ENTRIES = tuple(
    instance_entry(f'{zone}-{number}', zone) for zone in ZONES for number in range(8)
)
RATE, BURST = 100.0, 100.0
STEP_SECONDS = 0.5
#: Two looks at the list, 5 s each, until the copy holds all instances again.
INCOMPLETE_SECONDS = 10.0


class RestoredListTest(unittest.TestCase):
    """The store comes back from a copy that lists few of the instances."""

    def test_shares_do_not_add_up_to_more_than_one(self):
        # Guards against instances that forget those that the copy lacks: each zone
        # then divides the limits by the instances that it polls.
        clock = trio.testing.MockClock()
        fleet = trio.run(self.restore, clock, clock=clock)
        self.assertLessEqual(fleet.largest_window('a'), BOUNDS.largest(RATE, BURST))
        self.assertGreaterEqual(fleet.largest_window('a'), RATE * BOUNDS.window_seconds)

    async def restore(self, clock: trio.testing.MockClock) -> Fleet:
        tables = [new_table(entry) for entry in ENTRIES]
        fleet = Fleet(config_of(a=limited(RATE, BURST)))
        names = [entry.instance_id for entry in ENTRIES]
        fleet.add(names, tuple(names))
        fleet.load('a', 5 * RATE, names, 60)
        self.let_pass(10.0, clock, fleet, tables)
        for table in tables:
            table.apply_list(ENTRIES[::12], revision_of(1, 50))
        self.let_pass(INCOMPLETE_SECONDS, clock, fleet, tables)
        for table in tables:
            table.apply_list(ENTRIES, revision_of(1, 90))
        self.let_pass(10.0, clock, fleet, tables)
        return fleet

    def let_pass(
        self,
        seconds: float,
        clock: trio.testing.MockClock,
        fleet: Fleet,
        tables: list[InstanceTable],
    ) -> None:
        """Let time pass while the quotas follow the lists of their instances."""
        for _ in range(int(seconds / STEP_SECONDS)):
            for table in tables:
                node = fleet.node_by_name[table.own.instance_id]
                node.view = table.quota_view()
            fleet.run(STEP_SECONDS)
            clock.jump(STEP_SECONDS)


def new_table(own) -> InstanceTable:
    """Return the table of an instance that has the whole list and polls some."""
    table = InstanceTable(own, is_own_ready=True)
    table.apply_list(ENTRIES, revision_of(0, 100))
    for entry in table.to_poll():
        table.record_answer(entry.instance_id, is_ready=True)
    return table

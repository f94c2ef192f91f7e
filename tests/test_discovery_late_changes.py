"""Time until calm instances have a change, beside instances that are disturbed.

The bounds are those of the users: changes apply 2.5 s after the store acknowledged
them, and it shows them up to 0.8 s later.
"""

import unittest
from collections.abc import Callable

import trio

from catkinslip.discovery.base import ZoneEvacuation
from tests.discovery_builders import backend_entry
from tests.discovery_fleet import (
    ZONES,
    Fleet,
    Member,
    StorePath,
    change_rules,
    counts_as_ready,
    has_rules_before,
    lose_store,
    on_fleet,
)

BOUND_SECONDS = 2.5
LAG_SECONDS = 0.8
#: Instances in each of three availability zones.
SIZE = 18
SEEDS = range(2)
READERS = 3
#: Readers and the instances next in rank, which the others poll.
LEADERS = 13
#: A first change, after which the readers pause, comes this long before the judged one.
FIRST_CHANGE_SECONDS = 0.1

Disturbance = Callable[[Fleet], None]


def lacks_evacuation(member: Member) -> bool:
    """Return whether an instance does not know the evacuation order of the test."""
    return 'zone-a' not in member.assembler.evacuated_zones


def lose_all_readers_of_a_zone(fleet: Fleet) -> None:
    """Let the store fall silent for the readers of one availability zone."""
    lose_store(fleet.ranked(ZONES[0])[:READERS])


def lose_all_readers_of_two_zones(fleet: Fleet) -> None:
    """Let the store fall silent for the readers of two availability zones."""
    for zone in ZONES[:2]:
        lose_store(fleet.ranked(zone)[:READERS])


def lose_readers_while_others_freeze(fleet: Fleet) -> None:
    """Lose the readers of a zone as those that its leaders poll elsewhere freeze."""
    lose_all_readers_of_a_zone(fleet)
    for zone in ZONES[1:]:
        for member in fleet.ranked(zone)[:2]:
            member.freeze()


def lose_all_readers(fleet: Fleet) -> None:
    """Let the store fall silent for the readers of all availability zones."""
    for zone in ZONES:
        lose_store(fleet.ranked(zone)[:READERS])


def lose_most_instances(fleet: Fleet) -> None:
    """Let the store fall silent for all readers and half of all others."""
    lose_all_readers(fleet)
    for zone in ZONES:
        others = fleet.ranked(zone)[READERS:]
        lose_store(fleet.random.sample(others, len(others) // 2))


def freeze_leaders_of_a_zone(fleet: Fleet) -> None:
    """Freeze all instances of a zone that the others poll."""
    for member in fleet.ranked(ZONES[0])[:LEADERS]:
        member.freeze()


def refuse_leaders_of_a_zone(fleet: Fleet) -> None:
    """Let the store refuse all leaders of a zone."""
    lose_store(fleet.ranked(ZONES[0])[:LEADERS], StorePath.REFUSED)


class LateChangeTest(unittest.TestCase):
    """CONFIG, DRAIN: rules and leaving servers came too late to calm instances."""

    def test_changes_were_late_as_all_readers_of_a_zone_lost_the_store(self):
        self._assert_in_time(lose_all_readers_of_a_zone)

    def test_changes_were_late_as_the_readers_of_two_zones_lost_the_store(self):
        self._assert_in_time(lose_all_readers_of_two_zones)

    def test_changes_were_late_as_all_readers_lost_the_store(self):
        self._assert_in_time(lose_all_readers)

    def test_changes_were_late_as_most_instances_lost_the_store(self):
        self._assert_in_time(lose_most_instances)

    def test_changes_were_late_as_instances_in_other_zones_froze_too(self):
        self._assert_in_time(lose_readers_while_others_freeze)

    def test_changes_were_late_as_all_leaders_of_a_zone_froze(self):
        self._assert_in_time(freeze_leaders_of_a_zone)

    def test_changes_were_late_as_the_store_refused_all_leaders_of_a_zone(self):
        self._assert_in_time(refuse_leaders_of_a_zone)

    def test_changes_are_in_time_without_disturbance(self):
        self._assert_in_time(lambda fleet: None)

    def _assert_in_time(self, disturb: Disturbance) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                late = on_fleet(make_check(disturb), seed, SIZE, LAG_SECONDS)
                self.assertEqual(late, {})


def make_check(disturb: Disturbance) -> Callable:
    """Return a check of a fleet that returns the late instances of each kind."""

    async def check(fleet: Fleet) -> dict[str, list[str]]:
        disturb(fleet)
        await trio.sleep(fleet.random.uniform(0.0, 1.0))
        change_rules(fleet, 5)
        await trio.sleep(FIRST_CHANGE_SECONDS)
        change_rules(fleet, 6)
        leaving = backend_entry('one', is_draining=True)
        fleet.store.put('backends', 'one', leaving)
        fleet.store.put('evacuations', 'zone-a', ZoneEvacuation('zone-a'))
        await trio.sleep(BOUND_SECONDS)
        is_behind_by_kind = {
            'rules': has_rules_before(6),
            'servers': counts_as_ready('one'),
            'evacuations': lacks_evacuation,
        }
        late_by_kind = {
            kind: [it.entry.instance_id for it in fleet.calm() if is_behind(it)]
            for kind, is_behind in is_behind_by_kind.items()
        }
        return {kind: late for kind, late in late_by_kind.items() if late}

    return check

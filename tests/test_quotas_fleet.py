"""Replays of load on a fleet without failures: what lies below a limit passes."""

import unittest

from tests.quota_builders import (
    BOUNDS,
    Fleet,
    config_of,
    home_names,
    limited,
    make_fleet,
)

USUAL_PER_SECOND = 430.0
WORKSPACES = 80
ZIPF_EXPONENT = 1.2
LIMIT_FACTOR = 1.6
SECONDS = 12.0
LARGEST, MEDIAN, SMALLEST = 'w0', 'w39', 'w79'
#: Home sets and other instances of fleets of 14, 121 and 300.
FLEETS = {
    14: (home_names(zones=2, size=7), 0),
    121: (home_names(zones=3, size=2), 115),
    300: (home_names(zones=5, size=8), 260),
}


def usual_rates() -> dict[str, float]:
    """Return the usual requests per second of each workspace."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(WORKSPACES)]
    return {
        f'w{rank}': USUAL_PER_SECOND * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }


def usual_fleet(homes: tuple[str, ...], others: int, **fields: object) -> Fleet:
    """Return a fleet with limits above the usual rates."""
    limits = {
        name: limited(LIMIT_FACTOR * rate, LIMIT_FACTOR * rate)
        for name, rate in usual_rates().items()
    }
    fleet = make_fleet(config_of(**limits), homes, others, **fields)
    # A restarted fleet begins with empty buckets; here it has run for a while.
    fleet.run(10.0)
    return fleet


def play(fleet: Fleet, names: list[str], factor_by_name: dict[str, float]) -> None:
    """Send the usual requests of all workspaces, some of them many times more."""
    fleet.forget()
    for name, rate in usual_rates().items():
        fleet.load(name, rate * factor_by_name.get(name, 1.0), names, SECONDS)
    fleet.run(SECONDS + 0.5)


class CalmFleetTest(unittest.TestCase):
    """On a calm fleet at least 0.98 of what lies below the limits passes."""

    def check(self, fleet: Fleet) -> None:
        total = sum(fleet.passed.values()) / sum(fleet.sent.values())
        self.assertGreaterEqual(total, 0.98)
        for name in (LARGEST, MEDIAN, SMALLEST):
            if fleet.sent[name]:
                self.assertGreaterEqual(fleet.share_passed(name), 0.98, name)

    def test_callers_spread_over_the_home_instances(self):
        for size, (homes, others) in FLEETS.items():
            with self.subTest(size=size):
                fleet = usual_fleet(homes, others)
                play(fleet, list(homes), {})
                self.check(fleet)

    def test_all_callers_at_one_instance(self):
        for size, (homes, others) in FLEETS.items():
            with self.subTest(size=size):
                fleet = usual_fleet(homes, others)
                play(fleet, [homes[0]], {})
                self.check(fleet)

    def test_some_datagrams_are_lost(self):
        homes, others = FLEETS[121]
        fleet = usual_fleet(homes, others, loss=0.03)
        play(fleet, list(homes), {})
        self.check(fleet)

    def test_workspace_of_two_a_second_is_not_split_into_useless_parts(self):
        # A static sixth of 2 requests a second would be 1.7 in a window of 5 s.
        fleet = make_fleet(config_of(a=limited(2, 2)))
        fleet.load('a', 1.2, list(home_names()), 60)
        fleet.run(61)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)

    def test_one_instance_may_use_a_whole_limit(self):
        fleet = make_fleet(config_of(a=limited(300, 300)))
        fleet.load('a', 280, [home_names()[0]], SECONDS)
        fleet.run(SECONDS + 0.5)
        self.assertGreaterEqual(fleet.share_passed('a'), 0.98)


class GreedyWorkspaceTest(unittest.TestCase):
    """A workspace far over its limit gets the limit, and the others are untouched."""

    def test_workspace_at_seven_times_its_usual_rate(self):
        for greedy in (LARGEST, MEDIAN, SMALLEST):
            with self.subTest(greedy=greedy):
                homes, others = FLEETS[121]
                fleet = usual_fleet(homes, others)
                play(fleet, list(homes), {greedy: 7.5})
                limit = LIMIT_FACTOR * usual_rates()[greedy]
                allowed = BOUNDS.largest(limit, limit)
                self.assertLessEqual(fleet.largest_window(greedy), allowed)
                self.assertGreaterEqual(
                    fleet.passed[greedy],
                    0.98 * min(limit * SECONDS, fleet.sent[greedy]),
                )
                sent = sum(fleet.sent.values()) - fleet.sent[greedy]
                passed = sum(fleet.passed.values()) - fleet.passed[greedy]
                self.assertGreaterEqual(passed / sent, 0.98)

    def test_refusals_send_no_datagrams_of_their_own(self):
        fleet = make_fleet(config_of(a=limited(10, 10)))
        calm = fleet.datagrams
        fleet.run(SECONDS)
        calm = (fleet.datagrams - calm) / SECONDS
        before = fleet.datagrams
        fleet.load('a', 1000, [home_names()[0]], SECONDS)
        fleet.run(SECONDS)
        self.assertGreater(len(fleet.refusals), 10_000)
        self.assertLess((fleet.datagrams - before) / SECONDS, calm + 60)
        self.assertTrue(all(each.retry_after > 0 for each in fleet.refusals))


class UsageTest(unittest.TestCase):
    """Each instance that sees a workspace gets its use over all instances."""

    def test_use_over_all_instances(self):
        homes = list(home_names())
        fleet = make_fleet(config_of(a=limited(100, 100), free=limited(0)))
        fleet.load('a', 300, homes, SECONDS)
        fleet.load('free', 60, homes, SECONDS)
        fleet.run(SECONDS - 0.1)
        for name in homes:
            usage = fleet.node_by_name[name].quotas.usage('a')
            self.assertAlmostEqual(usage.requests_per_second, 300, delta=60)
            self.assertAlmostEqual(usage.refused_share, 2 / 3, delta=0.1)
            self.assertEqual(usage.limit_per_second, 100)
            usage = fleet.node_by_name[name].quotas.usage('free')
            self.assertAlmostEqual(usage.requests_per_second, 60, delta=20)
            self.assertEqual(usage.limit_per_second, 0)

    def test_use_follows_a_change_within_about_a_second(self):
        homes = list(home_names())
        fleet = make_fleet(config_of(a=limited(0)))
        fleet.load('a', 20, homes, 8)
        fleet.run(8)
        fleet.load('a', 400, homes, 4)
        fleet.run(2.5)
        usage = fleet.node_by_name[homes[0]].quotas.usage('a')
        self.assertGreater(usage.requests_per_second, 150)


class UnusedTest(unittest.TestCase):
    """Without workspaces nothing is sent, waited for or counted."""

    def test_no_workspaces(self):
        fleet = make_fleet(config_of())
        quotas = fleet.node_by_name[home_names()[0]].quotas
        self.assertFalse(quotas.is_active.is_set())
        self.assertEqual(quotas.decide('', Exception), 0.0)
        self.assertIsNone(quotas.usage(''))
        self.assertTrue(quotas.try_acquire(''))
        quotas.release('', 1.0)
        self.assertEqual(quotas.counts.granted.total(), 0)

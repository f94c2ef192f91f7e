"""The probe budget, counted at the backend servers on a virtual clock."""

import unittest
from random import Random

from attrs import Factory, define
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.health.budget import ProbeBudget, ProbeLimits
from catkinslip.health.schedule import rank
from catkinslip.models import BackendKey

KEYS = [BackendKey(f'limits-{n}', f'10.0.0.{n}:80') for n in range(2)]
TICK_SECONDS = 0.5
LIMITS = ProbeLimits(probes_per_second=1.0, calls_per_probe=10, max_instances=17)


@define
class Fleet:
    """Instances that each see the members that a test gives them."""

    size: int
    limits: ProbeLimits = LIMITS
    calls_per_tick: int = 20
    calls: int = 0
    budget_by_name: dict[str, ProbeBudget] = Factory(dict)
    times_by_key: dict[BackendKey, list[float]] = Factory(dict)

    def start(self, name: str, now: float) -> None:
        self.budget_by_name[name] = ProbeBudget(now)

    def names(self) -> list[str]:
        return [f'entry-{n}' for n in range(self.size)]

    def tick(self, now: float, view_by_name: dict[str, list[str]], paused=()) -> None:
        """Send every probe that the rank and budget of each instance allow."""
        for name, budget in self.budget_by_name.items():
            if name in paused:
                continue
            view = view_by_name[name]
            budget.record_members(len(view))
            for _ in range(self.calls_per_tick):
                budget.count_call('limits', self.limits)
                self.calls += 1
            for key in KEYS:
                probe = (key.address, 'limits', self.limits, now)
                if not budget.allows_probe(*probe) or rank(key, name, view) >= 3:
                    continue
                if budget.spend(*probe):
                    self.times_by_key.setdefault(key, []).append(now)

    def probes(self) -> int:
        return sum(len(times) for times in self.times_by_key.values())


class BudgetTest(unittest.TestCase):
    """The budget is never exceeded.

    This holds whichever members the instances see and however often they restart.
    """

    def assert_within(self, fleet: Fleet, seconds: float) -> None:
        """Check the probes at each server in every window of time, and per call."""
        rate = fleet.limits.probes_per_second
        size = max(fleet.limits.max_instances, fleet.size)
        self.assertGreater(fleet.probes(), 0)
        for times in fleet.times_by_key.values():
            for first, one_too_many in zip(times, times[size:], strict=False):
                self.assertGreaterEqual(one_too_many - first, size / rate)
            self.assertLessEqual(len(times), rate * seconds)
        most = fleet.calls / fleet.limits.calls_per_probe
        self.assertLessEqual(fleet.probes(), most)

    def run_fleet(self, fleet: Fleet, views, seconds: float = 200.0, restart=None):
        for name in fleet.names():
            fleet.start(name, 0.0)
        for step in range(int(seconds / TICK_SECONDS)):
            now = step * TICK_SECONDS
            if restart and step % restart == 0:
                fleet.start('entry-0', now)
            fleet.tick(now, {name: views(name, now) for name in fleet.names()})
        return fleet

    def test_equal_views(self):
        for size in (3, 17):
            fleet = Fleet(size)
            self.run_fleet(fleet, lambda name, now, f=fleet: f.names())
            self.assert_within(fleet, 200.0)

    def test_each_instance_alone(self):
        for size in (3, 17):
            fleet = self.run_fleet(Fleet(size), lambda name, now: [name])
            self.assert_within(fleet, 200.0)

    def test_membership_split_in_two(self):
        def half(name, now):
            parity = int(name.partition('-')[2]) % 2
            return [each for each in names if int(each.partition('-')[2]) % 2 == parity]

        for size in (3, 17):
            fleet = Fleet(size)
            names = fleet.names()
            self.assert_within(self.run_fleet(fleet, half), 200.0)

    def test_restart_loop(self):
        for size in (1, 3, 17):
            for ticks in (1, 7, 20, 33, 35, 40):
                limits = ProbeLimits(1.0, 10, max_instances=size)
                fleet = Fleet(size, limits)
                self.run_fleet(fleet, lambda name, now, f=fleet: f.names(), 200, ticks)
                if fleet.probes():
                    self.assert_within(fleet, 200.0)

    def test_calls_pay_for_probes(self):
        fleet = Fleet(3, ProbeLimits(1000.0, 400, 3), calls_per_tick=1)
        self.run_fleet(fleet, lambda name, now: [name], 1000.0)
        self.assert_within(fleet, 1000.0)

    def test_more_instances_than_configured_shrink_their_share(self):
        fleet = Fleet(6, ProbeLimits(1.0, 10, max_instances=2))
        self.run_fleet(fleet, lambda name, now: fleet.names())
        self.assert_within(fleet, 200.0)

    def test_no_probes_when_turned_off(self):
        fleet = Fleet(3, ProbeLimits(0.0, 1, 3))
        self.run_fleet(fleet, lambda name, now: [name])
        self.assertEqual(fleet.probes(), 0)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(st.integers(0, 1 << 30), st.integers(1, 17))
    def test_any_views_restarts_and_pauses(self, seed, size):
        random, fleet = Random(seed), Fleet(size, calls_per_tick=20)
        for name in fleet.names():
            fleet.start(name, 0.0)
        for step in range(200):
            now = step * TICK_SECONDS
            if random.random() < 0.1:
                fleet.start(random.choice(fleet.names()), now)
            views = {
                name: random.sample(fleet.names(), random.randint(1, size))
                for name in fleet.names()
            }
            paused = {name for name in fleet.names() if random.random() < 0.2}
            fleet.tick(now, views, paused)
        if fleet.probes():
            self.assert_within(fleet, 100.0)

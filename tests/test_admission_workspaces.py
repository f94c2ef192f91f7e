"""Workspaces that share scarce capacity: decisions, and replays of a hot workspace."""

import unittest

from attrs import evolve

from catkinslip.admission.fairness import ServiceFairness
from catkinslip.admission.kinds import Kind
from catkinslip.admission.scarcity import Scarcity
from catkinslip.admission.standing import USUAL
from catkinslip.admission.waiting import AdmissionSettings, Decision
from catkinslip.admission.workspaces import (
    MAX_WORKSPACES,
    WorkspaceShares,
    WorkspaceStanding,
)
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.service import LimitRegistry, make_limits
from catkinslip.metrics.exposition import expose
from catkinslip.metrics.fairness import FairnessMetrics
from catkinslip.quotas.base import WorkspaceUsage
from tests.admission_builders import (
    MANY_ZONES,
    in_time,
    mean_share,
    play,
    served,
    workspace_load,
)
from tests.test_admission_waiting import WORK, make_call

USUAL_SETTINGS = AdmissionSettings()
OFF = evolve(USUAL_SETTINGS, shares_workspaces=False)
KIND = Kind('listing', 0.09, 0.34, 1)
NOW = 100.0
HOT = 'w0'


def usage(rate: float, limit: float = 100.0, refused: float = 0.0) -> WorkspaceUsage:
    return WorkspaceUsage(rate, limit, refused)


def is_other(request) -> bool:
    return request.workspace != HOT


def is_hot(request) -> bool:
    return request.workspace == HOT


class StandingTest(unittest.TestCase):
    """The standing of one workspace among others."""

    def setUp(self):
        self.shares = WorkspaceShares()
        for number in range(5):
            self.shares.record(f'w{number}', usage(60.0), NOW)

    def assess(self, name: str, of: WorkspaceUsage) -> WorkspaceStanding:
        return self.shares.assess(name, self.shares.record(name, of, NOW), NOW)

    def test_workspace_near_its_limit_gives_way(self):
        self.assertGreater(self.assess('hot', usage(98.0)).gives_way, 0.9)

    def test_large_workspace_at_its_usual_rate_does_not_give_way(self):
        # By use alone the largest would give way to a small one in a burst.
        self.assertEqual(self.assess('big', usage(600.0, 1000.0)).gives_way, 0.0)

    def test_nobody_gives_way_where_all_use_as_much(self):
        for number in range(5):
            self.shares.record(f'w{number}', usage(99.0), NOW)
        self.assertEqual(self.assess('hot', usage(99.0)).gives_way, 0.0)

    def test_others_are_ahead_of_a_workspace_near_its_limit(self):
        self.shares.record('hot', usage(99.0), NOW)
        self.assertTrue(self.assess('w1', usage(60.0)).is_ahead)

    def test_workspace_without_a_limit_is_neutral(self):
        self.assertEqual(self.assess('free', usage(500.0, 0.0)), WorkspaceStanding())

    def test_refused_workspace_is_put_forward(self):
        self.assertTrue(self.assess('poor', usage(50.0, refused=0.8)).is_forward)

    def test_workspace_refused_for_its_own_excess_is_not_put_forward(self):
        # It sends five times its limit, so that 0.8 of its requests are over quota.
        standing = self.assess('hot', usage(500.0, refused=0.8))
        self.assertFalse(standing.is_forward)
        self.assertGreater(standing.gives_way, 0.9)

    def test_workspace_that_is_served_half_as_often_stops_to_give_way(self):
        for _ in range(100):
            self.shares.served.record('w1', True, NOW)
            self.shares.served.record('hot', False, NOW)
        self.assertEqual(self.assess('hot', usage(98.0)).gives_way, 0.0)

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_WORKSPACES):
            self.shares.record(f'x{number}', usage(1.0), NOW)
        self.assertEqual(len(self.shares.seen_by_name), MAX_WORKSPACES)


class FairnessTest(unittest.TestCase):
    """When the standing of a workspace takes effect."""

    def assess(self, fairness: ServiceFairness, settings=USUAL_SETTINGS, **fields):
        fairness.workspaces.record('other', usage(50.0), NOW)
        known = fields.get('usage', usage(99.0))
        return fairness.assess(settings, KIND, 'hot', known, NOW)

    def scarce(self) -> ServiceFairness:
        fairness = ServiceFairness()
        for _ in range(10):
            fairness.scarcity.record(False, NOW)
        return fairness

    def test_nobody_gives_way_while_servers_have_room(self):
        self.assertEqual(self.assess(ServiceFairness()).gives_way, 0.0)

    def test_hot_workspace_gives_way_when_servers_have_none(self):
        self.assertGreater(self.assess(self.scarce()).gives_way, 0.9)

    def test_unknown_use_changes_nothing(self):
        self.assertEqual(self.assess(self.scarce(), usage=None), USUAL)

    def test_it_can_be_switched_off(self):
        self.assertEqual(self.assess(self.scarce(), OFF), USUAL)

    def test_three_calls_a_second_show_scarcity(self):
        scarcity = Scarcity()
        for number in range(9):
            scarcity.record(number % 3 != 0, number / 3)
        self.assertTrue(scarcity.is_scarce(3.0))
        self.assertFalse(scarcity.is_scarce(20.0))

    def test_call_that_gives_way_leaves_more_time_free(self):
        hot = make_call(standing=self.assess(self.scarce()))
        self.assertIs(hot.decide(3.0, WORK, 10.0), Decision.HOLD)
        self.assertIs(make_call().decide(3.0, WORK, 10.0), Decision.SEND)

    def test_free_server_is_never_refused_for_fairness(self):
        hot = make_call(standing=self.assess(self.scarce()))
        self.assertIs(hot.decide(1.0, WORK, 10.0), Decision.SEND)

    def test_metrics_count_calls_by_service_and_rule(self):
        limits = LimitRegistry(LimitSettings(), lambda _: 1)
        limits.limits_by_service['desk'] = make_limits(LimitSettings())
        limits.limits_by_service['desk'].fairness = fairness = self.scarce()
        self.assess(fairness)
        (family,) = FairnessMetrics(limits).families()
        body = expose(family).decode()
        line = 'catkinslip_fairness_total{rule="gives_way",service="desk"} 1.0'
        self.assertIn(line, body)

    def test_log_names_the_inputs(self):
        text = self.assess(self.scarce()).describe(NOW + 0.25)
        for part in ('use=99.0', 'limit=100.0', 'use_age_ms=250', 'gives_way='):
            self.assertIn(part, text)


class HotWorkspaceTest(unittest.TestCase):
    """Replays in which the largest of 20 workspaces sends a multiple of its rate."""

    def test_others_are_served_more_often_beside_a_hot_one_within_its_quota(self):
        # Without sharing, the others fell from about 0.8 to 0.69 in time.
        load = workspace_load()
        fair = mean_share(in_time, load, USUAL_SETTINGS, is_other)
        self.assertGreater(fair, mean_share(in_time, load, OFF, is_other) + 0.03)
        hot = mean_share(served, load, USUAL_SETTINGS, is_hot)
        self.assertGreater(hot, mean_share(served, load, USUAL_SETTINGS) / 4)

    def test_it_holds_where_each_instance_sees_few_calls(self):
        # 60 instances, of which each sees two calls a second.
        load = workspace_load(zones=MANY_ZONES)
        fair = mean_share(served, load, USUAL_SETTINGS, is_other)
        self.assertGreater(fair, mean_share(served, load, OFF, is_other) + 0.01)

    def test_workspace_far_beyond_its_quota_is_not_put_forward(self):
        load = workspace_load(hot=7.5)
        fair = mean_share(in_time, load, USUAL_SETTINGS, is_other)
        self.assertGreater(fair, mean_share(in_time, load, OFF, is_other) + 0.01)
        hot = mean_share(served, load, USUAL_SETTINGS, is_hot)
        self.assertLessEqual(hot, mean_share(served, load, OFF, is_hot))

    def test_usual_load_is_not_refused_for_fairness(self):
        load = workspace_load(hot=1.001)
        load = evolve(load, services=(evolve(load.services[0], count=40),))
        for settings in (USUAL_SETTINGS, OFF):
            self.assertGreater(served(play(load, 1, settings)), 0.99)


if __name__ == '__main__':
    unittest.main()

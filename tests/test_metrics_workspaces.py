"""Tests of the request counts by workspace, in a bounded number of series."""

import unittest

from attrs import evolve

from catkinslip.metrics.workspaces import (
    CHOICE_SECONDS,
    MAX_WORKSPACES,
    OTHER,
    WorkspaceMetrics,
)
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from tests.builders import plain_call
from tests.test_metrics_requests import FixedClock

SERVED = Answered(200)


class WorkspaceMetricsTest(unittest.TestCase):
    """Series of workspaces and of rejected keys."""

    def setUp(self):
        self.clock = FixedClock()
        self.metrics = WorkspaceMetrics(self.clock)

    def end(self, workspace: str, outcome: Outcome = SERVED, times: int = 1):
        call = evolve(plain_call('limits'), workspace=workspace)
        for _ in range(times):
            self.metrics.on_request_ended(call, outcome, 0.01)

    def values(self, name: str = 'catkinslip_workspace_requests_total') -> dict:
        family = next(each for each in self.metrics.families() if each.name == name)
        return {sample.labels: sample.value for sample in family.samples}

    def test_outcomes(self):
        for outcome in (
            Answered(200),
            Answered(404),
            Answered(503),
            NotRun(Reason.OVER_QUOTA),
            NotRun(Reason.SHED),
            Unknown(Reason.BROKEN),
        ):
            self.end('acme', outcome)
        self.assertEqual(
            self.values(),
            {
                ('acme', 'served'): 2,
                ('acme', 'over-quota'): 1,
                ('acme', 'refused'): 1,
                ('acme', 'failed'): 2,
            },
        )

    def test_requests_without_a_workspace_are_not_counted(self):
        self.end('')
        self.end('', NotRun(Reason.KEY_REJECTED, 'unknown'), 2)
        self.assertEqual(self.values(), {})
        rejected = self.values('catkinslip_rejected_keys_total')
        self.assertEqual(rejected, {('unknown',): 2})

    def test_largest_have_their_own_series_and_the_rest_share_one(self):
        """Guards against a series for each of thousands of workspaces."""
        for number in range(500):
            self.end(f'small-{number}')
        self.end('large', times=50)
        self.clock.now = CHOICE_SECONDS
        self.end('large', times=10)
        values = self.values()
        names = {name for name, _ in values}
        self.assertIn('large', names)
        self.assertIn(OTHER, names)
        self.assertLessEqual(len(names), MAX_WORKSPACES + 1)
        self.assertEqual(sum(values.values()), 560)

    def test_memory_stays_bounded_where_workspaces_come_and_go(self):
        for number in range(2_000):
            self.clock.now = number * CHOICE_SECONDS / 10
            self.end(f'w-{number}')
        self.assertLess(len(self.metrics.recent_by_name), 40)
        self.assertLess(len(self.metrics.count_by_series), 50)


if __name__ == '__main__':
    unittest.main()

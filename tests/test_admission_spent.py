"""Estimates, from callers' own deadlines, of the time that they have waited before."""

import unittest
from random import Random

from catkinslip.admission.spent import (
    MAX_ROUTES,
    MIN_SAMPLES,
    RETURN_SECONDS,
    WINDOW,
    SpentTimes,
)

TARGET = 0.25
#: Minimum and maximum seconds that fresh callers of the tests wait: 1.7 and 2 s.
MIN_PATIENCE, MAX_PATIENCE = 1.7, 2.0


class SpentTimesTest(unittest.TestCase):
    """Fresh callers of different patience, and some that made an attempt before."""

    def setUp(self):
        self.random = Random(4)
        self.spent = SpentTimes(last_unanswered_at=0.0)
        self.now = 10.0

    def observe(self, given: float, route: str = 'a') -> float:
        self.now += 0.01
        return self.spent.observe(route, given, TARGET, self.now)

    def observe_fresh(self, count: int = 200) -> list[float]:
        """Observe fresh callers and return the estimated time spent of each."""
        given = [self.random.uniform(MIN_PATIENCE, MAX_PATIENCE) for _ in range(count)]
        return [self.observe(each) for each in given]

    def test_fresh_callers_have_spent_nothing(self):
        self.assertLess(sum(each > 0 for each in self.observe_fresh()), 0.02 * 200)

    def test_caller_with_less_time_than_fresh_ones_asked_before(self):
        self.observe_fresh()
        for used in (0.4, 0.7, 1.2):
            middling = (MIN_PATIENCE + MAX_PATIENCE) / 2
            spent = self.observe(middling - used)
            self.assertAlmostEqual(spent, used, delta=0.1)

    def test_caller_that_may_be_fresh_counts_as_fresh(self):
        self.observe_fresh()
        self.assertEqual(self.observe(MIN_PATIENCE + 0.05), 0.0)

    def test_few_requests_after_a_start_are_enough(self):
        for _ in range(MIN_SAMPLES):
            self.observe(self.random.uniform(MIN_PATIENCE, MAX_PATIENCE))
        self.assertGreater(self.observe(0.8), TARGET)

    def test_spread_is_updated_while_no_callers_return(self):
        given = [1.0 + 1.0 * self.random.random() for _ in range(400)]
        estimates = [self.observe(each) for each in given]
        self.assertLess(sum(each > 0 for each in estimates[200:]), 0.02 * 200)

    def test_returning_crowd_is_not_counted_as_impatient(self):
        self.observe_fresh()
        for _ in range(4 * WINDOW):
            self.spent.record_unanswered(self.now)
            self.observe_fresh(1)
            self.assertGreater(self.observe(1.0), TARGET)

    def test_spread_is_not_updated_until_the_crowd_has_gone(self):
        self.spent.record_unanswered(self.now)
        before = self.spent.patience_by_route.get('a')
        self.assertIsNone(before)
        self.observe_fresh(50)
        spread = self.spent.patience_by_route['a'].spread
        self.assertLess(self.now, 10.0 + RETURN_SECONDS)
        self.observe_fresh(50)
        updated = self.spent.patience_by_route['a'].spread
        self.assertAlmostEqual(updated, spread, delta=0.01 * spread)

    def test_new_callers_with_less_time_are_not_late_for_ever(self):
        self.observe_fresh()
        for _ in range(3000):
            self.spent.record_unanswered(self.now)
            self.observe_fresh(1)
            spent = self.observe(1.0)
        self.assertEqual(spent, 0.0)

    def test_absurd_times_do_not_make_others_late(self):
        self.observe_fresh()
        for absurd in (1e9, 0.0, 5e5):
            self.observe(absurd)
        self.assertLess(sum(each > 0 for each in self.observe_fresh()), 0.02 * 200)

    def test_callers_with_more_time_than_before_are_soon_usual(self):
        self.observe_fresh()
        for _ in range(WINDOW):
            self.observe(self.random.uniform(2 * MIN_PATIENCE, 2 * MAX_PATIENCE))
        late = sum(
            self.observe(self.random.uniform(2 * MIN_PATIENCE, 2 * MAX_PATIENCE)) > 0
            for _ in range(100)
        )
        self.assertLess(late, 0.02 * 100)

    def test_routes_do_not_mix(self):
        self.observe_fresh()
        self.assertEqual(self.observe(0.5, route='b'), 0.0)

    def test_flood_of_routes_is_bounded(self):
        for number in range(MAX_ROUTES + 100):
            self.observe(1.0, route=f'r{number}')
        self.assertLessEqual(len(self.spent.patience_by_route), MAX_ROUTES)


if __name__ == '__main__':
    unittest.main()

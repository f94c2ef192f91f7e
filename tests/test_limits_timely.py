"""Calls are sent where they are in time, else held a moment and refused."""

import unittest
from random import Random

from catkinslip.limits.timely import (
    GOOD_DELAY,
    HOLD_SHARE,
    MAX_RETRY_SECONDS,
    Patience,
    Verdict,
    WorkTimes,
)
from catkinslip.proxy.outcomes import Reason

TARGET = 0.4


class WorkTimesTest(unittest.TestCase):
    """The work of a route is learned from its answers."""

    def setUp(self):
        self.work = WorkTimes()

    def learn(self, *latencies: float, delay: float = 1.0) -> float:
        for latency in latencies:
            self.work.learn('a', latency, delay, TARGET)
        return self.work.expect('a', 1.0, TARGET)

    def test_work_is_learned_without_the_expected_queue(self):
        self.assertAlmostEqual(self.learn(*[0.2] * 100, delay=2.0), 0.1, delta=0.01)

    def test_slow_first_answer_does_not_stay(self):
        self.assertLess(self.learn(5.0, 0.1, 0.1, 0.1, 0.1, 0.1), 0.2)

    def test_single_slow_answer_counts_little(self):
        before = self.learn(*[0.1] * 50)
        self.assertLess(self.learn(60.0), 1.2 * before)


class PatienceTest(unittest.TestCase):
    """What becomes of a call whose answer would come late."""

    def setUp(self):
        self.patience = Patience(began=10.0, best_until=10.0 + TARGET)

    def test_call_in_time_is_sent(self):
        self.assertIs(self.patience.judge(0.3, 2.0, 10.0), Verdict.SEND)

    def test_late_call_is_held_then_refused(self):
        self.assertIs(self.patience.judge(0.5, 2.0, 10.0), Verdict.HOLD)
        after = 10.0 + HOLD_SHARE * TARGET
        self.assertIs(self.patience.judge(0.5, 2.0, after), Verdict.REFUSE)

    def test_idle_server_is_always_used(self):
        # Else a wrong estimate would refuse all calls and never be corrected.
        self.assertIs(self.patience.judge(9.0, GOOD_DELAY, 10.3), Verdict.SEND)

    def test_call_is_sent_where_no_server_answers_probes(self):
        after = self.patience.hold_until
        verdict = self.patience.judge(9.0, 21.0, after, is_known=False)
        self.assertIs(verdict, Verdict.SEND)

    def test_less_urgent_call_must_leave_time_to_spare(self):
        patience = Patience(10.0, 10.0 + TARGET, priority=2)
        self.assertIs(patience.judge(0.35, 2.0, 10.0), Verdict.HOLD)
        self.assertIs(self.patience.judge(0.35, 2.0, 10.0), Verdict.SEND)

    def test_looks_end_with_the_hold(self):
        end = self.patience.hold_until
        self.assertAlmostEqual(self.patience.look_seconds(end - 0.001), 0.001)

    def test_refusal_tells_when_to_come_back(self):
        refusal = self.patience.refusal(60.0, 10.1, Random(1))
        self.assertIs(refusal.reason, Reason.DEADLINE_UNMET)
        self.assertLessEqual(refusal.retry_after, 1.5 * MAX_RETRY_SECONDS)


if __name__ == '__main__':
    unittest.main()

"""Calls that are sent where they are in time, or else held a moment and refused."""

import unittest
from random import Random

from catkinslip.admission.waiting import (
    GOOD_DELAY,
    AdmissionSettings,
    Decision,
    WaitingCall,
)
from catkinslip.admission.work import WorkTimes
from catkinslip.proxy.outcomes import Reason
from catkinslip.routing.base import BackendLoad, Estimate

TARGET = 0.4
WORK = 0.1
SETTINGS = AdmissionSettings()
#: Longest that callers wait before they return, as a share of their time.
MAX_WAIT_SHARE = 1 / 3


class WorkTimesTest(unittest.TestCase):
    """The estimate of a route's work from its answers."""

    def setUp(self):
        self.work = WorkTimes()

    def record(self, *latencies: float, delay: float = 1.0) -> float:
        for latency in latencies:
            self.work.record('a', latency, delay, TARGET)
        return self.work.expect('a', 1.0, TARGET)

    def test_work_is_estimated_without_the_expected_queue(self):
        self.assertAlmostEqual(self.record(*[0.2] * 100, delay=2.0), 0.1, delta=0.01)

    def test_slow_first_answer_does_not_stay(self):
        self.assertLess(self.record(5.0, 0.1, 0.1, 0.1, 0.1, 0.1), 0.2)

    def test_single_slow_answer_counts_little(self):
        before = self.record(*[0.1] * 50)
        self.assertLess(self.record(60.0), 1.2 * before)


def make_call(spent: float = 0.0, **fields) -> WaitingCall:
    """Return a call that arrived at second 10, of a caller that waits 2 s in all."""
    remaining = 2.0 - spent
    defaults = {
        'settings': SETTINGS,
        'began': 10.0,
        'best_until': 10.0 + TARGET - spent,
        'deadline': 10.0 + min(1.0, remaining),
        'caller_deadline': 10.0 + remaining,
        'target': TARGET,
        'spent': spent,
    }
    return WaitingCall(**{**defaults, **fields})


def estimate(delay: float, in_flight: float = 0.0) -> Estimate:
    return Estimate(BackendLoad('limits-1', 'zone-a', 2), delay, in_flight)


class FreshCallTest(unittest.TestCase):
    """Decisions on a call whose answer can still be in time."""

    def setUp(self):
        self.call = make_call()
        self.after = 10.0 + SETTINGS.hold_share * TARGET

    def test_call_in_time_is_sent(self):
        self.assertIs(self.call.decide(3.0, WORK, 10.0), Decision.SEND)

    def test_late_call_is_held_then_refused(self):
        self.assertIs(self.call.decide(5.0, WORK, 10.0), Decision.HOLD)
        self.assertIs(self.call.decide(5.0, WORK, self.after), Decision.REFUSE)

    def test_idle_server_is_always_used(self):
        # Otherwise a wrong estimate would refuse all calls and never be corrected.
        self.assertIs(self.call.decide(GOOD_DELAY, 9.0, 10.3), Decision.SEND)

    def test_call_whose_work_exceeds_its_target_is_held_like_others(self):
        self.assertIs(self.call.decide(1.5, 2 * TARGET, 10.0), Decision.HOLD)
        self.assertFalse(self.call.is_late)

    def test_call_is_sent_where_no_server_answers_probes(self):
        decision = self.call.decide(21.0, WORK, self.after, is_known=False)
        self.assertIs(decision, Decision.SEND)

    def test_less_urgent_call_must_leave_time_to_spare(self):
        less_urgent = make_call(priority=2)
        self.assertIs(less_urgent.decide(3.5, WORK, 10.0), Decision.HOLD)
        self.assertIs(self.call.decide(3.5, WORK, 10.0), Decision.SEND)

    def test_rechecks_end_with_the_hold(self):
        end = self.call.hold_until
        self.assertAlmostEqual(self.call.recheck_seconds(end - 0.001), 0.001)

    def test_refusal_has_a_retry_delay(self):
        refusal = self.call.refuse(60.0, 10.1, Random(1))
        self.assertIs(refusal.reason, Reason.DEADLINE_UNMET)
        self.assertLessEqual(refusal.retry_after, 1.9 * MAX_WAIT_SHARE)


class LateCallTest(unittest.TestCase):
    """Decisions on a call whose target had passed before it arrived."""

    def setUp(self):
        self.call = make_call(spent=0.6)

    def test_it_is_refused_at_once_where_no_server_is_free(self):
        self.assertIs(self.call.decide(1.5, WORK, 10.0), Decision.REFUSE)

    def test_it_gets_a_free_server(self):
        self.assertIs(self.call.decide(GOOD_DELAY, WORK, 10.0), Decision.SEND)

    def test_it_is_sent_where_no_server_answers_probes(self):
        decision = self.call.decide(21.0, WORK, 10.0, is_known=False)
        self.assertIs(decision, Decision.SEND)

    def test_it_gets_an_idle_server_at_which_a_fresh_call_would_be_late(self):
        fast, slow = estimate(2.0, in_flight=1.0), estimate(4.5)
        self.assertIs(self.call.find_slow([fast, slow], WORK, 10.0), slow)

    def test_it_leaves_a_server_that_a_fresh_call_could_use(self):
        self.assertIsNone(self.call.find_slow([estimate(3.0)], WORK, 10.0))

    def test_it_does_not_queue_at_a_slow_server(self):
        self.assertIsNone(self.call.find_slow([estimate(4.5, 1.0)], WORK, 10.0))

    def test_it_gets_no_server_that_would_answer_after_its_deadline(self):
        self.assertIsNone(self.call.find_slow([estimate(12.0)], WORK, 10.0))

    def test_its_caller_can_still_use_the_time_to_come_back(self):
        for seed in range(20):
            refusal = self.call.refuse(0.15, 10.0, Random(seed))
            self.assertLessEqual(refusal.retry_after, 1.4 * MAX_WAIT_SHARE)

    def test_callers_do_not_come_back_together(self):
        waits = {self.call.refuse(0.15, 10.0, Random(n)).retry_after for n in range(9)}
        self.assertEqual(len(waits), 9)


if __name__ == '__main__':
    unittest.main()

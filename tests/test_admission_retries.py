"""Retries within a budget, and callers that repeat: decisions and replays."""

import unittest
from random import Random

from attrs import evolve

from catkinslip.admission.repeats import MAX_ADDRESSES, RepeatedCalls
from catkinslip.admission.retries import Urgency, refused_retry_after
from catkinslip.admission.standing import Standing
from catkinslip.admission.waiting import AdmissionSettings, Decision
from catkinslip.limits.budget import ExtraBudget
from catkinslip.limits.plan import CallPlan
from tests.admission_builders import (
    in_time,
    mean_share,
    refusing_load,
    repeating_load,
    served,
)
from tests.test_admission_waiting import WORK, make_call

USUAL = AdmissionSettings()
OFF = evolve(USUAL, ranks_retries=False)
#: Tokens of a budget with a reserve of 10.
RESERVE = 10.0


def may_retry(tokens: float, sent: int = 1, **urgency) -> bool:
    """Return whether a call may be sent again with so many tokens in the budget."""
    budget = ExtraBudget(0.1, RESERVE, tokens)
    plan = CallPlan(True, True, 10.0, budget, urgency=Urgency(**urgency), sent=sent)
    return plan.may_start()


class RankTest(unittest.TestCase):
    """Which calls take the tokens of a budget that is nearly used up."""

    def test_most_urgent_call_takes_the_last_token(self):
        self.assertTrue(may_retry(1.0))
        self.assertFalse(may_retry(1.0, priority=1))

    def test_second_retry_leaves_tokens_to_first_ones(self):
        self.assertTrue(may_retry(3.0))
        self.assertFalse(may_retry(3.0, sent=2))

    def test_late_call_leaves_tokens_to_those_in_time(self):
        self.assertFalse(may_retry(3.0, is_late=True))

    def test_all_may_retry_while_the_budget_is_full(self):
        self.assertTrue(may_retry(RESERVE, sent=2, priority=9, is_late=True))

    def test_all_may_retry_while_a_small_budget_is_full(self):
        # An instance of a large fleet may save one token, and less urgent calls of the
        # whole fleet had no retry then.
        for reserve in (1.0, 1.3, 2.0):
            budget = ExtraBudget(0.1, reserve, reserve)
            urgency = Urgency(priority=9, is_late=True)
            plan = CallPlan(True, True, 10.0, budget, urgency=urgency, sent=2)
            self.assertTrue(plan.may_start(), reserve)

    def test_it_can_be_switched_off(self):
        self.assertTrue(may_retry(1.0, sent=2, priority=2, is_ranked=False))

    def test_call_that_can_be_in_time_returns_early(self):
        self.assertLess(refused_retry_after(make_call(), Random(1), 10.0), 0.1)
        late = refused_retry_after(make_call(spent=0.6), Random(1), 10.0)
        self.assertGreater(late, 0.2)


class RepeatTest(unittest.TestCase):
    """Recognition of callers that return before the time that they were told."""

    def setUp(self):
        self.calls = RepeatedCalls()

    def refuse(self, address: str, now: float, retry_after: float) -> None:
        self.calls.arrive(address, now)
        self.calls.end(address, now, retry_after)

    def test_caller_that_returns_too_early_is_recognised(self):
        self.refuse('one', 1.0, 0.5)
        self.assertTrue(self.calls.arrive('one', 1.1))

    def test_answer_in_between_ends_the_wait(self):
        self.refuse('one', 1.0, 5.0)
        self.calls.arrive('one', 1.1)
        self.calls.end('one', 1.2, None)
        self.assertFalse(self.calls.arrive('one', 1.3))

    def test_address_with_open_calls_is_not_forgotten(self):
        # Its next call would look like the only one of the address.
        self.calls.arrive('shared', 1.0)
        for number in range(MAX_ADDRESSES):
            self.refuse(f'other-{number}', 1.0, 0.5)
        self.calls.arrive('shared', 1.1)
        self.calls.end('shared', 1.2, 5.0)
        self.assertFalse(self.calls.arrive('shared', 1.3))

    def test_caller_that_returns_in_time_is_not(self):
        self.refuse('one', 1.0, 0.5)
        self.assertFalse(self.calls.arrive('one', 1.5))

    def test_address_of_several_callers_is_not(self):
        # The callers of a zone may share one address; fresh calls must not be late.
        self.calls.arrive('zone', 0.9)
        self.refuse('zone', 1.0, 0.5)
        self.assertFalse(self.calls.arrive('zone', 1.1))

    def test_answered_caller_may_send_again_at_once(self):
        self.calls.arrive('one', 1.0)
        self.calls.end('one', 1.1, None)
        self.assertFalse(self.calls.arrive('one', 1.1))

    def test_unknown_address_is_not_recognised(self):
        self.refuse('', 1.0, 0.5)
        self.assertFalse(self.calls.arrive('', 1.1))

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_ADDRESSES):
            self.calls.arrive(str(number), 1.0)
        self.assertEqual(len(self.calls.calls_by_address), MAX_ADDRESSES)

    def test_repeated_call_gets_only_a_free_server(self):
        call = make_call(standing=Standing(is_repeated=True))
        call.update_lateness(WORK, 10.0)
        self.assertIs(call.decide(1.5, WORK, 10.0), Decision.REFUSE)
        self.assertIs(call.decide(1.0, WORK, 10.0), Decision.SEND)


def is_pledge(request) -> bool:
    return request.kind.name == 'pledge'


def is_patient(request) -> bool:
    return not request.is_repeating


class ReplayTest(unittest.TestCase):
    """Replays of servers that refuse half, and of callers that repeat."""

    def test_most_urgent_kind_is_served_best_while_servers_refuse_half(self):
        # Retries in the order of arrival served all kinds alike: 0.93.
        load = refusing_load()
        pledges = mean_share(in_time, load, USUAL, is_pledge)
        self.assertGreater(pledges, mean_share(in_time, load, OFF, is_pledge) + 0.03)
        self.assertGreater(
            mean_share(served, load, USUAL, is_pledge),
            mean_share(served, load, USUAL, lambda each: not is_pledge(each)),
        )
        overall = mean_share(served, load, USUAL)
        self.assertGreater(overall, mean_share(served, load, OFF) - 0.02)

    def test_repeating_callers_do_not_take_the_room_of_others(self):
        load = repeating_load()
        others = mean_share(in_time, load, USUAL, is_patient)
        self.assertGreater(others, mean_share(in_time, load, OFF, is_patient) + 0.03)
        everybody = mean_share(in_time, load, USUAL)
        self.assertGreater(everybody, mean_share(in_time, load, OFF) + 0.01)


if __name__ == '__main__':
    unittest.main()

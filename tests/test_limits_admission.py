"""Admission, the budget of extra requests, and the delay before a retry."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.limits.admission import DeadlineLimit
from catkinslip.limits.budget import ExtraBudget
from catkinslip.limits.load import ServiceLoad
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.proxy.problems import problem_events
from catkinslip.routing.base import LoadReport

BACKENDS = tuple('abcd')


def make_load(instances: int = 2) -> ServiceLoad:
    """Return the load of four backend servers with two slots each."""
    load = ServiceLoad()
    load.resize(2, len(BACKENDS), instances)
    return load


def start(load: ServiceLoad, count: int) -> None:
    for number in range(count):
        load.started(BACKENDS[number % len(BACKENDS)])


def report(load: ServiceLoad, in_flight: float, now: float = 0.0) -> None:
    """Apply the same report from every backend server."""
    for backend_id in BACKENDS:
        load.started(backend_id)
        load.ended(backend_id, LoadReport(in_flight), now)


class AdmissionTest(unittest.TestCase):
    """Admission within an instance's share of the slots, and beyond it."""

    def test_own_share_is_admitted_whatever_others_use(self):
        load = make_load()
        start(load, 7)
        report(load, 100)
        self.assertIsNone(DeadlineLimit().refuse(load, 1.0))

    def test_idle_share_is_lent_until_reports_show_use(self):
        load = make_load()
        start(load, 12)
        self.assertIsNone(DeadlineLimit().refuse(load, 1.0))
        report(load, 4)
        self.assertEqual(DeadlineLimit().refuse(load, 1.0).reason, Reason.OVERLOADED)

    def test_one_long_queue_does_not_refuse_for_all(self):
        load = make_load()
        load.resize(2, len(BACKENDS), 2, queue_depth=2.0)
        start(load, 9)
        load.started('a')
        load.ended('a', LoadReport(1000), 0.0)
        self.assertIsNone(DeadlineLimit().refuse(load, 1.0))

    def test_old_reports_do_not_refuse_for_ever(self):
        load = make_load()
        start(load, 9)
        report(load, 100)
        self.assertIsNotNone(DeadlineLimit().refuse(load, 1.0))
        load.sweep(10.0)
        self.assertIsNone(DeadlineLimit().refuse(load, 1.0))

    def test_deadline_that_the_queue_uses_up_is_refused(self):
        load = make_load()
        start(load, 7)
        load.service_time = 0.1
        report(load, 4)
        refusal = DeadlineLimit().refuse(load, 0.15)
        self.assertEqual(refusal.reason, Reason.DEADLINE_UNMET)
        self.assertIsNone(DeadlineLimit().refuse(load, 0.5))

    def test_no_deadline_is_refused_while_nothing_is_in_flight(self):
        load = make_load()
        load.service_time = 10.0
        report(load, 100)
        self.assertIsNone(DeadlineLimit().refuse(load, 0.1))

    def test_callers_come_back_later_the_more_are_refused(self):
        waits = []
        for refusals in (0, 200):
            load = make_load()
            load.service_time = 0.1
            start(load, 16)
            for _ in range(refusals):
                load.record_decision(refused=True)
            waits.append(DeadlineLimit().refuse(load, 1.0).retry_after)
        self.assertAlmostEqual(waits[0], 9 * 0.1 / 8)
        self.assertGreater(waits[1], 4 * waits[0])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(BACKENDS), st.integers(0, 9))))
    def test_counts_match_the_backends(self, steps):
        load = make_load()
        running = []
        for number, (backend_id, choice) in enumerate(steps):
            load.sweep(number)
            if choice < 6 or not running:
                load.started(backend_id)
                running.append(backend_id)
            else:
                answer = None if choice == 9 else LoadReport(choice)
                load.ended(running.pop(0), answer, number)
            counts = load.count_by_id.values()
            self.assertEqual(load.in_flight, len(running))
            self.assertAlmostEqual(load.reported, sum(c.counted for c in counts))
            for count in counts:
                self.assertGreaterEqual(count.estimate, count.local)


class ExtraBudgetTest(unittest.TestCase):
    """The limit of extra requests to a share of the calls."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 40)), st.sampled_from((0.05, 0.25)))
    def test_extra_requests_stay_under_the_share(self, steps, share):
        budget = ExtraBudget(share, reserve=3)
        calls = extra = 0
        for new_calls in steps:
            for _ in range(new_calls):
                budget.earn()
            calls += new_calls
            if budget.has_token():
                budget.take()
                extra += 1
            self.assertLessEqual(extra, calls * share + 1e-6)
            self.assertLessEqual(budget.tokens, 3)


class RetryAfterTest(unittest.TestCase):
    """The retry delay in the response to a refused caller."""

    def test_header_is_in_whole_seconds_and_the_document_in_milliseconds(self):
        for seconds, header, millis in ((0.02, b'1', 20), (1.2, b'2', 1200)):
            outcome = NotRun(Reason.OVERLOADED, retry_after=seconds)
            response, data, _ = problem_events(outcome, 'r1')
            headers = dict(response.headers)
            self.assertEqual(headers[b'retry-after'], header)
            self.assertEqual(headers[b'catkinslip-outcome'], b'not-run')
            self.assertEqual(json.loads(data.data)['retry_after_ms'], millis)

    def test_unknown_has_no_retry_delay(self):
        response, _, _ = problem_events(Unknown(Reason.DEADLINE), 'r1')
        self.assertNotIn(b'retry-after', dict(response.headers))

"""Request metrics and traces, in memory bounded by the registered servers."""

import unittest
from collections import deque

from catkinslip.clock import Clock
from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.metrics.durations import FINE, WINDOW_SECONDS, Durations
from catkinslip.metrics.requests import UNKNOWN_SERVICE, RequestMetrics
from catkinslip.metrics.traces import TraceRing
from catkinslip.proxy.outcomes import Answered, NotRun, Reason
from catkinslip.routing.base import Choice
from catkinslip.routing.directory import Directory
from tests.builders import document_plain, plain_call


class FixedClock(Clock):
    """Clock whose time a test sets."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def directory_of(**address_by_backend: str) -> Directory:
    document = read_document(document_plain(address_by_backend)).unwrap()
    directory = Directory(lambda: None)
    directory.update(AcceptedConfig(ConfigVersion(0, 1), document=document))
    return directory


class DurationsTest(unittest.TestCase):
    """Quantiles cover recent windows; counts cover the time since the start."""

    def test_quantiles_cover_two_windows_and_counts_all(self):
        durations = Durations(FINE)
        for _ in range(100):
            durations.record(1.0, now=0.0)
        for _ in range(100):
            durations.record(0.010, now=WINDOW_SECONDS)
        both = durations.summarize(WINDOW_SECONDS)
        self.assertAlmostEqual(both.value_by_quantile['0.99'], 1.0, delta=0.01)
        self.assertAlmostEqual(both.value_by_quantile['0.5'], 0.010, delta=0.0001)
        later = durations.summarize(2 * WINDOW_SECONDS)
        self.assertAlmostEqual(later.value_by_quantile['0.99'], 0.010, delta=0.0001)
        last = durations.summarize(9 * WINDOW_SECONDS)
        self.assertEqual((last.count, last.value_by_quantile), (200, {}))
        self.assertAlmostEqual(last.sum, 101.0)

    def test_duration_above_the_range_is_counted_at_its_end(self):
        durations = Durations(FINE)
        durations.record(1000.0, now=0.0)
        found = durations.summarize(0.0)
        self.assertAlmostEqual(found.value_by_quantile['0.5'], 60, delta=0.6)


class RequestMetricsTest(unittest.TestCase):
    """Series exist only for registered services and backend servers."""

    def setUp(self):
        self.directory = directory_of(a='127.0.0.1:1', b='127.0.0.1:2')
        self.metrics = RequestMetrics(FixedClock(), self.directory)

    def values(self, name: str) -> dict[tuple[str, ...], float]:
        family = next(each for each in self.metrics.families() if each.name == name)
        return {sample.labels: sample.value for sample in family.samples}

    def test_retries_sheds_and_outcomes_are_counted(self):
        tried, outcome = plain_call('limits'), Answered(200)
        self.metrics.on_server_chosen(tried, Choice('a', 'first'), 1)
        self.metrics.on_attempt_ended(tried, 'a', NotRun(Reason.SHED), 0.001)
        self.metrics.on_server_chosen(tried, Choice('b', 'second'), 2)
        self.metrics.on_attempt_ended(tried, 'b', outcome, 0.002)
        self.metrics.on_request_ended(tried, outcome, 0.003)
        self.assertEqual(self.values('catkinslip_retries_total'), {('limits',): 1})
        self.assertEqual(
            self.values('catkinslip_backend_outcomes_total'),
            {('a', 'not-run-shed'): 1, ('b', 'answered-2xx'): 1},
        )
        self.assertEqual(
            self.values('catkinslip_service_outcomes_total'),
            {('limits', 'answered-2xx'): 1},
        )

    def test_callers_cannot_add_series(self):
        for number in range(100):
            refused = NotRun(Reason.UNKNOWN_SERVICE)
            self.metrics.on_request_ended(
                plain_call(f'made-up-{number}'), refused, 0.001
            )
        self.assertEqual(
            self.values('catkinslip_service_outcomes_total'),
            {(UNKNOWN_SERVICE, 'not-run-unknown-service'): 100},
        )

    def test_counts_of_an_unregistered_backend_are_dropped(self):
        self.metrics.on_attempt_ended(plain_call('limits'), 'a', Answered(200), 0.001)
        self.metrics.directory = directory_of(b='127.0.0.1:2')
        self.assertEqual(self.values('catkinslip_backend_outcomes_total'), {})


class TraceRingTest(unittest.TestCase):
    """The ring buffer is bounded and includes requests in flight."""

    def test_oldest_ended_trace_is_dropped_and_none_in_flight_leaks(self):
        directory = directory_of(a='127.0.0.1:1')
        ring = TraceRing('entry-1', FixedClock(), directory, deque(maxlen=2))
        calls = [plain_call('limits', request_id=f'r{number}') for number in range(3)]
        for each in calls:
            ring.on_server_chosen(each, Choice('a', 'only one'), 1)
        self.assertEqual(ring.find('r0')[0]['outcome'], '')
        for each in calls:
            ring.on_attempt_ended(each, 'a', Answered(200), 0.001)
            ring.on_request_ended(each, Answered(200), 0.002)
        self.assertEqual(ring.find('r0'), [])
        self.assertEqual(ring.find('r2')[0]['attempts'][0]['backend_id'], 'a')
        self.assertEqual(ring.trace_by_call, {})

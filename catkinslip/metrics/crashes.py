"""Metrics of requests that crash servers."""

from collections.abc import Iterable

from attrs import define

from catkinslip.crashes.guard import CrashGuard
from catkinslip.crashes.suspect import count_refused
from catkinslip.metrics.base import Family, MetricSource, counter, gauge


@define
class CrashMetrics(MetricSource):
    """Source of the counts of server crashes, verdicts and refused calls."""

    guard: CrashGuard

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        book = self.guard.registry
        events = counter(
            'catkinslip_crashes_total',
            'Servers seen to end under a request, verdicts learned, calls refused.',
            'event',
        )
        events.add(book.crashes, 'ended')
        events.add(book.verdicts, 'verdict')
        events.add(self.guard.refused, 'refused')
        yield events
        suspects = gauge(
            'catkinslip_crash_suspects', 'Requests under which servers ended.', 'state'
        )
        refused = count_refused(book.suspect_by_key.values())
        suspects.add(len(book.suspect_by_key) - refused, 'suspected')
        suspects.add(refused, 'refused')
        yield suspects

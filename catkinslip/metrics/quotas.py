"""Metrics of the quotas of workspaces."""

from collections import Counter
from collections.abc import Iterable

from attrs import define

from catkinslip.metrics.base import Family, MetricSource, counter, gauge, summary
from catkinslip.quotas.exchange import FleetQuotas

#: Workspaces with a label of their own, those with the most requests; the others share
#: one label.
MAX_LABELS = 20
OTHERS = 'other'


@define
class QuotaMetrics(MetricSource):
    """Source of the permits, waits and messages of the quotas."""

    quotas: FleetQuotas

    def families(self) -> Iterable[Family]:
        """Return the current metric families; none while there are no workspaces."""
        counts = self.quotas.counts
        if not self.quotas.is_active.is_set():
            return
        yield self._permits()
        waits = summary('catkinslip_quota_wait_seconds', 'Waits for a permit.')
        now = self.quotas.clock.monotonic()
        waits.summaries.append(counts.waits.summarize(now))
        yield waits
        events = counter('catkinslip_quota_events_total', 'Events.', 'event')
        events.add(counts.unanswered, 'wait-unanswered')
        events.add(counts.skipped, 'attempt-skipped')
        events.add(counts.returned, 'permit-returned')
        events.add(counts.pool_changes, 'pool-changed')
        events.add(self.quotas.health.avoided, 'pool-avoided')
        yield events
        datagrams = counter('catkinslip_quota_datagrams_total', 'Datagrams.', 'state')
        datagrams.add(counts.sent, 'sent')
        datagrams.add(counts.received, 'received')
        datagrams.add(counts.late, 'late')
        yield datagrams
        size = counter('catkinslip_quota_sent_bytes_total', 'Bytes of datagrams.')
        size.add(counts.sent_bytes)
        yield size
        share = gauge('catkinslip_quota_share', 'Share of limits generated here.')
        share.add(self.quotas.share.in_use)
        yield share

    def _permits(self) -> Family:
        counts = self.quotas.counts
        total = Counter(counts.granted)
        total.update(counts.refused)
        largest = {name for name, _ in total.most_common(MAX_LABELS)}
        family = counter(
            'catkinslip_quota_requests_total',
            'Permits granted and requests refused.',
            'workspace',
            'result',
        )
        for result, counted in (
            ('granted', counts.granted),
            ('refused', counts.refused),
        ):
            by_label: Counter[str] = Counter()
            for name, number in counted.items():
                by_label[name if name in largest else OTHERS] += number
            for label, number in sorted(by_label.items()):
                family.add(number, label, result)
        return family

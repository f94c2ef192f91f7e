"""Metrics of requests that instances relay to each other."""

from collections.abc import Iterable

from attrs import define

from catkinslip.metrics.base import Family, MetricSource, counter
from catkinslip.relaying.forwarder import RelayingForwarder


@define
class RelayMetrics(MetricSource):
    """Source of the counts of relayed requests."""

    forwarder: RelayingForwarder

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        relayed = counter(
            'catkinslip_relayed_total',
            'Requests relayed to other instances; none was found for some.',
            'outcome',
        )
        for outcome, count in sorted(self.forwarder.count_by_outcome.items()):
            relayed.add(count, outcome)
        yield relayed
        accepted = counter(
            'catkinslip_accepted_relays_total', 'Requests that other instances relayed.'
        )
        accepted.add(self.forwarder.accepted)
        yield accepted

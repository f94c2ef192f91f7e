"""Conversion of metric families to the Prometheus text format.

https://prometheus.io/docs/instrumenting/exposition_formats/
"""

from collections.abc import Iterable

from attrs import frozen
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from catkinslip.metrics.base import Family, FamilyKind

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


@frozen(eq=False)
class FamilyCollector(Collector):
    """Adapter that provides one family to the registry of prometheus_client."""

    family: Family

    def collect(self) -> Iterable[Metric]:
        """Return the family as a metric of prometheus_client."""
        yield to_metric(self.family)


def expose(family: Family) -> bytes:
    """Return one family in the Prometheus text format.

    Callers convert one family at a time so that the event loop is not blocked for long.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(FamilyCollector(family))
    return generate_latest(registry)


def to_metric(family: Family) -> Metric:
    """Convert a family to a metric of prometheus_client."""
    name, labels = family.name, list(family.label_names)
    if family.kind is FamilyKind.SUMMARY:
        return summary_metric(family)
    kind = GaugeMetricFamily
    if family.kind is FamilyKind.COUNTER:
        kind = CounterMetricFamily
    metric = kind(name, family.help, labels=labels)
    for sample in family.samples:
        metric.add_metric(list(sample.labels), sample.value)
    return metric


def summary_metric(family: Family) -> Metric:
    """Convert a summary family; `SummaryMetricFamily` itself has no quantiles."""
    metric = SummaryMetricFamily(family.name, family.help, labels=family.label_names)
    for each in family.summaries:
        metric.add_metric(list(each.labels), each.count, each.sum)
        value_by_label = dict(zip(family.label_names, each.labels, strict=True))
        for quantile, value in each.value_by_quantile.items():
            labels = {**value_by_label, 'quantile': quantile}
            metric.add_sample(family.name, labels, value)
    return metric

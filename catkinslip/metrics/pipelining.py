"""Metrics of pipelined requests."""

from collections.abc import Iterable

from attrs import define

from catkinslip.metrics.base import Family, MetricSource, counter, gauge
from catkinslip.proxy.pipelines import Pipelines


@define
class PipelineMetrics(MetricSource):
    """Source of the counts of pipelined requests and of the bytes held for them."""

    pipelines: Pipelines

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        started = counter(
            'catkinslip_pipelined_requests_total',
            'Requests that started before those ahead of them were answered.',
        )
        started.add(self.pipelines.started)
        yield started
        held = gauge(
            'catkinslip_pipelined_held_bytes',
            'Bytes of pipelined requests and held answers.',
        )
        held.add(self.pipelines.instance.held)
        yield held

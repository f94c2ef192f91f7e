"""Metrics of server subsets and of the connections opened to servers.

Load: many instances that each open connections to hundreds of servers. The counts show
whether requests or probes open them.
"""

from collections.abc import Iterable

from attrs import define

from catkinslip.metrics.base import Family, MetricSource, counter, gauge
from catkinslip.proxy.pool import BackendPool, Purpose
from catkinslip.routing.directory import Directory


@define
class SubsetMetrics(MetricSource):
    """Source of the subset sizes and of the connections opened, by purpose."""

    directory: Directory
    pool: BackendPool

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        size = gauge(
            'catkinslip_subset_servers',
            'Usable servers that this instance wants in its subset.',
            'service',
        )
        for service, router in sorted(self.directory.router_by_service.items()):
            if router.subset.applies:
                size.add(min(router.subset.size, len(router.loads)), service)
        yield size
        opened = counter(
            'catkinslip_server_connections_total',
            'Connections opened to backend servers.',
            'purpose',
        )
        for purpose in Purpose:
            opened.add(self.pool.opened_by_purpose[purpose], purpose.value)
        yield opened

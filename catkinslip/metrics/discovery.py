"""Metrics of load probes, shared load reports and peer instances."""

from collections import Counter
from collections.abc import Iterable

from attrs import define

from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.notices import ChangeNotices
from catkinslip.discovery.readers import ReaderRole
from catkinslip.discovery.store_probe import StoreProbe
from catkinslip.health.sampler import LoadSampler
from catkinslip.health.sharing import ReportSharer
from catkinslip.metrics.base import Family, MetricSource, counter, gauge


@define
class DiscoveryMetrics(MetricSource):
    """Source of the counts of load probes, shared load reports and known peers."""

    instances: InstanceTable
    sampler: LoadSampler
    sharer: ReportSharer
    notices: ChangeNotices
    store_probe: StoreProbe

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        probes = counter(
            'catkinslip_load_probes_total', 'Probes before a choice.', 'state'
        )
        probes.add(self.sampler.sent, 'sent')
        probes.add(self.sampler.unanswered, 'unanswered')
        yield probes
        reports = counter(
            'catkinslip_shared_reports_total',
            'Datagrams sent or unreadable, and reports taken from them.',
            'state',
        )
        reports.add(self.sharer.sent, 'sent')
        reports.add(self.sharer.received, 'taken')
        reports.add(self.sharer.malformed, 'malformed')
        yield reports
        notices = counter(
            'catkinslip_change_notices_total',
            'Notices of newer rules, servers and other values, between instances.',
            'event',
        )
        for event, count in sorted(self.notices.count_by_event.items()):
            notices.add(count, event)
        yield notices
        store_probes = counter(
            'catkinslip_store_probes_total',
            'Probes of the store while this instance waits there for changes.',
            'state',
        )
        store_probes.add(self.store_probe.sent, 'sent')
        store_probes.add(self.store_probe.failed, 'failed')
        yield store_probes
        peers = gauge(
            'catkinslip_peers', 'Other instances by what polls tell.', 'health'
        )
        health = Counter(
            peer.health.name.lower() for peer in self.instances.peer_by_id.values()
        )
        for name, count in sorted(health.items()):
            peers.add(count, name)
        yield peers
        roles = gauge(
            'catkinslip_store_reader_role',
            'Part of this instance among the readers of the store in its zone.',
            'role',
        )
        own_role = self.instances.zone_view().role
        for role in ReaderRole:
            roles.add(role is own_role, role.name.lower())
        yield roles

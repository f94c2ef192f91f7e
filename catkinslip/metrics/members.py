"""Metrics of the membership view of an instance."""

from collections.abc import Iterable

from attrs import define

from catkinslip.membership.members import MemberTable
from catkinslip.metrics.base import Family, MetricSource, gauge


@define
class MemberMetrics(MetricSource):
    """Source of the number of known members by state."""

    members: MemberTable

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        family = gauge('catkinslip_members', 'Known instances by state.', 'state')
        live = self.members.live()
        leaving = sum(member.leaving for member in live)
        family.add(len(live) - leaving, 'live')
        family.add(leaving, 'leaving')
        yield family

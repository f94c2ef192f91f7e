"""Tell the members that an instance knows."""

from collections.abc import Iterable

from attrs import define

from catkinslip.membership.members import MemberTable
from catkinslip.metrics.base import Family, MetricSource, gauge


@define
class MemberMetrics(MetricSource):
    """Tell how many members this instance knows."""

    members: MemberTable

    def families(self) -> Iterable[Family]:
        """Return the measured values of now."""
        family = gauge('catkinslip_members', 'Known instances by state.', 'state')
        live = self.members.live()
        leaving = sum(member.leaving for member in live)
        family.add(len(live) - leaving, 'live')
        family.add(leaving, 'leaving')
        yield family

"""Metrics of the sharing of scarce capacity among workspaces and kinds of calls."""

from collections.abc import Iterable

from attrs import define, fields

from catkinslip.admission.fairness import FairnessCounts
from catkinslip.limits.service import LimitRegistry
from catkinslip.metrics.base import Family, MetricSource, counter


@define
class FairnessMetrics(MetricSource):
    """Source of the numbers of calls to which a rule of sharing applied."""

    limits: LimitRegistry

    def families(self) -> Iterable[Family]:
        """Return the current metric families; their labels are services and rules."""
        family = counter(
            'catkinslip_fairness_total',
            'Calls to which a rule of sharing scarce capacity applied.',
            'service',
            'rule',
        )
        for service, limits in sorted(self.limits.limits_by_service.items()):
            for each in fields(FairnessCounts):
                count = getattr(limits.fairness.counts, each.name)
                family.add(count, service, each.name.removeprefix('is_'))
        yield family

"""The command that shows what an instance has measured."""

from collections.abc import Iterator, Sequence

import cattrs
import httpx

from catkinslip.cli import definition as defined
from catkinslip.cli.instances import InstanceCommand
from catkinslip.cli.output import table
from catkinslip.control.paths import METRICS_PATH
from catkinslip.metrics.base import Family, SummarySample
from catkinslip.metrics.requests import SHED_LABEL
from catkinslip.status import ExitStatus

MILLISECONDS = 1000
SHOWN_QUANTILES = ('0.5', '0.99', '0.999')
HEADS = (
    'requests',
    'answered',
    'not run',
    'unknown',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
)


class MetricsCommand(InstanceCommand):
    """Show what one instance has measured."""

    declared = defined.METRICS
    path = METRICS_PATH

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Show the measured values."""
        plain = first.json()
        families = cattrs.structure(plain['families'], list[Family])
        by_name = {family.name: family for family in families}
        self.printer.data(plain, lambda: list(metric_lines(by_name)))
        return ExitStatus.SUCCESS


def metric_lines(family_by_name: dict[str, Family]) -> Iterator[str]:
    """Return tables of services, of backend servers and of the instance."""
    yield from service_table(family_by_name)
    yield ''
    yield from backend_table(family_by_name)
    yield ''
    yield from instance_table(family_by_name)


def service_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a line for each service."""
    counts = outcome_counts(family_by_name['catkinslip_service_outcomes_total'])
    retries = {
        sample.labels[0]: sample.value
        for sample in family_by_name['catkinslip_retries_total'].samples
    }
    rows = []
    for each in family_by_name['catkinslip_service_duration_seconds'].summaries:
        name = each.labels[0]
        cells = common_cells(each, counts.get(name, {}))
        rows.append((name, *cells, int(retries.get(name, 0))))
    return table(('service', *HEADS, 'retries'), rows)


def backend_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a line for each backend server that had an attempt."""
    counts = outcome_counts(family_by_name['catkinslip_backend_outcomes_total'])
    in_flight = {
        sample.labels[1]: sample.value
        for sample in family_by_name['catkinslip_in_flight'].samples
    }
    rows = []
    for each in family_by_name['catkinslip_backend_duration_seconds'].summaries:
        name = each.labels[0]
        by_outcome = counts.get(name, {})
        cells = common_cells(each, by_outcome)
        sheds = int(by_outcome.get(SHED_LABEL, 0))
        rows.append((name, *cells, sheds, int(in_flight.get(name, 0))))
    return table(('backend', *HEADS, 'sheds', 'in flight'), rows)


def instance_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a line for each value that belongs to no service or backend server."""
    rows = []
    for family in family_by_name.values():
        if {'service', 'backend'} & set(family.label_names):
            continue
        for sample in family.samples:
            rows.append((labelled(family.name, sample.labels), f'{sample.value:g}'))
        for each in family.summaries:
            for quantile, value in each.value_by_quantile.items():
                name = labelled(family.name, (*each.labels, quantile))
                rows.append((name, f'{value:g}'))
    return table(('measure', 'value'), rows)


def outcome_counts(family: Family) -> dict[str, dict[str, float]]:
    """Return counts by outcome, by the first label."""
    count_by_outcome_by_name: dict[str, dict[str, float]] = {}
    for sample in family.samples:
        name, outcome = sample.labels
        count_by_outcome_by_name.setdefault(name, {})[outcome] = sample.value
    return count_by_outcome_by_name


def common_cells(
    each: SummarySample, count_by_outcome: dict[str, float]
) -> Sequence[object]:
    """Return the cells that services and backend servers have in common."""
    kinds = [
        int(sum(n for word, n in count_by_outcome.items() if word.startswith(kind)))
        for kind in ('answered', 'not-run', 'unknown')
    ]
    quantiles = [
        f'{each.value_by_quantile[quantile] * MILLISECONDS:.1f}'
        if quantile in each.value_by_quantile
        else '-'
        for quantile in SHOWN_QUANTILES
    ]
    return (each.count, *kinds, *quantiles)


def labelled(name: str, labels: Sequence[str]) -> str:
    """Return a name followed by its labels."""
    return f'{name}{{{", ".join(labels)}}}' if labels else name

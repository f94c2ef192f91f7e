"""The command that prints the metrics of an instance."""

from collections.abc import Iterator, Sequence

import cattrs
import httpx

from catkinslip.cli import definition as definitions
from catkinslip.cli.instances import InstanceCommand
from catkinslip.cli.output import table
from catkinslip.control.paths import METRICS_PATH
from catkinslip.metrics.base import Family, SummarySample
from catkinslip.metrics.requests import SHED_LABEL
from catkinslip.status import ExitStatus

MILLISECONDS = 1000
SHOWN_QUANTILES = ('0.5', '0.99', '0.999')
HEADERS = (
    'requests',
    'answered',
    'not run',
    'unknown',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
)


class MetricsCommand(InstanceCommand):
    """Print the metrics of one instance (`metrics`)."""

    command_definition = definitions.METRICS
    path = METRICS_PATH

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Print the metrics as tables or as JSON."""
        plain = first.json()
        families = cattrs.structure(plain['families'], list[Family])
        by_name = {family.name: family for family in families}
        self.printer.data(plain, lambda: list(metric_lines(by_name)))
        return ExitStatus.SUCCESS


def metric_lines(family_by_name: dict[str, Family]) -> Iterator[str]:
    """Yield the lines of the service, backend server and instance tables."""
    yield from service_table(family_by_name)
    yield ''
    yield from backend_table(family_by_name)
    yield ''
    yield from instance_table(family_by_name)


def service_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a table with a row for each service."""
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
    return table(('service', *HEADERS, 'retries'), rows)


def backend_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a table with a row for each backend server that had an attempt."""
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
    return table(('backend', *HEADERS, 'sheds', 'in flight'), rows)


def instance_table(family_by_name: dict[str, Family]) -> list[str]:
    """Return a table of the values that belong to no service or backend server."""
    rows = []
    for family in family_by_name.values():
        if {'service', 'backend'} & set(family.label_names):
            continue
        for sample in family.samples:
            rows.append(
                (name_with_labels(family.name, sample.labels), f'{sample.value:g}')
            )
        for each in family.summaries:
            for quantile, value in each.value_by_quantile.items():
                name = name_with_labels(family.name, (*each.labels, quantile))
                rows.append((name, f'{value:g}'))
    return table(('measure', 'value'), rows)


def outcome_counts(family: Family) -> dict[str, dict[str, float]]:
    """Return the counts of a family by its first label, then by outcome."""
    count_by_outcome_by_name: dict[str, dict[str, float]] = {}
    for sample in family.samples:
        name, outcome = sample.labels
        count_by_outcome_by_name.setdefault(name, {})[outcome] = sample.value
    return count_by_outcome_by_name


def common_cells(
    each: SummarySample, count_by_outcome: dict[str, float]
) -> Sequence[object]:
    """Return the row cells that the service and backend server tables share."""
    kinds = [
        int(
            sum(
                n for outcome, n in count_by_outcome.items() if outcome.startswith(kind)
            )
        )
        for kind in ('answered', 'not-run', 'unknown')
    ]
    quantiles = [
        f'{each.value_by_quantile[quantile] * MILLISECONDS:.1f}'
        if quantile in each.value_by_quantile
        else '-'
        for quantile in SHOWN_QUANTILES
    ]
    return (each.count, *kinds, *quantiles)


def name_with_labels(name: str, labels: Sequence[str]) -> str:
    """Return a metric name followed by its label values in braces."""
    return f'{name}{{{", ".join(labels)}}}' if labels else name

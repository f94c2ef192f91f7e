"""The command that shows the workspaces and their requests."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import cattrs
import httpx

from catkinslip.cli import definition as definitions
from catkinslip.cli.instances import InstanceCommand
from catkinslip.cli.output import table
from catkinslip.control.paths import CONFIG_PATH, METRICS_PATH, STATUS_PATH
from catkinslip.metrics.base import Family
from catkinslip.metrics.workspaces import OTHER, REQUESTS_SERIES
from catkinslip.status import ExitStatus
from catkinslip.workspaces.fingerprints import FINGERPRINT_PREFIX, find_workspaces

OUTCOMES = ('served', 'refused', 'over-quota', 'failed')
COLUMNS = ('workspace', 'priority', 'rate/s', 'burst', 'keys', *OUTCOMES)


class WorkspacesCommand(InstanceCommand):
    """Print the workspaces and the outcomes of their requests (`workspaces`)."""

    command_definition = definitions.WORKSPACES
    path = STATUS_PATH

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Print the workspaces in force on the first instance, with all counts."""
        status = first.json()
        own = status['member']
        configs = await self.fetch_all(client, [own], CONFIG_PATH)
        if not configs:
            return ExitStatus.UNREACHABLE
        members = status['members']
        metrics = await self.fetch_all(client, members, METRICS_PATH)
        config = configs[own['member_id']]
        plain = plain_workspaces(
            find_workspaces(config['document']), sum_counts(metrics.values())
        )
        self.printer.data(plain, lambda: workspace_lines(plain, config['version']))
        silent = len(metrics) < len(members)
        return ExitStatus.UNREACHABLE if silent else ExitStatus.SUCCESS


def sum_counts(answers: Iterable[dict[str, Any]]) -> Counter[tuple[str, str]]:
    """Return the counts of all instances by workspace and outcome."""
    counts: Counter[tuple[str, str]] = Counter()
    for answer in answers:
        for family in cattrs.structure(answer['families'], list[Family]):
            if family.name == REQUESTS_SERIES:
                for sample in family.samples:
                    name, outcome = sample.labels
                    counts[name, outcome] += int(sample.value)
    return counts


def plain_workspaces(
    workspace_by_name: dict[str, Any], counts: Counter[tuple[str, str]]
) -> dict[str, dict[str, Any]]:
    """Return the workspaces with fingerprints and counts as plain data."""
    plain = {
        name: {
            'priority': each.get('priority'),
            'requests_per_second': each.get('requests_per_second', 0),
            'burst': each.get('burst', 0),
            'fingerprints': [
                key.removeprefix(FINGERPRINT_PREFIX) for key in each.get('api_keys', ())
            ],
            # None where no instance counts the workspace by name.
            'requests': requests_of(name, counts),
        }
        for name, each in sorted(workspace_by_name.items())
    }
    others = requests_of(OTHER, counts)
    if others is not None:
        plain[OTHER] = {'requests': others}
    return plain


def requests_of(name: str, counts: Counter[tuple[str, str]]) -> dict[str, int] | None:
    """Return the requests of a workspace by outcome; None if there are none."""
    count_by_outcome = {outcome: counts[name, outcome] for outcome in OUTCOMES}
    return count_by_outcome if any(count_by_outcome.values()) else None


def workspace_lines(plain: dict[str, dict[str, Any]], version: str) -> Sequence[str]:
    """Return the lines of the table of workspaces and of the list of fingerprints."""
    if not plain:
        return (f'Configuration version {version} has no workspaces.',)
    rows = [
        (
            name,
            '-' if each.get('priority') is None else each['priority'],
            cell(each.get('requests_per_second')),
            cell(each.get('burst')),
            len(each['fingerprints']) if 'fingerprints' in each else '-',
            *((each['requests'] or dict.fromkeys(OUTCOMES, '-')).values()),
        )
        for name, each in plain.items()
    ]
    keys = [
        f'{name}: {", ".join(each["fingerprints"])}'
        for name, each in plain.items()
        if each.get('fingerprints')
    ]
    return (*table(COLUMNS, rows), '', 'Fingerprints of keys:', *keys)


def cell(value: float | None) -> str:
    """Return a number as text, `-` for none or 0."""
    return f'{value:g}' if value else '-'

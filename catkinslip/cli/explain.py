"""The command that explains how one request was handled."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import httpx

from catkinslip.cli import definition as definitions
from catkinslip.cli.instances import InstanceCommand
from catkinslip.clock import utc_text
from catkinslip.control.paths import REQUESTS_PATH, STATUS_PATH
from catkinslip.status import ExitStatus

MILLISECONDS = 1000
#: Log field with the key that all copies of a request that crashed servers share.
REQUEST_KEY = re.compile(r' request=(\S+)')


def find_request_names(lines: Iterable[str], request_id: str) -> set[str]:
    """Return the ID of a request and the keys in its log lines, shared by copies."""
    matching = (line for line in lines if request_id in line)
    keys = (found for line in matching for found in REQUEST_KEY.findall(line))
    return {request_id, *keys}


def select_lines(lines: Iterable[str], names: set[str]) -> list[str]:
    """Return the log lines that contain at least one of several names."""
    return [line.rstrip('\n') for line in lines if any(name in line for name in names)]


class ExplainCommand(InstanceCommand):
    """Print the traces or the log lines of one request (`explain`)."""

    command_definition = definitions.EXPLAIN
    path = STATUS_PATH

    def handle(self) -> int:
        """Read the log file of `--log`, or query the instances without it."""
        if self.option('log') is None:
            return super().handle()
        return int(self._read_log(Path(self.option('log'))))

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Query all members for the request and print its traces."""
        members = first.json()['members']
        request_id = self.argument('request-id')
        answers = await self.fetch_all(client, members, REQUESTS_PATH + request_id)
        traces = [trace for plain in answers.values() for trace in plain['traces']]
        traces.sort(key=lambda trace: trace['began_at'])
        if not traces:
            return self._print_not_found(f'{len(answers)} of {len(members)} instances')
        self.printer.data(traces, lambda: list(trace_lines(traces)))
        silent = len(answers) < len(members)
        return ExitStatus.UNREACHABLE if silent else ExitStatus.SUCCESS

    def _read_log(self, path: Path) -> ExitStatus:
        request_id = self.argument('request-id')
        try:
            with path.open(errors='replace') as file:
                names = find_request_names(file, request_id)
                # The log may be larger than the memory, so the file is read twice.
                file.seek(0)
                lines = select_lines(file, names)
        except OSError as error:
            self.printer.error(f'--log: {path}: {error.strerror}.')
            return ExitStatus.USAGE
        if not lines:
            return self._print_not_found(str(path))
        self.printer.data(lines, lambda: lines)
        return ExitStatus.SUCCESS

    def _print_not_found(self, source: str) -> ExitStatus:
        self.printer.error(
            f'Request {self.argument("request-id")} was not found in {source}. Each '
            'instance keeps its last requests only; read older ones with --log.'
        )
        return ExitStatus.NOT_FOUND


def trace_lines(traces: list[dict[str, Any]]) -> Iterator[str]:
    """Yield sentences that describe the traces of one request."""
    for trace in traces:
        repeatable = 'repeatable' if trace['repeatable'] else 'not repeatable'
        yield (
            f'{utc_text(trace["began_at"])} {trace["instance"]} took '
            f'{trace["method"]} {trace["path"]} for {trace["service"]}, {repeatable}.'
        )
        yield from attempt_lines(trace['attempts'])
        if trace['outcome']:
            yield (
                f'The request ended after {trace["seconds"] * MILLISECONDS:.1f} ms; '
                f'the caller received: {trace["outcome"]}.'
            )
        else:
            yield 'The request is in flight.'


def attempt_lines(attempts: list[dict[str, Any]]) -> Iterator[str]:
    """Yield sentences that describe the attempts of one trace."""
    if not attempts:
        yield 'No backend server was chosen.'
    for number, attempt in enumerate(attempts, 1):
        yield (
            f'Attempt {number} went to {attempt["backend_id"]}, one of '
            f'{attempt["candidates"]} servers: {attempt["reason"]}.'
        )
        if attempt['outcome']:
            yield (
                f'Attempt {number} ended after '
                f'{attempt["seconds"] * MILLISECONDS:.1f} ms: {attempt["outcome"]}.'
            )

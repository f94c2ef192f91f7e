"""The commands that print the status of instances."""

from abc import abstractmethod
from collections.abc import Sequence
from typing import Any, ClassVar

import httpx
import trio

from catkinslip.cli import definition as definitions
from catkinslip.cli import options
from catkinslip.cli.base import BaseCommand
from catkinslip.cli.output import table
from catkinslip.control.paths import STATUS_PATH
from catkinslip.status import ExitStatus


class InstanceCommand(BaseCommand):
    """Command that queries an instance over its control API, then others."""

    path: ClassVar[str] = STATUS_PATH

    async def main(self) -> ExitStatus:
        """Query the first instance that answers and print the result."""
        async with self.open_control() as client:
            for address in self.value(options.CONTROL):
                first = await self.fetch(client, address, self.path)
                if first is not None:
                    return await self.show(client, first)
        return ExitStatus.UNREACHABLE

    @abstractmethod
    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Print the first answer, after queries to other instances if needed."""

    async def fetch(
        self, client: httpx.AsyncClient, address: str, path: str
    ) -> httpx.Response | None:
        """Query an instance; print the error and return None if the query fails."""
        try:
            response = await client.get(f'http://{address}{path}')
        except httpx.HTTPError as error:
            self.printer.error(
                f'{address} did not answer: {error_text(error)}. Check --control, and '
                'that the daemon runs.'
            )
            return None
        if response.status_code == httpx.codes.FORBIDDEN:
            self.printer.error(
                f'{address} refused the shared secret. Set CATKINSLIP_SHARED_SECRET '
                'or --shared-secret-file to the secret of the daemons.'
            )
            return None
        return response

    async def fetch_all(
        self, client: httpx.AsyncClient, members: Sequence[dict], path: str
    ) -> dict[str, Any]:
        """Query all members concurrently; return the parsed answers by member ID."""
        plain_by_id: dict[str, Any] = {}

        async def fetch_member(member: dict) -> None:
            response = await self.fetch(client, member['control_address'], path)
            if response is not None:
                plain_by_id[member['member_id']] = response.json()

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(fetch_member, member)
        return plain_by_id


class StatusCommand(InstanceCommand):
    """Print the status of one instance (`status`)."""

    command_definition = definitions.STATUS

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Print the status of the instance that answered."""
        plain = first.json()
        self.printer.data(plain, lambda: status_lines(plain))
        return ExitStatus.SUCCESS


class InstancesCommand(InstanceCommand):
    """Print every instance and its configuration in force (`instances`)."""

    command_definition = definitions.INSTANCES

    async def show(
        self, client: httpx.AsyncClient, first: httpx.Response
    ) -> ExitStatus:
        """Query all members that the first instance lists and print their states."""
        members = first.json()['members']
        plain_by_id = await self.fetch_all(client, members, STATUS_PATH)
        plain = [
            {**member, 'status': plain_by_id.get(member['member_id'])}
            for member in sorted(members, key=lambda each: each['member_id'])
        ]
        self.printer.data(plain, lambda: instance_lines(plain))
        silent = any(each['status'] is None for each in plain)
        return ExitStatus.UNREACHABLE if silent else ExitStatus.SUCCESS


def error_text(error: httpx.HTTPError) -> str:
    """Return the text of an HTTP error, or its type if it has no text."""
    return str(error) or type(error).__name__


def version_text(status: dict[str, Any]) -> str:
    """Return the configuration version of a status as `epoch.number`."""
    version = status['config_version']
    return f'{version["epoch"]}.{version["number"]}'


def status_lines(plain: dict[str, Any]) -> Sequence[str]:
    """Return the status of one instance as readable lines."""
    member = plain['member']
    leaving = ', '.join(plain['leaving_backends']) or 'none'
    evacuated = ', '.join(plain['evacuated_zones']) or 'none'
    member_ids = [each['member_id'] for each in plain['members']]
    return (
        f'Instance {member["member_id"]} in {member["zone"]}, '
        f'{"leaving" if member["leaving"] else "live"}.',
        f'Address for callers: {member["address"]}, '
        f'for peers and operators: {member["control_address"]}.',
        f'Configuration version {version_text(plain)} is in force.',
        f'Members ({len(member_ids)}): {", ".join(sorted(member_ids))}.',
        f'Leaving backend servers: {leaving}.',
        f'Evacuated zones: {evacuated}.',
    )


def instance_lines(plain: Sequence[dict[str, Any]]) -> Sequence[str]:
    """Return the lines of a table of instances and their states."""
    headers = ('instance', 'zone', 'address', 'control', 'state', 'version')
    rows = []
    for each in plain:
        status = each['status']
        version = version_text(status) if status else '-'
        state = 'leaving' if each['leaving'] else 'live'
        rows.append(
            (
                each['member_id'],
                each['zone'],
                each['address'],
                each['control_address'],
                state if status else 'silent',
                version,
            )
        )
    return table(headers, rows)

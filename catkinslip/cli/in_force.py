"""Queries for the instances on which a configuration is in force."""

from collections.abc import Iterable

import cattrs
import httpx
import trio
from attrs import frozen

from catkinslip.config.documents import ConfigVersion
from catkinslip.config.reading import MALFORMED
from catkinslip.store.base import ObjectStore

POLL_SECONDS = 0.2


@frozen
class InstanceReport:
    """Configuration that one instance reports; no version: it did not answer."""

    name: str
    control_address: str
    version: ConfigVersion | None = None
    change_id: str = ''

    def has_in_force(self, target: ConfigVersion, change_id: str) -> bool:
        """Return whether a version, or a later one, is in force on the instance.

        The same version counts only with the given change, unless that is empty.
        """
        if self.version is None:
            return False
        if self.version == target and change_id:
            return self.change_id == change_id
        return self.version >= target

    def __str__(self) -> str:
        if self.version is None:
            return f'{self.name} at {self.control_address} did not answer'
        return f'{self.name} has version {self.version}, change {self.change_id}'


@frozen
class InForceReport:
    """The instances that have a configuration in force, and the stragglers."""

    in_force: tuple[InstanceReport, ...]
    stragglers: tuple[InstanceReport, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether all instances, at least one, have the version in force."""
        return bool(self.in_force) and not self.stragglers


@frozen
class FleetClient:
    """Client that finds and queries all instances."""

    client: httpx.AsyncClient
    store: ObjectStore
    control_addresses: tuple[str, ...]

    async def wait_in_force(
        self, target: ConfigVersion, change_id: str, wait: float
    ) -> InForceReport:
        """Poll all instances until a version is in force, or for `wait` seconds."""
        end = trio.current_time() + wait
        while True:
            reports = await self.fetch_all()
            report = partition_reports(reports, target, change_id)
            if report.is_complete or trio.current_time() >= end:
                return report
            await trio.sleep(POLL_SECONDS)

    async def fetch_all(self) -> list[InstanceReport]:
        """Query all instances that the platform or another instance lists."""
        name_by_address = await self._list_addresses()
        report_by_name: dict[str, InstanceReport] = {}
        queried: set[str] = set()
        while name_by_address.keys() - queried:
            addresses = sorted(name_by_address.keys() - queried)
            queried.update(addresses)
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    name = name_by_address[address]
                    nursery.start_soon(
                        self._fetch_report,
                        name,
                        address,
                        report_by_name,
                        name_by_address,
                    )
        return sorted(report_by_name.values(), key=lambda each: each.name)

    async def _list_addresses(self) -> dict[str, str]:
        name_by_address = {each: each for each in self.control_addresses}
        for instance in (await self.store.list_instances()).value_or([]):
            if not instance.leaving:
                name_by_address[instance.control_address] = instance.name
        return name_by_address

    async def _fetch_report(
        self,
        name: str,
        address: str,
        report_by_name: dict[str, InstanceReport],
        name_by_address: dict[str, str],
    ) -> None:
        report_by_name.setdefault(name, InstanceReport(name, address))
        try:
            response = await self.client.get(f'http://{address}/v1/status')
            response.raise_for_status()
            status = response.json()
            responder = status['member']
            version = cattrs.structure(status['config_version'], ConfigVersion)
            members = [(each['control_address'], each) for each in status['members']]
        except (httpx.HTTPError, KeyError, *MALFORMED):
            return
        if responder['member_id'] != name:
            report_by_name.pop(name, None)
        report_by_name[responder['member_id']] = InstanceReport(
            responder['member_id'], address, version, status['change_id']
        )
        for control_address, member in members:
            if not member['leaving']:
                name_by_address.setdefault(control_address, member['member_id'])


def partition_reports(
    reports: Iterable[InstanceReport], target: ConfigVersion, change_id: str
) -> InForceReport:
    """Divide reports into those with a version in force and the stragglers."""
    in_force = []
    stragglers = []
    for report in reports:
        is_in_force = report.has_in_force(target, change_id)
        (in_force if is_in_force else stragglers).append(report)
    return InForceReport(tuple(in_force), tuple(stragglers))

"""Registry of instances and crash records as objects of the platform's store."""

import logging
from typing import Any
from urllib.parse import quote

from attrs import asdict, define, evolve
from returns.result import Failure, Result, Success

from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.objects import record_to_plain
from catkinslip.discovery.base import InstanceEntry, InstanceRegistry
from catkinslip.discovery.revisions import era_of, number_of
from catkinslip.platform.client import StoreClient
from catkinslip.platform.decoding import DECODE_ERRORS, decode_crash
from catkinslip.platform.names import CRASHES_KIND, INSTANCES_KIND
from catkinslip.platform.sources import with_era
from catkinslip.store.base import Conflict, PlatformError, Unavailable

log = logging.getLogger('store')


@define
class StoredInstances(InstanceRegistry):
    """Registry of instances in the store, with one object for each instance."""

    client: StoreClient

    async def announce(self, entry: InstanceEntry) -> Result[None, PlatformError]:
        """Create the entry of this instance, or replace the earlier one."""
        name = entry.instance_id
        body = {'metadata': {'name': name}, 'spec': asdict(entry)}
        result = await self.client.call('POST', INSTANCES_KIND, body)
        if isinstance(result, Failure) and isinstance(result.failure(), Conflict):
            path = f'{INSTANCES_KIND}/{name}'
            result = await self.client.call('PUT', path, body)
        return result.map(lambda _: None)

    async def withdraw(self, instance_id: str) -> Result[None, PlatformError]:
        """Delete the entry of an instance."""
        path = f'{INSTANCES_KIND}/{instance_id}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


@define
class StoredCrashes(CrashStore):
    """Crash records in the store, with one object for each request."""

    client: StoreClient

    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Return the crash record of a request; None if missing or unreadable."""
        result = await self.client.call('GET', crash_path(key))
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status == 404:
            return Success(None)
        try:
            return Success(decode_crash(str(key), with_era(answer.body, answer.era)))
        except DECODE_ERRORS as error:
            log.warning(
                'store: unreadable crash record ignored. name=%s error=%r', key, error
            )
            return Success(None)

    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a crash record if its revision is still the stored one.

        Returns the record with its new revision, or a Conflict if another one is
        stored. A record with revision 0 is created.
        """
        name = str(record.key)
        metadata: dict[str, Any] = {'name': name}
        method, path = 'POST', CRASHES_KIND
        if record.revision:
            if era_of(record.revision) != self.client.era:
                return Failure(Conflict(0))
            metadata['revision'] = number_of(record.revision)
            method, path = 'PUT', crash_path(record.key)
        body = {'metadata': metadata, 'spec': record_to_plain(record)}
        result = await self.client.call(method, path, body)
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status >= 400:
            # Treated as removed; the next read returns the current state.
            return Failure(Conflict(0))
        try:
            metadata = with_era(answer.body, answer.era)['metadata']
            return Success(evolve(record, revision=metadata['revision']))
        except DECODE_ERRORS as error:
            return Failure(Unavailable(f'an answer cannot be read, {error!r}'))

    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a crash record if no other revision of the record is stored."""
        if era_of(record.revision) != self.client.era:
            return Failure(Conflict(0))
        revision = number_of(record.revision)
        path = f'{crash_path(record.key)}?revision={revision}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


def crash_path(key: RequestKey) -> str:
    """Return the path of a request's crash record in the store."""
    return f'{CRASHES_KIND}/{quote(str(key), safe="")}'

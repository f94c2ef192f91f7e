"""Keep the records in the objects of the product's own platform."""

from typing import Any

from attrs import define, evolve
from returns.result import Failure, Result, Success

from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.identity import RequestKey
from catkinslip.store.base import ObjectKey, ObjectStore, PlatformError, Unavailable

KIND = 'crashes'
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


@define
class ObjectCrashes(CrashStore):
    """Keep one object for each request under which servers ended."""

    store: ObjectStore

    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Read a record; None when there is none."""
        result = await self.store.read(object_key(key))
        if isinstance(result, Failure):
            return result
        stored = result.unwrap()
        if stored is None:
            return Success(None)
        try:
            return Success(record_from_plain(stored.value, stored.version))
        except MALFORMED as error:
            return Failure(Unavailable(f'a record cannot be read, {error!r}'))

    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a record if the store holds the revision that it names."""
        result = await self.store.write(
            object_key(record.key), record_to_plain(record), record.revision
        )
        return result.map(lambda stored: evolve(record, revision=stored.version))

    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a record if there is one."""
        return await self.store.delete(object_key(record.key))


def object_key(key: RequestKey) -> ObjectKey:
    """Return where the record of a request lies."""
    return ObjectKey(KIND, str(key))


def record_to_plain(record: CrashRecord) -> dict[str, Any]:
    """Return a record as a store holds it."""
    return {
        'target': record.key.target,
        'content': record.key.content,
        'ends': record.query_by_server,
        'trials': record.trials,
    }


def record_from_plain(plain: Any, revision: int) -> CrashRecord:
    """Read a record; raise one of MALFORMED for anything else."""
    ends = plain['ends']
    texts = (plain['target'], plain['content'], *ends, *ends.values())
    if not all(isinstance(text, str) and text for text in texts):
        raise TypeError('a record holds texts')
    if type(plain['trials']) is not int or plain['trials'] < 0:
        raise ValueError(f'{plain["trials"]!r} is no count of trials')
    if type(revision) is not int or revision < 1:
        raise ValueError(f'{revision!r} is no revision')
    key = RequestKey(plain['target'], plain['content'])
    return CrashRecord(key, dict(ends), plain['trials'], revision)

"""Storage of crash records as objects of the product's own platform."""

from typing import Any

from attrs import define, evolve
from returns.result import Failure, Result, Success

from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.identity import RequestKey
from catkinslip.store.base import ObjectKey, ObjectStore, PlatformError, Unavailable

#: Kind of the objects that hold crash records.
KIND = 'crashes'
#: Errors raised when a malformed record is read.
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


@define
class ObjectCrashStore(CrashStore):
    """Crash store with one object for each request during which servers crashed."""

    store: ObjectStore

    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Return the record of a request, or None if there is none."""
        result = await self.store.read(object_key(key))
        if isinstance(result, Failure):
            return result
        stored = result.unwrap()
        if stored is None:
            return Success(None)
        try:
            return Success(record_from_plain(stored.value, stored.version))
        except MALFORMED as error:
            return Failure(Unavailable(f'a crash record is malformed: {error!r}'))

    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a record if the store holds the revision that the record names."""
        result = await self.store.write(
            object_key(record.key), record_to_plain(record), record.revision
        )
        return result.map(lambda stored: evolve(record, revision=stored.version))

    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a record if there is one."""
        return await self.store.delete(object_key(record.key))


def object_key(key: RequestKey) -> ObjectKey:
    """Return the key of the object that holds the record of a request."""
    return ObjectKey(KIND, str(key))


def record_to_plain(record: CrashRecord) -> dict[str, Any]:
    """Return a crash record as plain data for a store."""
    return {
        'target': record.key.target,
        'content': record.key.content,
        'ends': record.query_by_server,
        'trials': record.trials,
    }


def record_from_plain(plain: Any, revision: int) -> CrashRecord:
    """Return a crash record from plain data; raise one of MALFORMED for other data."""
    crashes = plain['ends']
    texts = (plain['target'], plain['content'], *crashes, *crashes.values())
    if not all(isinstance(text, str) and text for text in texts):
        raise TypeError(
            'target, content, servers and queries must be non-empty strings'
        )
    if type(plain['trials']) is not int or plain['trials'] < 0:
        raise ValueError(
            f'trials must be an integer of at least 0, not {plain["trials"]!r}'
        )
    if type(revision) is not int or revision < 1:
        raise ValueError(f'revision must be an integer of at least 1, not {revision!r}')
    key = RequestKey(plain['target'], plain['content'])
    return CrashRecord(key, dict(crashes), plain['trials'], revision)

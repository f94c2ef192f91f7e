"""Read the accepted configuration from the platform."""

from typing import Any

import cattrs
from attrs import frozen
from returns.result import Failure, Success

from catkinslip.config.documents import AcceptedConfig, converter
from catkinslip.config.history import Head, Snapshot, follow_all, from_snapshot
from catkinslip.store.base import (
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
    Unavailable,
)

CONFIG_KEY = ObjectKey('config', 'current')
SNAPSHOT_KIND = 'config-snapshot'
#: Reads of a head whose snapshot was replaced meanwhile.
READ_ATTEMPTS = 3

MALFORMED = (cattrs.BaseValidationError, AttributeError, TypeError, ValueError)


@frozen
class StoredHead:
    """The recent changes with the version of the object that holds them."""

    object_version: int
    head: Head = Head()


@frozen
class StoredConfig:
    """A configuration with the head that it was read from."""

    object_version: int
    config: AcceptedConfig
    head: Head = Head()


@frozen
class SnapshotMissing(Unavailable):
    """The head was read, but its snapshot was replaced meanwhile."""


def snapshot_key(name: str) -> ObjectKey:
    """Return the key of a snapshot."""
    return ObjectKey(SNAPSHOT_KIND, name)


async def read_head(store: ObjectStore) -> StoredHead | PlatformError:
    """Read the recent changes."""
    match await store.read(CONFIG_KEY):
        case Success(None):
            return StoredHead(0)
        case Success(found):
            return parse_head(found)
        case Failure(error):
            return error


def parse_head(found: StoredObject) -> StoredHead | PlatformError:
    """Read the recent changes from their object."""
    try:
        return StoredHead(found.version, converter.structure(found.value, Head))
    except MALFORMED as error:
        return Unavailable(f'the object of the configuration is malformed, {error!r}')


async def read_config(store: ObjectStore) -> StoredConfig | PlatformError:
    """Read the accepted configuration."""
    problem: PlatformError = Unavailable('no attempt was made')
    for _ in range(READ_ATTEMPTS):
        found = await read_head(store)
        if not isinstance(found, StoredHead):
            return found
        config = await read_document(store, found.head)
        if isinstance(config, AcceptedConfig):
            return StoredConfig(found.object_version, config, found.head)
        problem = config
        if not isinstance(problem, SnapshotMissing):
            return problem
    return problem


async def read_document(
    store: ObjectStore, head: Head
) -> AcceptedConfig | PlatformError:
    """Build the last configuration from the snapshot and the changes after it."""
    if head.last is None:
        return AcceptedConfig()
    match await store.read(snapshot_key(head.snapshot_name)):
        case Success(None):
            return SnapshotMissing(f'the snapshot {head.snapshot_name} is missing')
        case Success(found):
            return build_config(head, found.value)
        case Failure(error):
            return error


def build_config(head: Head, snapshot: Any) -> AcceptedConfig | PlatformError:
    """Apply the changes after a snapshot to it and compare the digest."""
    try:
        base = from_snapshot(converter.structure(snapshot, Snapshot))
        config = follow_all(base, head.changes_after(head.snapshot_version))
    except MALFORMED as error:
        return Unavailable(f'the snapshot is malformed, {error!r}')
    if config is None or config.digest != head.last.digest:
        return Unavailable('the snapshot and the changes do not fit each other')
    return config

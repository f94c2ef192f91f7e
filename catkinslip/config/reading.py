"""Reading of the accepted configuration from the platform."""

from typing import Any

import cattrs
from attrs import frozen
from returns.result import Failure, Success

from catkinslip.config.documents import AcceptedConfig, converter, describe_error
from catkinslip.config.history import (
    Head,
    Snapshot,
    config_after_changes,
    from_snapshot,
)
from catkinslip.store.base import (
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
    Unavailable,
)

CONFIG_KEY = ObjectKey('config', 'current')
SNAPSHOT_KIND = 'config-snapshot'
#: Maximum number of reads of the head when its snapshot was replaced in the meantime.
READ_ATTEMPTS = 3

#: Exceptions of the conversion of malformed plain data.
MALFORMED = (cattrs.BaseValidationError, AttributeError, TypeError, ValueError)


@frozen
class StoredHead:
    """A head, with the version of the object that it was read from."""

    object_version: int
    head: Head = Head()


@frozen
class StoredConfig:
    """A configuration, with its head and the version of the head's object."""

    object_version: int
    config: AcceptedConfig
    head: Head = Head()


@frozen
class SnapshotMissing(Unavailable):
    """Error that the snapshot of a head was replaced after the head was read."""


def snapshot_key(name: str) -> ObjectKey:
    """Return the object key of a snapshot."""
    return ObjectKey(SNAPSHOT_KIND, name)


async def read_head(store: ObjectStore) -> StoredHead | PlatformError:
    """Read the head from the platform; an absent object gives an empty head."""
    match await store.read(CONFIG_KEY):
        case Success(None):
            return StoredHead(0)
        case Success(found):
            return parse_head(found)
        case Failure(error):
            return error


def parse_head(found: StoredObject) -> StoredHead | PlatformError:
    """Parse the head from its object."""
    try:
        return StoredHead(found.version, converter.structure(found.value, Head))
    except MALFORMED as error:
        return Unavailable(
            f'the head of the configuration is malformed, {describe_error(error)}'
        )


async def read_config(store: ObjectStore) -> StoredConfig | PlatformError:
    """Read the accepted configuration from the platform, with its head."""
    problem: PlatformError = Unavailable('the configuration was not read')
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
    """Read the snapshot of a head and return the configuration of the last change."""
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
    """Return the configuration that a head and its snapshot give.

    Return an error if one of them is malformed or the digest of the last change does
    not match.
    """
    try:
        base = from_snapshot(converter.structure(snapshot, Snapshot))
        config = config_after_changes(base, head.changes_after(head.snapshot_version))
    except MALFORMED as error:
        return Unavailable(f'the snapshot is malformed, {describe_error(error)}')
    if config is None or config.digest != head.last.digest:
        return Unavailable('the snapshot and the changes do not match')
    return config

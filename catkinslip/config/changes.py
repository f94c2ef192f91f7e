"""Change the accepted configuration, one conditional write at a time."""

from attrs import frozen
from returns.result import Failure, Success

from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    converter,
    to_plain,
)
from catkinslip.platform.base import (
    AnswerLost,
    Conflict,
    ObjectKey,
    ObjectStore,
    PlatformError,
)

CONFIG_KEY = ObjectKey('config', 'current')


@frozen
class ChangeAccepted:
    """The change is the accepted configuration."""

    config: AcceptedConfig


@frozen
class ChangeConflict:
    """Another change won; nothing of this one was accepted."""

    winner: AcceptedConfig


@frozen
class ChangeNotMade:
    """The platform did not take the change."""

    reason: str


@frozen
class ChangeUnknown:
    """The change may or may not have been accepted."""

    change_id: str
    reason: str


ChangeOutcome = ChangeAccepted | ChangeConflict | ChangeNotMade | ChangeUnknown


@frozen
class StoredConfig:
    """A configuration with the version of the object that holds it."""

    object_version: int
    config: AcceptedConfig


async def read_config(store: ObjectStore) -> StoredConfig | PlatformError:
    """Read the accepted configuration from the platform."""
    match await store.read(CONFIG_KEY):
        case Success(None):
            return StoredConfig(0, AcceptedConfig())
        case Success(found):
            config = converter.structure(found.value, AcceptedConfig)
            return StoredConfig(found.version, config)
        case Failure(error):
            return error


async def apply_change(
    store: ObjectStore,
    base: StoredConfig,
    document: Document,
    change_id: str,
    author: str,
) -> ChangeOutcome:
    """Write a document over the one it was made from."""
    before = base.config.version
    version = ConfigVersion(before.epoch, before.number + 1)
    config = AcceptedConfig(version, change_id, author, document)
    result = await store.write(CONFIG_KEY, to_plain(config), base.object_version)
    match result:
        case Success(_):
            return ChangeAccepted(config)
        case Failure(Conflict() | AnswerLost() as error):
            return await resolve(store, config, error)
        case Failure(error):
            return ChangeNotMade(str(error))


async def resolve(
    store: ObjectStore, attempted: AcceptedConfig, error: PlatformError
) -> ChangeOutcome:
    """Read back to learn whether a change was accepted."""
    found = await read_config(store)
    if not isinstance(found, StoredConfig):
        if isinstance(error, Conflict):
            return ChangeConflict(AcceptedConfig())
        return ChangeUnknown(attempted.change_id, str(found))
    if found.config.change_id == attempted.change_id:
        return ChangeAccepted(found.config)
    if found.config.version >= attempted.version:
        return ChangeConflict(found.config)
    return ChangeUnknown(attempted.change_id, 'the write has not been seen yet')

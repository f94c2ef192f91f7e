"""Change the accepted configuration, one conditional write at a time."""

from typing import Any

import trio
from attrs import frozen
from returns.pipeline import is_successful
from returns.result import Failure, Success

from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    to_plain,
)
from catkinslip.config.history import Change, Head, extend_head
from catkinslip.config.reading import (
    CONFIG_KEY,
    StoredConfig,
    StoredHead,
    read_head,
    snapshot_key,
)
from catkinslip.store.base import AnswerLost, Conflict, ObjectStore, PlatformError

#: Pauses after each reading back of a change whose answer was lost.
READ_BACK_PAUSES_SECONDS = (0.05, 0.2, 0.5, 1.0, 2.0)
#: Readings after which a write that is not seen is kept from taking effect.
READS_BEFORE_FENCE = 3


@frozen
class ChangeAccepted:
    """The change was accepted; later changes may stand on it."""

    config: AcceptedConfig


@frozen
class ChangeConflict:
    """Another change won, None when it can't be told; nothing was accepted."""

    winner: Change | None


@frozen
class ChangeNotMade:
    """The platform did not take the change and will not take it later."""

    reason: str


@frozen
class ChangeUnknown:
    """The change may or may not have been accepted."""

    change_id: str
    reason: str


ChangeOutcome = ChangeAccepted | ChangeConflict | ChangeNotMade | ChangeUnknown


async def apply_change(
    store: ObjectStore,
    base: StoredConfig,
    document: Document,
    change_id: str,
    author: str,
    *,
    made_at: float = 0.0,
    raise_epoch: bool = False,
) -> ChangeOutcome:
    """Write a document over the one it was made from."""
    if has_unknown_fields(base.config.plain, to_plain(base.config.document)):
        return ChangeNotMade('a newer program wrote fields that this one does not know')
    before = base.config.version
    version = ConfigVersion(before.epoch + raise_epoch, before.number + 1)
    config = AcceptedConfig(version, change_id, author, document)
    head, snapshot = extend_head(base.head, base.config, config, made_at)
    if snapshot is not None:
        key = snapshot_key(head.snapshot_name)
        written = await store.write(key, to_plain(snapshot), 0)
        if isinstance(written, Failure):
            reason = f'the snapshot was not written, {written.failure()}'
            return ChangeNotMade(reason)
    outcome = await write_head(store, base, head, config)
    if snapshot is not None:
        await delete_unused(store, base.head, head, outcome)
    return outcome


def has_unknown_fields(plain: Any, known: Any) -> bool:
    """Tell whether plain data has fields, at any depth, that known data lacks."""
    if isinstance(plain, dict) and isinstance(known, dict):
        return any(
            key not in known or has_unknown_fields(value, known[key])
            for key, value in plain.items()
        )
    if isinstance(plain, list | tuple) and isinstance(known, list | tuple):
        return any(map(has_unknown_fields, plain, known))
    return False


async def write_head(
    store: ObjectStore, base: StoredConfig, head: Head, config: AcceptedConfig
) -> ChangeOutcome:
    """Write the head, which is what accepts a change."""
    result = await store.write(CONFIG_KEY, to_plain(head), base.object_version)
    match result:
        case Success(_):
            return ChangeAccepted(config)
        case Failure(Conflict() | AnswerLost() as error):
            return await resolve(store, base, config, error)
        case Failure(error):
            return ChangeNotMade(str(error))


async def delete_unused(
    store: ObjectStore, before: Head, after: Head, outcome: ChangeOutcome
) -> None:
    """Delete the snapshot that no head can name any more, if it is known."""
    match outcome:
        case ChangeAccepted():
            unused = before.retired_name
        case ChangeConflict() | ChangeNotMade():
            unused = after.snapshot_name
        case _:
            unused = ''
    if unused:
        await store.delete(snapshot_key(unused))


async def resolve(
    store: ObjectStore,
    base: StoredConfig,
    attempted: AcceptedConfig,
    error: PlatformError,
) -> ChangeOutcome:
    """Read back to learn whether a change was accepted; never write it again."""
    for reads, pause in enumerate(READ_BACK_PAUSES_SECONDS, 1):
        found = await read_head(store)
        if isinstance(found, StoredHead):
            outcome = judge(found, base, attempted)
            if outcome is not None:
                return outcome
        if isinstance(error, AnswerLost) and reads >= READS_BEFORE_FENCE:
            fenced = await fence(store, base)
            if fenced is not None:
                return fenced
        await trio.sleep(pause)
    if isinstance(error, Conflict):
        return ChangeConflict(None)
    return ChangeUnknown(attempted.change_id, str(error))


def judge(
    found: StoredHead, base: StoredConfig, attempted: AcceptedConfig
) -> ChangeOutcome | None:
    """Tell from a later head what became of a change; None if it can't be told."""
    if found.head.find(attempted.change_id):
        return ChangeAccepted(attempted)
    if found.object_version <= base.object_version:
        return None
    if not found.head.reaches_back_to(base.config.version):
        return None
    later = found.head.changes_after(base.config.version)
    if not later:
        return ChangeNotMade('the object was written again without this change')
    return ChangeConflict(later[0])


async def fence(store: ObjectStore, base: StoredConfig) -> ChangeOutcome | None:
    """Write the same head again, so that a write still on its way must fail."""
    if base.object_version == 0 or not await confirm(store, base):
        return None
    return ChangeNotMade('the platform did not take the change and no longer can')


async def confirm(store: ObjectStore, base: StoredConfig) -> bool:
    """Write the same head again; tell whether it was still the last one."""
    result = await store.write(CONFIG_KEY, to_plain(base.head), base.object_version)
    return is_successful(result)

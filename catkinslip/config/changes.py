"""Changes to the accepted configuration, each one conditional write of the head."""

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

#: Pauses, in seconds, after each read that checks whether a change whose answer was
#: lost was accepted.
READ_BACK_PAUSES_SECONDS = (0.05, 0.2, 0.5, 1.0, 2.0)
#: Number of such reads after which a write that is still not visible is fenced, so
#: that it can no longer take effect.
READS_BEFORE_FENCE = 3


@frozen
class ChangeAccepted:
    """The change was accepted; later changes may be based on it."""

    config: AcceptedConfig


@frozen
class ChangeConflict:
    """The change was not accepted, because another change was accepted first.

    `winner` is the other change, or None if it could not be determined.
    """

    winner: Change | None


@frozen
class ChangeNotMade:
    """The change was not accepted and can no longer be accepted."""

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
    """Replace the document that `base` holds by a new one, if it is still the last.

    `made_at` is in seconds since the Unix epoch. `raise_epoch` starts a new epoch,
    which is newer than every version of the epochs before.
    """
    if has_unknown_fields(base.config.plain, to_plain(base.config.document)):
        return ChangeNotMade(
            'a newer program wrote fields that this program does not support'
        )
    before = base.config.version
    version = ConfigVersion(before.epoch + raise_epoch, before.number + 1)
    config = AcceptedConfig(version, change_id, author, document)
    head, snapshot = extend_head(base.head, base.config, config, made_at)
    if snapshot is not None:
        key = snapshot_key(head.snapshot_name)
        written = await store.write(key, to_plain(snapshot), 0)
        if isinstance(written, Failure):
            reason = f'the snapshot could not be written, {written.failure()}'
            return ChangeNotMade(reason)
    outcome = await write_head(store, base, head, config)
    if snapshot is not None:
        await delete_unused(store, base.head, head, outcome)
    return outcome


def has_unknown_fields(plain: Any, known: Any) -> bool:
    """Return whether plain data has fields, at any depth, that known data lacks."""
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
    """Write the head with a change and return the outcome of the change.

    The change is accepted by this write.
    """
    result = await store.write(CONFIG_KEY, to_plain(head), base.object_version)
    match result:
        case Success(_):
            return ChangeAccepted(config)
        case Failure(Conflict() | AnswerLost() as error):
            return await read_back_outcome(store, base, config, error)
        case Failure(error):
            return ChangeNotMade(str(error))


async def delete_unused(
    store: ObjectStore, before: Head, after: Head, outcome: ChangeOutcome
) -> None:
    """Delete the snapshot that no head refers to after a change.

    An unknown outcome leaves open which snapshot that is: none is deleted then.
    """
    match outcome:
        case ChangeAccepted():
            unused = before.retired_name
        case ChangeConflict() | ChangeNotMade():
            unused = after.snapshot_name
        case _:
            unused = ''
    if unused:
        await store.delete(snapshot_key(unused))


async def read_back_outcome(
    store: ObjectStore,
    base: StoredConfig,
    attempted: AcceptedConfig,
    error: PlatformError,
) -> ChangeOutcome:
    """Read the head again until it shows whether a change was accepted.

    The change is never written a second time.
    """
    for reads, pause in enumerate(READ_BACK_PAUSES_SECONDS, 1):
        found = await read_head(store)
        if isinstance(found, StoredHead):
            outcome = outcome_from_head(found, base, attempted)
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


def outcome_from_head(
    found: StoredHead, base: StoredConfig, attempted: AcceptedConfig
) -> ChangeOutcome | None:
    """Return the outcome of a change that a later head shows; None if it shows none."""
    if found.head.find(attempted.change_id):
        return ChangeAccepted(attempted)
    if found.object_version <= base.object_version:
        return None
    if not found.head.has_all_changes_after(base.config.version):
        return None
    later = found.head.changes_after(base.config.version)
    if not later:
        return ChangeNotMade('the head was written again without this change')
    return ChangeConflict(later[0])


async def fence(store: ObjectStore, base: StoredConfig) -> ChangeOutcome | None:
    """Write the base head again, so that a write that is still in transit must fail."""
    if base.object_version == 0 or not await rewrite_head(store, base):
        return None
    return ChangeNotMade(
        'the platform did not accept the change and can no longer accept it'
    )


async def rewrite_head(store: ObjectStore, base: StoredConfig) -> bool:
    """Write the base head again and return whether it was still the last one."""
    result = await store.write(CONFIG_KEY, to_plain(base.head), base.object_version)
    return is_successful(result)

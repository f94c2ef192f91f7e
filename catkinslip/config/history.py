"""The head object of the configuration: recent changes and the name of a snapshot.

The head holds the last changes as patches and names a snapshot, which is a complete
document in a separate object. Every change after the snapshot is in the head, so that
the snapshot and the patches together give the document of the last change.
"""

from attrs import evolve, field, frozen

from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    canonical_json,
    converter,
    digest_of,
)
from catkinslip.config.merge import merge_diff, merge_patch
from catkinslip.config.revision import revise_document

#: Maximum number of changes in the head.
MAX_CHANGES = 48
#: Number of changes after which a new snapshot is written.
CHANGES_PER_SNAPSHOT = 24
#: Maximum size of all patches in the head, as JSON, in bytes.
MAX_PATCH_BYTES = 12_000


@frozen
class Change:
    """One accepted change."""

    version: ConfigVersion
    change_id: str
    author: str
    digest: str
    #: Time of the change on the author's clock, in seconds since the Unix epoch; only
    #: shown to operators.
    made_at: float = 0.0
    #: Merge patch from the document before; None if it would be too large.
    patch: dict | None = None


@frozen
class Head:
    """The last changes, oldest first, and the snapshot that they are based on."""

    changes: tuple[Change, ...] = ()
    snapshot_version: ConfigVersion = ConfigVersion()
    snapshot_name: str = ''
    #: Name of the snapshot before, which is kept for readers that have an older head.
    retired_name: str = ''

    @property
    def last(self) -> Change | None:
        """Return the last accepted change; None if there is none."""
        return self.changes[-1] if self.changes else None

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the last accepted change."""
        return self.changes[-1].version if self.changes else ConfigVersion()

    def find(self, change_id: str) -> Change | None:
        """Return the change with an ID; None if the head does not hold it."""
        found = (each for each in self.changes if each.change_id == change_id)
        return next(found, None)

    def has_all_changes_after(self, version: ConfigVersion) -> bool:
        """Return whether the head still holds every change after a version."""
        if version >= self.version:
            return True
        first = self.changes[0].version
        follows = first.epoch == version.epoch and first.number == version.number + 1
        return follows or any(each.version == version for each in self.changes)

    def changes_after(self, version: ConfigVersion) -> tuple[Change, ...]:
        """Return the changes in the head that are newer than a version."""
        return tuple(each for each in self.changes if each.version > version)


@frozen
class Snapshot:
    """A complete document, with the version, ID and author of its last change."""

    version: ConfigVersion
    change_id: str
    author: str
    document: dict = field(repr=False)


def extend_head(
    head: Head, before: AcceptedConfig, after: AcceptedConfig, made_at: float
) -> tuple[Head, Snapshot | None]:
    """Return the head with one more change, and the snapshot that it needs.

    The snapshot must be written before the head; it is None if none is needed.
    `made_at` is in seconds since the Unix epoch.
    """
    patch = patch_between(before, after)
    change = Change(
        after.version, after.change_id, after.author, after.digest, made_at, patch
    )
    since = (*head.changes_after(head.snapshot_version), change)
    new_epoch = after.version.epoch != before.version.epoch
    if (
        patch is not None
        and head.snapshot_name
        and not new_epoch
        and len(since) <= CHANGES_PER_SNAPSHOT
        and patch_bytes(since) <= MAX_PATCH_BYTES
    ):
        changes = trim_changes((*head.changes, change), len(since))
        return evolve(head, changes=changes), None
    snapshot = Snapshot(after.version, after.change_id, after.author, after.plain)
    name = f'{after.version}-{after.change_id}'
    earlier = () if new_epoch else head.changes
    changes = trim_changes((*earlier, change), 1)
    return Head(changes, after.version, name, head.snapshot_name), snapshot


def patch_between(before: AcceptedConfig, after: AcceptedConfig) -> dict | None:
    """Return the merge patch between two documents.

    Return None if the patch is larger than MAX_PATCH_BYTES or cannot express the
    difference.
    """
    patch = merge_diff(before.plain, after.plain)
    if len(canonical_json(patch)) > MAX_PATCH_BYTES:
        return None
    return patch if merge_patch(before.plain, patch) == after.plain else None


def patch_bytes(changes: tuple[Change, ...]) -> int:
    """Return the total size of the patches of some changes as JSON, in bytes."""
    return sum(len(canonical_json(each.patch)) for each in changes)


def trim_changes(changes: tuple[Change, ...], keep: int) -> tuple[Change, ...]:
    """Return changes without the oldest ones that exceed the limits of the head.

    The last `keep` changes are always kept.
    """
    kept = last_changes_within(changes[-MAX_CHANGES:], MAX_PATCH_BYTES)
    return kept if len(kept) >= keep else changes[-keep:]


def last_changes_within(
    changes: tuple[Change, ...], max_bytes: int
) -> tuple[Change, ...]:
    """Return as many of the last changes as have patches within a number of bytes."""
    count = 0
    for change in reversed(changes):
        max_bytes -= len(canonical_json(change.patch))
        if max_bytes < 0:
            break
        count += 1
    return changes[len(changes) - count :]


def config_after_change(
    config: AcceptedConfig, change: Change
) -> AcceptedConfig | None:
    """Return the configuration that a change makes of another.

    Return None if the change is not the next one, has no patch or gives a document
    with another digest.
    """
    same_epoch = change.version.epoch == config.version.epoch
    if not same_epoch or change.version.number != config.version.number + 1:
        return None
    if change.patch is None:
        return None
    plain = merge_patch(config.plain, change.patch)
    if digest_of(plain) != change.digest:
        return None
    document = revise_document(config.document, plain, change.patch)
    return AcceptedConfig(
        change.version, change.change_id, change.author, document, plain
    )


def config_after_changes(
    config: AcceptedConfig, changes: tuple[Change, ...]
) -> AcceptedConfig | None:
    """Return the configuration that some changes in order make of another.

    Return None if one of the changes cannot be applied.
    """
    result: AcceptedConfig | None = config
    for change in changes:
        if result is None:
            return None
        result = config_after_change(result, change)
    return result


def from_snapshot(snapshot: Snapshot) -> AcceptedConfig:
    """Return the configuration that a snapshot holds."""
    document = converter.structure(snapshot.document, Document)
    return AcceptedConfig(
        snapshot.version,
        snapshot.change_id,
        snapshot.author,
        document,
        snapshot.document,
    )

"""The head object of the configuration: recent changes and where the rest is.

The head holds the last changes as patches and names a snapshot, a whole document
in an object of its own. Every change after the snapshot is in the head, so that
snapshot and patches together give the document of the last change.
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

#: Changes that the head holds at most.
MAX_CHANGES = 48
#: Changes after which a new snapshot is written.
CHANGES_PER_SNAPSHOT = 24
#: Bytes of patches that the head holds at most.
MAX_PATCH_BYTES = 12_000


@frozen
class Change:
    """One accepted change; `patch` is left out where it would be too large."""

    version: ConfigVersion
    change_id: str
    author: str
    digest: str
    #: Seconds since the Unix epoch on the author's clock, for people only.
    made_at: float = 0.0
    patch: dict | None = None


@frozen
class Head:
    """The last changes, oldest first, and the snapshot that they stand on."""

    changes: tuple[Change, ...] = ()
    snapshot_version: ConfigVersion = ConfigVersion()
    snapshot_name: str = ''
    #: The snapshot before, kept for readers that still hold an older head.
    retired_name: str = ''

    @property
    def last(self) -> Change | None:
        """Return the last accepted change."""
        return self.changes[-1] if self.changes else None

    @property
    def version(self) -> ConfigVersion:
        """Return the version of the last accepted change."""
        return self.changes[-1].version if self.changes else ConfigVersion()

    def find(self, change_id: str) -> Change | None:
        """Return a recent change by its ID."""
        found = (each for each in self.changes if each.change_id == change_id)
        return next(found, None)

    def reaches_back_to(self, version: ConfigVersion) -> bool:
        """Tell whether every change after a version is still held."""
        if version >= self.version:
            return True
        first = self.changes[0].version
        follows = first.epoch == version.epoch and first.number == version.number + 1
        return follows or any(each.version == version for each in self.changes)

    def changes_after(self, version: ConfigVersion) -> tuple[Change, ...]:
        """Return the held changes after a version."""
        return tuple(each for each in self.changes if each.version > version)


@frozen
class Snapshot:
    """A whole document with the change that made it."""

    version: ConfigVersion
    change_id: str
    author: str
    document: dict = field(repr=False)


def extend_head(
    head: Head, before: AcceptedConfig, after: AcceptedConfig, made_at: float
) -> tuple[Head, Snapshot | None]:
    """Add a change to the head; return a snapshot if it must be written first."""
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
        changes = trim((*head.changes, change), len(since))
        return evolve(head, changes=changes), None
    snapshot = Snapshot(after.version, after.change_id, after.author, after.plain)
    name = f'{after.version}-{after.change_id}'
    earlier = () if new_epoch else head.changes
    changes = trim((*earlier, change), 1)
    return Head(changes, after.version, name, head.snapshot_name), snapshot


def patch_between(before: AcceptedConfig, after: AcceptedConfig) -> dict | None:
    """Return the patch between two documents, if a patch can say it in few bytes."""
    patch = merge_diff(before.plain, after.plain)
    if len(canonical_json(patch)) > MAX_PATCH_BYTES:
        return None
    return patch if merge_patch(before.plain, patch) == after.plain else None


def patch_bytes(changes: tuple[Change, ...]) -> int:
    """Return the size of the patches of some changes."""
    return sum(len(canonical_json(each.patch)) for each in changes)


def trim(changes: tuple[Change, ...], keep: int) -> tuple[Change, ...]:
    """Drop the oldest changes beyond the bounds, but not the last `keep`."""
    kept = last_within(changes[-MAX_CHANGES:], MAX_PATCH_BYTES)
    return kept if len(kept) >= keep else changes[-keep:]


def last_within(changes: tuple[Change, ...], max_bytes: int) -> tuple[Change, ...]:
    """Return the last changes whose patches fit into a number of bytes."""
    count = 0
    for change in reversed(changes):
        max_bytes -= len(canonical_json(change.patch))
        if max_bytes < 0:
            break
        count += 1
    return changes[len(changes) - count :]


def follow(config: AcceptedConfig, change: Change) -> AcceptedConfig | None:
    """Return the configuration after a change; None unless the digest agrees."""
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


def follow_all(
    config: AcceptedConfig, changes: tuple[Change, ...]
) -> AcceptedConfig | None:
    """Return the configuration after some changes; None if one does not follow."""
    followed: AcceptedConfig | None = config
    for change in changes:
        if followed is None:
            return None
        followed = follow(followed, change)
    return followed


def from_snapshot(snapshot: Snapshot) -> AcceptedConfig:
    """Return the configuration of a snapshot."""
    document = converter.structure(snapshot.document, Document)
    return AcceptedConfig(
        snapshot.version,
        snapshot.change_id,
        snapshot.author,
        document,
        snapshot.document,
    )

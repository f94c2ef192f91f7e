"""Kinds of value that every instance needs and that peers send to each other.

A kind is declared once, where the parts of an instance are put together. Reads of the
store, requests to peers and the answers to them follow from the declaration.
"""

import re
from typing import Any, Generic

from attrs import define, frozen

from catkinslip.config.documents import converter
from catkinslip.discovery.base import Changes, Listing, Value
from catkinslip.discovery.follower import Follower
from catkinslip.discovery.messages import KindUpdate, NamedValue, structure

QUERY_FORM = re.compile(r'([a-z-]+)\.([0-9]+)\Z')


@frozen
class SharedKind(Generic[Value]):
    """A kind of value: the class of its values and the follower that holds them."""

    value_class: type[Value]
    follower: Follower[Value]

    @property
    def name(self) -> str:
        """Return the name of the kind in messages between instances."""
        return self.follower.kind

    def update_after(self, revision: int) -> KindUpdate:
        """Return the changes after a revision, or all values, as plain data."""
        follower = self.follower
        changes = follower.changes_after(revision)
        if changes is None:
            plain = converter.unstructure(follower.value_by_name)
            return KindUpdate(follower.changed_at, None, plain)
        named = (NamedValue(name, converter.unstructure(it)) for name, it in changes)
        return KindUpdate(follower.changed_at, tuple(named))

    def apply(self, update: KindUpdate, since: int, source: str) -> None:
        """Apply an update from a peer; one that is not readable changes nothing."""
        plain = dict(update.value_by_name)
        if update.changes is not None:
            plain = {each.name: each.value for each in update.changes}
        value_by_name = structure(plain, dict[str, self.value_class | None])
        if value_by_name is None:
            return
        if update.changes is None:
            known = {k: it for k, it in value_by_name.items() if it is not None}
            self.follower.offer(Listing(known, update.revision), source)
        else:
            changes = tuple(value_by_name.items())
            self.follower.apply_peer_changes(
                Changes(changes, update.revision), since, source
            )


@define
class SharedKinds:
    """The kinds of value that instances send to each other, by name."""

    kind_by_name: dict[str, SharedKind[Any]]

    @property
    def is_known(self) -> bool:
        """Return whether all kinds were received at least once, from store or peer."""
        return all(kind.follower.is_known for kind in self.kind_by_name.values())

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last change of each kind."""
        return {name: it.follower.changed_at for name, it in self.kind_by_name.items()}

    def update_for(self, query: str) -> KindUpdate | None:
        """Return the update for a query `kind.revision`; None for an invalid query."""
        match = QUERY_FORM.match(query)
        kind = self.kind_by_name.get(match.group(1)) if match else None
        return None if kind is None else kind.update_after(int(match.group(2)))

    def kinds_behind(self, revision_by_kind: dict[str, int]) -> list[SharedKind[Any]]:
        """Return the kinds of which a peer has a newer revision."""
        return [
            kind
            for name, kind in self.kind_by_name.items()
            if revision_by_kind.get(name, 0) > kind.follower.revision
        ]


def shared_kinds(*kinds: SharedKind[Any]) -> SharedKinds:
    """Return the registry of several kinds by name."""
    return SharedKinds({kind.name: kind for kind in kinds})

"""Remember the last changes of one kind, for peers that lack only these."""

from collections import deque
from collections.abc import Iterable
from typing import Generic

from attrs import Factory, define

from catkinslip.discovery.base import Value

#: A peer that lacks more gets everything; a release of all servers makes some hundreds.
MAX_CHANGES = 1000

Change = tuple[str, Value | None]


@define
class ChangeLog(Generic[Value]):
    """Hold the last changes, each with the revision at which it was learned."""

    entries: deque[tuple[int, Change]] = Factory(deque)
    #: All later changes are held.
    since: int = 0

    def add(self, changes: Iterable[Change], revision: int) -> None:
        """Take changes that were learned together."""
        for change in changes:
            self.entries.append((revision, change))
        while len(self.entries) > MAX_CHANGES:
            self.since, _ = self.entries.popleft()

    def start(self, revision: int) -> None:
        """Begin with a revision at which everything was read."""
        self.entries.clear()
        self.since = revision

    def after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision, in order; None if not all are held."""
        if revision < self.since:
            return None
        return tuple(change for at, change in self.entries if at > revision)


def difference(before: dict[str, Value], after: dict[str, Value]) -> tuple[Change, ...]:
    """Return the changes that lead from some values to others."""
    removed = [(name, None) for name in before if name not in after]
    changed = [
        (name, value)
        for name, value in after.items()
        if (known := before.get(name)) is not value and known != value
    ]
    return (*removed, *changed)

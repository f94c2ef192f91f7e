"""A log of the last changes of one kind, for peers that lack only these."""

from collections import deque
from collections.abc import Iterable
from typing import Generic

from attrs import Factory, define

from catkinslip.discovery.base import Changes, Value

#: The most changes that a log holds; a peer that lacks more gets all values. The start
#: of 3,000 servers makes twice as many changes as servers within seconds.
MAX_CHANGES = 4000

#: The largest size of a part, as a multiple of the requested size.
MAX_PART_FACTOR = 2

Change = tuple[str, Value | None]


@define
class ChangeLog(Generic[Value]):
    """The last changes, each with the revision at which it was received."""

    entries: deque[tuple[int, Change]] = Factory(deque)
    #: The revision after which all changes are in the log.
    since: int = 0

    def add(self, changes: Iterable[Change], revision: int) -> None:
        """Append changes that were received together."""
        for change in changes:
            self.entries.append((revision, change))
        while len(self.entries) > MAX_CHANGES:
            self.since, _ = self.entries.popleft()

    def start(self, revision: int) -> None:
        """Clear the log and start it at a revision at which all values were read."""
        self.entries.clear()
        self.since = revision

    def after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision in order, None if the log lacks some."""
        if revision < self.since:
            return None
        return tuple(change for at, change in self.entries if at > revision)

    def part_after(self, revision: int, most: int) -> Changes[Value] | None:
        """Return the first changes after a revision, with the revision they lead to.

        Changes that were received together stay together, so that there may be more
        than `most`. None if the log lacks some changes, or if far more than `most` were
        received together.
        """
        if revision < self.since:
            return None
        part: list[Change] = []
        reached = revision
        for at, change in self.entries:
            if at <= revision:
                continue
            if len(part) >= most and at != reached:
                return Changes(tuple(part), reached)
            part.append(change)
            reached = at
            if len(part) > MAX_PART_FACTOR * most:
                return None
        return Changes(tuple(part), reached)


def difference(before: dict[str, Value], after: dict[str, Value]) -> tuple[Change, ...]:
    """Return the changes that turn one set of values into another."""
    removed = [(name, None) for name in before if name not in after]
    changed = [
        (name, value)
        for name, value in after.items()
        if (known := before.get(name)) is not value and known != value
    ]
    return (*removed, *changed)

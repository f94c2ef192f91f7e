"""Merges of a value that the store sends with the one known before.

The store may carry out a write seconds after it was sent. Servers number their reports,
so that such a write of an old report is recognised.
"""

import logging
from abc import ABC, abstractmethod
from typing import Generic

import trio
from attrs import Factory, define, evolve

from catkinslip.discovery.base import BackendEntry, Value

#: Time for which the last report of a removed server is remembered, far longer than a
#: write may be late.
REMOVED_KEPT_SECONDS = 60.0

log = logging.getLogger('discovery')


class ValueMerge(ABC, Generic[Value]):
    """Interface that decides what becomes of a known value when another arrives."""

    @abstractmethod
    def merge(self, name: str, known: Value | None, offered: Value) -> Value:
        """Return the value to hold; `known` is None if there was none."""

    @abstractmethod
    def record_removed(self, name: str, known: Value) -> None:
        """Record that a known value was removed."""


@define
class LastValue(ValueMerge[Value]):
    """The merge of values that follow from the order of the store's changes alone."""

    def merge(self, name: str, known: Value | None, offered: Value) -> Value:
        """Return the offered value."""
        return offered

    def record_removed(self, name: str, known: Value) -> None:
        """Do nothing, as removed values do not matter."""


@define
class RemovedReport:
    """The last report of a removed server and its monotonic removal time."""

    entry: BackendEntry
    at: float


@define
class NewestReport(ValueMerge[BackendEntry]):
    """The merge of servers' entries, which an old report of a server does not change.

    A server that left does not return by an old report either.
    """

    removed_by_id: dict[str, RemovedReport] = Factory(dict)

    def merge(
        self, name: str, known: BackendEntry | None, offered: BackendEntry
    ) -> BackendEntry:
        """Return the entry with the highest number of one start of a server."""
        removed = self.removed_by_id.pop(name, None)
        if known is not None:
            if not is_older_report(offered, known):
                return offered
            log_ignored(known, offered)
            return known
        if removed is None or not removed.entry.is_draining:
            return offered
        if not is_older_report(offered, removed.entry):
            return offered
        log_ignored(removed.entry, offered)
        return evolve(offered, is_draining=True, sequence=removed.entry.sequence)

    def record_removed(self, name: str, known: BackendEntry) -> None:
        """Remember the last report of a removed server for some time."""
        now = trio.current_time()
        for each, removed in list(self.removed_by_id.items()):
            if now - removed.at > REMOVED_KEPT_SECONDS:
                del self.removed_by_id[each]
        self.removed_by_id[name] = RemovedReport(known, now)


def is_older_report(offered: BackendEntry, known: BackendEntry) -> bool:
    """Return whether an entry is an older report of the same start of a server."""
    is_same_start = offered.incarnation == known.incarnation
    return is_same_start and 0 < offered.sequence < known.sequence


def log_ignored(known: BackendEntry, offered: BackendEntry) -> None:
    """Log an old report that changes nothing."""
    log.info(
        'discovery: old report of a server ignored. name=%s number=%d known=%d '
        'draining=%s known_draining=%s',
        known.backend_id,
        offered.sequence,
        known.sequence,
        offered.is_draining,
        known.is_draining,
    )

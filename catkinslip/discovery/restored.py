"""Reconciliation of backend servers after the store was restored from a backup.

For some seconds the backup shows servers in an earlier state: as ready although they
are leaving by now, as present although they were removed, or at an earlier start.
Servers that still run write their entries again, and the entries of removed ones
expire.
"""

from collections.abc import Mapping

from attrs import Factory, define, evolve

from catkinslip.discovery.base import BackendEntry

#: Time in which the earlier state of servers goes before that of a backup. The entry of
#: a removed server expires from the backup after three of its heartbeats, 4.5 s.
RESTORED_GRACE_SECONDS = 6.0
#: Time for which removed servers are remembered; a backup is only some seconds old.
REMOVED_KEPT_SECONDS = 60.0


@define
class RemovedBackends:
    """The starts of recently removed servers, with monotonic removal times."""

    removed_at_by_start: dict[tuple[str, int], float] = Factory(dict)

    def record(
        self,
        before: Mapping[str, BackendEntry],
        after: Mapping[str, BackendEntry],
        now: float,
    ) -> None:
        """Record the servers that were removed between two lists."""
        for start, at in list(self.removed_at_by_start.items()):
            if now - at > REMOVED_KEPT_SECONDS:
                del self.removed_at_by_start[start]
        for backend_id in before.keys() - after.keys():
            start = backend_id, before[backend_id].incarnation
            self.removed_at_by_start[start] = now

    def contains(self, entry: BackendEntry) -> bool:
        """Return whether this start of a server was removed recently."""
        return (entry.backend_id, entry.incarnation) in self.removed_at_by_start


def reconcile_with_backup(
    listed: Mapping[str, BackendEntry],
    known: Mapping[str, BackendEntry],
    removed: RemovedBackends,
) -> dict[str, BackendEntry]:
    """Return the servers of a backup, updated by the changes known since then."""
    reconciled = {}
    for backend_id, entry in listed.items():
        before = known.get(backend_id)
        if before is None:
            if not removed.contains(entry):
                reconciled[backend_id] = entry
        elif before.incarnation > entry.incarnation:
            reconciled[backend_id] = before
        elif before.incarnation == entry.incarnation and before.is_draining:
            reconciled[backend_id] = evolve(entry, is_draining=True)
        else:
            reconciled[backend_id] = entry
    return reconciled

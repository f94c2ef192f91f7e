"""What was known of servers before the store came back from a copy.

For some seconds the copy shows them as they were: ready ones that leave by now, gone
ones, earlier starts. Whoever is there writes its entry again, and what is gone lapses.
"""

from collections.abc import Mapping

from attrs import Factory, define, evolve

from catkinslip.discovery.base import BackendEntry

#: What was known before is held against a copy so long. A server that is gone lapses
#: from the copy after three of its heartbeats, 4.5 s.
RESTORED_GRACE_SECONDS = 6.0
#: A copy is some seconds old.
REMOVED_KEPT_SECONDS = 60.0


@define
class RemovedBackends:
    """The starts of servers that were removed lately, and when; monotonic seconds."""

    removed_at_by_start: dict[tuple[str, int], float] = Factory(dict)

    def note(
        self,
        before: Mapping[str, BackendEntry],
        after: Mapping[str, BackendEntry],
        now: float,
    ) -> None:
        """Remember which servers are gone from one list to the next."""
        for start, at in list(self.removed_at_by_start.items()):
            if now - at > REMOVED_KEPT_SECONDS:
                del self.removed_at_by_start[start]
        for backend_id in before.keys() - after.keys():
            start = backend_id, before[backend_id].incarnation
            self.removed_at_by_start[start] = now

    def has(self, entry: BackendEntry) -> bool:
        """Tell whether a start of a server was removed lately."""
        return (entry.backend_id, entry.incarnation) in self.removed_at_by_start


def hold_against_copy(
    listed: Mapping[str, BackendEntry],
    known: Mapping[str, BackendEntry],
    removed: RemovedBackends,
) -> dict[str, BackendEntry]:
    """Return the servers of a copy, with what is known to have happened since."""
    held = {}
    for backend_id, entry in listed.items():
        before = known.get(backend_id)
        if before is None:
            if not removed.has(entry):
                held[backend_id] = entry
        elif before.incarnation > entry.incarnation:
            held[backend_id] = before
        elif before.incarnation == entry.incarnation and before.is_draining:
            held[backend_id] = evolve(entry, is_draining=True)
        else:
            held[backend_id] = entry
    return held

"""The members known to one instance, and the merge of member records.

Records of one member form a join semilattice: merging is commutative, associative and
idempotent, so diverged views converge whatever the order of messages.
"""

import logging
from collections.abc import Iterable
from enum import StrEnum, unique

from attrs import Factory, define, evolve, field, frozen

from catkinslip.membership.updates import UpdateQueue

#: Seconds for which a failed member is kept. Longer than regions are cut off from each
#: other, so that no old record restores a failed member.
TOMBSTONE_SECONDS = 2 * 3600.0

log = logging.getLogger('membership')


@unique
class Status(StrEnum):
    """The status of a member in the failure detector, in rising rank."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    FAILED = 'failed'


RANK_BY_STATUS = {status: rank for rank, status in enumerate(Status)}


@frozen
class Member:
    """One record of one instance.

    The incarnation identifies the process. The revision rises within one incarnation
    each time the member refutes a suspicion.
    """

    member_id: str
    incarnation: int
    zone: str
    address: str
    control_address: str
    leaving: bool = False
    region: str = 'default'
    status: Status = Status.ALIVE
    revision: int = 0

    @property
    def is_usable(self) -> bool:
        """Return whether callers may be sent to this member."""
        return self.status is Status.ALIVE and not self.leaving

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key of records within one incarnation."""
        return self.revision, RANK_BY_STATUS[self.status]


@frozen
class Tombstone:
    """A failed member and its failure time, in seconds on the monotonic clock."""

    member: Member
    failed_at: float


def join(record: Member, known: Member) -> Member:
    """Return the merge of two records of one member; leaving takes precedence."""
    if record.incarnation != known.incarnation:
        return max(record, known, key=lambda each: each.incarnation)
    newer = max(record, known, key=lambda each: each.precedence)
    return evolve(newer, leaving=record.leaving or known.leaving)


@define
class MemberTable:
    """The merged record of each member."""

    own: Member
    member_by_id: dict[str, Member] = Factory(dict)
    tombstone_by_id: dict[str, Tombstone] = Factory(dict)
    updates: UpdateQueue = Factory(UpdateQueue)
    silent_zones: frozenset[str] = frozenset()
    #: Number that rises with each change to the table, so that derived values can be
    #: cached.
    version: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.updates.add(self.own.member_id)

    def live(self) -> list[Member]:
        """Return this instance and all others that have not failed."""
        return [self.own, *self.member_by_id.values()]

    def usable(self) -> list[Member]:
        """Return the instances that callers may be sent to."""
        return [
            each
            for each in self.live()
            if each.is_usable and each.zone not in self.silent_zones
        ]

    def find(self, member_id: str) -> Member | None:
        """Return the record of a member, also of a failed one; None if unknown."""
        if member_id == self.own.member_id:
            return self.own
        tombstone = self.tombstone_by_id.get(member_id)
        return tombstone.member if tombstone else self.member_by_id.get(member_id)

    def mark_leaving(self) -> None:
        """Mark this instance as leaving."""
        self._replace_own(evolve(self.own, leaving=True))

    def mark_stopped(self) -> None:
        """Mark this instance as leaving and failed, because its process stops."""
        self._replace_own(evolve(self.own, leaving=True, status=Status.FAILED))

    def merge(
        self,
        record: Member,
        now: float = 0.0,
        age: float = 0.0,
        *,
        is_gossiped: bool = True,
    ) -> bool:
        """Merge a member record into the table; return whether the table changed.

        A record of this instance itself changes only the own record, to refute it,
        and returns False. `age` is the number of seconds since a failed member was
        marked as failed.
        """
        if record.member_id == self.own.member_id:
            self._refute(record)
            return False
        known = self.find(record.member_id)
        joined = record if known is None else join(record, known)
        if joined == known:
            return False
        if joined.status is Status.FAILED:
            if age >= TOMBSTONE_SECONDS:
                return False
            self.member_by_id.pop(joined.member_id, None)
            self.tombstone_by_id[joined.member_id] = Tombstone(joined, now - age)
        else:
            self.tombstone_by_id.pop(joined.member_id, None)
            self.member_by_id[joined.member_id] = joined
        self.version += 1
        if is_gossiped:
            self.updates.add(joined.member_id)
        return True

    def mark(self, member_id: str, status: Status, now: float) -> bool:
        """Set the status of a member; return whether the table changed."""
        known = self.member_by_id.get(member_id)
        return known is not None and self.merge(evolve(known, status=status), now)

    def remove(self, member_id: str) -> None:
        """Remove a member from the table, failed or not."""
        self.member_by_id.pop(member_id, None)
        self.tombstone_by_id.pop(member_id, None)
        self.version += 1

    def remove_old_tombstones(self, now: float) -> None:
        """Remove members that failed at least TOMBSTONE_SECONDS ago."""
        for member_id, tombstone in list(self.tombstone_by_id.items()):
            if now - tombstone.failed_at >= TOMBSTONE_SECONDS:
                del self.tombstone_by_id[member_id]

    def age_by_failed(self, records: Iterable[Member], now: float) -> dict[str, float]:
        """Return the seconds since the failure of each failed member among records."""
        return {
            each.member_id: round(now - tombstone.failed_at, 1)
            for each in records
            if (tombstone := self.tombstone_by_id.get(each.member_id))
        }

    def _refute(self, record: Member) -> None:
        own = self.own
        if own.status is Status.FAILED:
            return
        if record.incarnation > own.incarnation:
            log.error(
                'membership: another process uses this name. member=%s', own.member_id
            )
            self._replace_own(evolve(own, incarnation=record.incarnation + 1))
        elif (
            record.incarnation == own.incarnation and record.precedence > own.precedence
        ):
            log.warning('membership: own status refuted. status=%s', record.status)
            self._replace_own(evolve(own, revision=record.revision + 1))

    def _replace_own(self, own: Member) -> None:
        self.own = own
        self.version += 1
        self.updates.add(own.member_id)

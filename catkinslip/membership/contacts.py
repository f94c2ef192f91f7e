"""Addresses to try besides known members: seeds and the platform's list."""

from collections.abc import Iterable
from random import Random

from attrs import Factory, define

from catkinslip.membership.members import MemberTable
from catkinslip.store.base import ListedInstance

FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 300.0
CONTACTS_PER_ROUND = 2

#: Seconds between two reads of the list: until one succeeds, without peers, soon
#: after the start, and later.
FIRST_LIST_SECONDS = 1.0
LONELY_LIST_SECONDS = 2.0
EARLY_LIST_SECONDS = 10.0
LIST_SECONDS = 120.0
EARLY_SECONDS = 60.0


@define
class Contact:
    """One address, and when to try it again; seconds on the monotonic clock."""

    pause: float = FIRST_PAUSE_SECONDS
    next_at: float = 0.0


@define
class Contacts:
    """Say which addresses to try now; those that do not answer wait ever longer."""

    table: MemberTable
    seeds: tuple[str, ...]
    random: Random
    contact_by_address: dict[str, Contact] = Factory(dict)
    _listed: tuple[ListedInstance, ...] = ()
    _has_list: bool = False
    _started_at: float | None = None
    _list_at: float = 0.0
    _lonely_reads: int = 0

    def wants_list(self, now: float, is_gateway: bool) -> bool:
        """Tell whether to read the platform's list now."""
        if self._started_at is None:
            self._started_at = self._list_at = now
        if now < self._list_at:
            return False
        is_lonely = not self.table.member_by_id
        self._lonely_reads = self._lonely_reads + 1 if is_lonely else 0
        is_early = now - self._started_at < EARLY_SECONDS
        pause = EARLY_LIST_SECONDS if is_early else LIST_SECONDS
        if is_lonely:
            pause = min(pause, LONELY_LIST_SECONDS * self._lonely_reads)
        if not self._has_list:
            # Who has not read the list yet has not been put on it either.
            pause = FIRST_LIST_SECONDS
        self._list_at = now + pause * self.random.uniform(0.8, 1.2)
        return is_gateway or is_lonely or is_early or not self._has_list

    def learn(self, listed: Iterable[ListedInstance]) -> None:
        """Take the platform's list over."""
        self._listed = tuple(listed)
        self._has_list = True
        wanted = {*self.seeds, *(each.control_address for each in self._listed)}
        for address in self.contact_by_address.keys() - wanted:
            del self.contact_by_address[address]

    def due(self, now: float) -> list[str]:
        """Return the addresses to try in this round."""
        known = {each.control_address for each in self.table.live()}
        addresses = {*self.seeds, *self._unknown()} - known
        due = [
            each
            for each in sorted(addresses)
            if self.contact_by_address.setdefault(each, Contact()).next_at <= now
        ]
        chosen = self.random.sample(due, min(CONTACTS_PER_ROUND, len(due)))
        for address in chosen:
            contact = self.contact_by_address[address]
            contact.next_at = now + contact.pause
            contact.pause = min(MAX_PAUSE_SECONDS, contact.pause * 2)
        return chosen

    def _unknown(self) -> list[str]:
        return [
            each.control_address
            for each in self._listed
            if not each.leaving and not self._has_failed(each)
        ]

    def _has_failed(self, listed: ListedInstance) -> bool:
        tombstone = self.table.tombstone_by_id.get(listed.name)
        return (
            tombstone is not None
            and tombstone.member.control_address == listed.control_address
        )

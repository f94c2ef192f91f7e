"""Contact addresses besides those of known members: seeds and listed instances."""

from collections.abc import Iterable
from random import Random

from attrs import Factory, define

from catkinslip.membership.members import MemberTable
from catkinslip.store.base import ListedInstance

FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 300.0
CONTACTS_PER_ROUND = 2

#: Seconds between two reads of the platform's instance list: until a read succeeds,
#: while no peers are known, soon after the start, and later. The pause without peers
#: grows by this value with each such read.
FIRST_LIST_SECONDS = 1.0
NO_PEERS_LIST_SECONDS = 2.0
EARLY_LIST_SECONDS = 10.0
LIST_SECONDS = 120.0
#: Seconds after the start during which the list is read more often.
EARLY_SECONDS = 60.0


@define
class Contact:
    """One address and the time of its next try, in seconds on the monotonic clock."""

    pause: float = FIRST_PAUSE_SECONDS
    next_try_at: float = 0.0


@define
class Contacts:
    """The contact addresses and the backoff between tries of each."""

    table: MemberTable
    seeds: tuple[str, ...]
    random: Random
    contact_by_address: dict[str, Contact] = Factory(dict)
    _listed: tuple[ListedInstance, ...] = ()
    _has_list: bool = False
    _started_at: float | None = None
    _next_read_at: float = 0.0
    _reads_without_peers: int = 0

    def is_list_due(self, now: float, is_gateway: bool) -> bool:
        """Return whether a read of the platform's instance list is due.

        Also schedules the next read if one is due.
        """
        if self._started_at is None:
            self._started_at = self._next_read_at = now
        if now < self._next_read_at:
            return False
        has_no_peers = not self.table.member_by_id
        self._reads_without_peers = self._reads_without_peers + 1 if has_no_peers else 0
        is_early = now - self._started_at < EARLY_SECONDS
        pause = EARLY_LIST_SECONDS if is_early else LIST_SECONDS
        if has_no_peers:
            pause = min(pause, NO_PEERS_LIST_SECONDS * self._reads_without_peers)
        if not self._has_list:
            # An instance that has not read the list is not yet on the list either.
            pause = FIRST_LIST_SECONDS
        self._next_read_at = now + pause * self.random.uniform(0.8, 1.2)
        return is_gateway or has_no_peers or is_early or not self._has_list

    def apply_list(self, listed: Iterable[ListedInstance]) -> None:
        """Replace the listed instances with those of the platform's list."""
        self._listed = tuple(listed)
        self._has_list = True
        current = {*self.seeds, *(each.control_address for each in self._listed)}
        for address in self.contact_by_address.keys() - current:
            del self.contact_by_address[address]

    def due(self, now: float) -> list[str]:
        """Return the contact addresses to try in this round."""
        known = {each.control_address for each in self.table.live()}
        addresses = {*self.seeds, *self._candidates()} - known
        due = [
            each
            for each in sorted(addresses)
            if self.contact_by_address.setdefault(each, Contact()).next_try_at <= now
        ]
        chosen = self.random.sample(due, min(CONTACTS_PER_ROUND, len(due)))
        for address in chosen:
            contact = self.contact_by_address[address]
            contact.next_try_at = now + contact.pause
            contact.pause = min(MAX_PAUSE_SECONDS, contact.pause * 2)
        return chosen

    def _candidates(self) -> list[str]:
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

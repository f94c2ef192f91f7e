"""The generator's part: leases of its share of each slot to the slot's pool.

Load: messages are delayed, lost and duplicated, and pools are frozen and resume. A
generator sends no permits; it leases its share of a slot to one pool at a time, and the
pool generates them while the lease runs. A lease ends LEASE_SECONDS after the pool
issued the stamp that the lease names, on the pool's clock, and so at the latest the
same time after the generator received the stamp. Another pool gets the slot after that,
or when the first has confirmed that it no longer holds it.
"""

from collections.abc import Callable
from math import inf

from attrs import Factory, define, frozen

from catkinslip.quotas.slots import SLOTS

#: Seconds from a pool's stamp to the end of a lease that names the stamp.
LEASE_SECONDS = 0.8
#: Seconds from the start of an instance to its first lease. Those of an earlier start
#: have ended by then. It need not wait once all home instances confirmed a message of
#: this start, as a pool drops the leases of earlier ones then: after a restart of the
#: whole fleet no caller is refused for the wait.
START_SECONDS = LEASE_SECONDS
#: Seconds from the start of an instance until its leases include start levels, and
#: between two start levels of a slot. `bounds.py` allows for one in each 2 s.
START_LEVEL_SECONDS = 2.0
START_LEVEL_INTERVAL_SECONDS = 5.0
#: Seconds between two renewals. Two in a row may be lost without an effect.
RENEWAL_SECONDS = 0.25


@frozen
class Stamp:
    """A time on the clock of one start of a pool, in seconds."""

    pool_start: int
    at: float


@frozen
class Lease:
    """All that a generator leases to a pool; it replaces what it leased before."""

    by: str
    start: int
    sequence: int
    share: float
    slots: frozenset[int]
    #: Newest stamp of the pool; without one nothing is leased.
    stamp: Stamp | None
    #: Slots whose buckets get the share of their start level with this message.
    starting: frozenset[int] = frozenset()


@frozen
class LeaseConfirmation:
    """A pool's answer to a lease."""

    by: str
    #: Start and sequence number of the generator's message.
    start: int
    sequence: int
    stamp: Stamp


@define
class PoolLink:
    """The messages to one pool and back; times are on the generator's clock."""

    sequence: int = 0
    confirmed: int = 0
    stamp: Stamp | None = None
    stamped_at: float = -inf
    #: Time at which the pool's lease has ended for certain.
    ends_at: float = -inf


@define
class SlotHolding:
    """The pool that holds a slot's lease."""

    pool_id: str
    #: Sequence number of the first message without the slot; None while it is leased.
    ended_by: int | None = None
    #: Whether the pool got this instance's share of the start level.
    has_started: bool = False


@define
class Generator:
    """The leases of this instance's share; times are monotonic seconds."""

    own_id: str
    #: Number that identifies this start of the instance.
    start: int
    began: float
    link_by_id: dict[str, PoolLink] = Factory(dict)
    holding_by_slot: dict[int, SlotHolding] = Factory(dict)
    #: Time at which a start level was last given, by slot.
    started_at: dict[int, float] = Factory(dict)
    #: The other home instances of all lists since the start. Any of them may hold a
    #: lease of an earlier start.
    peer_ids: frozenset[str] = frozenset()
    #: Whether no lease of an earlier start runs any more.
    is_cleared: bool = False

    def renew(
        self, share: float, choose: Callable[[int], str | None], now: float
    ) -> dict[str, Lease]:
        """Return the messages to send now, by pool."""
        if share <= 0:
            choose = no_pool
        if not self._may_lease(now):
            # Their confirmations bring the stamps that the first leases need.
            pools = {choose(slot) for slot in range(SLOTS)} - {None}
            pinged = pools | self.peer_ids
            return {pool_id: self.make_ping(pool_id) for pool_id in sorted(pinged)}
        pool_ids = {
            holding.pool_id
            for slot in range(SLOTS)
            if (holding := self._move(slot, choose(slot), now)) is not None
        }
        return {
            pool_id: self._make_lease(pool_id, share, now)
            for pool_id in sorted(pool_ids)
        }

    def record_peers(self, peer_ids: frozenset[str]) -> None:
        """Record the other home instances of the current list."""
        if not self.is_cleared:
            self.peer_ids |= peer_ids

    def _may_lease(self, now: float) -> bool:
        """Return whether all leases of an earlier start have ended."""
        if not self.is_cleared:
            has_waited = now >= self.began + START_SECONDS
            self.is_cleared = has_waited or self._are_all_confirmed()
        return self.is_cleared

    def _are_all_confirmed(self) -> bool:
        if not self.peer_ids:
            # The list may lack the others.
            return False
        links = map(self.link_by_id.get, self.peer_ids)
        return all(link is not None and link.confirmed > 0 for link in links)

    def make_ping(self, pool_id: str) -> Lease:
        """Return a message that leases nothing; a pool that runs confirms it."""
        link = self.link_by_id.setdefault(pool_id, PoolLink())
        link.sequence += 1
        return Lease(self.own_id, self.start, link.sequence, 0.0, frozenset(), None)

    def confirm(self, message: LeaseConfirmation, now: float) -> bool:
        """Apply the answer of a pool; those to earlier starts have no effect.

        Return whether it permits a lease that had to wait, here or at another pool.
        """
        link = self.link_by_id.get(message.by)
        if link is None or message.start != self.start:
            return False
        if message.sequence <= link.confirmed or message.sequence > link.sequence:
            return False
        had_stamp = now < link.stamped_at + LEASE_SECONDS
        link.confirmed = message.sequence
        link.stamp, link.stamped_at = message.stamp, now
        if not self.is_cleared and self._are_all_confirmed():
            return True
        holdings = [
            each for each in self.holding_by_slot.values() if each.pool_id == message.by
        ]
        return any(self._has_ended(each, now) for each in holdings) or (
            bool(holdings) and not had_stamp
        )

    def _move(self, slot: int, chosen: str | None, now: float) -> SlotHolding | None:
        """Move a slot towards a pool; return the holding whose pool gets a message."""
        holding = self.holding_by_slot.get(slot)
        if holding is not None and self._has_ended(holding, now):
            del self.holding_by_slot[slot]
            holding = None
        if holding is None:
            if chosen is None:
                return None
            self.link_by_id.setdefault(chosen, PoolLink())
            holding = self.holding_by_slot[slot] = SlotHolding(chosen)
        elif chosen != holding.pool_id and holding.ended_by is None:
            holding.ended_by = self.link_by_id[holding.pool_id].sequence + 1
        return holding

    def _has_ended(self, holding: SlotHolding, now: float) -> bool:
        if holding.ended_by is None:
            return False
        link = self.link_by_id[holding.pool_id]
        return link.confirmed >= holding.ended_by or now >= link.ends_at

    def _make_lease(self, pool_id: str, share: float, now: float) -> Lease:
        link = self.link_by_id[pool_id]
        link.sequence += 1
        stamp = link.stamp if now - link.stamped_at < LEASE_SECONDS else None
        slots = frozenset(
            slot
            for slot, holding in self.holding_by_slot.items()
            if holding.pool_id == pool_id and holding.ended_by is None
        )
        starting: frozenset[int] = frozenset()
        if slots and stamp is not None:
            link.ends_at = max(link.ends_at, link.stamped_at + LEASE_SECONDS)
            starting = frozenset(
                each for each in slots if self._take_start_level(each, now)
            )
        return Lease(
            self.own_id, self.start, link.sequence, share, slots, stamp, starting
        )

    def _take_start_level(self, slot: int, now: float) -> bool:
        """Return whether a slot's pool gets a start level now, and record it as sent.

        A start level in a message that is lost is not sent again.
        """
        holding = self.holding_by_slot[slot]
        last = self.started_at.get(slot, -inf)
        if holding.has_started or now < self.began + START_LEVEL_SECONDS:
            return False
        if now < last + START_LEVEL_INTERVAL_SECONDS:
            return False
        holding.has_started = True
        self.started_at[slot] = now
        return True


def no_pool(slot: int) -> None:
    """Return None: nothing is leased."""

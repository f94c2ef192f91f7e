"""Followers that hold one kind of value: read all values, then wait for changes.

A store without an answer may still have changes: after a failed wait the next call
requests the changes since the known revision and returns without waiting. Where the
store no longer holds these changes all values are read again.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping
from math import inf, isfinite
from random import Random
from typing import Any, Generic

import trio
from attrs import Factory, define, field
from returns.result import Failure, Success

from catkinslip.discovery.base import Changes, HistoryRemoved, Listing, Source, Value
from catkinslip.discovery.changes import Change, ChangeLog, difference
from catkinslip.discovery.merging import LastValue, ValueMerge
from catkinslip.discovery.readers import (
    BACKOFF_PACE,
    FIRST_RETRY_SECONDS,
    MAX_RETRY_SECONDS,
    TryPace,
)
from catkinslip.discovery.revisions import era_of, text_of
from catkinslip.store.backoff import Backoff

#: Longest wait of a call for changes. Each waiting call has a price; where one hangs
#: unnoticed, peers send the changes.
WAIT_SECONDS = 20.0
#: Wait of a call that only reads the changes missed so far.
CATCH_UP_SECONDS = 0.05
#: Time in which an instance that starts finds out whether others read the store for it.
SETTLE_SECONDS = 1.0
#: Pause after changes, so that all changes within it cost one call instead of one each.
BATCH_SECONDS = 0.4

#: Names of sources of values in logs: the store, and a peer that is not identified.
STORE = 'store'
PEER = 'peer'

log = logging.getLogger('discovery')

Listener = Callable[[], None]


def always() -> bool:
    """Return True: this instance always reads the store."""
    return True


def backoff_pace() -> TryPace:
    """Return the pace of an instance that no other one replaces."""
    return BACKOFF_PACE


@define
class Outage:
    """The state of an outage of the store, shared by all followers of one instance.

    A store that is down for some seconds would get retries from each follower of each
    reader. The followers of an instance take turns instead: one retries, and its
    success lets all others go on.

    With 118 instances and eight seconds without the store a day takes 2,229 calls
    instead of 6,564 (one run each).
    """

    #: Function that returns how this instance spreads its tries, by its rank.
    pace: Callable[[], TryPace] = backoff_pace
    turn: trio.Lock = Factory(trio.Lock)
    ended: trio.Event = Factory(trio.Event)
    backoff: Backoff = Factory(lambda: Backoff(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS))
    #: Whether a call of any kind failed since the last success. The first try is made
    #: by one kind, and peers have to learn of its failure whichever kind it was.
    has_failed: bool = False
    #: Source of a small kind. A stale read of it costs a tenth of another call, so that
    #: the tries of an outage are made with it; None to make them with the calls needed.
    probe_source: Source[Any] | None = None

    async def is_served(self) -> bool:
        """Return whether the store answers a cheap read, or that it is not tried."""
        if self.probe_source is None:
            return True
        result = await self.probe_source.read_all(may_be_stale=True)
        return not isinstance(result, Failure)

    async def wait(self, random: Random) -> None:
        """Wait for the turn to retry, or until another follower succeeds."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_end, nursery.cancel_scope)
            async with self.turn:
                await trio.sleep(self._next_delay(random))
            nursery.cancel_scope.cancel()

    async def _wait_end(self, scope: trio.CancelScope) -> None:
        await self.ended.wait()
        scope.cancel()

    def _next_delay(self, random: Random) -> float:
        tries = self.backoff.failures
        delay = self.pace().next_delay(self.backoff, random)
        # The number of these lines is bounded as the tries are.
        log.info('discovery: try of the store delayed. s=%.2f tries=%d', delay, tries)
        return delay

    def reset(self) -> None:
        """Forget the failures, as this instance reads again or reads no longer."""
        self.has_failed = False
        self.backoff.reset()

    def end(self) -> None:
        """End the outage after a success, so that all other followers retry at once."""
        self.reset()
        self.ended.set()
        self.ended = trio.Event()


@define(eq=False)
class Follower(Generic[Value]):
    """The newest known values of one kind, read from the store or from peers."""

    kind: str
    source: Source[Value]
    random: Random
    value_by_name: dict[str, Value] = Factory(dict)
    #: Revision of the store up to which all changes are known.
    revision: int = 0
    #: Revision at which the last change was received; peers need no later one.
    changed_at: int = 0
    #: Where the last values came from: the store, or a peer by its ID.
    last_source: str = ''
    changes: ChangeLog[Value] = Factory(ChangeLog)
    #: What becomes of a known value when another one of the same name arrives.
    merge: ValueMerge[Value] = Factory(LastValue)
    listeners: list[Listener] = Factory(list)
    #: Functions called before listeners get the values of a store that was restored
    #: from a backup.
    restore_listeners: list[Listener] = Factory(list)
    #: When values of a new era of the store were received, on the monotonic clock.
    restored_at: float = -inf
    #: Revision after which the store no longer held the changes at the last wait.
    history_lost_revision: int = -1
    is_reachable: bool = False
    #: Whether the last call failed, so that others should read the store instead.
    is_lost: bool = False
    #: Whether the last call failed, so that the next one waits for its turn.
    has_failed: bool = False
    #: Whether all values have to be read, as the store lacks the changes since the
    #: revision.
    must_read: bool = True
    #: Whether a call failed since the last successful one. A start is no outage, nor is
    #: a mark as possibly stale.
    had_outage: bool = False
    #: Whether to read all values once, although peers read the store for this instance.
    reads_once: bool = False
    #: When a call last succeeded after a failed one, on the monotonic clock.
    recovered_at: float = -inf
    #: Function that returns whether this instance reads the store itself; else it gets
    #: the values from peers.
    reads_store: Callable[[], bool] = always
    #: Function that waits until `reads_store` may have changed.
    wait_change: Callable[[], Awaitable[None]] = trio.sleep_forever
    outage: Outage = Factory(Outage)

    _wait_scope: trio.CancelScope = field(factory=trio.CancelScope, init=False)

    @property
    def is_known(self) -> bool:
        """Return whether all values were read at least once."""
        return self.revision > 0

    async def run(self) -> None:
        """Read the values and their changes until cancelled."""
        while True:
            if not self.reads_store() and not self.reads_once:
                self.is_reachable = self.is_lost = False
                self.outage.reset()
                await self._wait_until_reader()
                continue
            # A single read for values that peers cannot send is not delayed: the first
            # failure makes peers send them whole.
            is_delayed = (
                not self.is_reachable
                and not self.reads_once
                and self.outage.pace().is_delayed
            )
            if self.has_failed or is_delayed:
                await self.outage.wait(self.random)
                if not self.reads_store() and not self.reads_once:
                    log.info('discovery: %s left to another reader.', self.kind)
                    continue
                if not await self.outage.is_served():
                    self._record_failure('no answer to a probe')
                    continue
            if self.must_read:
                await self._read_all()
            else:
                await self._wait_for_changes()

    async def _wait_until_reader(self) -> None:
        """Wait until this instance reads the store, without polling."""
        with trio.CancelScope() as self._wait_scope:
            while not self.reads_store():
                await self.wait_change()

    def read_once(self) -> None:
        """Read all values soon, as a peer has more of them than it can send."""
        self.reads_once = self.must_read = True
        self._wait_scope.cancel()

    def seconds_since_recovery(self) -> float | None:
        """Return the seconds since the last outage of the store; None without one."""
        seconds = trio.current_time() - self.recovered_at
        return seconds if isfinite(seconds) else None

    def apply_peer_recovery(self, seconds: float | None) -> None:
        """Apply a peer's report that an outage ended `seconds` ago; ignore None."""
        if seconds is not None:
            at = trio.current_time() - max(0.0, seconds)
            self.recovered_at = max(self.recovered_at, at)

    def mark_possibly_stale(self) -> None:
        """Mark the values as possibly stale, so that the store is read at once."""
        if self.is_reachable:
            log.info(
                'discovery: wait without changes that a peer has. kind=%s', self.kind
            )
            self.end_wait()

    def end_wait(self) -> None:
        """End the wait for changes, as the path to the store does not answer."""
        if self.is_reachable:
            self._mark_lost()
            self._wait_scope.cancel()

    def offer(self, listing: Listing[Value], source: str) -> bool:
        """Apply a whole listing if it is newer; return whether it was applied."""
        if listing.revision <= self.revision:
            log.info(
                'discovery: %s from %s not applied, not newer. revision=%s known=%s',
                self.kind,
                source,
                text_of(listing.revision),
                text_of(self.revision),
            )
            return False
        log.info(
            'discovery: %s read from %s. revision=%s was=%s count=%d',
            self.kind,
            source,
            text_of(listing.revision),
            text_of(self.revision),
            len(listing.value_by_name),
        )
        self.last_source = source
        self.must_read = False
        is_restored = self.is_known and self._is_of_later_era(listing.revision)
        value_by_name = self._merge_listing(listing.value_by_name)
        changes = difference(self.value_by_name, value_by_name)
        if self.is_known and not is_restored:
            self.changes.add(changes, listing.revision)
        else:
            # In an earlier era peers may have had other values than this instance.
            self.changes.start(listing.revision)
        self.revision = listing.revision
        if is_restored:
            self._note_restored()
        if changes or not self.changed_at:
            self.changed_at = listing.revision
            self.value_by_name = value_by_name
        self._notify_listeners()
        return True

    def _merge_listing(self, listed: Mapping[str, Value]) -> dict[str, Value]:
        for name in self.value_by_name.keys() - listed.keys():
            self.merge.record_removed(name, self.value_by_name[name])
        return {name: self._merge(name, value) for name, value in listed.items()}

    def _merge(self, name: str, offered: Value) -> Value:
        return self.merge.merge(name, self.value_by_name.get(name), offered)

    def _is_of_later_era(self, revision: int) -> bool:
        return era_of(revision) > era_of(self.revision)

    def _note_restored(self) -> None:
        log.warning(
            'discovery: %s are of a store restored from a backup. revision=%s',
            self.kind,
            text_of(self.revision),
        )
        self.restored_at = self.recovered_at = trio.current_time()
        for listener in self.restore_listeners:
            listener()

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a peer's revision; None if it needs all values."""
        return self.changes.after(revision) if revision else None

    def part_after(self, revision: int, most: int) -> Changes[Value] | None:
        """Return the first changes after a peer's revision; None if it needs all."""
        return self.changes.part_after(revision, most) if revision else None

    def apply_peer_changes(
        self, update: Changes[Value], since: int, source: str = PEER
    ) -> bool:
        """Apply changes that a peer sent; return whether they were applied.

        `since` is the revision that the changes follow. They are not applied if they
        are not newer, if `since` is later than the known revision, or if they are of a
        later era of the store.
        """
        if update.revision <= self.revision or since > self.revision:
            return False
        if self._is_of_later_era(update.revision):
            return False
        self.must_read = False
        self._apply(update, source)
        return True

    async def _read_all(self) -> None:
        is_start = not self.is_known
        match await self.source.read_all():
            case Success(listing):
                self._record_success()
                self.must_read = self.reads_once = False
                self.offer(listing, STORE)
                if is_start:
                    await trio.sleep(SETTLE_SECONDS)
            case Failure(error):
                self._record_failure(error)

    async def _wait_for_changes(self) -> None:
        wait = WAIT_SECONDS if self.is_reachable else CATCH_UP_SECONDS
        with trio.CancelScope() as self._wait_scope:
            result = await self.source.wait_for_changes(self.revision, wait)
        if self._wait_scope.cancelled_caught:
            return
        match result:
            case Success(update):
                self._record_success()
                self._apply(update)
                if update.changes:
                    await trio.sleep(BATCH_SECONDS)
            case Failure(HistoryRemoved(reason)):
                self.must_read = True
                # A listing that is not applied leads to this failure again and again.
                self.has_failed = self.history_lost_revision == self.revision
                self.history_lost_revision = self.revision
                log.info(
                    'discovery: history of %s lost, reading all. revision=%s reason=%s',
                    self.kind,
                    text_of(self.revision),
                    reason,
                )
            case Failure(error):
                self._record_failure(error)

    def _apply(self, update: Changes[Value], source: str = STORE) -> None:
        if update.revision < self.revision:
            # A peer sent newer changes meanwhile.
            return
        self.revision = update.revision
        self.last_source = source
        applied: list[Change] = []
        for name, value in update.changes:
            log.info(
                'discovery: %s %s. name=%s revision=%s source=%s',
                self.kind,
                'removed' if value is None else 'changed',
                name,
                text_of(update.revision),
                source,
            )
            applied.append((name, self._apply_change(name, value)))
        if applied:
            self.changes.add(applied, update.revision)
            self.changed_at = update.revision
            self._notify_listeners()

    def _apply_change(self, name: str, offered: Value | None) -> Value | None:
        """Apply the change of one value, and return the value that is held now."""
        if offered is None:
            known = self.value_by_name.pop(name, None)
            if known is not None:
                self.merge.record_removed(name, known)
            return None
        self.value_by_name[name] = value = self._merge(name, offered)
        return value

    def _record_success(self) -> None:
        self.is_lost = self.has_failed = False
        self.outage.end()
        if self.is_reachable:
            return
        self.is_reachable = True
        if self.had_outage:
            self.had_outage = False
            self.recovered_at = trio.current_time()
        log.info('discovery: store reachable. kind=%s', self.kind)

    def _record_failure(self, error: object) -> None:
        if self.is_reachable:
            log.warning(
                'discovery: store unreachable. kind=%s error=%s', self.kind, error
            )
        self._mark_lost()
        self.had_outage = self.outage.has_failed = True
        self.has_failed = True

    def _mark_lost(self) -> None:
        self.is_reachable = False
        self.is_lost = True

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

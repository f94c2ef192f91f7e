"""Follow one kind of value: read all, then wait for news.

Silence proves nothing: after every failed wait the store is asked at once what
changed since the revision known, and all is read again where it no longer knows.
"""

import logging
from collections.abc import Awaitable, Callable
from math import inf, isfinite
from random import Random
from typing import Generic

import trio
from attrs import Factory, define, field
from returns.result import Failure, Success

from catkinslip.discovery.base import HistoryGone, Listing, News, Source, Value
from catkinslip.discovery.changes import Change, ChangeLog, difference
from catkinslip.discovery.revisions import era_of, text_of
from catkinslip.store.backoff import Backoff

#: A waiting call is priced; one that hangs unnoticed is made up for by peers.
WAIT_SECONDS = 20.0
#: A wait that only asks what was missed.
CATCH_UP_SECONDS = 0.05
#: A start knows within this time whether others read the store for it.
SETTLE_SECONDS = 1.0
#: Changes within this time cost one call together instead of one each.
BATCH_SECONDS = 0.4
#: Reads after an outage must succeed well within the 2 s in which changes apply; half
#: of this on average. Refused calls are priced too.
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 1.6
#: Who asks only because all others of the zone that are asked first found the store
#: lost: what changes must still apply within 2.5 s where the store answers it.
LAST_RESORT_SECONDS = 2.5

log = logging.getLogger('discovery')

Listener = Callable[[], None]


def always() -> bool:
    """Read the store always."""
    return True


def never() -> bool:
    """Be in a hurry always."""
    return False


@define
class Outage:
    """What the followers of one instance share while the store does not answer.

    Load: a store that is down for seconds, and every reader's every follower that asks
    it again. They take turns: one asks, and its success lets all others go on.

    With 118 instances and eight seconds without the store a day takes 2,229 calls
    instead of 6,564 (one play each).
    """

    #: Whether others of the zone tried in vain, so that this instance need not hurry.
    is_last_resort: Callable[[], bool] = never
    turn: trio.Lock = Factory(trio.Lock)
    ended: trio.Event = Factory(trio.Event)
    backoff: Backoff = Factory(
        lambda: Backoff(FIRST_RETRY_SECONDS, LONGEST_RETRY_SECONDS)
    )

    async def wait(self, random: Random) -> None:
        """Wait for the turn to ask again, or until another follower succeeded."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_end, nursery.cancel_scope)
            async with self.turn:
                await trio.sleep(self._next_delay(random))
            nursery.cancel_scope.cancel()

    async def _wait_end(self, scope: trio.CancelScope) -> None:
        await self.ended.wait()
        scope.cancel()

    def _next_delay(self, random: Random) -> float:
        if self.is_last_resort():
            return random.uniform(0, LAST_RESORT_SECONDS)
        return self.backoff.next_delay(random)

    def end(self) -> None:
        """Let all others ask at once, as one of them succeeded."""
        self.backoff.reset()
        self.ended.set()
        self.ended = trio.Event()


@define(eq=False)
class Follower(Generic[Value]):
    """Hold the newest known values of one kind."""

    kind: str
    source: Source[Value]
    random: Random
    value_by_name: dict[str, Value] = Factory(dict)
    #: All changes up to this revision of the store are known.
    revision: int = 0
    #: The revision at which the last change was learned; peers need no later one.
    changed_at: int = 0
    changes: ChangeLog[Value] = Factory(ChangeLog)
    listeners: list[Listener] = Factory(list)
    #: Called before the values of a store that came back from a copy are told.
    restore_listeners: list[Listener] = Factory(list)
    #: When the values of another life of the store were learned, monotonic.
    restored_at: float = -inf
    #: The revision whose history was gone at the last look.
    gone_revision: int = -1
    is_reachable: bool = False
    #: Whether the last call failed, so that others should read the store instead.
    is_lost: bool = False
    #: Whether the last call failed, and the next must wait for its turn.
    has_missed: bool = False
    #: Whether all must be read, as the changes since the revision are not to be had.
    must_read: bool = True
    #: Whether a call failed since the last good one; a doubt or a start is no outage.
    was_out: bool = False
    #: Whether to read all now, though others read the store for this instance.
    reads_once: bool = False
    #: When a failed call was last followed by a good one, on the monotonic clock.
    regained_at: float = -inf
    #: Whether this instance reads the store itself; else its peers tell it.
    is_wanted: Callable[[], bool] = always
    #: Returns when that may have changed.
    wait_change: Callable[[], Awaitable[None]] = trio.sleep_forever
    outage: Outage = Factory(Outage)

    _wait_scope: trio.CancelScope = field(factory=trio.CancelScope, init=False)

    @property
    def is_known(self) -> bool:
        """Tell whether all values were read at least once."""
        return self.revision > 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self.is_wanted() and not self.reads_once:
                self.is_reachable = self.is_lost = False
                await self._wait_wanted()
                continue
            is_late = not self.is_reachable and self.outage.is_last_resort()
            if self.has_missed or is_late:
                await self.outage.wait(self.random)
            if self.must_read:
                await self._read_all()
            else:
                await self._take_news()

    async def _wait_wanted(self) -> None:
        """Wait until this instance reads the store, without a look now and then."""
        with trio.CancelScope() as self._wait_scope:
            while not self.is_wanted():
                await self.wait_change()

    def read_once(self) -> None:
        """Read all soon, as peers know more than they can tell."""
        self.reads_once = self.must_read = True
        self._wait_scope.cancel()

    def regained_seconds(self) -> float | None:
        """Return the seconds since an outage of the store ended; None if none did."""
        seconds = trio.current_time() - self.regained_at
        return seconds if isfinite(seconds) else None

    def heard_regained(self, seconds: float | None) -> None:
        """Take from a peer that an outage ended so many seconds ago."""
        if seconds is not None:
            at = trio.current_time() - max(0.0, seconds)
            self.regained_at = max(self.regained_at, at)

    def doubt(self) -> None:
        """Ask again at once, as a peer knows more than a wait has told."""
        if self.is_reachable:
            log.info('discovery: a wait tells nothing. kind=%s', self.kind)
            self._lose()
            self._wait_scope.cancel()

    def offer(self, listing: Listing[Value], source: str) -> bool:
        """Take over a whole listing unless it is older; tell whether it was taken."""
        if listing.revision <= self.revision:
            log.info(
                'discovery: %s of %s are not taken. revision=%s known=%s',
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
        self.must_read = False
        is_restored = self.is_known and self._is_of_later_life(listing.revision)
        changes = difference(self.value_by_name, listing.value_by_name)
        if self.is_known and not is_restored:
            self.changes.add(changes, listing.revision)
        else:
            # What others knew of an earlier life need not be what was known here.
            self.changes.start(listing.revision)
        self.revision = listing.revision
        if is_restored:
            self._note_restored()
        if changes or not self.changed_at:
            self.changed_at = listing.revision
            self.value_by_name = dict(listing.value_by_name)
        self._tell()
        return True

    def _is_of_later_life(self, revision: int) -> bool:
        return era_of(revision) > era_of(self.revision)

    def _note_restored(self) -> None:
        log.warning(
            'discovery: %s are of a store that came back from a copy. revision=%s',
            self.kind,
            text_of(self.revision),
        )
        self.restored_at = self.regained_at = trio.current_time()
        for listener in self.restore_listeners:
            listener()

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a peer's revision; None where it needs all."""
        return self.changes.after(revision) if revision else None

    def part_after(self, revision: int, most: int) -> News[Value] | None:
        """Return the first changes after a peer's revision; None where it needs all."""
        return self.changes.part_after(revision, most) if revision else None

    def learn(self, news: News[Value], since: int) -> bool:
        """Take over the changes that a peer told; tell whether they were taken."""
        if news.revision <= self.revision or since > self.revision:
            return False
        if self._is_of_later_life(news.revision):
            return False
        self.must_read = False
        self._apply(news)
        return True

    async def _read_all(self) -> None:
        is_start = not self.is_known
        match await self.source.read_all():
            case Success(listing):
                self._reached()
                self.must_read = self.reads_once = False
                self.offer(listing, 'store')
                if is_start:
                    await trio.sleep(SETTLE_SECONDS)
            case Failure(error):
                self._missed(error)

    async def _take_news(self) -> None:
        wait = WAIT_SECONDS if self.is_reachable else CATCH_UP_SECONDS
        with trio.CancelScope() as self._wait_scope:
            result = await self.source.wait_for_news(self.revision, wait)
        if self._wait_scope.cancelled_caught:
            return
        match result:
            case Success(news):
                self._reached()
                self._apply(news)
                if news.changes:
                    await trio.sleep(BATCH_SECONDS)
            case Failure(HistoryGone(reason)):
                self.must_read = True
                # A listing that was not taken leads here again and again.
                self.has_missed = self.gone_revision == self.revision
                self.gone_revision = self.revision
                log.info(
                    'discovery: %s must be read again. revision=%s reason=%s',
                    self.kind,
                    text_of(self.revision),
                    reason,
                )
            case Failure(error):
                self._missed(error)

    def _apply(self, news: News[Value]) -> None:
        if news.revision < self.revision:
            # A peer told of something newer meanwhile.
            return
        self.revision = news.revision
        for name, value in news.changes:
            log.info(
                'discovery: %s %s. name=%s revision=%s',
                self.kind,
                'removed' if value is None else 'changed',
                name,
                text_of(news.revision),
            )
            if value is None:
                self.value_by_name.pop(name, None)
            else:
                self.value_by_name[name] = value
        if news.changes:
            self.changes.add(news.changes, news.revision)
            self.changed_at = news.revision
            self._tell()

    def _reached(self) -> None:
        self.is_lost = self.has_missed = False
        self.outage.end()
        if self.is_reachable:
            return
        self.is_reachable = True
        if self.was_out:
            self.was_out = False
            self.regained_at = trio.current_time()
        log.info('discovery: store regained. kind=%s', self.kind)

    def _missed(self, error: object) -> None:
        if self.is_reachable:
            log.warning('discovery: store lost. kind=%s error=%s', self.kind, error)
        self._lose()
        self.was_out = True
        self.has_missed = True

    def _lose(self) -> None:
        self.is_reachable = False
        self.is_lost = True

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()

"""Follow one kind of value: read all, then wait for news, and read again in doubt.

Silence proves nothing: after every failed wait all is read again, since changes may
have been missed.
"""

import logging
from collections.abc import Callable
from random import Random
from typing import Generic

import trio
from attrs import Factory, define
from returns.result import Failure, Success

from catkinslip.discovery.base import HistoryGone, Listing, News, Source, Value
from catkinslip.store.backoff import Backoff

#: A waiting call is priced; one that hangs unnoticed is made up for by peers.
WAIT_SECONDS = 20.0
#: Changes within this time cost one call together instead of one each.
BATCH_SECONDS = 0.4
#: Reads after an outage must succeed well within the 2 s in which changes apply.
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 0.8

log = logging.getLogger('discovery')

Listener = Callable[[], None]
#: Between two looks whether this instance must read the store itself.
DUTY_SECONDS = 0.25


def always() -> bool:
    """Read the store always."""
    return True


@define
class Follower(Generic[Value]):
    """Hold the newest known values of one kind."""

    kind: str
    source: Source[Value]
    random: Random
    value_by_name: dict[str, Value] = Factory(dict)
    revision: int = 0
    listeners: list[Listener] = Factory(list)
    is_reachable: bool = False
    #: When a failed call was last followed by a good one, on the monotonic clock.
    regained_at: float = float('-inf')
    #: Whether this instance reads the store itself; else its peers tell it.
    is_wanted: Callable[[], bool] = always
    backoff: Backoff = Factory(
        lambda: Backoff(FIRST_RETRY_SECONDS, LONGEST_RETRY_SECONDS)
    )

    @property
    def is_known(self) -> bool:
        """Tell whether all values were read at least once."""
        return self.revision > 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self.is_wanted():
                self.is_reachable = False
                await trio.sleep(DUTY_SECONDS)
            elif await self._read_all():
                while await self._take_news() and self.is_wanted():
                    pass

    def offer(self, listing: Listing[Value], source: str) -> bool:
        """Take over a whole listing unless it is older; tell whether it was taken."""
        if listing.revision <= self.revision:
            return False
        log.info(
            'discovery: %s read from %s. revision=%d was=%d count=%d',
            self.kind,
            source,
            listing.revision,
            self.revision,
            len(listing.value_by_name),
        )
        self.revision = listing.revision
        self.value_by_name = dict(listing.value_by_name)
        self._tell()
        return True

    async def _read_all(self) -> bool:
        match await self.source.read_all():
            case Success(listing):
                self._reached()
                self.offer(listing, 'store')
                return True
            case Failure(error):
                await self._missed(error)
        return False

    async def _take_news(self) -> bool:
        match await self.source.wait_for_news(self.revision, WAIT_SECONDS):
            case Success(news):
                self._reached()
                self._apply(news)
                if news.changes:
                    await trio.sleep(BATCH_SECONDS)
                return True
            case Failure(HistoryGone(reason)):
                log.info(
                    'discovery: %s must be read again. revision=%d reason=%s',
                    self.kind,
                    self.revision,
                    reason,
                )
            case Failure(error):
                await self._missed(error)
        return False

    def _apply(self, news: News[Value]) -> None:
        if news.revision < self.revision:
            # A peer told of something newer meanwhile.
            return
        self.revision = news.revision
        for name, value in news.changes:
            log.info(
                'discovery: %s %s. name=%s revision=%d',
                self.kind,
                'removed' if value is None else 'changed',
                name,
                news.revision,
            )
            if value is None:
                self.value_by_name.pop(name, None)
            else:
                self.value_by_name[name] = value
        if news.changes:
            self._tell()

    def _reached(self) -> None:
        self.backoff.reset()
        if self.is_reachable:
            return
        self.is_reachable = True
        self.regained_at = trio.current_time()
        log.info('discovery: store regained. kind=%s', self.kind)

    async def _missed(self, error: object) -> None:
        if self.is_reachable:
            self.is_reachable = False
            log.warning('discovery: store lost. kind=%s error=%s', self.kind, error)
        await trio.sleep(self.backoff.next_delay(self.random))

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()

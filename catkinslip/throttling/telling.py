"""Tell the instances that serve callers which servers name a rate, and ask in doubt.

Load: who may not send to a server in need learns nothing from it, neither that its
need began, which one request of each instance would tell, nor that it is over. So
whoever gets an answer tells all that serve at once, twice, as some datagrams are lost,
and again each second while answers come. Who has heard nothing for some seconds asks a
few: a belief never ends by silence, as in a partition all would send again.
"""

from collections.abc import Callable
from random import Random

import orjson
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.health.sharing import MAX_DATAGRAM_BYTES
from catkinslip.models import Address
from catkinslip.routing.base import NEVER
from catkinslip.routing.directory import Directory
from catkinslip.throttling.book import NamedRate
from catkinslip.throttling.messages import (
    RateDoubt,
    ToldRate,
    doubts_from_plain,
    doubts_to_plain,
    rates_from_plain,
    rates_to_plain,
)
from catkinslip.throttling.signs import AnswerKind

#: Some 45 bytes each.
MOST_TOLD = 28
#: Between two datagrams of news.
FLUSH_SECONDS = 0.02
REPEAT_SECONDS = 0.1
#: What is no news is told so often while answers come, and so long after an end.
REFRESH_SECONDS = 1.0
END_TOLD_SECONDS = 10.0
#: A belief so old is asked about, so often, of so many.
DOUBT_AGE_SECONDS = 2.5
DOUBT_SECONDS = 1.0
ASKED = 2
#: Half of what a datagram takes, as names may be long.
MOST_ASKED = 14
#: Evidence that is newer by less is no answer to a doubt.
NEWER_SECONDS = 0.05

Post = Callable[[bytes, list[Address]], None]


@define
class RateTeller:
    """Tell what this instance saw, take what others did, ask and answer in doubt."""

    own_id: str
    directory: Directory
    clock: Clock
    random: Random
    targets: Callable[[], list[Address]]
    #: Returns where a known instance takes datagrams.
    find_address: Callable[[str], Address | None]
    post: Post
    #: What waits to be told, and whether it is news.
    news_by_id: dict[str, tuple[NamedRate, bool]] = Factory(dict)
    has_news: trio.Event = Factory(trio.Event)

    def saw(self, rate: NamedRate, is_change: bool) -> None:
        """Take what an answer to this instance said of a server's rate."""
        now = self.clock.monotonic()
        if not is_change and not self._is_refresh_due(rate, now):
            return
        rate.told_at = now
        backend_id = rate.load.backend_id
        _, was_change = self.news_by_id.get(backend_id, (rate, False))
        self.news_by_id[backend_id] = (rate, is_change or was_change)
        if is_change:
            self.has_news.set()

    def _is_refresh_due(self, rate: NamedRate, now: float) -> bool:
        if now - rate.told_at < REFRESH_SECONDS:
            return False
        return rate.holds or now - rate.named_at < END_TOLD_SECONDS

    async def run(self) -> None:
        """Tell news and ask in doubt until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_always)
            while True:
                await self.has_news.wait()
                await trio.sleep(FLUSH_SECONDS)
                rates, is_change = self._take_news()
                self._tell(rates, self.targets())
                if is_change:
                    nursery.start_soon(self._repeat, rates)

    async def _repeat(self, rates: list[NamedRate]) -> None:
        await trio.sleep(REPEAT_SECONDS)
        # With the ages of now: told with those of before it would look newer.
        self._tell(rates, self.targets())

    def _tell(self, rates: list[NamedRate], addresses: list[Address]) -> None:
        """Tell some rates in one datagram, or in more where names are long."""
        data = self.encode(rates)
        if len(data) <= MAX_DATAGRAM_BYTES or len(rates) == 1:
            self.post(data, addresses)
            return
        half = len(rates) // 2
        self._tell(rates[:half], addresses)
        self._tell(rates[half:], addresses)

    def _take_news(self) -> tuple[list[NamedRate], bool]:
        """Return the rates to tell next, and whether one of them is news."""
        taken = list(self.news_by_id)[:MOST_TOLD]
        told = [self.news_by_id.pop(backend_id) for backend_id in taken]
        if not self.news_by_id:
            self.has_news = trio.Event()
        is_change = any(is_change for _, is_change in told)
        return [rate for rate, _ in told], is_change

    def encode(self, rates: list[NamedRate]) -> bytes:
        """Return a datagram that tells some rates."""
        now = self.clock.monotonic()
        told = [told_of(rate, now) for rate in rates]
        return orjson.dumps({'rates': rates_to_plain(told), 'by': self.own_id})

    def take_rates(self, told: dict) -> None:
        """Take what another instance tells; raise ValueError or so for no such thing.

        It is not told on: all that serve are told by whoever got the answer.
        """
        now = self.clock.monotonic()
        for each in rates_from_plain(told['rates'], str(told['by'])):
            router = self.directory.find_router_of_start(each.backend_id, each.start)
            if router is not None:
                load = router.load_by_id[each.backend_id]
                router.throttle.book.heard(load, each, now)

    async def _ask_always(self) -> None:
        while True:
            await trio.sleep(DOUBT_SECONDS * self.random.uniform(0.8, 1.2))
            if self.news_by_id:
                # What is no news goes together.
                self.has_news.set()
            doubts = self.doubts()
            targets = self.targets()
            if doubts and targets:
                asked = self.random.sample(targets, min(ASKED, len(targets)))
                data = {'doubts': doubts_to_plain(doubts), 'by': self.own_id}
                self.post(orjson.dumps(data), asked)

    def doubts(self) -> list[RateDoubt]:
        """Return some of the servers that nobody was heard of from lately."""
        now = self.clock.monotonic()
        old = [
            rate
            for router in self.directory.router_by_service.values()
            for rate in router.throttle.book.holding()
            if now - rate.named_at >= DOUBT_AGE_SECONDS
        ]
        some = self.random.sample(old, min(MOST_ASKED, len(old)))
        return [
            RateDoubt(it.load.backend_id, it.load.start_tag, now - it.named_at)
            for it in some
        ]

    def take_doubts(self, told: dict) -> None:
        """Answer where this instance knows more; raise as `take_rates` does."""
        now = self.clock.monotonic()
        newer = []
        for each in doubts_from_plain(told['doubts']):
            router = self.directory.find_router_of_start(each.backend_id, each.start)
            if router is None:
                continue
            rate = router.throttle.book.rate_by_id.get(each.backend_id)
            if rate is not None and knows_more(rate, now - each.named_seconds):
                newer.append(rate)
        asker = self.find_address(str(told['by']))
        if newer and asker is not None:
            self._tell(newer, [asker])


def knows_more(rate: NamedRate, named_at: float) -> bool:
    """Tell whether what is known is newer than a rate that was named at a time."""
    return max(rate.named_at, rate.cleared_at) > named_at + NEWER_SECONDS


def told_of(rate: NamedRate, now: float) -> ToldRate:
    """Return what to tell of a rate."""
    cleared = None if rate.cleared_at == NEVER else now - rate.cleared_at
    load = rate.load
    return ToldRate(
        load.backend_id,
        load.start_tag,
        rate.per_second,
        now - rate.named_at,
        cleared,
        AnswerKind.PROBE in rate.kinds,
    )

"""The gossip among instances that serve callers about servers that advertise a rate.

Load: an instance that may not send to a throttled server gets no answer from it, and so
sees neither the start of the throttling, which one request from each instance would
reveal, nor its end. So the instance that receives an answer sends the rate to all
serving instances at once, twice, as some datagrams are lost, and again each second
while answers arrive. An instance that has received nothing for some seconds queries a
few others. A rate never expires by silence, because in a partition all instances would
then send again.
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
from catkinslip.throttling.messages import (
    RateQuery,
    RateReport,
    queries_from_plain,
    queries_to_plain,
    rates_from_plain,
    rates_to_plain,
)
from catkinslip.throttling.registry import AdvertisedRate
from catkinslip.throttling.signals import AnswerKind

#: Maximum number of rates in one datagram; each takes some 45 bytes.
MAX_RATES = 28
#: Seconds that updates are collected before a datagram is sent, and seconds after which
#: a changed rate is sent again.
FLUSH_SECONDS = 0.02
REPEAT_SECONDS = 0.1
#: Seconds between two datagrams about an unchanged rate while answers arrive, and
#: seconds after the end of throttling during which the end is repeated.
REFRESH_SECONDS = 1.0
END_REFRESH_SECONDS = 10.0
#: Age in seconds from which a rate is queried, seconds between two queries, and the
#: number of instances that each query goes to.
QUERY_AGE_SECONDS = 2.5
QUERY_SECONDS = 1.0
QUERY_FANOUT = 2
#: Maximum number of servers in one query: half of what fits into a datagram, as names
#: may be long.
MAX_QUERIES = 14
#: Minimum seconds by which evidence must be newer than that of a query to be sent as
#: its reply.
MIN_NEWER_SECONDS = 0.05

Post = Callable[[bytes, list[Address]], None]


@define
class RateGossip:
    """The exchange of observed rates and of queries with other instances."""

    own_id: str
    directory: Directory
    clock: Clock
    random: Random
    targets: Callable[[], list[Address]]
    #: Function that returns the datagram address of a known instance.
    find_address: Callable[[str], Address | None]
    post: Post
    #: Rates that wait to be sent, each with whether it changed.
    pending_by_id: dict[str, tuple[AdvertisedRate, bool]] = Factory(dict)
    has_updates: trio.Event = Factory(trio.Event)

    def record_observation(self, rate: AdvertisedRate, is_change: bool) -> None:
        """Schedule gossip about a rate that an answer to this instance carried."""
        now = self.clock.monotonic()
        if not is_change and not self._is_refresh_due(rate, now):
            return
        rate.gossiped_at = now
        backend_id = rate.load.backend_id
        _, was_change = self.pending_by_id.get(backend_id, (rate, False))
        self.pending_by_id[backend_id] = (rate, is_change or was_change)
        if is_change:
            self.has_updates.set()

    def _is_refresh_due(self, rate: AdvertisedRate, now: float) -> bool:
        if now - rate.gossiped_at < REFRESH_SECONDS:
            return False
        return rate.is_active or now - rate.advertised_at < END_REFRESH_SECONDS

    async def run(self) -> None:
        """Send updates and queries until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._query_periodically)
            while True:
                await self.has_updates.wait()
                await trio.sleep(FLUSH_SECONDS)
                rates, is_change = self._pop_updates()
                self._send(rates, self.targets())
                if is_change:
                    nursery.start_soon(self._repeat, rates)

    async def _repeat(self, rates: list[AdvertisedRate]) -> None:
        await trio.sleep(REPEAT_SECONDS)
        # The ages are computed again: with those of the first datagram, the evidence
        # would look newer than it is.
        self._send(rates, self.targets())

    def _send(self, rates: list[AdvertisedRate], addresses: list[Address]) -> None:
        """Send some rates in one datagram, or in several where the names are long."""
        data = self.encode(rates)
        if len(data) <= MAX_DATAGRAM_BYTES or len(rates) == 1:
            self.post(data, addresses)
            return
        half = len(rates) // 2
        self._send(rates[:half], addresses)
        self._send(rates[half:], addresses)

    def _pop_updates(self) -> tuple[list[AdvertisedRate], bool]:
        """Remove and return the next rates to send, and whether one of them changed."""
        backend_ids = list(self.pending_by_id)[:MAX_RATES]
        updates = [self.pending_by_id.pop(backend_id) for backend_id in backend_ids]
        if not self.pending_by_id:
            self.has_updates = trio.Event()
        is_change = any(is_change for _, is_change in updates)
        return [rate for rate, _ in updates], is_change

    def encode(self, rates: list[AdvertisedRate]) -> bytes:
        """Return a datagram with some rates."""
        now = self.clock.monotonic()
        reports = [report_of(rate, now) for rate in rates]
        return orjson.dumps({'rates': rates_to_plain(reports), 'by': self.own_id})

    def receive_rates(self, message: dict) -> None:
        """Apply the rates in a datagram from another instance.

        Raises KeyError, TypeError or ValueError for anything else. The rates are not
        forwarded, as the instance that received the answer sends them to all serving
        instances.
        """
        now = self.clock.monotonic()
        for each in rates_from_plain(message['rates'], str(message['by'])):
            router = self.directory.find_router_of_start(each.backend_id, each.start)
            if router is not None:
                load = router.load_by_id[each.backend_id]
                router.throttle.registry.apply_peer_report(load, each, now)

    async def _query_periodically(self) -> None:
        while True:
            await trio.sleep(QUERY_SECONDS * self.random.uniform(0.8, 1.2))
            if self.pending_by_id:
                # Unchanged rates are sent together, once per interval.
                self.has_updates.set()
            queries = self.queries()
            targets = self.targets()
            if queries and targets:
                chosen = self.random.sample(targets, min(QUERY_FANOUT, len(targets)))
                data = {'doubts': queries_to_plain(queries), 'by': self.own_id}
                self.post(orjson.dumps(data), chosen)

    def queries(self) -> list[RateQuery]:
        """Return queries about some of the servers whose advertised rate is stale."""
        now = self.clock.monotonic()
        stale = [
            rate
            for router in self.directory.router_by_service.values()
            for rate in router.throttle.registry.active_rates()
            if now - rate.advertised_at >= QUERY_AGE_SECONDS
        ]
        sample = self.random.sample(stale, min(MAX_QUERIES, len(stale)))
        return [
            RateQuery(it.load.backend_id, it.load.start_tag, now - it.advertised_at)
            for it in sample
        ]

    def receive_queries(self, message: dict) -> None:
        """Reply to a query with the rates of which this instance has newer evidence.

        Raises KeyError, TypeError or ValueError for anything that is not a query.
        """
        now = self.clock.monotonic()
        newer = []
        for each in queries_from_plain(message['doubts']):
            router = self.directory.find_router_of_start(each.backend_id, each.start)
            if router is None:
                continue
            rate = router.throttle.registry.rate_by_id.get(each.backend_id)
            if rate is not None and is_newer(rate, now - each.advertised_seconds):
                newer.append(rate)
        requester = self.find_address(str(message['by']))
        if newer and requester is not None:
            self._send(newer, [requester])


def is_newer(rate: AdvertisedRate, advertised_at: float) -> bool:
    """Return whether the evidence on a rate is newer than a time, by a margin."""
    return max(rate.advertised_at, rate.cleared_at) > advertised_at + MIN_NEWER_SECONDS


def report_of(rate: AdvertisedRate, now: float) -> RateReport:
    """Return the report on a rate for other instances."""
    cleared = None if rate.cleared_at == NEVER else now - rate.cleared_at
    load = rate.load
    return RateReport(
        load.backend_id,
        load.start_tag,
        rate.per_second,
        now - rate.advertised_at,
        cleared,
        AnswerKind.PROBE in rate.kinds,
    )

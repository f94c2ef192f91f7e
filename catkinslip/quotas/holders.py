"""The holder's part: permits in stock, calls that wait for one, and refusals.

Load: many workspaces of under one request a second, whose calls each wait for a pool's
answer, and a few of hundreds, for which permits are prefetched. A workspace far over
its limit is refused without a message until the time that the pool gave.
"""

from collections import deque
from collections.abc import Callable
from math import ceil
from typing import Protocol

from attrs import Factory, define, field

from catkinslip.quotas.base import WorkspaceUsage
from catkinslip.quotas.bounds import PERMIT_SECONDS, WorkspaceLimit
from catkinslip.quotas.messages import Answer, AnswerEntry, Ask, AskEntry
from catkinslip.quotas.rates import RecentRate

#: Seconds for which a call waits for a permit, and after which an ask is repeated.
WAIT_SECONDS = 0.1
REPEAT_SECONDS = 0.04
#: Seconds after which an answer is no longer used.
ANSWER_SECONDS = 0.15
#: Requests per second at this instance from which permits are prefetched. At lower
#: rates too many of them would expire unused.
PREFETCH_MIN_PER_SECOND = 30.0
#: Seconds of the demand that a prefetch covers, and below which the next one is due.
PREFETCH_SECONDS = 0.12
PREFETCH_BELOW_SECONDS = 0.06
#: Seconds over which the demand is averaged.
DEMAND_SECONDS = 0.5
#: Seconds since the last request during which the use of a workspace is requested.
ACTIVE_SECONDS = 3.0
#: Age from which the use by a pool's last answer is no longer reported.
MAX_USAGE_AGE_SECONDS = 3.0


class WakeEvent(Protocol):
    """Event that is set when a call's wait has ended."""

    def set(self) -> object:
        """Wake the call."""


@define(eq=False)
class Waiter:
    """A call that waits for a permit since a monotonic time in seconds."""

    stock: 'Stock'
    decided: WakeEvent
    began: float
    is_granted: bool = False
    is_done: bool = False
    #: When the permit expires, if it is granted.
    expires_at: float = 0.0

    def end(self, *, is_granted: bool) -> None:
        """Set the result and wake the call."""
        self.is_granted, self.is_done = is_granted, True
        self.decided.set()


@define
class PermitBatch:
    """Permits that expire at the same monotonic time in seconds."""

    expires_at: float
    count: int


@define
class Stock:
    """The permits and the demand of one workspace at this instance."""

    key: int
    limit: WorkspaceLimit | None
    demand: RecentRate
    #: Permits of each grant, the oldest first.
    batches: deque[PermitBatch] = Factory(deque)
    #: Calls that no ask names yet.
    waiters: list[Waiter] = Factory(list)
    refused_until: float = 0.0
    #: Time until which a prefetch is on its way.
    prefetch_until: float = 0.0
    last_seen: float = 0.0
    #: Requests, and refused ones, since the last report to the pool.
    seen: int = 0
    refused: int = 0
    #: Refused requests since the last log line.
    unlogged: int = 0
    usage: AnswerEntry | None = None
    usage_at: float = 0.0

    def take(self, now: float) -> float | None:
        """Use a permit in stock; return when it expires, None if there was none."""
        while self.batches and self.batches[0].expires_at <= now:
            self.batches.popleft()
        if not self.batches:
            return None
        batch = self.batches[0]
        batch.count -= 1
        if batch.count < 1:
            self.batches.popleft()
        return batch.expires_at

    def add(self, count: int, expires_at: float) -> None:
        """Add permits that expire at a time."""
        if count <= 0:
            return
        batch = PermitBatch(expires_at, count)
        if self.batches and expires_at < self.batches[0].expires_at:
            self.batches.appendleft(batch)
        else:
            self.batches.append(batch)

    def in_stock(self, now: float) -> int:
        """Return the number of permits that have not expired."""
        return sum(each.count for each in self.batches if each.expires_at > now)

    def give_back(self, expires_at: float, now: float) -> None:
        """Put a used permit back until its expiry.

        With a new expiry for each return, permits would add up while servers run
        nothing, and all of them would be spent in one window afterwards.
        """
        if expires_at > now:
            self.add(1, expires_at)

    def count_request(self, now: float) -> None:
        """Count a request of the workspace."""
        self.seen += 1
        self.last_seen = now
        self.demand.add(1, now)

    def count_refusal(self) -> None:
        """Count a request that is refused."""
        self.refused += 1
        self.unlogged += 1

    def prefetch_count(self, now: float) -> int:
        """Return the number of permits to prefetch; 0 if no prefetch is due."""
        if now < self.prefetch_until or now < self.refused_until:
            return 0
        per_second = self.demand.per_second(now)
        if per_second < PREFETCH_MIN_PER_SECOND:
            return 0
        in_stock = self.in_stock(now)
        if in_stock >= per_second * PREFETCH_BELOW_SECONDS:
            return 0
        return ceil(per_second * PREFETCH_SECONDS) - in_stock

    def is_active(self, now: float) -> bool:
        """Return whether the workspace has had requests in the last seconds."""
        return self.seen > 0 or now - self.last_seen < ACTIVE_SECONDS

    def recent_usage(self, now: float) -> WorkspaceUsage | None:
        """Return the use over all instances; None if no recent one is known."""
        if self.usage is None or now - self.usage_at > MAX_USAGE_AGE_SECONDS:
            return None
        limit = 0.0 if self.limit is None else self.limit.requests_per_second
        return WorkspaceUsage(self.usage.per_second, limit, self.usage.refused_share)


@define
class SentAsk:
    """An ask that waits for its answer."""

    pool_id: str
    ask: Ask
    sent_at: float
    waiters_by_key: dict[int, list[Waiter]]
    is_repeated: bool = False


@define
class Holder:
    """The stocks of all workspaces by name; times are monotonic seconds."""

    own_id: str
    #: Number that identifies this start of the instance.
    start: int
    stock_by_name: dict[str, Stock] = Factory(dict)
    stock_by_key: dict[int, Stock] = Factory(dict)
    sent_by_number: dict[int, SentAsk] = Factory(dict)
    #: Stocks with calls that wait or with a prefetch that is due, by key.
    due_by_key: dict[int, Stock] = Factory(dict)
    _number: int = field(default=0, init=False)

    def apply_limits(
        self,
        limit_by_name: dict[str, WorkspaceLimit | None],
        key_of: Callable[[str], int],
        now: float,
    ) -> None:
        """Apply the limits in force; stocks of removed workspaces are dropped."""
        for name in self.stock_by_name.keys() - limit_by_name.keys():
            stock = self.stock_by_name.pop(name)
            self.stock_by_key.pop(stock.key, None)
            self.due_by_key.pop(stock.key, None)
            end_all(stock.waiters, is_granted=False)
        for name, limit in limit_by_name.items():
            stock = self.stock_by_name.get(name)
            if stock is None:
                key = key_of(name)
                stock = Stock(key, limit, RecentRate(DEMAND_SECONDS, now))
                self.stock_by_name[name] = self.stock_by_key[key] = stock
            elif stock.limit != limit:
                stock.limit = limit
                stock.batches.clear()
                stock.refused_until = 0.0
                if limit is None:
                    end_all(stock.waiters, is_granted=True)
                    self.due_by_key.pop(stock.key, None)

    def add_waiter(self, stock: Stock, decided: WakeEvent, now: float) -> Waiter:
        """Let a call wait for a permit."""
        waiter = Waiter(stock, decided, now)
        stock.waiters.append(waiter)
        self.due_by_key[stock.key] = stock
        return waiter

    def mark_due(self, stock: Stock, now: float) -> bool:
        """Schedule a prefetch if one is due, and return whether it is."""
        if stock.prefetch_count(now) <= 0:
            return False
        self.due_by_key[stock.key] = stock
        return True

    def make_asks(
        self,
        stocks: list[Stock],
        choose: Callable[[int], str | None],
        max_entries: int,
        now: float,
    ) -> list[SentAsk]:
        """Return the asks for some stocks, each with a limited number of entries.

        Calls whose slot has no pool are refused.
        """
        stocks_by_pool: dict[str, list[Stock]] = {}
        for stock in stocks:
            self.due_by_key.pop(stock.key, None)
            pool_id = choose(stock.key)
            if pool_id is None:
                end_all(stock.waiters, is_granted=False)
            else:
                stocks_by_pool.setdefault(pool_id, []).append(stock)
        return [
            self._make_ask(pool_id, part, now)
            for pool_id, asked in stocks_by_pool.items()
            for part in chunks(asked, max_entries)
        ]

    def _make_ask(self, pool_id: str, stocks: list[Stock], now: float) -> SentAsk:
        self._number += 1
        waiters_by_key: dict[int, list[Waiter]] = {}
        entries = []
        for stock in stocks:
            waiting = [each for each in stock.waiters if not each.is_done]
            stock.waiters = []
            if waiting:
                waiters_by_key[stock.key] = waiting
            # Permits of the own pool need no stock.
            is_limited = stock.limit is not None and pool_id != self.own_id
            extra = stock.prefetch_count(now) if is_limited else 0
            if extra:
                stock.prefetch_until = now + ANSWER_SECONDS
            spare = int(bool(waiting) and not extra)
            entries.append(
                AskEntry(
                    stock.key, len(waiting), extra, spare, stock.seen, stock.refused
                )
            )
            stock.seen = stock.refused = 0
        ask = Ask(self.own_id, self.start, self._number, tuple(entries))
        sent = SentAsk(pool_id, ask, now, waiters_by_key)
        self.sent_by_number[self._number] = sent
        return sent

    def asks_to_repeat(self, now: float) -> list[SentAsk]:
        """Return the asks with waiting calls to send again, and forget the old ones."""
        repeated = []
        for number, sent in list(self.sent_by_number.items()):
            age = now - sent.sent_at
            if age > ANSWER_SECONDS:
                del self.sent_by_number[number]
            elif age >= REPEAT_SECONDS and not sent.is_repeated:
                sent.is_repeated = True
                if sent.waiters_by_key:
                    repeated.append(sent)
        return repeated

    def apply_answer(self, answer: Answer, now: float) -> bool:
        """Apply the answer to an ask; return whether the ask still waited for it."""
        if answer.start != self.start:
            return False
        sent = self.sent_by_number.get(answer.number)
        if sent is None or sent.pool_id != answer.by:
            return False
        del self.sent_by_number[answer.number]
        if now - sent.sent_at > ANSWER_SECONDS:
            return False
        for entry in answer.entries:
            stock = self.stock_by_key.get(entry.key)
            if stock is not None:
                waiters = sent.waiters_by_key.get(entry.key, [])
                self._apply_entry(stock, entry, waiters, sent.sent_at, now)
        return True

    def _apply_entry(
        self,
        stock: Stock,
        entry: AnswerEntry,
        waiters: list[Waiter],
        sent_at: float,
        now: float,
    ) -> None:
        stock.usage, stock.usage_at = entry, now
        stock.prefetch_until = 0.0
        if stock.limit is None:
            end_all(waiters, is_granted=True)
            return
        if entry.retry_after > 0:
            stock.refused_until = now + entry.retry_after
        permits = entry.granted
        for waiter in waiters:
            if waiter.is_done:
                continue
            waiter.expires_at = sent_at + PERMIT_SECONDS
            waiter.end(is_granted=permits > 0)
            permits -= 1
        stock.add(permits, sent_at + PERMIT_SECONDS)


def end_all(waiters: list[Waiter], *, is_granted: bool) -> None:
    """End the wait of some calls."""
    for waiter in waiters:
        if not waiter.is_done:
            waiter.end(is_granted=is_granted)
    waiters.clear()


def chunks(stocks: list[Stock], size: int) -> list[list[Stock]]:
    """Return the stocks in parts of a limited size."""
    return [stocks[start : start + size] for start in range(0, len(stocks), size)]

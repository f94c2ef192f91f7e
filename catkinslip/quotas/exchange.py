"""The quotas of one instance: its generator, pool and holder, and their datagrams.

Load: requests of many workspaces enter at any instance, while datagrams are lost and
instances fail. The decisions are made in the modules beside this one; this one keeps
the time, sends and receives.
"""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

import orjson
import trio
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.config.documents import AcceptedConfig, Workspace
from catkinslip.models import Address
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.quotas import messages
from catkinslip.quotas.base import QuotaGate, WorkspaceUsage
from catkinslip.quotas.bounds import QuotaBounds
from catkinslip.quotas.counts import QuotaCounts
from catkinslip.quotas.holders import (
    WAIT_SECONDS,
    Holder,
    SentAsk,
    Stock,
    Waiter,
    WakeEvent,
)
from catkinslip.quotas.leases import RENEWAL_SECONDS, Generator, Lease
from catkinslip.quotas.liveness import PoolHealth
from catkinslip.quotas.log_lines import log_changes, log_refusals
from catkinslip.quotas.pool_choice import PoolChoice
from catkinslip.quotas.pools import Pool
from catkinslip.quotas.shares import GeneratorShare
from catkinslip.quotas.slots import key_of
from catkinslip.quotas.view import FleetView

#: Seconds between two rounds of asks; calls that arrive meanwhile share a datagram.
FLUSH_SECONDS = 0.008
#: Seconds between two checks for asks to repeat.
REPEAT_CHECK_SECONDS = 0.02
#: Maximum renewals in a row, each after the own pool's confirmation permits another.
MAX_RENEWALS = 3
#: Seconds between two choices of pools at an instance that leases nothing.
IDLE_RENEWAL_SECONDS = 1.0
#: Seconds between two reports of the use of workspaces.
REPORT_SECONDS = 0.5
#: Jitter of periodic messages as a share of the interval, so that instances do not
#: send at the same time.
JITTER_SHARE = 0.1

Post = Callable[[bytes, list[Address]], None]

log = logging.getLogger('quotas')


@define
class FleetQuotas(QuotaGate):
    """Gate that keeps the quotas of workspaces over all instances."""

    own_id: str
    bounds: QuotaBounds | None
    clock: Clock
    random: Random
    #: Function that returns the facts of the list of instances.
    read_view: Callable[[], FleetView]
    #: Function that returns the datagram address of a known instance.
    find_address: Callable[[str], Address | None]
    post: Post
    #: Number that identifies this start.
    start: int = Factory(lambda self: self.random.getrandbits(48), takes_self=True)
    counts: QuotaCounts = Factory(QuotaCounts)
    health: PoolHealth = Factory(PoolHealth)
    share: GeneratorShare = Factory(GeneratorShare)
    generator: Generator = field(init=False)
    pool: Pool = field(init=False)
    holder: Holder = field(init=False)
    workspace_by_name: dict[str, Workspace] = Factory(dict)
    choice: PoolChoice = field(init=False)
    is_active: trio.Event = Factory(trio.Event)
    has_due: trio.Event = Factory(trio.Event)
    has_sent: trio.Event = Factory(trio.Event)

    def __attrs_post_init__(self) -> None:
        """Create the parts."""
        now = self.clock.monotonic()
        self.generator = Generator(self.own_id, self.start, now)
        self.pool = Pool(self.own_id, self.start)
        self.holder = Holder(self.own_id, self.start)
        self.choice = PoolChoice(self.own_id, self.health, self.counts)

    def apply_config(self, config: AcceptedConfig) -> None:
        """Apply the workspaces of the configuration that is now in force."""
        workspaces = config.document.rules.workspaces
        if workspaces == self.workspace_by_name:
            return
        if self.bounds is not None:
            log_changes(self.workspace_by_name, workspaces, config.version)
        self.workspace_by_name = dict(workspaces)
        self._apply_workspaces()

    def apply_bounds(self, bounds: QuotaBounds | None) -> None:
        """Apply changed bounds; None turns the quotas off."""
        if bounds != self.bounds:
            self.bounds = bounds
            self._apply_workspaces()

    def _apply_workspaces(self) -> None:
        now = self.clock.monotonic()
        workspaces = {} if self.bounds is None else self.workspace_by_name
        limit_by_name = {
            name: None
            if each.requests_per_second <= 0
            else self.bounds.limit(each.requests_per_second, each.burst)
            for name, each in workspaces.items()
        }
        limit_by_key = {
            key_of(name): limit
            for name, limit in limit_by_name.items()
            if limit is not None
        }
        self.pool.apply_limits(limit_by_key, frozenset(map(key_of, limit_by_name)), now)
        self.holder.apply_limits(limit_by_name, key_of, now)
        self.counts.forget(limit_by_name.keys())
        if limit_by_name:
            self.is_active.set()
        elif self.is_active.is_set():
            self.is_active = trio.Event()

    async def acquire(self, call: Call) -> NotRun | None:
        """Take a permit for a call, or wait for it for up to WAIT_SECONDS."""
        began = self.clock.monotonic()
        decision = self.decide(call.workspace, trio.Event)
        if not isinstance(decision, Waiter):
            if isinstance(decision, NotRun):
                return decision
            call.permit_expires_at = decision
            return None
        if not decision.is_done:
            remaining = max(0.0, call.deadline - began)
            try:
                with trio.move_on_after(min(WAIT_SECONDS, remaining)):
                    await decision.decided.wait()
            except trio.Cancelled:
                self.cancel_wait(decision)
                raise
        call.permit_expires_at = decision.expires_at
        return self.end_wait(call.workspace, decision)

    def decide(
        self, workspace: str, make_event: Callable[[], WakeEvent]
    ) -> NotRun | Waiter | float:
        """Let a call pass, refuse it, or let it wait for a pool's answer.

        A call that passes gets the time until which its permit can be given back, 0
        without a limit.
        """
        stock = self.holder.stock_by_name.get(workspace)
        if stock is None:
            return 0.0
        now = self.clock.monotonic()
        stock.count_request(now)
        if stock.limit is None:
            return 0.0
        expires_at = None if stock.waiters else stock.take(now)
        if expires_at is not None:
            self.counts.granted[workspace] += 1
            if self.holder.mark_due(stock, now):
                self.has_due.set()
            return expires_at
        if now < stock.refused_until:
            return self._refuse(workspace, stock, stock.refused_until - now)
        waiter = self.holder.add_waiter(stock, make_event(), now)
        if self.choice.pool_of_key(stock.key) in (None, self.own_id):
            self._send_asks([stock], now)
        else:
            self.has_due.set()
        return waiter

    def cancel_wait(self, waiter: Waiter) -> None:
        """End the wait of a call that was cancelled; its permit stays in stock."""
        if waiter.is_granted:
            now = self.clock.monotonic()
            waiter.stock.give_back(waiter.expires_at, now)
        waiter.is_done = True

    def end_wait(self, workspace: str, waiter: Waiter) -> NotRun | None:
        """Return the refusal of a call that waited; None if it got a permit."""
        now = self.clock.monotonic()
        self.counts.record_wait(now - waiter.began, now)
        was_answered, waiter.is_done = waiter.is_done, True
        stock = waiter.stock
        if waiter.is_granted or stock.limit is None:
            self.counts.granted[workspace] += 1
            return None
        self.counts.unanswered += not was_answered
        return self._refuse(workspace, stock, stock.refused_until - now)

    def _refuse(self, workspace: str, stock: Stock, seconds: float) -> NotRun:
        stock.count_refusal()
        self.counts.refused[workspace] += 1
        return NotRun(Reason.OVER_QUOTA, retry_after=max(seconds, WAIT_SECONDS / 2))

    def try_acquire(self, workspace: str) -> bool:
        """Take a permit in stock for a hedge or a further attempt."""
        stock = self.holder.stock_by_name.get(workspace)
        if stock is None or stock.limit is None:
            return True
        now = self.clock.monotonic()
        has_permit = stock.take(now) is not None or self._take_own(stock, now)
        if has_permit:
            self.counts.granted[workspace] += 1
        else:
            self.counts.skipped += 1
        return has_permit

    def _take_own(self, stock: Stock, now: float) -> bool:
        """Take a permit from the own pool, if this instance is the workspace's pool."""
        if self.choice.pool_of_key(stock.key) != self.own_id:
            return False
        return self.pool.take(stock.key, 1, now).permits >= 1

    def release(self, workspace: str, expires_at: float) -> None:
        """Give back the permit of a call that did not run."""
        stock = self.holder.stock_by_name.get(workspace)
        if stock is None:
            return
        stock.refused += 1
        if stock.limit is not None:
            stock.give_back(expires_at, self.clock.monotonic())
            self.counts.returned += 1

    def usage(self, workspace: str) -> WorkspaceUsage | None:
        """Return the recent use of a workspace; None if it is not known."""
        stock = self.holder.stock_by_name.get(workspace)
        return None if stock is None else stock.recent_usage(self.clock.monotonic())

    async def run(self) -> None:
        """Exchange messages while there are workspaces, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_periodically)
            nursery.start_soon(self._report_periodically)
            nursery.start_soon(self._repeat_asks)
            while True:
                await self.has_due.wait()
                self.has_due = trio.Event()
                self.flush()
                await trio.sleep(FLUSH_SECONDS)

    async def _renew_periodically(self) -> None:
        while True:
            await self.is_active.wait()
            self.renew()
            has_leases = self.generator.holding_by_slot or self.share.in_use
            seconds = RENEWAL_SECONDS if has_leases else IDLE_RENEWAL_SECONDS
            await trio.sleep(seconds * self._jitter())

    async def _report_periodically(self) -> None:
        is_second = False
        while True:
            await self.is_active.wait()
            await trio.sleep(REPORT_SECONDS * self._jitter())
            self.report()
            if is_second:
                self.log_refusals()
            is_second = not is_second

    async def _repeat_asks(self) -> None:
        while True:
            await self.has_sent.wait()
            await trio.sleep(REPEAT_CHECK_SECONDS)
            self.repeat()

    def _jitter(self) -> float:
        return self.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    def flush(self) -> None:
        """Send the asks that are due."""
        due = list(self.holder.due_by_key.values())
        self._send_asks(due, self.clock.monotonic())

    def repeat(self) -> None:
        """Repeat the asks whose answer is late."""
        now = self.clock.monotonic()
        for sent in self.holder.asks_to_repeat(now):
            self._send_ask(sent)
        if self._check_pools(now):
            self.choice.update(self.choice.pool_ids, self.share.in_use)
            self._renew_leases(now)
        if not self.holder.sent_by_number:
            self.has_sent = trio.Event()

    def report(self) -> None:
        """Report the use of workspaces to their pools, which answer with the sum."""
        now = self.clock.monotonic()
        stocks = self.holder.stock_by_name.values()
        self._send_asks([each for each in stocks if each.is_active(now)], now)

    def renew(self) -> None:
        """Choose the pools, and renew the leases to them."""
        now = self.clock.monotonic()
        view = self.read_view()
        share = self.share.in_use
        if view.peer_ids is not None:
            share = self.share.update(view.share, now, was_listed=view.was_listed)
            self.generator.record_peers(view.peer_ids)
        self._check_pools(now)
        self.choice.update(view.pool_ids, share)
        self._renew_leases(now)
        for pool_id in self.health.to_ping(now):
            self._send_lease(pool_id, self.generator.make_ping(pool_id), now)
        self.pool.forget_idle(now)

    def _check_pools(self, now: float) -> bool:
        """Avoid the pools that do not answer; return whether there are new ones."""
        silent = self.health.check(now)
        for pool_id in silent:
            log.warning('quotas: pool avoided, it does not answer. pool=%s', pool_id)
        return bool(silent)

    def _renew_leases(self, now: float) -> None:
        share = self.share.in_use
        for _ in range(MAX_RENEWALS):
            leases = self.generator.renew(share, self.choice.pool_of, now)
            # A list, as all of them are sent before the first is renewed again.
            if not any([self._send_lease(*item, now) for item in leases.items()]):
                return

    def _send_asks(self, stocks: list[Stock], now: float) -> None:
        asks = self.holder.make_asks(
            stocks,
            self.choice.pool_of_key,
            messages.MAX_ENTRIES,
            now,
        )
        for sent in asks:
            self._send_ask(sent)

    def _send_ask(self, sent: SentAsk) -> None:
        now = self.clock.monotonic()
        if sent.pool_id == self.own_id:
            self.holder.apply_answer(self.pool.answer(sent.ask, now), now)
            return
        self.health.record_sent(sent.pool_id, now)
        self._send(sent.pool_id, messages.ask_to_plain(sent.ask))
        self.has_sent.set()

    def _send_lease(self, pool_id: str, lease: Lease, now: float) -> bool:
        """Send a lease; return whether its answer permits another one now."""
        if pool_id == self.own_id:
            confirmation = self.pool.apply_lease(lease, now)
            return confirmation is not None and self.generator.confirm(
                confirmation, now
            )
        if pool_id in self.choice.pool_ids:
            # Only these must answer; other home instances may be starting or stopped.
            self.health.record_sent(pool_id, now)
        self._send(pool_id, messages.lease_to_plain(lease))
        return False

    def _send(self, instance_id: str, message: dict[str, Any]) -> None:
        address = self.find_address(instance_id)
        if address is not None:
            data = orjson.dumps(message)
            self.counts.sent += 1
            self.counts.sent_bytes += len(data)
            self.post(data, [address])

    def handlers(self) -> dict[str, Callable[[dict], None]]:
        """Return the handlers of datagrams, by topic.

        They raise KeyError, TypeError or ValueError for a message that is malformed.
        """
        return {
            messages.LEASE: self.receive_lease,
            messages.CONFIRMATION: self.receive_confirmation,
            messages.ASK: self.receive_ask,
            messages.ANSWER: self.receive_answer,
        }

    def receive_lease(self, message: dict) -> None:
        """Apply a generator's lease and confirm it, unless quotas are turned off here.

        A pool that knows no limits would refuse everything; one that does not answer is
        avoided.
        """
        if self.bounds is None:
            return
        lease = messages.lease_from_plain(message)
        self.counts.received += 1
        now = self.clock.monotonic()
        confirmation = self.pool.apply_lease(lease, now)
        if confirmation is not None:
            self._send(lease.by, messages.confirmation_to_plain(confirmation))

    def receive_confirmation(self, message: dict) -> None:
        """Apply a pool's confirmation of a lease."""
        confirmation = messages.confirmation_from_plain(message)
        self.counts.received += 1
        self._record_answer(confirmation.by)
        now = self.clock.monotonic()
        may_lease = self.generator.confirm(confirmation, now)
        if may_lease and self.is_active.is_set():
            self._renew_leases(now)

    def receive_ask(self, message: dict) -> None:
        """Grant permits to a holder, unless quotas are turned off here."""
        if self.bounds is None:
            return
        ask = messages.ask_from_plain(message)
        self.counts.received += 1
        answer = self.pool.answer(ask, self.clock.monotonic())
        self._send(ask.by, messages.answer_to_plain(answer))

    def receive_answer(self, message: dict) -> None:
        """Apply a pool's answer to an ask, and wake the calls that wait for it."""
        answer = messages.answer_from_plain(message)
        self.counts.received += 1
        self._record_answer(answer.by)
        self.counts.late += not self.holder.apply_answer(answer, self.clock.monotonic())

    def _record_answer(self, pool_id: str) -> None:
        if self.health.record_answer(pool_id):
            log.info('quotas: pool answers again. pool=%s', pool_id)

    def log_refusals(self) -> None:
        """Write a line for each workspace with refusals since the last lines."""
        log_refusals(self.holder.stock_by_name, self.clock.monotonic())

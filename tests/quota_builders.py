"""A fleet of quota gates on a virtual clock, with a network that loses messages."""

import heapq
import logging
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

import orjson
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    Rules,
    Workspace,
)
from catkinslip.models import Address
from catkinslip.proxy.outcomes import NotRun
from catkinslip.quotas.bounds import QuotaBounds
from catkinslip.quotas.exchange import (
    FLUSH_SECONDS,
    IDLE_RENEWAL_SECONDS,
    REPEAT_CHECK_SECONDS,
    REPORT_SECONDS,
    FleetQuotas,
)
from catkinslip.quotas.holders import WAIT_SECONDS, Waiter
from catkinslip.quotas.leases import RENEWAL_SECONDS
from catkinslip.quotas.view import FleetView

# Avoided pools are reported in most of these tests.
logging.getLogger('quotas').setLevel(logging.ERROR)

BOUNDS = QuotaBounds()


def config_of(**workspaces: Workspace) -> AcceptedConfig:
    """Return a configuration with some workspaces."""
    document = Document(rules=Rules(workspaces=workspaces))
    return AcceptedConfig(ConfigVersion(1, 1), document=document)


def limited(per_second: float, burst: float = 0.0) -> Workspace:
    """Return a workspace with a limit."""
    return Workspace(requests_per_second=per_second, burst=burst)


@define
class NodeClock(Clock):
    """The clock of one instance, which differs from the others' by a constant."""

    fleet: 'Fleet'
    offset: float

    def monotonic(self) -> float:
        return self.fleet.now + self.offset

    def wall(self) -> float:
        raise AssertionError('quotas must not read the wall clock')


@define(eq=False)
class Node:
    """One instance; while it is frozen, its timers and messages wait."""

    fleet: 'Fleet'
    name: str
    view: FleetView
    quotas: FleetQuotas = field(init=False)
    is_frozen: bool = False
    is_dead: bool = False
    waiting: list[Callable[[], None]] = Factory(list)

    def start(self) -> None:
        """Start the instance, or restart it with empty memory."""
        clock = NodeClock(self.fleet, self.fleet.random.uniform(0, 1e5))
        self.is_dead = self.is_frozen = False
        self.waiting.clear()
        self.quotas = FleetQuotas(
            self.name,
            BOUNDS,
            clock,
            Random(self.fleet.random.random()),
            lambda: self.view,
            lambda name: Address(name, 1),
            self.post,
        )
        self.quotas.apply_config(self.fleet.config)
        has_share = self.view.share > 0
        renewal_seconds = RENEWAL_SECONDS if has_share else IDLE_RENEWAL_SECONDS
        timers = (
            (renewal_seconds, self.quotas.renew),
            (REPORT_SECONDS, self.quotas.report),
            (REPEAT_CHECK_SECONDS, self.quotas.repeat),
            (FLUSH_SECONDS, self.flush),
        )
        for seconds, action in timers:
            is_busy = has_share or self.fleet.others_serve
            if is_busy or seconds > REPEAT_CHECK_SECONDS:
                self.repeat(self.quotas, seconds, action)

    def flush(self) -> None:
        """Send the asks that are due."""
        if self.quotas.holder.due_by_key:
            self.quotas.flush()

    def repeat(
        self, quotas: FleetQuotas, seconds: float, action: Callable[[], None]
    ) -> None:
        """Do something periodically until the instance starts anew."""

        def tick() -> None:
            if self.quotas is quotas and not self.is_dead:
                self.run(action)
                self.fleet.later(seconds * self.fleet.random.uniform(0.9, 1.1), tick)

        self.fleet.later(seconds * self.fleet.random.random(), tick)

    def run(self, action: Callable[[], None]) -> None:
        """Do something now, or when the instance resumes."""
        if self.is_frozen:
            self.waiting.append(action)
        elif not self.is_dead:
            action()

    def resume(self) -> None:
        """End the freeze; everything that waited comes in any order."""
        self.is_frozen = False
        waiting, self.waiting = self.waiting, []
        self.fleet.random.shuffle(waiting)
        for action in waiting:
            action()

    def post(self, data: bytes, addresses: list[Address]) -> None:
        """Send a datagram."""
        assert len(data) <= 1472, len(data)
        for address in addresses:
            self.fleet.deliver(self.name, address.host, data)

    def receive_later(self, data: bytes) -> None:
        """Receive a datagram after its delay."""
        seconds = self.fleet.delay(self.fleet.random)
        self.fleet.later(seconds, lambda: self.run(lambda: self.receive(data)))

    def receive(self, data: bytes) -> None:
        """Apply a datagram."""
        message = orjson.loads(data)
        (topic,) = message
        self.quotas.handlers()[topic](message)

    def request(self, workspace: str) -> None:
        """Send one request of a workspace to this instance."""
        self.fleet.sent[workspace] += 1
        self.run(lambda: self._request(workspace))

    def _request(self, workspace: str) -> None:
        decision = self.quotas.decide(workspace, lambda: Wake(self, workspace))
        if not isinstance(decision, Waiter):
            is_refused = isinstance(decision, NotRun)
            expires_at = 0.0 if is_refused else decision
            self.fleet.record(workspace, decision if is_refused else None, expires_at)
            return
        decision.decided.begin(decision)


@define(eq=False)
class Wake:
    """The end of a wait, or its time-out."""

    node: Node
    workspace: str
    waiter: Waiter | None = None
    is_set: bool = False
    is_over: bool = False

    def set(self) -> None:
        """End the wait."""
        self.is_set = True
        if self.waiter is not None:
            self.end()

    def begin(self, waiter: Waiter) -> None:
        """Wait for the answer, which may have come already."""
        self.waiter = waiter
        if self.is_set:
            self.end()
        else:
            fleet = self.node.fleet
            fleet.later(WAIT_SECONDS, lambda: self.node.run(self.end))

    def end(self) -> None:
        """Record the result once."""
        if not self.is_over:
            self.is_over = True
            outcome = self.node.quotas.end_wait(self.workspace, self.waiter)
            self.node.fleet.record(self.workspace, outcome, self.waiter.expires_at)


@define
class Fleet:
    """Instances and the datagrams between them; times are in seconds."""

    config: AcceptedConfig
    seed: int = 1
    loss: float = 0.0
    #: Function that returns the seconds that a datagram takes.
    delay: Callable[[Random], float] = lambda random: random.uniform(0.0005, 0.003)
    duplicates: float = 0.0
    #: Whether instances outside the home sets get requests, too.
    others_serve: bool = False
    now: float = 0.0
    random: Random = Factory(lambda self: Random(self.seed), takes_self=True)
    node_by_name: dict[str, Node] = Factory(dict)
    #: Pairs (from, to) between which no datagram passes.
    cut: set[tuple[str, str]] = Factory(set)
    sent: Counter[str] = Factory(Counter)
    passed: Counter[str] = Factory(Counter)
    passes: list[tuple[float, str]] = Factory(list)
    refusals: list[NotRun] = Factory(list)
    datagrams: int = 0
    _events: list = Factory(list)
    _order: count = Factory(count)

    def add(self, names: Iterable[str], homes: tuple[str, ...]) -> None:
        """Start instances; all of the home sets have equal shares."""
        for name in names:
            share = 1 / len(homes) if name in homes else 0.0
            peer_ids = frozenset(homes) - {name}
            node = Node(self, name, FleetView(share, True, homes, peer_ids))
            self.node_by_name[name] = node
            node.start()

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after some seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a datagram after its delay, or lose it."""
        self.datagrams += 1
        if (sender, receiver) in self.cut:
            return
        for _ in range(1 + (self.random.random() < self.duplicates)):
            if self.random.random() >= self.loss:
                self.node_by_name[receiver].receive_later(data)

    def load(
        self, workspace: str, per_second: float, names: list[str], seconds: float
    ) -> None:
        """Send a workspace's requests at random times to instances at random."""
        if per_second <= 0:
            return
        end = self.now + seconds

        def send() -> None:
            if self.now < end:
                self.node_by_name[self.random.choice(names)].request(workspace)
                self.later(self.random.expovariate(per_second), send)

        self.later(self.random.expovariate(per_second), send)

    def record(
        self, workspace: str, refusal: NotRun | None, expires_at: float = 0.0
    ) -> None:
        """Record the decision on a request."""
        if refusal is None:
            self.passed[workspace] += 1
            self.passes.append((self.now, workspace))
        else:
            self.refusals.append(refusal)

    def forget(self) -> None:
        """Forget the counts, as after a warm-up."""
        self.sent.clear()
        self.passed.clear()

    def apply(self, config: AcceptedConfig) -> None:
        """Put a configuration in force at all instances."""
        self.config = config
        for node in self.node_by_name.values():
            node.run(lambda node=node: node.quotas.apply_config(config))

    def largest_window(self, workspace: str, since: float = 0.0) -> int:
        """Return the largest number of requests that passed in one window."""
        times = [at for at, name in self.passes if name == workspace and at >= since]
        largest = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - BOUNDS.window_seconds:
                first += 1
            largest = max(largest, last - first + 1)
        return largest

    def share_passed(self, workspace: str) -> float:
        """Return the share of a workspace's requests that passed."""
        return self.passed[workspace] / self.sent[workspace]


def home_names(zones: int = 3, size: int = 2) -> tuple[str, ...]:
    """Return the names of the instances of the home sets of some zones."""
    return tuple(f'home-{zone}-{each}' for zone in range(zones) for each in range(size))


def make_fleet(
    config: AcceptedConfig,
    homes: tuple[str, ...] = home_names(),
    others: int = 8,
    **fields: object,
) -> Fleet:
    """Return a fleet of home instances and others that has run for some seconds."""
    fleet = Fleet(config, **fields)
    fleet.add((*homes, *(f'other-{each}' for each in range(others))), homes)
    fleet.run(5.0)
    return fleet

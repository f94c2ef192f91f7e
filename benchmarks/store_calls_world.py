"""A store, and instances that read it and poll each other, without sockets.

Followers, tables and pollers are those of the product; time is that of a mock clock.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import trio
from attrs import Factory, define, frozen
from returns.result import Failure, Result, Success

from catkinslip.config.documents import Route, Service, SplitPart
from catkinslip.config.holder import ConfigHolder
from catkinslip.crashes.base import CrashRecord
from catkinslip.discovery.answers import PeerAnswers
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import (
    BackendEntry,
    Changes,
    InstanceEntry,
    InstanceRegistry,
    Listing,
    RuleSet,
    Source,
    ZoneEvacuation,
)
from catkinslip.discovery.follower import Follower, Outage
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.kinds import SharedKind, shared_kinds
from catkinslip.discovery.peers import PeerPoller
from catkinslip.discovery.ranking import rank
from catkinslip.discovery.registration import Registration
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply
from catkinslip.pages import PageHandler
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.store.base import Unavailable

#: Number of objects on a page of the store.
PAGE_OBJECTS = 50
SEEDS_PER_ZONE = 1
#: Cores of instances in small deployments, up to SMALL_COUNT, and in others.
WHOLE_CORES = 1.0
WEAK_CORES = 0.3
SMALL_COUNT = 20
CALL_SECONDS = 0.004
PEER_SECONDS = 0.002
#: Longest delay of a process's start, as not all processes start at once.
STAGGER_SECONDS = 0.5
REFUSED = Failure(Unavailable('reset'))


@frozen
class StoreCall:
    """One call to the store."""

    at: float
    instance_id: str
    kind: str
    action: str
    is_answered: bool


@define
class ReplayStore:
    """The store: one object of rules, servers, the list; it can refuse instances."""

    value_by_name_by_kind: dict[str, dict[str, object]]
    revision: int = 10
    changed_at_by_kind: dict[str, int] = Factory(dict)
    refused: Callable[[str], bool] = lambda _: False
    has_changed: trio.Event = Factory(trio.Event)
    calls: list[StoreCall] = Factory(list)

    def change(self, kind: str, name: str, value: object) -> None:
        """Change one object and wake the waiting calls."""
        self.revision += 1
        self.value_by_name_by_kind[kind][name] = value
        self.changed_at_by_kind[kind] = self.revision
        self._wake()

    def refuse(self, refused: Callable[[str], bool]) -> None:
        """Refuse the calls of some instances from now on, also the waiting ones."""
        self.refused = refused
        self._wake()

    def _wake(self) -> None:
        self.has_changed.set()
        self.has_changed = trio.Event()

    def record(self, instance_id: str, kind: str, action: str) -> bool:
        """Record a call; return whether the store answers it."""
        is_answered = not self.refused(instance_id)
        now = trio.current_time()
        self.calls.append(StoreCall(now, instance_id, kind, action, is_answered))
        return is_answered

    def calls_between(self, start: float, end: float) -> int:
        """Return the number of calls in a time on the clock."""
        return sum(start <= each.at < end for each in self.calls)


@define
class ReplaySource(Source, InstanceRegistry):
    """The calls of one instance for one kind."""

    store: ReplayStore
    instance_id: str
    kind: str

    async def read_all(self, *, may_be_stale: bool = False) -> Result:
        """Return all values, one call a page."""
        revision = self.store.revision
        count = len(self.store.value_by_name_by_kind[self.kind])
        for _ in range(max(1, -(-count // PAGE_OBJECTS))):
            if not self.store.record(self.instance_id, self.kind, 'read'):
                return REFUSED
            await trio.sleep(CALL_SECONDS)
        return Success(Listing(dict(self._values()), revision))

    async def wait_for_changes(self, revision: int, wait: float) -> Result:
        """Return changes, or none after the wait; fail as soon as refused."""
        is_answered = self.store.record(self.instance_id, self.kind, 'watch')
        await trio.sleep(CALL_SECONDS)
        with trio.move_on_after(wait):
            while is_answered and self._changed_at() <= revision:
                await self.store.has_changed.wait()
                is_answered = not self.store.refused(self.instance_id)
        if not is_answered:
            return REFUSED
        is_changed = self._changed_at() > revision
        changes = tuple(self._values().items()) if is_changed else ()
        return Success(Changes(changes, self.store.revision))

    async def announce(self, entry: InstanceEntry) -> Result:
        """Write an entry of the list."""
        if not self.store.record(self.instance_id, self.kind, 'create'):
            return REFUSED
        self.store.change(self.kind, entry.instance_id, entry)
        return Success(None)

    async def withdraw(self, instance_id: str) -> Result:
        """Remove an entry of the list."""
        self._values().pop(instance_id, None)
        return Success(None)

    def _values(self) -> dict[str, object]:
        return self.store.value_by_name_by_kind[self.kind]

    def _changed_at(self) -> int:
        return self.store.changed_at_by_kind.get(self.kind, 0)


@define
class ReplayInstance:
    """One instance: its table, its followers and its poller."""

    table: InstanceTable
    assembler: Assembler
    followers: list[Follower]
    poller: PeerPoller
    handler_by_path: dict[str, PageHandler]
    started_at: float = 0.0
    ready_at: float | None = None

    async def run(self, delay: float) -> None:
        """Run the instance until cancelled."""
        await trio.sleep(delay)
        self.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for follower in self.followers:
                nursery.start_soon(follower.run)
            nursery.start_soon(self.poller.run)
            while not self.assembler.is_ready or not self.followers[-1].is_known:
                await trio.sleep(0.02)
            self.table.is_own_ready = True
            self.ready_at = trio.current_time()


@define
class ReplayFleet:
    """All instances, the store and the network between them."""

    entries: list[InstanceEntry]
    store: ReplayStore
    random: Random
    instance_by_address: dict[str, ReplayInstance] = Factory(dict)
    #: Whether two zones reach each other.
    connects: Callable[[str, str], bool] = lambda _, __: True
    #: IDs of instances that do not start any more.
    dead: set[str] = Factory(set)
    scope: trio.CancelScope = Factory(trio.CancelScope)

    def ranked(self, zone: str) -> list[InstanceEntry]:
        """Return the instances of a zone in their ranking."""
        return rank(zone, [each for each in self.entries if each.zone == zone])

    def zones(self) -> list[str]:
        """Return the zones in order."""
        return sorted({each.zone for each in self.entries})

    def seeds(self) -> list[InstanceEntry]:
        """Return the first instances of each zone by number."""
        return [
            each
            for zone in self.zones()
            for each in [it for it in self.entries if it.zone == zone][:SEEDS_PER_ZONE]
        ]

    async def run(self) -> None:
        """Start all instances and run them until `stop`."""
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                for entry in self.entries:
                    if entry.instance_id in self.dead:
                        continue
                    instance = self._start(entry)
                    delay = self.random.uniform(0, STAGGER_SECONDS)
                    nursery.start_soon(instance.run, delay)

    def stop(self) -> None:
        """Kill all instances."""
        self.scope.cancel()
        self.instance_by_address.clear()

    def _start(self, entry: InstanceEntry) -> ReplayInstance:
        seeds = tuple(Address.parse(each.peer_address) for each in self.seeds())
        is_seed = entry.peer_address in map(str, seeds)
        table = InstanceTable(
            entry, is_starting=True, is_list_attempted=False, is_seed=is_seed
        )
        random = Random(self.random.random())
        source_of = partial(ReplaySource, self.store, entry.instance_id)
        outage = make_outage(table)
        followers = [
            Follower(
                kind,
                source_of(kind),
                random,
                reads_store=table.reads_store,
                wait_change=table.wait_change,
                outage=outage,
            )
            for kind in ('rules', 'backends', 'crashes', 'evacuations')
        ]
        assembler = Assembler(ConfigHolder(), followers[0], followers[1])
        assembler.start()
        table.is_reading = assembler.reads_now
        kinds = shared_kinds(
            SharedKind(CrashRecord, followers[2]),
            SharedKind(ZoneEvacuation, followers[3]),
        )
        answers = PeerAnswers(table, assembler, kinds)
        list_source = source_of('instances')
        poller = PeerPoller(
            table,
            assembler,
            kinds,
            ReplayClient(self, entry),
            random,
            seeds,
            list_source,
            Registration(list_source, entry),
        )
        instance = ReplayInstance(
            table, assembler, followers, poller, answers.handlers()
        )
        self.instance_by_address[entry.peer_address] = instance
        return instance

    async def until_version(self, version: int, seconds: float) -> float:
        """Return the seconds until all have a version, or `seconds` if some lack it."""
        start = trio.current_time()
        while trio.current_time() < start + seconds:
            all_of = self.instance_by_address.values()
            if all(each.assembler.rules_version >= version for each in all_of):
                break
            await trio.sleep(0.02)
        return trio.current_time() - start


def make_outage(table: InstanceTable) -> Outage:
    """Return the state of an outage for an instance, as the product wires it."""
    return Outage(table.try_pace)


class ReplayClient(PageClient):
    """A client that calls the pages of the other instances directly."""

    def __init__(self, fleet: ReplayFleet, own: InstanceEntry) -> None:
        """Connect an instance to a fleet."""
        self.fleet = fleet
        self.own = own

    async def send(
        self, address: Address, target: str, seconds: float, *_: object
    ) -> Reply | NotRun:
        """Return the page of an instance, or a failure if it does not answer."""
        await trio.sleep(PEER_SECONDS)
        peer = self.fleet.instance_by_address.get(str(address))
        if peer is None or not peer.started_at:
            return NotRun(Reason.CONNECT_FAILED, 'not started')
        if not self.fleet.connects(self.own.zone, peer.table.own.zone):
            await trio.sleep(seconds)
            return NotRun(Reason.CONNECT_FAILED, 'partition')
        path, _, query = target.partition('?')
        handler = peer.handler_by_path.get(path)
        if handler is None:
            return Reply(404, b'null')
        page = await handler(query)
        return Reply(page.status, page.body)


def rules_at(version: int) -> RuleSet:
    """Return rules with one service."""
    route = Route('a.example', '/a/', (SplitPart('limits'),))
    return RuleSet(version, {'limits': Service()}, {'a': route})


def make_fleet(count: int, zones: int, seed: int = 1) -> ReplayFleet:
    """Return a fleet whose instances the store lists already."""
    entries = [
        InstanceEntry(
            f'i{number}',
            f'zone-{number % zones}',
            'region-1',
            f'i{number}:80',
            f'i{number}:90',
            f'i{number}:91',
            WHOLE_CORES if count <= SMALL_COUNT else WEAK_CORES,
        )
        for number in range(count)
    ]
    backend = BackendEntry('one', 'limits', 'zone-0', '10.0.0.1', 80, 2)
    values = {
        'rules': {'rules': rules_at(1)},
        'backends': {'one': backend},
        'crashes': {},
        'evacuations': {},
        'instances': {each.instance_id: each for each in entries},
    }
    return ReplayFleet(entries, ReplayStore(values), Random(seed))

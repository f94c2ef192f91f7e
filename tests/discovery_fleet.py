"""A fleet of instances that follow a store, in one loop on a mock clock.

Only discovery runs: tables, followers, polls and their answers. Paths to the store and
between instances can be cut.
"""

from collections.abc import Callable, Iterable
from enum import Enum, auto, unique
from random import Random
from typing import Any

import orjson
import trio
import trio.testing
from attrs import Factory, define, field
from returns.result import Failure, Result, Success

from catkinslip.config.holder import ConfigHolder
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
from catkinslip.discovery.kinds import SharedKind, SharedKinds, shared_kinds
from catkinslip.discovery.notice_follower import NoticeFollower
from catkinslip.discovery.notices import TOPIC, ChangeNotices
from catkinslip.discovery.peers import PeerPoller
from catkinslip.discovery.registration import Registration
from catkinslip.discovery.store_probe import StoreProbe
from catkinslip.models import Address
from catkinslip.page_client import Reply
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.store.base import AnswerLost, Unavailable
from tests.discovery_builders import backend_entry, instance_entry, rule_set

ZONES = ('zone-a', 'zone-b', 'zone-c')
CALL_SECONDS = 0.004
HOP_SECONDS = 0.001
ANSWER_TIMEOUT_SECONDS = 1.5
#: Time in which the instances of a new fleet learn of each other's health.
SETTLE_SECONDS = 4.0


@unique
class StorePath(Enum):
    """What becomes of an instance's calls to the store."""

    OPEN = auto()
    REFUSED = auto()
    #: No answer arrives, also of calls that wait already.
    SILENT = auto()


@define(eq=False)
class FleetStore:
    """A store whose changes are visible some time after they were acknowledged."""

    lag_seconds: float = 0.0
    revision: int = 1
    #: Changes with the revision, the time from which they are visible, kind and name.
    history: list[tuple[int, float, str, str, Any]] = Factory(list)
    calls: int = 0
    #: Set when there are changes, or when paths to the store changed.
    changed: trio.Event = Factory(trio.Event)

    def put(self, kind: str, name: str, value: Any) -> None:
        """Acknowledge a change; the value None is a removal."""
        self.revision += 1
        visible_at = trio.current_time() + self.lag_seconds
        self.history.append((self.revision, visible_at, kind, name, value))
        self.wake()

    def wake(self) -> None:
        """Let the waiting calls look again."""
        self.changed.set()
        self.changed = trio.Event()

    async def wait_until(self, end: float) -> None:
        """Wait until something changed, or until a time."""
        now = trio.current_time()
        ends = [each[1] for each in self.history if each[1] > now]
        with trio.move_on_at(min([end, *ends])):
            await self.changed.wait()

    def visible(self, kind: str, after: int) -> list[tuple[int, str, Any]]:
        """Return the visible changes of a kind after a revision."""
        now = trio.current_time()
        return [
            (revision, name, value)
            for revision, visible_at, each, name, value in self.history
            if each == kind and revision > after and visible_at <= now
        ]


@define(eq=False)
class FleetSource(Source):
    """One instance's source of one kind of value."""

    store: FleetStore
    kind: str
    member: 'Member'

    async def read_all(self, *, may_be_stale: bool = False) -> Result:
        await self._answer_due(ANSWER_TIMEOUT_SECONDS)
        if self.member.path is not StorePath.OPEN:
            return self._failure()
        changes = self.store.visible(self.kind, 0)
        value_by_name = {name: value for _, name, value in changes}
        known = {name: it for name, it in value_by_name.items() if it is not None}
        return Success(Listing(known, changes[-1][0] if changes else 1))

    async def wait_for_changes(self, revision: int, wait: float) -> Result:
        await self._answer_due(wait + ANSWER_TIMEOUT_SECONDS)
        if self.member.path is not StorePath.OPEN:
            return self._failure()
        end = trio.current_time() + wait
        while trio.current_time() < end and not self.store.visible(self.kind, revision):
            await self.store.wait_until(end)
            if self.member.path is StorePath.SILENT:
                await trio.sleep_until(end + ANSWER_TIMEOUT_SECONDS)
                return self._failure()
            if self.member.path is StorePath.REFUSED:
                return self._failure()
        events = self.store.visible(self.kind, revision)
        last = events[-1][0] if events else revision
        return Success(Changes(tuple(each[1:] for each in events), last))

    async def _answer_due(self, timeout: float) -> None:
        self.store.calls += 1
        silent = self.member.path is StorePath.SILENT
        await trio.sleep(timeout if silent else CALL_SECONDS)

    def _failure(self) -> Result:
        if self.member.path is StorePath.REFUSED:
            return Failure(Unavailable('refused'))
        return Failure(AnswerLost('no answer'))


@define
class FixedList(Source):
    """A list of instances that never changes."""

    entry_by_id: dict[str, InstanceEntry]

    async def read_all(self, *, may_be_stale: bool = False) -> Result:
        await trio.sleep(CALL_SECONDS)
        return Success(Listing(self.entry_by_id, 1))

    async def wait_for_changes(self, revision: int, wait: float) -> Result:
        raise NotImplementedError


class NoRegistry(InstanceRegistry):
    """A registry in which all instances are listed."""

    async def announce(self, entry: InstanceEntry) -> Result:
        return Success(None)

    async def withdraw(self, instance_id: str) -> Result:
        return Success(None)


@define(eq=False)
class Member:
    """One instance of the fleet."""

    entry: InstanceEntry
    store: FleetStore
    path: StorePath = StorePath.OPEN
    #: Whether nothing passes between this instance and the others.
    is_cut: bool = False
    instances: InstanceTable = field(init=False)
    assembler: Assembler = field(init=False)
    kinds: SharedKinds = field(init=False)
    poller: PeerPoller = field(init=False)
    notices: ChangeNotices = field(init=False)
    answers: PeerAnswers = field(init=False)
    follower: NoticeFollower = field(init=False)
    probe: StoreProbe = field(init=False)

    def lose_store(self, path: StorePath) -> None:
        """Cut this instance off from the store."""
        self.path = path
        self.store.wake()

    @property
    def rank(self) -> int:
        """Return the position in the ranking of the own zone."""
        return self.instances.zone_view().position

    def freeze(self) -> None:
        """Let nothing reach this instance any more."""
        self.is_cut = True
        self.lose_store(StorePath.SILENT)


@define(eq=False)
class FleetClient:
    """A client of the other instances' pages."""

    fleet: 'Fleet'
    member: Member

    async def send(self, address: Address, target: str, seconds: float) -> object:
        """Return the answer of an instance, or why there is none."""
        other = self.fleet.member_by_id[address.host]
        if self.member.is_cut or other.is_cut:
            await trio.sleep(seconds)
            return NotRun(Reason.CONNECT_FAILED)
        await trio.sleep(HOP_SECONDS)
        path, _, query = target.partition('?')
        page = await other.answers.handlers()[path](query)
        await trio.sleep(HOP_SECONDS)
        if self.member.is_cut or other.is_cut:
            return Unknown(Reason.DEADLINE)
        return Reply(page.status, page.body)


@define(eq=False)
class Fleet:
    """Instances of several availability zones that know each other."""

    nursery: trio.Nursery
    random: Random
    store: FleetStore
    member_by_id: dict[str, Member] = Factory(dict)
    datagrams: int = 0
    #: Share of the datagrams that are lost.
    lost_share: float = 0.0

    async def start(self, size: int) -> None:
        """Start `size` instances in each zone and let them learn of each other."""
        self.store.put('rules', 'main', rule_set(1))
        self.store.put('backends', 'one', backend_entry('one'))
        self.store.put('evacuations', 'nowhere', ZoneEvacuation('nowhere'))
        await trio.sleep(self.store.lag_seconds)
        entries = [
            instance_entry(f'{zone}-{number}', zone)
            for zone in ZONES
            for number in range(size)
        ]
        for entry in entries:
            self._add(entry, entries)
        for member in self.member_by_id.values():
            for task in (
                member.assembler.rules.run,
                member.assembler.backends.run,
                member.assembler.run,
                *(it.follower.run for it in member.kinds.kind_by_name.values()),
                member.poller.run,
                member.notices.run,
                member.follower.run,
                member.probe.run,
            ):
                self.nursery.start_soon(task)
        await trio.sleep(SETTLE_SECONDS + self.random.random())

    def _add(self, entry: InstanceEntry, entries: list[InstanceEntry]) -> None:
        member = Member(entry, self.store)
        random = Random(self.random.random())
        table = member.instances = InstanceTable(
            entry, is_own_ready=True, is_seed=False
        )
        table.apply_list(entries, 1)
        probe_source = FleetSource(self.store, 'evacuations', member)
        outage = Outage(table.try_pace, probe_source=probe_source)

        def follower(kind: str) -> Follower:
            return Follower(
                kind,
                FleetSource(self.store, kind, member),
                random,
                reads_store=table.reads_store,
                wait_change=table.wait_change,
                outage=outage,
            )

        assembler = member.assembler = Assembler(
            ConfigHolder(), follower('rules'), follower('backends')
        )
        assembler.start()
        table.is_reading = assembler.reads_now
        evacuations = follower('evacuations')
        evacuations.listeners.append(
            lambda: assembler.evacuate(evacuations.value_by_name)
        )
        member.kinds = shared_kinds(SharedKind(ZoneEvacuation, evacuations))
        member.poller = PeerPoller(
            table,
            assembler,
            member.kinds,
            FleetClient(self, member),
            random,
            (),
            FixedList({each.instance_id: each for each in entries}),
            Registration(NoRegistry(), entry),
        )
        notices = member.notices = ChangeNotices(
            table,
            member.poller.catch_up.offered,
            member.poller.catch_up.known,
            random,
            lambda data, addresses: self._send_datagram(member, data, addresses),
        )
        assembler.config.listeners.append(lambda _: notices.note_change())
        evacuations.listeners.append(notices.note_change)
        member.probe = StoreProbe(
            evacuations.source,
            (assembler.rules, assembler.backends, evacuations),
            random,
            notices.send_loss,
        )
        member.follower = NoticeFollower(notices, member.poller.catch_up, random)
        member.answers = PeerAnswers(table, assembler, member.kinds)
        self.member_by_id[entry.instance_id] = member

    def _send_datagram(
        self, sender: Member, data: bytes, addresses: list[Address]
    ) -> None:
        self.datagrams += len(addresses)
        for address in addresses:
            self.nursery.start_soon(
                self._deliver, sender, self.member_by_id[address.host], data
            )

    async def _deliver(self, sender: Member, receiver: Member, data: bytes) -> None:
        await trio.sleep(HOP_SECONDS)
        is_lost = self.random.random() < self.lost_share
        if not (is_lost or sender.is_cut or receiver.is_cut):
            message = orjson.loads(data)
            notices = receiver.notices
            handle = notices.receive if TOPIC in message else notices.receive_loss
            handle(message)

    def ranked(self, zone: str) -> list[Member]:
        """Return the instances of a zone by rank: readers and leaders come first."""
        members = [it for it in self.member_by_id.values() if it.entry.zone == zone]
        return sorted(members, key=lambda member: member.rank)

    def calm(self) -> list[Member]:
        """Return the instances that nothing disturbs."""
        return [
            member
            for member in self.member_by_id.values()
            if member.path is StorePath.OPEN and not member.is_cut
        ]


def has_rules_before(version: int) -> Callable[[Member], bool]:
    """Return a predicate for instances with older rules than a version."""
    return lambda member: member.assembler.rules_version < version


def counts_as_ready(backend: str) -> Callable[[Member], bool]:
    """Return a predicate for instances that send requests to a server."""

    def is_behind(member: Member) -> bool:
        entry: BackendEntry | None = member.assembler.current_backends.get(backend)
        return entry is not None and not entry.is_draining

    return is_behind


def on_fleet(check: Callable, seed: int, size: int, lag_seconds: float = 0.0) -> Any:
    """Run an async check on a fleet and return its result."""

    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, Random(seed), FleetStore(lag_seconds))
            await fleet.start(size)
            result = await check(fleet)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def change_rules(fleet: Fleet, version: int) -> None:
    """Let the operators write a version of the rules."""
    rules: RuleSet = rule_set(version)
    fleet.store.put('rules', 'main', rules)


def lose_store(members: Iterable[Member], path: StorePath = StorePath.SILENT) -> None:
    """Cut some instances off from the store."""
    for member in members:
        member.lose_store(path)

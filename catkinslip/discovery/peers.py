"""Poll the other instances: who serves, and whether one of them knows more.

An instance that the store refuses or does not reach still learns of leaving servers
and new rules from its peers.
"""

import logging
from math import inf
from random import Random
from typing import Any

import orjson
import trio
from attrs import Factory, define
from returns.result import Failure, Success

from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import (
    InstanceEntry,
    Listing,
    News,
    Source,
)
from catkinslip.discovery.instances import InstanceTable, PeerHealth
from catkinslip.discovery.kinds import SharedKinds
from catkinslip.discovery.messages import (
    KIND_PATH,
    KNOWLEDGE_PATH,
    STATE_PATH,
    WITH_HEALTH,
    WITH_KNOWN,
    KindNews,
    Knowledge,
    PeerState,
    structure,
)
from catkinslip.discovery.registration import Registration
from catkinslip.discovery.revisions import era_of
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply

#: A dead peer leaves the address answers after two missed polls.
POLL_SECONDS = 0.5
#: Peers of other zones matter when a zone has none, or none that hears from the store;
#: bytes between zones cost.
FAR_POLL_SECONDS = 2.0
ANSWER_SECONDS = 0.4
#: For rules of any size, 1 MB at most, on a link of 10 Mbit/s.
WHOLE_ANSWER_SECONDS = 1.5
#: An instance that follows the store by itself is so much behind now and then.
BEHIND_SECONDS = 0.6
#: The list of instances may be seconds old: the polls tell who lives.
LIST_SECONDS = 5.0
FIRST_LIST_SECONDS = 0.5
#: A start asks the seeds when the store has not told the list by then; 313 entries take
#: 0.03 s of waiting where it answers in 4 ms (worked out).
LIST_WAIT_SECONDS = 0.3
#: All instances, some 200 bytes each, are asked of a peer that often at most.
MEMBERS_SECONDS = 1.0
#: Parts of what a peer knows that are fetched one after the other.
MOST_PARTS = 12
#: So long others that started too may still be reading the store.
START_SECONDS = 1.5

log = logging.getLogger('peers')


@define
class PeerPoller:
    """Poll the other instances until cancelled."""

    instances: InstanceTable
    assembler: Assembler
    kinds: SharedKinds
    client: PageClient
    random: Random
    seeds: tuple[Address, ...]
    source: Source[InstanceEntry]
    registration: Registration
    scope_by_id: dict[str, trio.CancelScope] = Factory(dict)
    #: Rules versions and revisions that peers had first, and when that was seen.
    seen_at_by_news: dict[tuple[int, int], float] = Factory(dict)
    #: When all instances were last asked of a peer, on the monotonic clock.
    asked_members_at: float = -inf

    async def run(self) -> None:
        """Announce this instance, find the others, poll each."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_seeds)
            nursery.start_soon(self._follow_list, nursery)
            nursery.start_soon(self._end_start)
            while True:
                leaders = self.instances.leaders()
                self._start_polls(nursery)
                if leaders:
                    await self._follow(leaders)
                await trio.sleep(POLL_SECONDS * self.random.uniform(0.9, 1.1))

    async def _follow(self, leaders: list[InstanceEntry]) -> None:
        """Ask one of the zone's first instances, or all of them if it is silent.

        Who is not of the first polls two a second instead of fifteen: the polls of 313
        instances in five zones take 1,060 a second instead of 4,800 (worked out).
        """
        first = self.random.choice(leaders)
        if await self._hear(first):
            return
        async with trio.open_nursery() as nursery:
            for entry in leaders:
                if entry is not first:
                    nursery.start_soon(self._hear, entry)

    async def _hear(self, entry: InstanceEntry) -> bool:
        """Poll an instance, and take what it tells of others; tell if it answers."""
        state = await self._poll(entry, WITH_HEALTH)
        if state is None:
            return False
        changed = self.instances.heard(
            entry.instance_id, state.health, state.lost_store
        )
        for instance_id in changed:
            health = self.instances.peer_by_id[instance_id].health
            log.info(
                'peers: %s is %s, says %s.',
                instance_id,
                health.name.lower(),
                entry.instance_id,
            )
        return True

    async def _end_start(self) -> None:
        await trio.sleep(START_SECONDS)
        self.instances.end_start()

    async def _ask_seeds(self) -> None:
        """Learn from a seed who there is, where the store tells of nobody near.

        313 instances that each ask three seeds, most of them in other zones, take
        44 MB between zones at a start (worked out).
        """
        own = self.instances.own.peer_address
        seeds = [address for address in self.seeds if str(address) != own]
        self.random.shuffle(seeds)
        with trio.move_on_after(LIST_WAIT_SECONDS):
            while not self.instances.is_listed:
                await self.instances.wait_change()
        for address in seeds:
            if self.instances.knows_near():
                return
            state = await self._read_state(address, WITH_KNOWN)
            if state is None:
                continue
            for entry in (state.instance, *state.known):
                self.instances.learn(entry)
            await self._catch_up(address, state)

    async def _compare_members(self, address: Address, state: PeerState) -> None:
        """Ask a peer for all instances where it knows others than this one does."""
        now = trio.current_time()
        if now - self.asked_members_at < MEMBERS_SECONDS:
            return
        if not self.instances.lacks(state.members, state.list_revision):
            return
        self.asked_members_at = now
        told = await self._read_state(address, WITH_KNOWN)
        if told is None:
            return
        entries = (told.instance, *told.known)
        self.instances.take_list(entries, told.list_revision)
        own_id = self.instances.own.instance_id
        is_known = any(entry.instance_id == own_id for entry in entries)
        if not is_known and self.registration.is_due(None):
            await self.registration.announce()

    async def _follow_list(self, nursery: trio.Nursery) -> None:
        delay = FIRST_LIST_SECONDS
        while True:
            if not self.instances.is_listed or self._reads_list():
                await self._read_list(nursery)
            if not self.instances.is_listed:
                self.instances.note_listed()
            await trio.sleep(delay * self.random.uniform(0.8, 1.2))
            delay = min(2 * delay, LIST_SECONDS)

    def _reads_list(self) -> bool:
        """Tell whether no peer tells this instance who there is.

        Each reading of 313 entries takes 7 calls of the store: all instances together
        would make 440 calls a second. Who sends to guarded servers reads it in any
        case, as its place rests on it.
        """
        instances = self.instances
        reads = instances.reads_store() or instances.may_be_sender()
        return reads or not instances.knows_ready()

    async def _read_list(self, nursery: trio.Nursery) -> None:
        asked_at = trio.current_time()
        match await self.source.read_all(may_be_stale=True):
            case Success(listing):
                entry_by_id = listing.value_by_name
                if era_of(listing.revision) > era_of(self.instances.list_revision):
                    self.registration.note_restored()
                self.instances.take_list(entry_by_id.values(), listing.revision)
                self._start_polls(nursery)
                listed = entry_by_id.get(self.instances.own.instance_id)
                is_own_listed = listed is not None
                self.instances.read_list(asked_at, is_own_listed=is_own_listed)
                if self.registration.is_due(listed):
                    nursery.start_soon(self.registration.announce)
            case Failure(error):
                log.info('peers: the list was not read. error=%s', error)

    def _start_polls(self, nursery: trio.Nursery) -> None:
        is_told = bool(self.instances.leaders())
        polled = [] if is_told else self.instances.to_poll()
        wanted = {each.instance_id: each for each in polled}
        for instance_id in list(self.scope_by_id):
            if instance_id not in wanted:
                self.scope_by_id.pop(instance_id).cancel()
                if not is_told:
                    self.instances.forget_health(instance_id)
        for instance_id, entry in wanted.items():
            if instance_id not in self.scope_by_id:
                scope = trio.CancelScope()
                self.scope_by_id[instance_id] = scope
                nursery.start_soon(self._poll_always, entry, scope)

    async def _poll_always(self, entry: InstanceEntry, scope: trio.CancelScope) -> None:
        with scope:
            while entry.instance_id in self.instances.peer_by_id:
                await self._poll(entry)
                await trio.sleep(self._pause(entry) * self.random.uniform(0.9, 1.1))
        if self.scope_by_id.get(entry.instance_id) is scope:
            del self.scope_by_id[entry.instance_id]

    def _pause(self, entry: InstanceEntry) -> float:
        if entry.zone == self.instances.own.zone:
            return POLL_SECONDS
        return FAR_POLL_SECONDS

    async def _poll(self, entry: InstanceEntry, query: str = '') -> PeerState | None:
        """Poll an instance; return its answer, None if there is none."""
        address = Address.parse(entry.peer_address)
        state = await self._read_state(address, query)
        if state is None or state.instance.instance_id != entry.instance_id:
            self._tell_health(entry, self.instances.missed(entry.instance_id))
            return None
        health = self.instances.answered(
            entry.instance_id,
            state.is_ready,
            reaches_store=state.reaches_store,
        )
        self._tell_health(entry, health)
        await self._catch_up(address, state)
        await self._learn_kinds(address, state)
        if entry.zone == self.instances.own.zone:
            await self._compare_members(address, state)
        return state

    def _tell_health(self, entry: InstanceEntry, health: PeerHealth | None) -> None:
        if health is not None:
            log.info('peers: %s is %s.', entry.instance_id, health.name.lower())

    async def _catch_up(self, address: Address, state: PeerState) -> None:
        """Fetch what a peer knows if that is newer than what is known here."""
        backends = self.assembler.backends
        if (
            state.rules_version <= self.assembler.rules_version
            and state.backends_revision <= backends.revision
        ):
            return
        self._forget_known()
        now = trio.current_time()
        news = (state.rules_version, state.backends_revision)
        self.seen_at_by_news.setdefault(news, now)
        is_following = backends.is_reachable and self.assembler.is_ready
        if is_following and now - min(self.seen_at_by_news.values()) < BEHIND_SECONDS:
            return
        self.assembler.doubt_store(state.rules_version, state.backends_revision)
        for _ in range(MOST_PARTS):
            since = backends.revision
            await self._fetch(address, state.instance.instance_id)
            if not since < backends.revision < state.backends_revision:
                return

    async def _fetch(self, address: Address, instance_id: str) -> None:
        """Fetch what a peer knows of rules and servers, or the first part of it."""
        since = self.assembler.backends.revision
        # Only where the store does not answer must a peer tell rules of any size.
        is_whole = self.assembler.rules.is_lost
        query = f'{self.assembler.rules_version}.{since}{".whole" * is_whole}'
        seconds = WHOLE_ANSWER_SECONDS if is_whole else ANSWER_SECONDS
        plain = await self._read(address, f'{KNOWLEDGE_PATH}?{query}', seconds)
        knowledge = structure(plain, Knowledge)
        if knowledge is not None:
            self._take(knowledge, since, f'peer {instance_id}')

    async def _learn_kinds(self, address: Address, state: PeerState) -> None:
        """Learn of the kinds of which a peer knows more."""
        for kind in self.kinds.behind(state.revision_by_kind):
            since = kind.follower.revision
            plain = await self._read(address, f'{KIND_PATH}?{kind.name}.{since}')
            news = structure(plain, KindNews)
            if news is not None:
                kind.take(news, since, f'peer {state.instance.instance_id}')

    def _take(self, knowledge: Knowledge, since: int, source: str) -> None:
        if knowledge.rules is not None:
            self.assembler.offer_rules(knowledge.rules)
            self.assembler.rules.reads_once = False
        elif knowledge.are_rules_large:
            self.assembler.rules.read_once()
        backends = self.assembler.backends
        revision = knowledge.backends_revision
        # Entries that lapsed in an outage are kept for a while, here too.
        backends.heard_regained(knowledge.regained_seconds)
        if knowledge.are_backends_large:
            backends.read_once()
        elif knowledge.changes is None:
            backends.offer(Listing(knowledge.backends, revision), source)
        else:
            changes = tuple((each.name, each.entry) for each in knowledge.changes)
            backends.learn(News(changes, revision), since)

    def _forget_known(self) -> None:
        """Forget news that this instance has by now."""
        rules = self.assembler.rules_version
        backends = self.assembler.backends.revision
        for news in list(self.seen_at_by_news):
            if news[0] <= rules and news[1] <= backends:
                del self.seen_at_by_news[news]

    async def _read_state(self, address: Address, query: str = '') -> PeerState | None:
        path = f'{STATE_PATH}?{query}' if query else STATE_PATH
        return structure(await self._read(address, path), PeerState)

    async def _read(
        self, address: Address, path: str, seconds: float = ANSWER_SECONDS
    ) -> Any | None:
        """Return what a peer answers; None if it does not in time."""
        reply = await self.client.send(address, path, seconds)
        if not isinstance(reply, Reply):
            log.debug('peers: no answer. address=%s reason=%s', address, reply)
            return None
        try:
            return orjson.loads(reply.body)
        except orjson.JSONDecodeError as error:
            log.warning('peers: an answer cannot be read. error=%r', error)
            return None

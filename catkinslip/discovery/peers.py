"""Poll the other instances: who serves, and whether one of them knows more.

An instance that the store refuses or does not reach still learns of leaving servers
and new rules from its peers.
"""

import logging
from random import Random
from typing import Any

import cattrs
import orjson
import trio
from attrs import Factory, define, frozen
from returns.result import Failure, Success

from catkinslip.config.documents import converter
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import (
    BackendEntry,
    InstanceBook,
    InstanceEntry,
    Listing,
    News,
    RuleSet,
    Source,
)
from catkinslip.discovery.instances import InstanceTable
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply
from catkinslip.pages import Page

STATE_PATH = '/peer/state'
KNOWLEDGE_PATH = '/peer/knowledge'
#: A dead peer leaves the address answers after two missed polls.
POLL_SECONDS = 0.5
#: Peers of other zones matter only when a zone has none; bytes between zones cost. Who
#: does not read the store learns what happens there from those that do.
FAR_POLL_SECONDS = 2.0
RARE_POLL_SECONDS = 6.0
ANSWER_SECONDS = 0.4
#: An instance that follows the store by itself is so much behind now and then.
BEHIND_SECONDS = 0.6
#: The list of instances may be seconds old: the polls tell who lives.
LIST_SECONDS = 5.0
FIRST_LIST_SECONDS = 0.5
#: Until then the list may be older than the own entry in it.
ANNOUNCE_AGAIN_SECONDS = 10.0
#: So long others that started too may still be reading the store.
START_SECONDS = 1.5

log = logging.getLogger('peers')

READ_ERRORS = (cattrs.BaseValidationError, KeyError, TypeError, ValueError)


@frozen
class PeerState:
    """What an instance tells of itself."""

    instance: InstanceEntry
    is_ready: bool
    rules_version: int
    backends_revision: int
    reaches_store: bool = True
    known: tuple[InstanceEntry, ...] = ()


@frozen
class NamedBackend:
    """A backend server that changed; without an entry it was removed."""

    name: str
    entry: BackendEntry | None


@frozen
class Knowledge:
    """What an instance knows of rules and backend servers, or what is newer of it."""

    #: None where the asker knows them.
    rules: RuleSet | None
    backends_revision: int
    #: Seconds since an outage of the store ended, as whoever read it saw.
    regained_seconds: float | None
    #: The changes since the asker's revision; None where all servers are told.
    changes: tuple[NamedBackend, ...] | None = None
    backends: dict[str, BackendEntry] = Factory(dict)


@define
class PeerAnswers:
    """Answer the polls of peers."""

    instances: InstanceTable
    assembler: Assembler

    async def state(self, query: str) -> Page:
        """Return what this instance tells of itself; `full` adds whom it knows."""
        known: tuple[InstanceEntry, ...] = ()
        if query == 'full':
            known = tuple(each.entry for each in self.instances.peer_by_id.values())
        state = PeerState(
            self.instances.own,
            self.instances.is_own_ready,
            self.assembler.rules_version,
            self.assembler.backends.changed_at,
            self.assembler.reaches_store,
            known,
        )
        return Page(200, orjson.dumps(converter.unstructure(state)))

    async def knowledge(self, query: str) -> Page:
        """Return what is newer than the rules version and revision in the query."""
        rules_version, _, revision = query.partition('.')
        if not (rules_version.isdecimal() and revision.isdecimal()):
            return Page(400)
        knowledge = self.newer(int(rules_version), int(revision))
        return Page(200, orjson.dumps(converter.unstructure(knowledge)))

    def newer(self, rules_version: int, revision: int) -> Knowledge:
        """Return what is newer than what an asker has."""
        assembler, backends = self.assembler, self.assembler.backends
        is_newer = assembler.rules_version > rules_version
        rules = assembler.current_rules if is_newer else None
        regained = backends.regained_seconds()
        changes = backends.changes.after(revision) if revision else None
        if changes is None:
            everything = backends.value_by_name
            return Knowledge(rules, backends.changed_at, regained, backends=everything)
        named = tuple(NamedBackend(name, entry) for name, entry in changes)
        return Knowledge(rules, backends.changed_at, regained, named)


@define
class PeerPoller:
    """Poll the other instances until cancelled."""

    instances: InstanceTable
    assembler: Assembler
    client: PageClient
    random: Random
    seeds: tuple[Address, ...]
    source: Source[InstanceEntry]
    book: InstanceBook
    announced_at: float = float('-inf')
    is_withdrawn: bool = False
    scope_by_id: dict[str, trio.CancelScope] = Factory(dict)
    #: Rules versions and revisions that peers had first, and when that was seen.
    seen_at_by_news: dict[tuple[int, int], float] = Factory(dict)

    async def run(self) -> None:
        """Announce this instance, find the others, poll each."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_seeds)
            nursery.start_soon(self._follow_list, nursery)
            nursery.start_soon(self._end_start)
            while True:
                self._start_polls(nursery)
                await trio.sleep(POLL_SECONDS)

    async def withdraw(self) -> None:
        """Take this instance out of the list for good."""
        self.is_withdrawn = True
        match await self.book.withdraw(self._own_id):
            case Failure(error):
                log.warning('peers: not withdrawn. error=%s', error)

    async def _end_start(self) -> None:
        await trio.sleep(START_SECONDS)
        self.instances.is_starting = False

    async def _announce(self) -> None:
        match await self.book.announce(self.instances.own):
            case Success(_):
                self.announced_at = trio.current_time()
                log.info('peers: announced. instance=%s', self._own_id)
            case Failure(error):
                log.warning('peers: not announced yet. error=%s', error)

    def _must_announce(self, listed: InstanceEntry | None) -> bool:
        """Tell whether the list, which may be seconds old, should name this instance.

        Most starts find their entry of before in it and save the call.
        """
        if self.is_withdrawn or listed == self.instances.own:
            return False
        return trio.current_time() - self.announced_at > ANNOUNCE_AGAIN_SECONDS

    @property
    def _own_id(self) -> str:
        return self.instances.own.instance_id

    async def _ask_seeds(self) -> None:
        """Learn from the seeds whatever the store does not tell yet."""
        for address in self.seeds:
            if str(address) == self.instances.own.peer_address:
                continue
            state = await self._read_state(address, 'full')
            if state is None:
                continue
            for entry in (state.instance, *state.known):
                self.instances.learn(entry)
            await self._catch_up(address, state)

    async def _follow_list(self, nursery: trio.Nursery) -> None:
        delay = FIRST_LIST_SECONDS
        while True:
            await self._read_list(nursery)
            self.instances.is_listed = True
            await trio.sleep(delay * self.random.uniform(0.8, 1.2))
            delay = min(2 * delay, LIST_SECONDS)

    async def _read_list(self, nursery: trio.Nursery) -> None:
        match await self.source.read_all(may_be_stale=True):
            case Success(listing):
                entry_by_id = listing.value_by_name
                for entry in entry_by_id.values():
                    self.instances.learn(entry)
                self.instances.keep_only(set(entry_by_id))
                self._start_polls(nursery)
                if self._must_announce(entry_by_id.get(self._own_id)):
                    nursery.start_soon(self._announce)
            case Failure(error):
                log.info('peers: the list was not read. error=%s', error)

    def _start_polls(self, nursery: trio.Nursery) -> None:
        wanted = {each.instance_id: each for each in self.instances.to_poll()}
        for instance_id in list(self.scope_by_id):
            if instance_id not in wanted:
                self.scope_by_id.pop(instance_id).cancel()
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
        reads = self.instances.reads_store()
        return FAR_POLL_SECONDS if reads else RARE_POLL_SECONDS

    async def _poll(self, entry: InstanceEntry) -> None:
        address = Address.parse(entry.peer_address)
        state = await self._read_state(address)
        if state is None or state.instance.instance_id != entry.instance_id:
            health = self.instances.missed(entry.instance_id)
        else:
            health = self.instances.answered(
                entry.instance_id,
                state.is_ready,
                reaches_store=state.reaches_store,
            )
            await self._catch_up(address, state)
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
        since = backends.revision
        query = f'{self.assembler.rules_version}.{since}'
        plain = await self._read(address, f'{KNOWLEDGE_PATH}?{query}')
        knowledge = structure(plain, Knowledge)
        if knowledge is not None:
            self._take(knowledge, since, f'peer {state.instance.instance_id}')

    def _take(self, knowledge: Knowledge, since: int, source: str) -> None:
        if knowledge.rules is not None:
            self.assembler.offer_rules(knowledge.rules)
        backends = self.assembler.backends
        revision = knowledge.backends_revision
        # Entries that lapsed in an outage are kept for a while, here too.
        backends.heard_regained(knowledge.regained_seconds)
        if knowledge.changes is None:
            backends.offer(Listing(knowledge.backends, revision), source)
            return
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

    async def _read(self, address: Address, path: str) -> Any | None:
        """Return what a peer answers; None if it does not in time."""
        reply = await self.client.ask(address, path, ANSWER_SECONDS)
        if not isinstance(reply, Reply):
            log.debug('peers: no answer. address=%s reason=%s', address, reply)
            return None
        try:
            return orjson.loads(reply.body)
        except orjson.JSONDecodeError as error:
            log.warning('peers: an answer cannot be read. error=%r', error)
            return None


def structure(plain: Any, wanted: type) -> Any | None:
    """Return plain data as a value of a class; None for what cannot be one."""
    if plain is None:
        return None
    try:
        return converter.structure(plain, wanted)
    except READ_ERRORS as error:
        log.warning('peers: an answer cannot be read. error=%r', error)
        return None

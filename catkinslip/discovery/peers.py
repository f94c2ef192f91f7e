"""Polls of the other instances, for their health and for newer rules and servers.

An instance that the store refuses or that does not reach it still gets leaving servers
and new rules from its peers.
"""

import logging
from functools import partial
from math import inf
from random import Random

import trio
from attrs import Factory, define
from returns.result import Failure, Success

from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import InstanceEntry, Source
from catkinslip.discovery.catch_up import CatchUp, read_page
from catkinslip.discovery.first_list import DIRECT_READ_CORES
from catkinslip.discovery.instances import InstanceTable, PeerHealth
from catkinslip.discovery.kinds import SharedKinds
from catkinslip.discovery.messages import (
    READER_PATH,
    STATE_PATH,
    WITH_HEALTH,
    WITH_KNOWN,
    InstanceList,
    PeerState,
    structure,
)
from catkinslip.discovery.paths import PeerPaths
from catkinslip.discovery.registration import Registration
from catkinslip.discovery.seed_lists import SeedLists
from catkinslip.models import Address
from catkinslip.page_client import PageClient

#: Interval of polls in the own zone. A dead peer is left out of the address answers
#: after two missed polls.
POLL_SECONDS = 0.5
#: Interval of polls in other zones. Their instances are needed only where a zone has no
#: other one, or none that reaches the store, and traffic between zones has a price.
FAR_POLL_SECONDS = 2.0
#: Interval of reads of the list of instances, longest and first. The list may be some
#: seconds old, as the polls show which instances are alive.
LIST_SECONDS = 5.0
#: Time after the first list of a seed in which the polls of all leaders have ended.
POLLED_SECONDS = 0.8
FIRST_LIST_SECONDS = 0.5
#: Time after which an instance that starts queries the seeds, if the store has not sent
#: the list. 313 entries take 0.03 s where the store answers in 4 ms (calculated).
LIST_WAIT_SECONDS = 0.3
#: Shortest time between two requests for all instances, some 200 bytes each.
MEMBERS_SECONDS = 1.0
#: Time after a start in which peers that started too may still be reading the store.
START_SECONDS = 1.5

log = logging.getLogger('peers')


@define
class PeerPoller:
    """A poller of the other instances of catkinslip."""

    instances: InstanceTable
    assembler: Assembler
    kinds: SharedKinds
    client: PageClient
    random: Random
    seeds: tuple[Address, ...]
    source: Source[InstanceEntry]
    registration: Registration
    catch_up: CatchUp = Factory(
        lambda self: CatchUp(self.assembler, self.kinds, self.client), takes_self=True
    )
    scope_by_id: dict[str, trio.CancelScope] = Factory(dict)
    #: When all instances were last requested from a peer, on the monotonic clock.
    requested_members_at: float = -inf

    async def run(self) -> None:
        """Announce this instance, find the others and poll them until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start, nursery)
            nursery.start_soon(self._end_start)
            while True:
                leaders = self.instances.leaders()
                self._start_polls(nursery)
                if leaders:
                    await self._poll_leaders(leaders)
                await trio.sleep(POLL_SECONDS * self.random.uniform(0.9, 1.1))

    async def _poll_leaders(self, leaders: list[InstanceEntry]) -> None:
        """Poll one leader of the zone, or all of them if that one does not answer.

        An instance that is no leader makes two polls a second this way, and not
        fifteen: 313 instances in five zones make 1,060 polls a second instead of 4,800
        (calculated).
        """
        if self.instances.announces_reader():
            await self._announce_reader(leaders)
        first = self.random.choice(leaders)
        if await self._poll_leader(first):
            return
        async with trio.open_nursery() as nursery:
            for entry in leaders:
                if entry is not first:
                    nursery.start_soon(self._poll_leader, entry)

    async def _announce_reader(self, leaders: list[InstanceEntry]) -> None:
        """Announce to the leaders that this instance reads the store, as they do not.

        They poll it then, so that its values reach the whole zone.
        """
        path = f'{READER_PATH}?{self.instances.own.instance_id}'
        async with trio.open_nursery() as nursery:
            for entry in leaders:
                address = Address.parse(entry.peer_address)
                nursery.start_soon(read_page, self.client, address, path)

    async def _poll_leader(self, entry: InstanceEntry) -> bool:
        """Poll a leader and apply its report of others; return whether it answered."""
        state = await self._poll(entry, WITH_HEALTH)
        if state is None:
            return False
        changed = self.instances.apply_peer_report(
            entry.instance_id,
            state.health,
            state.lost_store,
            state.readers,
            state.cut_off,
        )
        for instance_id in changed:
            health = self.instances.peer_by_id[instance_id].health
            log.info(
                'peers: health changed. instance=%s health=%s reporter=%s',
                instance_id,
                health.name.lower(),
                entry.instance_id,
            )
        return True

    async def _end_start(self) -> None:
        await trio.sleep(START_SECONDS)
        self.instances.end_start_phase()

    async def _start(self, nursery: trio.Nursery) -> None:
        """Get the first list of instances, then follow it."""
        delay = FIRST_LIST_SECONDS
        if self.seeds and not self.instances.is_seed:
            await self._get_first_list(nursery)
        if self.instances.list_revision:
            # Polls show meanwhile whether others read the list.
            delay = POLLED_SECONDS
            await trio.sleep(delay)
        nursery.start_soon(self._query_seeds)
        await self._follow_list(nursery, delay)

    async def _get_first_list(self, nursery: trio.Nursery) -> None:
        """Get the list from the store with many cores, else from a seed."""
        read_list = partial(self._read_list, nursery)
        if self.instances.own.cores < DIRECT_READ_CORES:
            apply = partial(self._apply_first_list, nursery)
            await self._seed_lists().wait_first(read_list, apply)
            return
        await read_list()
        if not self.instances.is_list_attempted:
            self.instances.record_list_attempt()
        # The store may have refused the seeds.
        nursery.start_soon(self._seed_lists().offer)

    def _seed_lists(self) -> SeedLists:
        return SeedLists(self.instances, self.client, self.random, self.seeds)

    def _apply_first_list(self, nursery: trio.Nursery, listed: InstanceList) -> None:
        own = self.instances.own
        entry_by_id = {each.instance_id: each for each in listed.instances}
        self.instances.apply_list(listed.instances, listed.revision)
        self.instances.is_own_listed = own.instance_id in entry_by_id
        log.info(
            'peers: list of instances read from a seed. revision=%d count=%d',
            listed.revision,
            len(entry_by_id),
        )
        self._start_polls(nursery)
        if self.registration.is_due(entry_by_id.get(own.instance_id)):
            nursery.start_soon(self.registration.announce)

    async def _query_seeds(self) -> None:
        """Get the instances from a seed where the store lists none in the own zone.

        If all 313 instances queried three seeds each, most of them in other zones, a
        start would take 44 MB between zones (calculated).
        """
        own = self.instances.own.peer_address
        seeds = [address for address in self.seeds if str(address) != own]
        self.random.shuffle(seeds)
        with trio.move_on_after(LIST_WAIT_SECONDS):
            while not self.instances.is_list_attempted:
                await self.instances.wait_change()
        for address in seeds:
            if self.instances.has_zone_peer():
                return
            state = await self._read_state(address, WITH_KNOWN)
            if state is None:
                continue
            for entry in (state.instance, *state.known):
                self.instances.add_instance(entry)
            await self.catch_up.run(state.instance, state.versions())

    async def _compare_members(self, address: Address, state: PeerState) -> None:
        """Request all instances from a peer whose newer list has other ones."""
        if self.instances.is_of_restored_store(state.list_revision):
            # An instance that does not read the list would not see that its entry is
            # missing.
            self.registration.is_unsure = not self.instances.reads_list()
        await self.registration.announce_if_unsure()
        now = trio.current_time()
        if now - self.requested_members_at < MEMBERS_SECONDS:
            return
        if not self.instances.is_behind(state.members, state.list_revision):
            return
        self.requested_members_at = now
        answer = await self._read_state(address, WITH_KNOWN)
        if answer is None:
            return
        entries = (answer.instance, *answer.known)
        self.instances.apply_list(entries, answer.list_revision)
        own_id = self.instances.own.instance_id
        is_known = any(entry.instance_id == own_id for entry in entries)
        if not is_known and self.registration.is_due(None):
            await self.registration.announce()

    async def _follow_list(self, nursery: trio.Nursery, delay: float) -> None:
        while True:
            offered = await self._seed_lists().accept_offer()
            if offered is not None:
                self._apply_first_list(nursery, offered)
            if not self.instances.is_list_attempted or self.instances.reads_list():
                await self._read_list(nursery)
            if not self.instances.is_list_attempted:
                self.instances.record_list_attempt()
            await trio.sleep(delay * self.random.uniform(0.8, 1.2))
            if self.instances.list_revision or not self.instances.is_seed:
                # All others wait for a seed that has no list.
                delay = min(2 * delay, LIST_SECONDS)

    async def _read_list(self, nursery: trio.Nursery) -> None:
        asked_at = trio.current_time()
        match await self.source.read_all(may_be_stale=True):
            case Success(listing):
                entry_by_id = listing.value_by_name
                if self.instances.is_of_restored_store(listing.revision):
                    self.registration.note_restored()
                self.instances.apply_list(entry_by_id.values(), listing.revision)
                self._start_polls(nursery)
                listed = entry_by_id.get(self.instances.own.instance_id)
                is_own_listed = listed is not None
                self.instances.record_store_list(asked_at, is_own_listed=is_own_listed)
                if self.registration.is_due(listed):
                    nursery.start_soon(self.registration.announce)
            case Failure(error):
                log.info('peers: list of instances not read. error=%s', error)

    def _start_polls(self, nursery: trio.Nursery) -> None:
        has_leaders = bool(self.instances.leaders())
        polled = [] if has_leaders else self.instances.to_poll()
        wanted = {each.instance_id: each for each in polled}
        for instance_id in list(self.scope_by_id):
            if instance_id not in wanted:
                self.scope_by_id.pop(instance_id).cancel()
                if not has_leaders:
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
        """Poll an instance and apply its answer; return None if there is none."""
        address = Address.parse(entry.peer_address)
        state = await self._read_state(address, query)
        if state is None or state.instance.instance_id != entry.instance_id:
            self._log_health(
                entry, self.instances.record_missed_poll(entry.instance_id)
            )
            return None
        health = self.instances.record_answer(
            entry.instance_id,
            state.is_ready,
            reaches_store=state.reaches_store,
        )
        self._log_health(entry, health)
        self._record_paths(entry, state.paths)
        await self.catch_up.run(state.instance, state.versions())
        if entry.zone == self.instances.own.zone:
            await self._compare_members(address, state)
        return state

    def _record_paths(self, entry: InstanceEntry, paths: PeerPaths) -> None:
        if self.instances.record_paths(entry.instance_id, paths):
            log.info(
                'peers: paths to servers changed. instance=%s lost=%s cut_off=%s',
                entry.instance_id,
                ','.join(paths.lost_services) or '-',
                paths.is_cut_off,
            )

    def _log_health(self, entry: InstanceEntry, health: PeerHealth | None) -> None:
        if health is not None:
            log.info(
                'peers: health changed. instance=%s health=%s',
                entry.instance_id,
                health.name.lower(),
            )

    async def _read_state(self, address: Address, query: str = '') -> PeerState | None:
        path = f'{STATE_PATH}?{query}' if query else STATE_PATH
        return structure(await read_page(self.client, address, path), PeerState)

"""The table of known instances: their health, and which of them callers may use."""

from collections.abc import Callable, Collection, Iterable, Mapping

import trio
import xxhash
from attrs import Factory, define, evolve, field

from catkinslip.discovery import readers
from catkinslip.discovery.announced_readers import AnnouncedReaders
from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.paths import PeerPaths
from catkinslip.discovery.peer_health import ANSWERING, Peer, PeerHealth
from catkinslip.discovery.restored_lists import RestoredList, is_of_later_era
from catkinslip.discovery.zone_rankings import ZoneRankings
from catkinslip.models import Address
from catkinslip.quotas.view import FleetView
from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender
from catkinslip.warmup.senders import SenderLease, SenderPosition

#: Number of polled instances beside the home set of the own zone, and in each other
#: zone; silent ones are not counted.
NEAR_POLLED = 4
FAR_POLLED = 2


def never() -> bool:
    """Return False: no call of this instance to the store succeeded."""
    return False


@define
class InstanceTable:
    """The known instances, with this one among them from the start."""

    own: InstanceEntry
    is_own_ready: bool = False
    #: Whether this instance started so recently that its peers may have no more values
    #: than it has.
    is_starting: bool = False
    #: Whether a read of the list of instances has ended, also if it failed.
    is_list_attempted: bool = True
    #: Event that is set when the readers of the store may have changed.
    has_changed: trio.Event = Factory(trio.Event)
    #: Whether the list holds this instance, as it does after an earlier start.
    is_own_listed: bool = True
    #: Whether instances that know no other one query this one first.
    is_seed: bool = True
    sender_lease: SenderLease = Factory(SenderLease)
    peer_by_id: dict[str, Peer] = Factory(dict)
    #: Revision of the store at which the applied list was read.
    list_revision: int = 0
    restored_list: RestoredList = Factory(RestoredList)
    #: Whether the first applied list, from the store or a peer, held this instance.
    was_listed: bool = False
    #: Function that returns whether the last call of this instance to the store
    #: succeeded.
    is_reading: Callable[[], bool] = never
    #: Function that returns the paths from this instance to servers.
    own_paths: Callable[[], PeerPaths] = PeerPaths
    #: Readers of last resort that a leader reported last.
    reported_readers: frozenset[str] = frozenset()
    #: Address of an instance that offers the list while this one has none.
    list_offer: Address | None = None
    _announced: AnnouncedReaders = field(factory=AnnouncedReaders, init=False)
    _digest: str | None = field(default=None, init=False)
    #: Rankings of the zones; cleared when an instance is added or removed.
    _rankings: ZoneRankings = field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Connect the rankings to the known instances."""
        self._rankings = ZoneRankings(self.own, self._entries)

    def add_instance(self, entry: InstanceEntry) -> None:
        """Add the entry of an instance, or replace its earlier one."""
        if entry.instance_id == self.own.instance_id:
            return
        peer = self.peer_by_id.get(entry.instance_id)
        if peer is None or peer.entry != entry:
            self.peer_by_id[entry.instance_id] = Peer(entry)
            self._forget_ranking()

    def apply_list(self, entries: Iterable[InstanceEntry], revision: int) -> None:
        """Apply the list of instances, as it was at a revision of the store."""
        known = list(entries)
        if not self.list_revision:
            self.was_listed = any(
                entry.instance_id == self.own.instance_id for entry in known
            )
        for entry in known:
            self.add_instance(entry)
        if revision >= self.list_revision:
            self._set_list_revision(revision)
            if not self.restored_list.may_be_incomplete():
                self.remove_unlisted({entry.instance_id for entry in known})

    def is_behind(self, digest: str, revision: int) -> bool:
        """Return whether a peer has a newer list with other instances than this one.

        `digest` and `revision` are those of the peer. Where the peer has the same
        instances its newer revision is recorded.
        """
        if revision <= self.list_revision:
            return False
        if digest == self.digest():
            self._set_list_revision(revision)
            return False
        return True

    def is_of_restored_store(self, revision: int) -> bool:
        """Return whether a list is of a store that was restored since the own list."""
        return is_of_later_era(revision, self.list_revision)

    def _set_list_revision(self, revision: int) -> None:
        self.restored_list.compare(self.list_revision, revision)
        self.list_revision = revision

    def remove_unlisted(self, instance_ids: set[str]) -> None:
        """Remove instances that are no longer listed and do not answer."""
        for instance_id, peer in list(self.peer_by_id.items()):
            peer.record_list(instance_id in instance_ids)
            if peer.is_removable():
                del self.peer_by_id[instance_id]
                self._forget_ranking()

    def _forget_ranking(self) -> None:
        self._rankings.clear()
        self._digest = None
        self.notify_change()

    def notify_change(self) -> None:
        """Notify the waiting tasks that the readers of the store may have changed."""
        self.has_changed.set()

    async def wait_change(self) -> None:
        """Wait until the readers of the store may have changed."""
        if self.has_changed.is_set():
            self.has_changed = trio.Event()
        await self.has_changed.wait()

    def record_store_list(self, asked_at: float, *, is_own_listed: bool) -> None:
        """Record that this instance read the list from the store itself.

        `asked_at` is the start of the read on the monotonic clock.
        """
        self.is_own_listed = is_own_listed
        now = trio.current_time()
        self.sender_lease.record_list(asked_at, now, is_listed=is_own_listed)
        self.notify_change()

    def leave(self) -> None:
        """Mark this instance as leaving, so that callers are no longer sent to it."""
        self.is_own_ready = False
        self.sender_lease.leave()

    def sender(self) -> Sender | None:
        """Return this instance's position among its zone's senders to cold servers."""
        now = trio.current_time()
        return self.sender_lease.sender(
            self.own.zone, self._rankings.sender_rank(), now
        )

    def sender_position(self) -> SenderPosition | None:
        """Return the position as a sender, also if the list may have changed since."""
        now = trio.current_time()
        return self.sender_lease.position(
            self.own.zone, self._rankings.sender_rank(), now
        )

    def may_be_sender(self) -> bool:
        """Return whether this instance would be a sender if it read the list itself."""
        return self.is_own_listed and self._rankings.sender_rank() < SENDERS_PER_ZONE

    def end_start_phase(self) -> None:
        """End the start phase: from now on peers are assumed to have all values."""
        self.is_starting = False
        self.notify_change()

    def record_list_attempt(self) -> None:
        """Record that a read of the list of instances has ended."""
        self.is_list_attempted = True
        self.notify_change()

    def digest(self) -> str:
        """Return a hash of the known instances, this one among them."""
        if self._digest is None:
            names = sorted(
                f'{each.instance_id} {each.caller_address}' for each in self._entries()
            )
            self._digest = xxhash.xxh3_64_hexdigest('\n'.join(names).encode())
        return self._digest

    def record_answer(
        self, instance_id: str, is_ready: bool, *, reaches_store: bool = True
    ) -> PeerHealth | None:
        """Record the answer to a poll; return the peer's health if it changed."""
        health = PeerHealth.READY if is_ready else PeerHealth.NOT_READY
        peer = self.peer_by_id.get(instance_id)
        if peer is not None and peer.reaches_store != reaches_store:
            peer.reaches_store = reaches_store
            self.notify_change()
        return self._set_health(instance_id, health)

    def health_by_id(self) -> dict[str, PeerHealth]:
        """Return the health of the other instances by ID, where it is known."""
        return {
            instance_id: peer.health
            for instance_id, peer in self.peer_by_id.items()
            if peer.health is not PeerHealth.UNKNOWN
        }

    def lost_store_ids(self) -> list[str]:
        """Return the IDs of the ready instances that do not reach the store."""
        return [
            instance_id
            for instance_id, peer in self.peer_by_id.items()
            if peer.health is PeerHealth.READY and not peer.reaches_store
        ]

    def apply_peer_report(
        self,
        reporter: str,
        health_by_id: Mapping[str, PeerHealth],
        lost_store: Iterable[str],
        readers: Iterable[str] = (),
        cut_off: Iterable[str] = (),
    ) -> list[str]:
        """Apply a peer's report of the instances it polls; return the IDs that changed.

        The health of instances that the report lacks becomes unknown, as no newer one
        is known.
        """
        changed = []
        lost_store_ids = frozenset(lost_store)
        cut_off_ids = frozenset(cut_off)
        if self.reported_readers != frozenset(readers):
            self.reported_readers = frozenset(readers)
            self.notify_change()
        for instance_id in self.health_by_id().keys() | health_by_id.keys():
            peer = self.peer_by_id.get(instance_id)
            if peer is None or instance_id == reporter:
                continue
            health = health_by_id.get(instance_id, PeerHealth.UNKNOWN)
            is_cut_off = instance_id in cut_off_ids
            peer.paths = evolve(peer.paths, is_cut_off=is_cut_off)
            reaches_store = instance_id not in lost_store_ids
            if peer.reaches_store != reaches_store:
                peer.reaches_store = reaches_store
                self.notify_change()
            if self._set_health(instance_id, health) is not None:
                changed.append(instance_id)
        return changed

    def record_paths(self, instance_id: str, paths: PeerPaths) -> bool:
        """Record the paths that a peer reported; return whether services changed."""
        peer = self.peer_by_id.get(instance_id)
        if peer is None:
            return False
        before, peer.paths = peer.paths, paths
        return before.lost_services != paths.lost_services

    def ready_peers(self) -> list[Peer]:
        """Return the other instances that are ready."""
        peers = self.peer_by_id.values()
        return [peer for peer in peers if peer.health is PeerHealth.READY]

    def cut_off_ids(self) -> list[str]:
        """Return the IDs of the ready instances that reach no server."""
        peers = self.ready_peers()
        return [peer.entry.instance_id for peer in peers if peer.paths.is_cut_off]

    def forget_health(self, instance_id: str) -> None:
        """Reset the health of an instance that is no longer polled to unknown."""
        self._set_health(instance_id, PeerHealth.UNKNOWN)

    def record_missed_poll(self, instance_id: str) -> PeerHealth | None:
        """Record a poll without an answer; return the peer's health if it changed."""
        peer = self.peer_by_id.get(instance_id)
        if peer is None:
            return None
        return self._health_if_new(peer, peer.record_missed_poll())

    def budget_divisor(self) -> float:
        """Return the divisor that gives this instance's part of a shared budget."""
        return self._rankings.budget_divisor()

    def home_size(self, zone: str) -> int:
        """Return the number of instances in the home set of a zone."""
        return self._rankings.home_size(zone)

    def reads_store(self) -> bool:
        """Return whether this instance reads the store itself, not through its peers.

        The first instances in the zone's ranking that reach the store are the readers.
        An instance that does not know the health of all before it reads only if none of
        those that it knows does. While a zone starts its home set reads at once, so
        that callers do not wait. On its very first start an instance is not listed, and
        only the seeds read.
        """
        if not self.is_list_attempted:
            return False
        if self.is_starting and not self.is_own_listed and not self.is_seed:
            return False
        view = self.zone_view()
        if self.is_starting and view.position < self.home_size(self.own.zone):
            return True
        return readers.reads_store(view)

    def reads_list(self) -> bool:
        """Return whether this instance reads the list of instances from the store.

        Each read of 313 entries takes 7 calls to the store, so that all instances
        together would make 440 calls a second. An instance that sends to restricted
        servers always reads the list, as its position depends on it.
        """
        if self.may_be_sender():
            return True
        if not self.is_starting and not self.has_answering_zone_peer():
            return True
        return self.reads_store() and readers.reads_list(self.zone_view())

    def try_pace(self) -> readers.TryPace:
        """Return how this instance spreads its tries where calls to the store fail."""
        view = self.zone_view()
        if self.is_starting and view.position < self.home_size(self.own.zone):
            return readers.BACKOFF_PACE
        return readers.try_pace(view)

    def zone_view(self) -> readers.ZoneView:
        """Return what is known of the readers of the own zone."""
        ranked = self._ranked(self.own.zone)
        position = ranked.index(self.own)
        before = ranked[:position]
        return readers.ZoneView(
            position,
            len(self._polled(self.own.zone)) + 1,
            len(ranked),
            sum(map(self._is_reader, before)),
            sum(map(self._lost_store, before)),
            len(self.reported_readers - {self.own.instance_id}),
            self.is_reading(),
            is_polled=not before or any(map(self._is_polled, before)),
        )

    def announces_reader(self) -> bool:
        """Return whether the leaders have to be told that this instance reads."""
        if not self.is_reading():
            return False
        return self.zone_view().role is readers.ReaderRole.LAST_RESORT

    def add_announced_reader(self, instance_id: str) -> bool:
        """Poll a reader of last resort for some time; return whether it is new."""
        if instance_id not in self.peer_by_id:
            return False
        return self._announced.add(instance_id, trio.current_time())

    def announced_readers(self) -> list[str]:
        """Return the IDs of announced readers that are ready and reach the store."""
        return [
            peer.entry.instance_id
            for peer in self._announced_peers()
            if peer.health is PeerHealth.READY and peer.reaches_store
        ]

    def _announced_peers(self) -> list[Peer]:
        if not self._announced.until_by_id:
            return []
        peers = map(self.peer_by_id.get, self._announced.ids(trio.current_time()))
        return [peer for peer in peers if peer is not None]

    def _is_polled(self, entry: InstanceEntry) -> bool:
        return self.peer_by_id[entry.instance_id].health is not PeerHealth.UNKNOWN

    def _is_reader(self, entry: InstanceEntry) -> bool:
        peer = self.peer_by_id[entry.instance_id]
        if self.is_starting:
            # Peers that start now read the store too, before they are ready.
            return peer.health is not PeerHealth.SILENT
        # While no instance is ready yet, those ahead in rank wait for values in the
        # store.
        has_answered = peer.health is PeerHealth.READY or (
            peer.health is PeerHealth.NOT_READY and not self.is_own_ready
        )
        return has_answered and peer.reaches_store

    def _lost_store(self, entry: InstanceEntry) -> bool:
        return self.peer_by_id[entry.instance_id].has_lost_store

    def to_poll(self) -> list[InstanceEntry]:
        """Return the instances to poll: those that callers may get, and a few more.

        Their number in each zone is fixed, however many instances there are.
        """
        zones = {entry.zone for entry in self._entries()}
        polled = [each for zone in zones for each in self._polled(zone)]
        announced = [peer.entry for peer in self._announced_peers()]
        return [*polled, *(each for each in announced if each not in polled)]

    def _polled(self, zone: str) -> list[InstanceEntry]:
        is_near = zone == self.own.zone
        count = self.home_size(zone) + NEAR_POLLED if is_near else FAR_POLLED
        others = [each for each in self._ranked(zone) if each is not self.own]
        silent = sum(map(self._is_silent, others[:count]))
        return others[: count + silent]

    def leaders(self) -> list[InstanceEntry]:
        """Return the leaders of the own zone, which report the health of all others.

        The first instances of the zone's ranking poll each other, and each of the rest
        polls one of these. The list is empty if this instance is one of the first.
        """
        polled = self._polled(self.own.zone)
        if self._ranked(self.own.zone).index(self.own) <= len(polled):
            return []
        return [each for each in polled if not self._is_silent(each)]

    def record_store_lost(self, instance_id: str) -> bool:
        """Record that an instance lost the store; return whether that is new."""
        peer = self.peer_by_id.get(instance_id)
        if peer is None or not peer.reaches_store:
            return False
        peer.reaches_store = False
        self.notify_change()
        return True

    def polled_near(self) -> list[InstanceEntry]:
        """Return the leaders of the own zone, others than this instance."""
        return self._polled(self.own.zone)

    def is_near(self, instance_id: str) -> bool:
        """Return whether another known instance is of the own zone."""
        peer = self.peer_by_id.get(instance_id)
        return peer is not None and peer.entry.zone == self.own.zone

    def notified_near(self) -> list[InstanceEntry]:
        """Return the other instances of the own zone that may answer."""
        near = self._ranked(self.own.zone)
        return [
            each for each in near if not (each is self.own or self._is_silent(each))
        ]

    def notified_far_by_zone(self) -> dict[str, list[InstanceEntry]]:
        """Return the instances that may answer of each other zone."""
        zones = {entry.zone for entry in self._entries()} - {self.own.zone}
        return {
            zone: [each for each in self._ranked(zone) if not self._is_silent(each)]
            for zone in sorted(zones)
        }

    def has_zone_peer(self) -> bool:
        """Return whether another instance of the own zone is known."""
        return len(self._ranked(self.own.zone)) > 1

    def has_answering_zone_peer(self) -> bool:
        """Return whether another instance of the own zone is known to answer."""
        return any(
            peer.health in ANSWERING and peer.entry.zone == self.own.zone
            for peer in self.peer_by_id.values()
        )

    def _is_silent(self, entry: InstanceEntry) -> bool:
        if entry is self.own:
            return False
        return self.peer_by_id[entry.instance_id].health is PeerHealth.SILENT

    def report_address(self, instance_id: str) -> Address | None:
        """Return the address for datagrams to an instance; None if it is not known."""
        peer = self.peer_by_id.get(instance_id)
        return None if peer is None else Address.parse(peer.entry.report_address)

    def home_peers(self) -> list[InstanceEntry]:
        """Return the other ready instances in the home set of the own zone."""
        return [
            each for each in self._ready_home_set(self.own.zone) if each is not self.own
        ]

    def serving_peers(self) -> list[InstanceEntry]:
        """Return the other ready instances in the home sets of all zones."""
        zones = {entry.zone for entry in self._entries()}
        homes = [each for zone in zones for each in self._ready_home_set(zone)]
        return [each for each in homes if each is not self.own]

    def quota_view(self) -> FleetView:
        """Return what the quotas of workspaces need of the list of instances.

        The instances of all home sets generate equal shares, also silent ones: they may
        only be unreachable and still use their shares.
        """
        zones = sorted({entry.zone for entry in self._entries()})
        homes = [self._ranked(zone)[: self.home_size(zone)] for zone in zones]
        home = [entry for entries in homes for entry in entries]
        has_list = self.list_revision > 0
        has_share = has_list and self.own in home
        peer_ids = frozenset(each.instance_id for each in home if each is not self.own)
        return FleetView(
            1 / len(home) if has_share else 0.0,
            self.was_listed,
            tuple(each.instance_id for each in home if self._may_be_pool(each)),
            peer_ids if has_list else None,
        )

    def _may_be_pool(self, entry: InstanceEntry) -> bool:
        """Return whether an instance may be a pool of permits.

        One that is not ready starts or leaves. Where this one starts too, probably all
        do, and the polls show only seconds later that the others are ready.
        """
        if entry is self.own:
            return self.is_own_ready or self.is_starting
        health = self.peer_by_id[entry.instance_id].health
        if health is PeerHealth.NOT_READY:
            return self.is_starting
        return health is not PeerHealth.SILENT

    def usable(
        self, zone: str, region: str = '', bound_regions: Collection[str] = ()
    ) -> list[InstanceEntry]:
        """Return the instances for callers of a zone; the list is never empty.

        They are the first of these groups that has a member: the ready home set of the
        zone; the ready instances of its region; those of the regions that the callers'
        requests are bound to; all ready instances; the home set of the zone without
        silent ones, which is ready first where all start at once; all instances.
        Instances that reach no server are left out where others do.
        """
        near = self._ready_home_set(zone)
        if near:
            return self._reaching(near, region)
        ready = [entry for entry in self._entries() if self._is_ready(entry)]
        in_region = [entry for entry in ready if entry.region == region]
        in_bound_region = [entry for entry in ready if entry.region in bound_regions]
        starting = self._answering_home_set(zone)
        return in_region or in_bound_region or ready or starting or self._entries()

    def _reaching(self, near: list[InstanceEntry], region: str) -> list[InstanceEntry]:
        """Return instances of a home set that reach servers.

        Where these are less than half of it, those of the region join them; where no
        instance reaches servers, the home set is returned as it is.
        """
        reaching = [entry for entry in near if not self._is_cut_off(entry)]
        if 2 * len(reaching) >= len(near):
            return reaching
        others = [
            entry
            for entry in self._entries()
            if entry.region == region
            and entry not in near
            and self._is_ready(entry)
            and not self._is_cut_off(entry)
        ]
        return [*reaching, *others] or near

    def _is_cut_off(self, entry: InstanceEntry) -> bool:
        if entry is self.own:
            return self.own_paths().is_cut_off
        return self.peer_by_id[entry.instance_id].paths.is_cut_off

    def _answering_home_set(self, zone: str) -> list[InstanceEntry]:
        """Return the home set of a zone without silent instances, ready or not.

        With it 39 of 900 callers around the loss of 118 instances are refused, without
        it 161 (one run each).
        """
        ranked = [each for each in self._ranked(zone) if not self._is_silent(each)]
        return ranked[: self.home_size(zone)]

    def _ready_home_set(self, zone: str) -> list[InstanceEntry]:
        ready = [each for each in self._ranked(zone) if self._is_ready(each)]
        return ready[: self.home_size(zone)]

    def _is_ready(self, entry: InstanceEntry) -> bool:
        if entry is self.own:
            return self.is_own_ready
        return self.peer_by_id[entry.instance_id].health is PeerHealth.READY

    def _entries(self) -> list[InstanceEntry]:
        return [self.own, *(peer.entry for peer in self.peer_by_id.values())]

    def _ranked(self, zone: str) -> list[InstanceEntry]:
        """Return the instances of a zone, the preferred ones for callers first."""
        return self._rankings.ranked(zone)

    def _set_health(self, instance_id: str, health: PeerHealth) -> PeerHealth | None:
        peer = self.peer_by_id.get(instance_id)
        if peer is None:
            return None
        return self._health_if_new(peer, peer.set_health(health, 0))

    def _health_if_new(self, peer: Peer, is_new: bool) -> PeerHealth | None:
        if is_new:
            self.notify_change()
        return peer.health if is_new else None

"""Which instances there are, and which of them callers may use."""

from enum import Enum, auto, unique

from attrs import Factory, define

from catkinslip.discovery.base import InstanceEntry

#: Polls in a row without an answer after which an instance is taken as gone.
MISSED_POLLS = 2


@unique
class PeerHealth(Enum):
    """What the polls of a peer told last."""

    UNKNOWN = auto()
    READY = auto()
    #: It answers but takes no new callers: it starts or stops.
    NOT_READY = auto()
    SILENT = auto()


@define
class Peer:
    """One other instance as this one sees it."""

    entry: InstanceEntry
    health: PeerHealth = PeerHealth.UNKNOWN
    missed: int = 0


@define
class InstanceTable:
    """Hold the known instances; this one is known from the start."""

    own: InstanceEntry
    is_own_ready: bool = False
    peer_by_id: dict[str, Peer] = Factory(dict)

    def count(self) -> int:
        """Return the instances that share a budget, those that are silent included.

        A silent one may only be out of reach and spend its share all the same.
        """
        return 1 + len(self.peer_by_id)

    def learn(self, entry: InstanceEntry) -> None:
        """Take the entry of an instance."""
        if entry.instance_id == self.own.instance_id:
            return
        peer = self.peer_by_id.get(entry.instance_id)
        if peer is None or peer.entry != entry:
            self.peer_by_id[entry.instance_id] = Peer(entry)

    def keep_only(self, instance_ids: set[str]) -> None:
        """Forget silent instances that are no longer listed."""
        for instance_id, peer in list(self.peer_by_id.items()):
            if instance_id not in instance_ids and peer.health is PeerHealth.SILENT:
                del self.peer_by_id[instance_id]

    def answered(self, instance_id: str, is_ready: bool) -> PeerHealth | None:
        """Take the answer to a poll; return the health if it is new."""
        health = PeerHealth.READY if is_ready else PeerHealth.NOT_READY
        return self._set(instance_id, health, 0)

    def missed(self, instance_id: str) -> PeerHealth | None:
        """Take a poll without an answer; return the health if it is new."""
        peer = self.peer_by_id.get(instance_id)
        if peer is None:
            return None
        missed = peer.missed + 1
        health = PeerHealth.SILENT if missed >= MISSED_POLLS else peer.health
        return self._set(instance_id, health, missed)

    def near(self) -> list[InstanceEntry]:
        """Return the other instances of the own zone that answer."""
        return [
            peer.entry
            for peer in self.peer_by_id.values()
            if peer.entry.zone == self.own.zone
            and peer.health in (PeerHealth.READY, PeerHealth.NOT_READY)
        ]

    def usable(self, zone: str) -> list[InstanceEntry]:
        """Return the instances for callers of a zone, never none if one is known.

        Those of the zone if any is ready; else all ready ones; else all.
        """
        ready = [
            peer.entry
            for peer in self.peer_by_id.values()
            if peer.health is PeerHealth.READY
        ]
        if self.is_own_ready:
            ready.append(self.own)
        near = [entry for entry in ready if entry.zone == zone]
        if near or ready:
            return near or ready
        return [self.own, *(peer.entry for peer in self.peer_by_id.values())]

    def _set(
        self, instance_id: str, health: PeerHealth, missed: int
    ) -> PeerHealth | None:
        peer = self.peer_by_id.get(instance_id)
        if peer is None:
            return None
        is_new = peer.health is not health
        peer.health = health
        peer.missed = missed
        return health if is_new else None

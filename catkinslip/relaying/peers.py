"""The choice of the instance to which a request is relayed."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from random import Random

from attrs import Factory, define

from catkinslip.discovery.peer_health import Peer

#: Requests of this instance in flight at one other instance. With 16 instances that
#: relay to one, these take a fifth of its descriptors.
MAX_IN_FLIGHT = 50


@define
class RelayPeers:
    """The instances that reach servers, and the requests relayed to each of them."""

    zone: str
    random: Random
    #: Returns the other instances that are ready.
    ready_peers: Callable[[], Iterable[Peer]]
    in_flight_by_id: Counter[str] = Factory(Counter)

    def choose(self, service: str, excluded: Collection[str]) -> Peer | None:
        """Return the instance with the fewest requests of this one; None without one.

        A full one is left out; among equals the own availability zone is preferred.
        """
        candidates = [
            peer
            for peer in self.ready_peers()
            if self._has_room(peer) and peer.entry.instance_id not in excluded
        ]
        reaching = [peer for peer in candidates if peer.paths.reaches(service)]
        if not reaching:
            return None
        return min(reaching, key=self._rank)

    def _has_room(self, peer: Peer) -> bool:
        return self.in_flight_by_id[peer.entry.instance_id] < MAX_IN_FLIGHT

    def _rank(self, peer: Peer) -> tuple[int, bool, float]:
        in_flight = self.in_flight_by_id[peer.entry.instance_id]
        return in_flight, peer.entry.zone != self.zone, self.random.random()

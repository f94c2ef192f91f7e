"""What this instance may send to servers that name a rate."""

from collections.abc import Callable, Mapping
from math import inf

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.routing.gates import Gate, RestrictedServer, RestrictionReason
from catkinslip.throttling.book import NamedRate, RateBook
from catkinslip.throttling.shares import own_rate
from catkinslip.warmup.quotas import Sender
from catkinslip.warmup.senders import SenderPosition

#: A server that nobody was heard of from for so long is asked by the next call that it
#: could answer at once: its need may be over.
HEARD_SECONDS = 1.0
#: A server that names a rate is probed beside the calls after so long.
UNHEARD_SECONDS = 0.5

Divide = Callable[[BackendLoad, float], Mapping[Sender, float]]


def no_place() -> SenderPosition | None:
    """Return no place: the instance sends nothing to servers that name a rate."""
    return None


def give_nobody(load: BackendLoad, per_second: float) -> Mapping[Sender, float]:
    """Let nobody send to a server that names a rate."""
    return {}


@define
class ThrottledServer(RestrictedServer):
    """A server that names a rate, and what this instance may send it."""

    rate: NamedRate
    #: The beginning of the need that this holds for.
    began_at: float = NEVER
    #: The rate that was divided last, and its parts.
    divided: float = -1.0
    rate_by_sender: Mapping[Sender, float] = Factory(dict)

    def count_sent(self, now: float) -> None:
        """Count a request right before its first byte."""
        self.rate.sent_at = now


@define
class ThrottleGate(Gate):
    """Keep requests from servers in need beyond this instance's part of their rate."""

    reason = RestrictionReason.RATE

    divide: Divide = give_nobody
    place: Callable[[], SenderPosition | None] = no_place
    book: RateBook = Factory(RateBook)
    server_by_id: dict[str, ThrottledServer] = Factory(dict)

    def closed(self, now: float) -> list[str]:
        """Return the servers that this instance may send nothing now."""
        return [
            server.load.backend_id
            for server, wait_seconds in self._waits(now)
            if wait_seconds > 0
        ]

    def due(self, now: float) -> list[str]:
        """Return the servers with room that nobody has been heard of from lately."""
        return [
            server.load.backend_id
            for server, wait_seconds in self._waits(now)
            if wait_seconds == 0 and now - server.rate.named_at >= HEARD_SECONDS
        ]

    def unheard(self, now: float) -> list[BackendLoad]:
        """Return the servers to probe, as their need may be over.

        A rate of 0.1 a second lets a request tell of the end after 10 s.
        """
        return [
            rate.load
            for rate in self.book.holding()
            if not rate.are_probes_mute and now - rate.named_at >= UNHEARD_SECONDS
        ]

    def find(self, load: BackendLoad | None, now: float) -> ThrottledServer | None:
        """Return a server as it is guarded; None if it is not."""
        rate = self.book.find(load)
        return None if rate is None else self._server(rate)

    def has_room(self, server: ThrottledServer, now: float) -> bool:
        """Tell whether this instance may send another request."""
        return self._wait_seconds(server, self.place(), now) == 0

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server takes its usual share of the load."""
        return self.book.find(load) is None

    def restore(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may be in need."""
        self.server_by_id.pop(load.backend_id, None)
        self.book.take_back(load)

    def forget(self, load: BackendLoad) -> None:
        """Take that a server is gone."""
        self.book.forget(load)
        self.server_by_id.pop(load.backend_id, None)

    def _waits(self, now: float) -> list[tuple[ThrottledServer, float]]:
        """Return the servers that name a rate, and the time until the turn of each."""
        if not self.book.rate_by_id:
            return []
        place = self.place()
        servers = [self._server(rate) for rate in self.book.holding()]
        return [(each, self._wait_seconds(each, place, now)) for each in servers]

    def _server(self, rate: NamedRate) -> ThrottledServer:
        server = self.server_by_id.get(rate.load.backend_id)
        if server is None:
            server = ThrottledServer(rate.load, rate)
            self.server_by_id[rate.load.backend_id] = server
        if server.began_at != rate.began_at:
            server.began_at = rate.began_at
            # What was sent before the rate was known counts.
            rate.sent_at = max(rate.sent_at, *(rate.load.sent_at or ()), NEVER)
        return server

    def _wait_seconds(
        self, server: ThrottledServer, place: SenderPosition | None, now: float
    ) -> float:
        """Return the time until another request may be sent; no end without a part."""
        per_second = server.rate.per_second
        if server.divided != per_second:
            server.divided = per_second
            server.rate_by_sender = self.divide(server.load, per_second)
        rate = own_rate(server.rate_by_sender, place)
        if rate <= 0 or server.reserved:
            return inf
        return max(0.0, server.rate.sent_at + 1 / rate - now)

"""The gate that limits what this instance sends to servers that advertise a rate."""

from collections.abc import Callable, Mapping
from math import inf

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.routing.gates import Gate, RestrictedServer, RestrictionReason
from catkinslip.throttling.registry import AdvertisedRate, RateRegistry
from catkinslip.throttling.shares import local_rate
from catkinslip.warmup.quotas import Sender
from catkinslip.warmup.senders import SenderPosition

#: Seconds since the last known answer with the rate after which the next request that
#: the server could answer at once goes there, as the throttling may be over.
STALE_SECONDS = 1.0
#: Seconds since the last known answer with the rate after which the server is probed in
#: addition to requests.
PROBE_AGE_SECONDS = 0.5

Divide = Callable[[BackendLoad, float], Mapping[Sender, float]]


def no_place() -> SenderPosition | None:
    """Return None: the instance sends nothing to servers that advertise a rate."""
    return None


def no_shares(load: BackendLoad, per_second: float) -> Mapping[Sender, float]:
    """Return no shares: no instance sends to a server that advertises a rate."""
    return {}


@define
class ThrottledServer(RestrictedServer):
    """A server that advertises a rate, and what this instance may send to it."""

    rate: AdvertisedRate
    #: Start of the throttling for which this state is valid, in monotonic seconds.
    began_at: float = NEVER
    #: Requests per second that were divided last, and the share of each sender.
    divided_rate: float = -1.0
    rate_by_sender: Mapping[Sender, float] = Factory(dict)

    def count_sent(self, now: float) -> None:
        """Count a request right before its first byte."""
        self.rate.sent_at = now


@define
class ThrottleGate(Gate):
    """A gate that limits requests to throttled servers to this instance's share."""

    reason = RestrictionReason.RATE

    divide: Divide = no_shares
    place: Callable[[], SenderPosition | None] = no_place
    registry: RateRegistry = Factory(RateRegistry)
    server_by_id: dict[str, ThrottledServer] = Factory(dict)

    def closed(self, now: float) -> list[str]:
        """Return the IDs of the servers that this instance may send nothing now."""
        return [
            server.load.backend_id
            for server, wait_seconds in self._waits(now)
            if wait_seconds > 0
        ]

    def due(self, now: float) -> list[str]:
        """Return the IDs of the servers with room whose last advertised rate is old."""
        return [
            server.load.backend_id
            for server, wait_seconds in self._waits(now)
            if wait_seconds == 0 and now - server.rate.advertised_at >= STALE_SECONDS
        ]

    def stale_servers(self, now: float) -> list[BackendLoad]:
        """Return the servers to probe because their throttling may be over.

        At a rate of 0.1 requests a second, requests alone would show its end only after
        10 s.
        """
        return [
            rate.load
            for rate in self.registry.active_rates()
            if not rate.are_probes_without_rate
            and now - rate.advertised_at >= PROBE_AGE_SECONDS
        ]

    def find(self, load: BackendLoad | None, now: float) -> ThrottledServer | None:
        """Return the throttled server of a load; None if it is not throttled."""
        rate = self.registry.find(load)
        return None if rate is None else self._server(rate)

    def has_room(self, server: ThrottledServer, now: float) -> bool:
        """Return whether this instance may send the server another request now."""
        return self._wait_seconds(server, self.place(), now) == 0

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server handles its usual share of the load."""
        return self.registry.find(load) is None

    def restore(self, load: BackendLoad) -> None:
        """Add a server, and restore its rate if the same start of it was removed."""
        self.server_by_id.pop(load.backend_id, None)
        self.registry.restore(load)

    def forget(self, load: BackendLoad) -> None:
        """Remove a server."""
        self.registry.forget(load)
        self.server_by_id.pop(load.backend_id, None)

    def _waits(self, now: float) -> list[tuple[ThrottledServer, float]]:
        """Return the throttled servers, each with the seconds until its next turn."""
        if not self.registry.rate_by_id:
            return []
        place = self.place()
        servers = [self._server(rate) for rate in self.registry.active_rates()]
        return [(each, self._wait_seconds(each, place, now)) for each in servers]

    def _server(self, rate: AdvertisedRate) -> ThrottledServer:
        server = self.server_by_id.get(rate.load.backend_id)
        if server is None:
            server = ThrottledServer(rate.load, rate)
            self.server_by_id[rate.load.backend_id] = server
        if server.began_at != rate.began_at:
            server.began_at = rate.began_at
            # Requests that were sent before the rate was known count too.
            rate.sent_at = max(rate.sent_at, *(rate.load.sent_at or ()), NEVER)
        return server

    def _wait_seconds(
        self, server: ThrottledServer, place: SenderPosition | None, now: float
    ) -> float:
        """Return the seconds until another request may be sent, or infinity.

        The result is infinite if this instance has no share, or has reserved its turn
        already.
        """
        per_second = server.rate.per_second
        if server.divided_rate != per_second:
            server.divided_rate = per_second
            server.rate_by_sender = self.divide(server.load, per_second)
        rate = local_rate(server.rate_by_sender, place)
        if rate <= 0 or server.reserved:
            return inf
        return max(0.0, server.rate.sent_at + 1 / rate - now)

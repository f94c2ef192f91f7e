"""Gate that stops requests to servers in a rest period.

A server requests a rest period from each instance separately, so nothing is divided
among instances and no other instance is informed. When a rest period ends the server
may still refuse all requests, and all waiting requests would arrive at once. Therefore
one trial request after the other is sent until the server accepts one.
"""

from attrs import Factory, define

from catkinslip.resting.registry import Rest, RestRegistry
from catkinslip.routing.base import BackendLoad
from catkinslip.routing.gates import Gate, RestrictedServer, RestrictionReason


@define
class RestingServer(RestrictedServer):
    """A server in a rest period, which gets no requests."""

    rest: Rest

    def count_sent(self, now: float) -> None:
        """Do nothing, as no request is sent during a rest period."""


@define
class RestGate(Gate):
    """Gate that stops requests to the servers of one service in a rest period."""

    reason = RestrictionReason.REST

    registry: RestRegistry = Factory(RestRegistry)

    def closed(self, now: float) -> list[str]:
        """Return the IDs of the servers in a rest period or on trial after it."""
        return [
            backend_id
            for backend_id, rest in self.registry.rest_by_id.items()
            if now < rest.until or rest.is_on_trial
        ]

    def find(self, load: BackendLoad | None, now: float) -> RestingServer | None:
        """Return the restriction of a server in a rest period, or None."""
        rest = self.registry.find(load, now)
        return None if rest is None else RestingServer(rest.load, rest)

    def has_room(self, server: RestrictedServer, now: float) -> bool:
        """Return False, as a server in a rest period may get no request."""
        return False

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server takes its usual share of the load."""
        return self.registry.find(load, now) is None

    def wait_seconds(self, load: BackendLoad, now: float) -> float:
        """Return the seconds until the rest period of a server ends."""
        rest = self.registry.find(load, now)
        return 0.0 if rest is None else rest.remaining(now)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server may be probed, i.e. is not in a rest period."""
        return self.registry.find(load, now) is None

    def restore(self, load: BackendLoad) -> None:
        """Restore the rest period of a server that is registered again."""
        self.registry.restore(load)

    def forget(self, load: BackendLoad) -> None:
        """Keep the rest period of a removed server.

        The entry of the server may expire and return.
        """

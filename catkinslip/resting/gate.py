"""Keep requests from servers that asked this instance for rest.

Each instance is asked by itself, so nothing is divided and nobody else is told. When a
rest is over the server may still turn all away, and all that waited would come at once:
one request after the other tries it until it takes one.
"""

from attrs import Factory, define

from catkinslip.resting.registry import Rest, RestRegistry
from catkinslip.routing.base import BackendLoad
from catkinslip.routing.gates import Gate, RestrictedServer, RestrictionReason


@define
class RestingServer(RestrictedServer):
    """A server whose rest lasts: it may get nothing."""

    rest: Rest

    def count_sent(self, now: float) -> None:
        """Count nothing: no request is sent to it."""


@define
class RestGate(Gate):
    """Keep requests from the servers of one service whose rest lasts."""

    reason = RestrictionReason.REST

    registry: RestRegistry = Factory(RestRegistry)

    def closed(self, now: float) -> list[str]:
        """Return the servers that rest, or are being tried after it."""
        return [
            backend_id
            for backend_id, rest in self.registry.rest_by_id.items()
            if now < rest.until or rest.is_on_trial
        ]

    def find(self, load: BackendLoad | None, now: float) -> RestingServer | None:
        """Return a server as it is guarded; None if it is not."""
        rest = self.registry.find(load, now)
        return None if rest is None else RestingServer(rest.load, rest)

    def has_room(self, server: RestrictedServer, now: float) -> bool:
        """Tell that a resting server may get no request."""
        return False

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server takes its usual share of the load."""
        return self.registry.find(load, now) is None

    def wait_seconds(self, load: BackendLoad, now: float) -> float:
        """Return the seconds until the rest of a server ends."""
        rest = self.registry.find(load, now)
        return 0.0 if rest is None else rest.remaining(now)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server may be probed: it wants nothing from this instance."""
        return self.registry.find(load, now) is None

    def restore(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may rest."""
        self.registry.restore(load)

    def forget(self, load: BackendLoad) -> None:
        """Keep what a server asked for: its entry may lapse and be back."""

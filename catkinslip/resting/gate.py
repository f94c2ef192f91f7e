"""Keep requests from servers that asked this instance for rest.

Each instance is asked by itself, so nothing is divided and nobody else is told. When a
rest is over the server may still turn all away, and all that waited would come at once:
one request after the other tries it until it takes one.
"""

from attrs import Factory, define

from catkinslip.resting.book import Rest, RestBook
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

    book: RestBook = Factory(RestBook)

    def closed(self, now: float) -> list[str]:
        """Return the servers that rest, or are being tried after it."""
        return [
            backend_id
            for backend_id, rest in self.book.rest_by_id.items()
            if now < rest.until or rest.is_being_tried
        ]

    def find(self, load: BackendLoad | None, now: float) -> RestingServer | None:
        """Return a server as it is guarded; None if it is not."""
        rest = self.book.find(load, now)
        return None if rest is None else RestingServer(rest.load, rest)

    def has_room(self, server: RestrictedServer, now: float) -> bool:
        """Tell that a resting server may get no request."""
        return False

    def carries(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server takes its usual share of the load."""
        return self.book.find(load, now) is None

    def wait_seconds(self, load: BackendLoad, now: float) -> float:
        """Return the seconds until the rest of a server ends."""
        rest = self.book.find(load, now)
        return 0.0 if rest is None else rest.left(now)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server may be probed: it wants nothing from this instance."""
        return self.book.find(load, now) is None

    def take_back(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may rest."""
        self.book.take_back(load)

    def forget(self, load: BackendLoad) -> None:
        """Keep what a server asked for: its entry may lapse and be back."""

"""Gates that limit the requests to some servers, and permits for single requests.

Restrictions are checked in this order right before the first byte of a request
(`ServiceRouter.may_send`):

1. the server's entry: removed, restarted, draining, or leaving by its own signal
   (`health/`);
2. the operators: its availability zone is evacuated;
3. the gates: the server advertises a rate (`throttling/`), is cold (`warmup/`) or is
   in a rest period (`resting/`).

Servers that a request may crash are excluded before the selection (`crashes/`), as that
depends on the request.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum, unique
from typing import ClassVar

from attrs import define, field, frozen

from catkinslip.routing.base import BackendLoad


@unique
class RestrictionReason(Enum):
    """Reasons why requests to a server are limited."""

    COLD = 'cold'
    RATE = 'rate'
    REST = 'rest'


@frozen
class Closure:
    """Servers closed by one gate, and the seconds until the first may get a request."""

    reason: RestrictionReason
    servers: int
    wait_seconds: float


@define
class RestrictedServer(ABC):
    """A server that may get only a limited number of requests."""

    load: BackendLoad
    #: Number of requests that hold a permit for the server and are not sent yet.
    reserved: int = field(default=0, kw_only=True)

    @abstractmethod
    def count_sent(self, now: float) -> None:
        """Count a request right before its first byte."""


@define(eq=False)
class Permit:
    """Permit to send one request to a restricted server."""

    server: RestrictedServer
    is_open: bool = True

    def use(self, now: float) -> None:
        """Use the permit and count its request, right before the first byte."""
        self.is_open = False
        self.server.reserved -= 1
        self.server.count_sent(now)

    def release(self) -> None:
        """Release the permit unused; a used permit stays used."""
        if self.is_open:
            self.is_open = False
            self.server.reserved -= 1


class Gate(ABC):
    """Gate that limits requests to the servers of a service with one restriction."""

    reason: ClassVar[RestrictionReason]

    @abstractmethod
    def closed(self, now: float) -> list[str]:
        """Return the IDs of the restricted servers that may get no request now."""

    @abstractmethod
    def find(self, load: BackendLoad | None, now: float) -> RestrictedServer | None:
        """Return the restriction of a server, or None if there is no restriction."""

    @abstractmethod
    def has_room(self, server: RestrictedServer, now: float) -> bool:
        """Return whether this instance may send another request to a server."""

    @abstractmethod
    def forget(self, load: BackendLoad) -> None:
        """Forget the restriction of a removed server."""

    def restore(self, load: BackendLoad) -> None:
        """Restore the restriction of a server that is registered again."""
        return

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server takes its usual share of the load."""
        return True

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server may be probed despite its restriction.

        Most restrictions allow probes, as they only require requests to be few.
        """
        return True

    def wait_seconds(self, load: BackendLoad, now: float) -> float:
        """Return the seconds until a closed server may get a request, if known."""
        return 0.0

    def reserve(self, load: BackendLoad | None, now: float) -> Permit | None:
        """Return a permit for one request, or None if none is needed or available."""
        server = self.find(load, now)
        if server is None or not self.has_room(server, now):
            return None
        server.reserved += 1
        return Permit(server)

    def has_permit(
        self, load: BackendLoad | None, permit: Permit | None, now: float
    ) -> bool:
        """Return whether the first byte of a request may be sent now."""
        if permit is not None and permit.is_open:
            return True
        # The restriction began after the selection, or the request is sent there again.
        server = self.find(load, now)
        return server is None or self.has_room(server, now)

    def count(
        self, load: BackendLoad | None, permit: Permit | None, now: float
    ) -> None:
        """Count a request right before its first byte."""
        if permit is not None and permit.is_open:
            permit.use(now)
            return
        server = self.find(load, now)
        if server is not None:
            server.count_sent(now)

    def may_send(
        self, load: BackendLoad | None, permit: Permit | None, now: float
    ) -> bool:
        """Return whether the first byte may be sent now; count the request if so."""
        if not self.has_permit(load, permit, now):
            return False
        self.count(load, permit, now)
        return True


Permits = Sequence[Permit | None]


@define
class Gates:
    """The gates of one service; a request must pass each of them."""

    gates: tuple[Gate, ...]

    def closed(self, now: float) -> list[str]:
        """Return the IDs of the servers that may get no request now."""
        return [each for gate in self.gates for each in gate.closed(now)]

    def forget(self, load: BackendLoad) -> None:
        """Forget the restrictions of a removed server."""
        for gate in self.gates:
            gate.forget(load)

    def restore(self, load: BackendLoad) -> None:
        """Restore the restrictions of a server that is registered again."""
        for gate in self.gates:
            gate.restore(load)

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server takes its usual share of the load."""
        return all(gate.takes_full_share(load, now) for gate in self.gates)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server may be probed."""
        return all(gate.may_probe(load, now) for gate in self.gates)

    def reserve(self, load: BackendLoad | None, now: float) -> Permits:
        """Return the permits for one request, one of each gate."""
        return [gate.reserve(load, now) for gate in self.gates]

    def may_send(self, load: BackendLoad | None, permits: Permits, now: float) -> bool:
        """Return whether the first byte may be sent now; count the request if so."""
        pairs = zip(self.gates, permits, strict=True)
        if not all(gate.has_permit(load, permit, now) for gate, permit in pairs):
            return False
        for gate, permit in zip(self.gates, permits, strict=True):
            gate.count(load, permit, now)
        return True


def release_permits(permits: Permits) -> None:
    """Release the permits of a request that is not sent; used permits stay used."""
    for permit in permits:
        if permit is not None:
            permit.release()

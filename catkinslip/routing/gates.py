"""Servers that may get only so many requests, and leave to send them one.

What narrows what a server may be sent, in the order in which it is asked right before
the first byte (`ServiceRouter.may_send`):

1. its entry: gone, started again, draining; its own word that it leaves (`health/`);
2. the operators: its availability zone is evacuated;
3. it names a rate (`throttling/`), is cold (`warmup/`), wants rest (`resting/`): gates.

Servers that requests end are looked at before the choice (`crashes/`), as that is about
the request.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum, unique
from typing import ClassVar

from attrs import define, field, frozen

from catkinslip.routing.base import BackendLoad


@unique
class RestrictionReason(Enum):
    """Why a server may get only so many requests."""

    COLD = 'cold'
    RATE = 'rate'
    REST = 'rest'


@frozen
class Closure:
    """Servers that one gate keeps requests from; seconds until the first has room."""

    reason: RestrictionReason
    servers: int
    wait_seconds: float


@define
class RestrictedServer(ABC):
    """A server that may get only so many requests."""

    load: BackendLoad
    #: Requests that were promised to it and are not sent yet.
    reserved: int = field(default=0, kw_only=True)

    @abstractmethod
    def count_sent(self, now: float) -> None:
        """Count a request right before its first byte."""


@define(eq=False)
class Permit:
    """Leave to send one request to a guarded server."""

    server: RestrictedServer
    is_open: bool = True

    def use(self, now: float) -> None:
        """Count the request right before its first byte."""
        self.is_open = False
        self.server.reserved -= 1
        self.server.count_sent(now)

    def release(self) -> None:
        """Send nothing; one that was used stays so."""
        if self.is_open:
            self.is_open = False
            self.server.reserved -= 1


class Gate(ABC):
    """Keep requests from the guarded servers of one service, of one kind."""

    reason: ClassVar[RestrictionReason]

    @abstractmethod
    def closed(self, now: float) -> list[str]:
        """Return the guarded servers that this instance may send nothing now."""

    @abstractmethod
    def find(self, load: BackendLoad | None, now: float) -> RestrictedServer | None:
        """Return a server as it is guarded; None if it is not."""

    @abstractmethod
    def has_room(self, server: RestrictedServer, now: float) -> bool:
        """Tell whether this instance may send another request."""

    @abstractmethod
    def forget(self, load: BackendLoad) -> None:
        """Forget a server that is gone."""

    def restore(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may be guarded."""
        return

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server takes its usual share of the load."""
        return True

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server may be probed; most want requests to be few."""
        return True

    def wait_seconds(self, load: BackendLoad, now: float) -> float:
        """Return the seconds until a closed server may have room, as far as known."""
        return 0.0

    def reserve(self, load: BackendLoad | None, now: float) -> Permit | None:
        """Return leave for one request; None where none is needed, or none is left."""
        server = self.find(load, now)
        if server is None or not self.has_room(server, now):
            return None
        server.reserved += 1
        return Permit(server)

    def has_permit(
        self, load: BackendLoad | None, permit: Permit | None, now: float
    ) -> bool:
        """Tell whether the first byte may be sent now."""
        if permit is not None and permit.is_open:
            return True
        # It is guarded since the choice, or the request goes there once more.
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
        """Tell whether the first byte may be sent now, and count the request."""
        if not self.has_permit(load, permit, now):
            return False
        self.count(load, permit, now)
        return True


Permits = Sequence[Permit | None]


@define
class Gates:
    """The gates of one service; a request needs leave of each of them."""

    gates: tuple[Gate, ...]

    def closed(self, now: float) -> list[str]:
        """Return the servers that this instance may send nothing now."""
        return [each for gate in self.gates for each in gate.closed(now)]

    def forget(self, load: BackendLoad) -> None:
        """Forget a server that is gone."""
        for gate in self.gates:
            gate.forget(load)

    def restore(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may be guarded."""
        for gate in self.gates:
            gate.restore(load)

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server takes its usual share of the load."""
        return all(gate.takes_full_share(load, now) for gate in self.gates)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server may be probed."""
        return all(gate.may_probe(load, now) for gate in self.gates)

    def reserve(self, load: BackendLoad | None, now: float) -> Permits:
        """Return leave for one request, one of each gate."""
        return [gate.reserve(load, now) for gate in self.gates]

    def may_send(self, load: BackendLoad | None, permits: Permits, now: float) -> bool:
        """Tell whether the first byte may be sent now, and count the request."""
        pairs = zip(self.gates, permits, strict=True)
        if not all(gate.has_permit(load, permit, now) for gate, permit in pairs):
            return False
        for gate, permit in zip(self.gates, permits, strict=True):
            gate.count(load, permit, now)
        return True


def release_permits(permits: Permits) -> None:
    """Send nothing with these; those that were used stay so."""
    for permit in permits:
        if permit is not None:
            permit.release()

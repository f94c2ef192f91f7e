"""Whether this instance reaches the servers of each service.

A server that fails may be at fault itself. Where many servers fail in a row and none
answers meanwhile, the paths from this instance to them are more likely at fault.
"""

import logging
from collections.abc import Callable, Iterable
from math import inf

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.routing.base import BackendLoad

#: Servers that fail in a row until a service is in doubt; all of them if it has fewer.
DOUBT_SERVERS = 3
#: Servers that fail in a row until a service is lost; all of them if it has fewer.
LOST_SERVERS = 6
#: Seconds between the first and the last of these failures. A process that was paused
#: finds all of its probes unanswered at once, and their answers right after that.
LOST_SECONDS = 0.2
#: Servers of a service that are probed at once while none is reached.
PROBED_SERVERS = 4
#: Seconds after the last failure at which a service is tried again like any other: then
#: neither probes nor requests were sent to it.
LAPSE_SECONDS = 2.0

log = logging.getLogger('health')

#: Handles that a service was lost or regained.
OnReachChange = Callable[[str, bool], None]


@define
class ServiceReach:
    """The failures at the servers of one service since the last answer of any."""

    #: Times of the last failure by backend ID, in monotonic seconds.
    failed_at_by_id: dict[str, float] = Factory(dict)
    first_failed_at: float = inf
    last_failed_at: float = -inf
    answered_at: float = -inf
    is_lost: bool = False

    def record_answer(self, now: float) -> bool:
        """Record an answer of any server; return whether the service was lost."""
        was_lost = self.is_lost
        self.answered_at = now
        if self.failed_at_by_id:
            self.forget_failures()
        return was_lost

    def forget_failures(self) -> None:
        """Forget all failures and the loss that they showed."""
        self.failed_at_by_id.clear()
        self.first_failed_at = inf
        self.is_lost = False

    def record_failure(self, backend_id: str, now: float) -> None:
        """Record that a server did not answer or refused a connection."""
        self.failed_at_by_id[backend_id] = now
        self.first_failed_at = min(self.first_failed_at, now)
        self.last_failed_at = now

    def has_failed(self, loads: Iterable[BackendLoad], needed: int) -> bool:
        """Return whether `needed` of some servers failed, or all if they are fewer."""
        failed = [load.backend_id in self.failed_at_by_id for load in loads]
        return bool(failed) and sum(failed) >= min(needed, len(failed))

    def zones(self, loads: Iterable[BackendLoad]) -> set[str]:
        """Return the availability zones of those of some servers that failed."""
        return {each.zone for each in loads if each.backend_id in self.failed_at_by_id}

    def failed_at(self, load: BackendLoad) -> float:
        """Return when a server failed last; minus infinity if it did not."""
        return self.failed_at_by_id.get(load.backend_id, -inf)

    def failing_seconds(self) -> float:
        """Return the seconds between the first and the last failure; 0 without one."""
        return max(0.0, self.last_failed_at - self.first_failed_at)

    def has_lapsed(self, now: float) -> bool:
        """Return whether the last failure is so old that it says nothing any more."""
        return now - self.last_failed_at > LAPSE_SECONDS


@define
class ServerReach:
    """The services whose servers this instance reaches, from its own attempts only."""

    clock: Clock
    #: Returns the servers of a service that accept requests and may be probed.
    usable_servers: Callable[[str], list[BackendLoad]]
    #: Returns the names of all services.
    services: Callable[[], Iterable[str]]
    reach_by_service: dict[str, ServiceReach] = Factory(dict)
    #: Callbacks for a service that was lost or regained.
    listeners: list[OnReachChange] = Factory(list)
    #: Number of times that a service was lost.
    losses: int = 0

    def record_answer(self, service: str) -> None:
        """Record that a server of a service answered or accepted a connection."""
        reach = self.reach_by_service.get(service)
        if reach is None:
            reach = self.reach_by_service[service] = ServiceReach()
        now = self.clock.monotonic()
        lost_seconds = now - reach.first_failed_at
        if reach.record_answer(now):
            log.info(
                'health: servers are reached again. service=%s after_s=%.2f',
                service,
                lost_seconds,
            )
            self._notify(service, is_lost=False)

    def record_failure(self, service: str, backend_id: str) -> None:
        """Record that a server of a service did not answer or refused a connection."""
        reach = self.reach_by_service.setdefault(service, ServiceReach())
        now = self.clock.monotonic()
        if reach.has_lapsed(now):
            reach.forget_failures()
        reach.record_failure(backend_id, now)
        if not reach.is_lost and self._shows_loss(service, reach):
            self._lose(service, reach, now)

    def servers_to_probe(self, service: str) -> list[BackendLoad]:
        """Return servers whose probes show whether a service is lost or regained.

        They are one of each zone in which none failed, and those that failed longest
        ago. The list is empty unless the service is in doubt, or another one was lost
        since its last answer.
        """
        if not (self.is_in_doubt(service) or self._is_suspected(service)):
            return []
        reach = self.reach_by_service.setdefault(service, ServiceReach())
        usable = self.usable_servers(service)
        failed_zones = reach.zones(usable)
        server_by_zone = {
            each.zone: each for each in usable if each.zone not in failed_zones
        }
        first = list(server_by_zone.values())
        rest = sorted(
            (each for each in usable if each not in first), key=reach.failed_at
        )
        return [*first, *rest[:PROBED_SERVERS]]

    def is_cut_off(self) -> bool:
        """Return whether this instance reaches no server of any service."""
        if not any(reach.is_lost for reach in self.reach_by_service.values()):
            return False
        services = filter(self.usable_servers, self.services())
        return all(map(self.is_lost, services))

    def is_in_doubt(self, service: str) -> bool:
        """Return whether the last attempts at a service failed, none in between."""
        reach = self.reach_by_service.get(service)
        if reach is None or not reach.failed_at_by_id:
            return False
        if reach.has_lapsed(self.clock.monotonic()):
            return False
        return reach.has_failed(self.usable_servers(service), DOUBT_SERVERS)

    def is_lost(self, service: str) -> bool:
        """Return whether this instance reaches no server of a service.

        Without any failure for some seconds this is no longer known.
        """
        reach = self.reach_by_service.get(service)
        if reach is None or not reach.is_lost:
            return False
        return not reach.has_lapsed(self.clock.monotonic())

    def doubted_services(self) -> frozenset[str]:
        """Return the services whose last attempts failed, none in between."""
        return frozenset(filter(self.is_in_doubt, self.reach_by_service))

    def lost_services(self) -> tuple[str, ...]:
        """Return the names of the lost services in order."""
        return tuple(sorted(filter(self.is_lost, self.reach_by_service)))

    def forget_others(self, services: Iterable[str]) -> None:
        """Forget all services but some, as others were removed."""
        for service in self.reach_by_service.keys() - set(services):
            del self.reach_by_service[service]

    def _is_suspected(self, service: str) -> bool:
        """Return whether another service was lost since the last answer of this one."""
        reach = self.reach_by_service.get(service)
        answered_at = -inf if reach is None else reach.answered_at
        return any(
            other.is_lost and other.first_failed_at > answered_at
            for other in self.reach_by_service.values()
        )

    def _shows_loss(self, service: str, reach: ServiceReach) -> bool:
        if reach.failing_seconds() < LOST_SECONDS:
            return False
        usable = self.usable_servers(service)
        if not reach.has_failed(usable, LOST_SERVERS):
            return False
        return reach.zones(usable) == {each.zone for each in usable}

    def _lose(self, service: str, reach: ServiceReach, now: float) -> None:
        reach.is_lost = True
        self.losses += 1
        log.warning(
            'health: no server is reached. service=%s failed=%d failing_ms=%.0f '
            'answered_s=%.2f',
            service,
            len(reach.failed_at_by_id),
            reach.failing_seconds() * 1e3,
            min(now - reach.answered_at, 1e6),
        )
        self._notify(service, is_lost=True)

    def _notify(self, service: str, *, is_lost: bool) -> None:
        for listener in self.listeners:
            listener(service, is_lost)

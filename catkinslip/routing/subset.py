"""The subset of a service's servers that one instance uses, and when it grows.

Load: many instances before many servers, where most instances get one or two requests
a second. Without subsets, a selection without a good server in its sample examines all
servers, and most connections are opened only for probes. The load of an instance jumps
when others are lost or callers move, so a subset grows at once and shrinks slowly.
docs/design/server-subsets.md has the figures.

The servers are ordered by rendezvous hashing, those of the own zone first. The subset
is the beginning of that order that holds enough usable servers. The order depends on
neither time nor other instances, so a change of a list moves only what it concerns.
"""

import logging
from collections.abc import Callable, Collection, Iterable
from math import ceil, exp

from attrs import Factory, define

from catkinslip.addresses.rendezvous import weight
from catkinslip.routing.base import NEVER, BackendLoad

#: Usable servers in the smallest subset; services with fewer servers have no subset.
#: docs/design/server-subsets.md compares sizes.
MIN_SERVERS = 32
#: Instances below which there are no subsets: few instances open few connections.
MIN_INSTANCES = 24
#: Slots in the subset for each request in flight. Other instances use the same slots,
#: and with noisy neighbours about half of the servers are full or slow at a time.
SLOTS_PER_REQUEST = 16
#: Time constant, in seconds, at which the demand decays. It exceeds the period of loads
#: that rise and fall every 15 s, so that the subset keeps its size between two peaks.
DEMAND_MEMORY_SECONDS = 20.0
#: Share of the next smaller size that the need must fall below before a subset shrinks.
SHRINK_SHARE = 0.75
#: Time constant of the request rate, in seconds.
RATE_SECONDS = 2.0
#: Weight of one request in the moving average of the time that requests take.
WORK_WEIGHT = 0.1
#: Requests a second and in flight up to which an instance has little load.
LIGHT_REQUESTS_PER_SECOND = 4.0
LIGHT_IN_FLIGHT = 2
#: Seconds for which a report that a server is full holds: about one request.
FULL_SECONDS = 0.3

log = logging.getLogger('routing')


@define
class Demand:
    """The slots that an instance's own requests to one service take."""

    in_flight: int = 0
    #: Highest number of requests in flight, decaying with time.
    peak: float = 0.0
    work_seconds: float = 0.0
    #: Requests of the last seconds, decaying with time.
    recent: float = 0.0
    updated_at: float = NEVER

    def record_start(self, now: float) -> None:
        """Record a request sent to a server."""
        self._decay(now)
        self.in_flight += 1
        self.recent += 1
        self.peak = max(self.peak, self.in_flight)

    def record_end(self, seconds: float, now: float) -> None:
        """Record the end of a request and how long it took."""
        self._decay(now)
        self.in_flight = max(0, self.in_flight - 1)
        self.work_seconds += WORK_WEIGHT * (seconds - self.work_seconds)

    def forget(self, requests: int) -> None:
        """Subtract the requests to a removed server, whose ends go unrecorded."""
        self.in_flight = max(0, self.in_flight - requests)

    def requests_per_second(self, now: float) -> float:
        """Return the rate of requests sent in the last seconds."""
        self._decay(now)
        return self.recent / RATE_SECONDS

    def slots(self, now: float) -> float:
        """Return the slots that the requests take, by number and by rate."""
        return max(self.requests_per_second(now) * self.work_seconds, self.peak)

    def is_light(self, now: float) -> bool:
        """Return whether the requests are so few that each may wait for a probe."""
        is_idle = self.in_flight <= LIGHT_IN_FLIGHT
        return is_idle and self.requests_per_second(now) < LIGHT_REQUESTS_PER_SECOND

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.peak = max(
            self.in_flight, self.peak * exp(-elapsed / DEMAND_MEMORY_SECONDS)
        )
        self.recent *= exp(-elapsed / RATE_SECONDS)


def no_instances() -> int:
    """Return that no other instance is known."""
    return 0


@define
class Subset:
    """The servers of one service that this instance uses, in their order."""

    instance_id: str = ''
    #: Zone whose servers come first; empty for none.
    zone: str = ''
    #: Name of the service, for the log.
    service: str = ''
    is_enabled: bool = False
    #: Function that returns the number of known instances.
    count_instances: Callable[[], float] = no_instances
    min_servers: int = MIN_SERVERS
    demand: Demand = Factory(Demand)
    #: Number of usable servers wanted.
    size: int = MIN_SERVERS
    order: list[BackendLoad] = Factory(list)
    weight_by_id: dict[str, int] = Factory(dict)

    def arrange(self, loads: Iterable[BackendLoad]) -> None:
        """Order the servers of a changed list."""
        if not self.is_enabled:
            return
        by_id = {load.backend_id: load for load in loads}
        self.weight_by_id = {
            backend_id: self.weight_by_id.get(backend_id)
            or weight(self.instance_id, backend_id)
            for backend_id in by_id
        }
        self.order = sorted(
            by_id.values(),
            key=lambda load: (
                load.zone != self.zone,
                -self.weight_by_id[load.backend_id],
            ),
        )

    @property
    def applies(self) -> bool:
        """Return whether the service and the fleet are large enough for a subset."""
        if not self.is_enabled or len(self.order) <= self.min_servers:
            return False
        return self.count_instances() >= MIN_INSTANCES

    def is_light(self, now: float) -> bool:
        """Return whether there is a subset and this instance has little load."""
        return self.applies and self.demand.is_light(now)

    def servers(
        self, excluded: Collection[str], now: float, scale: int = 1
    ) -> list[BackendLoad]:
        """Return the first servers, up to `scale` times as many usable as needed."""
        wanted = self._resize(now) * scale
        chosen = []
        for load in self.order:
            if load.draining or load.backend_id in excluded:
                continue
            chosen.append(load)
            wanted -= is_usable(load, now)
            if not wanted:
                break
        return chosen

    def needed(self, now: float) -> int:
        """Return the number of usable servers that the demand needs."""
        slots = self.order[0].slots if self.order else 1
        return ceil(self.demand.slots(now) * SLOTS_PER_REQUEST / max(1, slots))

    def _resize(self, now: float) -> int:
        """Return the size, after growing it at once or shrinking it by one step."""
        needed, before = self.needed(now), self.size
        while self.size < needed:
            self.size *= 2
        if self.size > self.min_servers and needed < SHRINK_SHARE * self.size / 2:
            self.size //= 2
        if self.size != before:
            log.info(
                'routing: subset resized. service=%s size=%d before=%d servers=%d '
                'in_flight=%d requests_per_s=%.1f work_ms=%.0f',
                self.service,
                self.size,
                before,
                len(self.order),
                self.demand.in_flight,
                self.demand.requests_per_second(now),
                self.demand.work_seconds * 1e3,
            )
        return self.size


def is_usable(load: BackendLoad, now: float) -> bool:
    """Return whether a server counts towards the size of a subset.

    Cold servers take few requests, and silent, paused and full ones none.
    """
    if load.is_silent or now < load.paused_until or now < load.cold_until:
        return False
    is_fresh = now - load.reported_at < FULL_SECONDS
    return not (is_fresh and load.reported_in_flight >= load.slots)

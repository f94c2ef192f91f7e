"""Fleets with home sets on the virtual clock that count connections to servers.

Most callers reach the first instances of their zone, as with address answers. A
connection carries one request or probe at a time, and its server closes it after 10 s.
"""

from collections import Counter
from typing import Any

from attrs import Factory, define

from benchmarks.overload_instances import NEAR_SECONDS, Call, Desk, Instance
from benchmarks.overload_load import Kind, Load, ServerGroup, Zone
from benchmarks.overload_servers import Run, Server
from benchmarks.overload_world import Request, World
from catkinslip.discovery.ranking import HOME_SHARE, RESERVE_INSTANCES, RESERVE_SHARE
from catkinslip.health.sampler import (
    BUDGET_SHARE,
    FRESH_SECONDS,
    LIGHT_ROUNDS,
    OPENED_AT_ONCE,
    PROBED_AT_ONCE,
    ROUNDS,
    SAVED_SECONDS,
)
from catkinslip.health.sharing import FLUSH_SECONDS, MAX_REPORT_AGE_SECONDS
from catkinslip.routing.base import GOOD_DELAY, BackendLoad, LoadReport, ResultKind
from catkinslip.routing.subset import Subset
from catkinslip.store.budget import TokenBucket

SERVER_IDLE_SECONDS = 10.0
ZONES = ('a', 'b', 'c')
#: Share of the requests that reach the home sets, of a day with 121 instances.
HOME_REQUEST_SHARE = 0.85
#: Shares of the servers in each service of that day.
SERVICE_SHARES = (0.6, 0.25, 0.09, 0.06)
#: Services are this large at least; fewer servers are one service.
LEAST_SERVICE = 8
WORK_SECONDS = 0.11
#: Mean time of a request relative to a server of usual speed.
NOISE_SHARE, NOISE_SLOWNESS = 0.3, 4.0


@define(eq=False)
class FleetInstance(Instance):
    """An instance that keeps connections to servers."""

    position: int = 0
    idle_by_id: dict[str, list[float]] = Factory(dict)

    def is_connected(self, load: BackendLoad) -> bool:
        """Return whether a connection to a server is idle and open."""
        idle = self.idle_by_id.get(load.backend_id)
        return bool(idle) and self.world.now - idle[-1] < SERVER_IDLE_SECONDS

    def connect(self, load: BackendLoad, purpose: str) -> None:
        """Use an idle connection to a server, or open one."""
        if self.is_connected(load):
            self.idle_by_id[load.backend_id].pop()
        else:
            self.world.opened[purpose] += 1
            self.world.pairs.add((self.position, self.zone, load.backend_id))

    def keep(self, backend_id: str) -> None:
        """Keep a connection whose exchange ended."""
        self.idle_by_id.setdefault(backend_id, []).append(self.world.now)

    def arrive(self, request: Request) -> None:
        """Count and accept a request."""
        if self.position < self.world.home_size:
            self.world.home_requests.add(id(request))
        super().arrive(request)

    def probed(self, probe: tuple[Desk, BackendLoad, Server, float]) -> None:
        """Count the connection of a probe."""
        self.connect(probe[1], 'probe')
        self.world.probes += 1
        super().probed(probe)

    def rounds(self, desk: Desk) -> int:
        """Return the rounds of probes before a choice."""
        return LIGHT_ROUNDS if desk.router.subset.is_light(self.world.now) else ROUNDS

    def learn(self, told: tuple) -> None:
        """Keep the connection of an answered probe."""
        self.keep(told[1].backend_id)
        super().learn(told)

    def send(self, desk: Desk, call: Call, best: Any) -> None:
        """Count the connection of a request."""
        self.connect(best.load, 'request')
        super().send(desk, call, best)

    def answered(self, told: tuple) -> None:
        """Keep the connection of an answer; a full server resets it."""
        run, kind = told[:2]
        if kind is not ResultKind.SHED and not run.is_gone:
            self.keep(run.server.server_id)
        super().answered(told)

    def leaders(self, desk: Desk, call: Call) -> list[BackendLoad]:
        """Return the servers to probe, as `LoadSampler` does."""
        now, router = self.world.now, desk.router
        ranked = router.rank(now, call.tried)
        if not ranked:
            return []
        best = ranked[0]
        if now - best.load.reported_at <= FRESH_SECONDS and best.delay <= GOOD_DELAY:
            return []
        stale = [
            each.load
            for each in ranked
            if now - each.load.reported_at > FRESH_SECONDS and not each.load.is_silent
        ]
        if not router.subset.is_light(now):
            return self.take(stale, PROBED_AT_ONCE)
        connected = [load for load in stale if self.is_connected(load)]
        return self.take(connected, PROBED_AT_ONCE) or self.take(stale, OPENED_AT_ONCE)

    def take(self, loads: list[BackendLoad], most: int) -> list[BackendLoad]:
        """Return the first servers within the budget."""
        taken: list[BackendLoad] = []
        for load in loads:
            if len(taken) == most:
                break
            if self.take_probe(load.backend_id, self.world.now):
                taken.append(load)
        return taken

    def take_probe(self, backend_id: str, now: float) -> bool:
        """Take one probe from the budget of this instance's tier."""
        rate = self.world.load.probes_per_second * BUDGET_SHARE
        rate *= self.world.budget_share(self.position)
        bucket = self.bucket_by_id.get(backend_id)
        if bucket is None:
            bucket = TokenBucket(rate, tokens=1.0, filled_at=now)
            bucket.burst = max(1.0, rate * SAVED_SECONDS)
            self.bucket_by_id[backend_id] = bucket
        return bucket.take(now) == 0.0

    def share(self, _: None) -> None:
        """Send new reports to the home set of the zone."""
        now = self.world.now
        for service, desk in self.desk_by_service.items():
            loads, desk.news = list(desk.news.values()), {}
            for load in loads:
                if now - load.reported_at > MAX_REPORT_AGE_SECONDS:
                    continue
                in_flight = load.reported_in_flight + load.selections_since_report
                report = LoadReport(in_flight, load.speed)
                told = (service, load.backend_id, report, load.reported_at)
                for other in self.world.home_by_zone[self.zone]:
                    if other is not self:
                        self.world.after(NEAR_SECONDS, other.hear, told)
        if now < self.world.quiet_at:
            self.world.after(FLUSH_SECONDS, self.share, None)


@define(eq=False)
class FleetWorld(World):
    """A fleet whose home sets get most requests."""

    uses_subsets: bool = False
    home_size: int = 2
    opened: Counter[str] = Factory(Counter)
    pairs: set[tuple[int, str, str]] = Factory(set)
    probes: int = 0
    #: Identities of the requests that reached a home set.
    home_requests: set[int] = Factory(set)
    arrived: Counter[str] = Factory(Counter)
    home_by_zone: dict[str, list[FleetInstance]] = Factory(dict)

    def furnish(self, instance: FleetInstance) -> None:
        """Give an instance a subset for each service."""
        near = [each for each in self.instances if each.zone == instance.zone]
        instance.position = near.index(instance)
        self.home_by_zone[instance.zone] = near[: self.home_size]
        super().furnish(instance)
        for service, desk in instance.desk_by_service.items():
            router = desk.router
            router.is_connected = instance.is_connected
            router.subset = Subset(
                f'{instance.zone}-{instance.position}',
                instance.zone,
                service,
                is_enabled=self.uses_subsets,
                count_instances=lambda: len(self.instances),
            )
            router.subset.arrange(router.loads)

    def reach(self, request: Request) -> None:
        """Bring most requests to the home set of the zone."""
        near = [each for each in self.instances if each.zone == request.zone]
        home, others = near[: self.home_size], near[self.home_size :]
        is_home = not others or self.random.random() < HOME_REQUEST_SHARE
        self.random.choice(home if is_home else others).arrive(request)

    def budget_share(self, position: int) -> float:
        """Return the part of a server's probes that an instance may send."""
        zones = len(self.load.zones)
        near = len(self.instances) // zones
        reserve = min(self.home_size * RESERVE_INSTANCES, near - self.home_size)
        rest = near - self.home_size - reserve
        if position < self.home_size:
            return HOME_SHARE / self.home_size / zones
        if position < self.home_size + reserve:
            return RESERVE_SHARE / reserve / zones
        return (1 - HOME_SHARE - RESERVE_SHARE) / rest / zones


@define(eq=False)
class CountingServer(Server):
    """A server that counts the requests that reach it."""

    def arrive(self, run: Run) -> None:
        """Count a request."""
        self.world.arrived[self.server_id] += 1
        super().arrive(run)


def fleet_load(instances: int, servers: int, use: float, seconds: float) -> Load:
    """Return a load that uses a share of the slots of all servers."""
    shares = SERVICE_SHARES if servers * SERVICE_SHARES[-1] >= LEAST_SERVICE else (1.0,)
    slowness = 1 + NOISE_SHARE * (NOISE_SLOWNESS - 1)
    groups, kinds = [], []
    for number, share in enumerate(shares):
        name, count = f'service-{number}', round(servers * share)
        groups.append(
            ServerGroup(
                name,
                count,
                queue=0,
                noise_share=NOISE_SHARE,
                noise_slowness=NOISE_SLOWNESS,
            )
        )
        rate = use * count * 2 / (WORK_SECONDS * slowness)
        kinds.append(Kind(f'kind-{number}', name, rate, WORK_SECONDS, 0.36, 1.0))
    zones = tuple(Zone(name, instances // len(ZONES)) for name in ZONES)
    return Load('fleet', seconds, zones, tuple(groups), tuple(kinds))

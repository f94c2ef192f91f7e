"""Callers that return, servers and instances under a load, on the virtual clock.

The instances run the product's own decisions: the choice, the wait, the refusal and the
time to come back. Servers and callers behave as on the users' platform; the network is
a fixed delay.
"""

from functools import partial
from random import Random
from typing import Any

from attrs import Factory, define, frozen

from benchmarks.overload_callers import ADDRESS_SECONDS, Request, draw_requests
from benchmarks.overload_instances import CLIENT_SECONDS, NEAR_SECONDS, Desk, Instance
from benchmarks.overload_load import Event, Load, ServerGroup
from benchmarks.overload_servers import Server
from benchmarks.overload_workspaces import WorkspaceCounts
from benchmarks.virtual_clock import VirtualClock
from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.config.documents import Backend, Service
from catkinslip.health.sharing import FLUSH_SECONDS
from catkinslip.resting.signals import NO_REST
from catkinslip.routing.base import BackendLoad
from catkinslip.routing.delay import REPORT_MEMORY_SECONDS, ExpectedDelay
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.sample import SAMPLE_SIZE, Sample
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.shares import divide_rate
from catkinslip.throttling.signals import NO_RATE
from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender
from catkinslip.warmup.senders import SenderPosition
from catkinslip.wiring.entry import (
    NEARLY_FULL_SHARE,
    NEARLY_FULL_SLOWNESS,
    ZONE_HOP_SECONDS,
)

FAR_SECONDS = 0.0009
#: Between two tries of a caller that finds no instance.
LOST_SECONDS = 0.15
#: Servers and instances go on so long after the last caller asked.
TAIL_SECONDS = 3.0
#: Repeating callers return as many times more often as others.
REPEATING_FACTOR = 3


#: What an event changes of a server, and what it is after it.
FIELD_BY_KIND: dict[str, tuple[str, Any]] = {
    'dark': ('is_dark', False),
    'grey': ('shed_share', 0.0),
    'need': ('named_rate', None),
    'rest': ('rest', None),
    'slow': ('fault_slowness', 1.0),
}


@frozen
class Mechanisms:
    """Ways to know and choose servers, each of which can be switched off."""

    probes: bool = True
    shares_reports: bool = True
    weighs_speed: bool = True
    weighs_sheds: bool = True
    #: Whether the rates that servers in need name are kept.
    throttles: bool = True
    #: Whether the rest that servers ask for is kept.
    rests: bool = True
    #: Seconds for which a report of requests in flight is believed.
    report_memory: float = REPORT_MEMORY_SECONDS
    zone_hop: float = ZONE_HOP_SECONDS
    nearly_full_slowness: float = NEARLY_FULL_SLOWNESS
    #: Servers that a choice looks at while one of them has room.
    sample_size: int = SAMPLE_SIZE


@define(eq=False)
class World(VirtualClock):
    """The virtual clock, servers, instances and callers."""

    load: Load
    random: Random
    settings: AdmissionSettings
    mechanisms: Mechanisms = Mechanisms()
    #: Whether instances are told how long each caller has waited, as a bound.
    knows_spent: bool = False
    server_by_id: dict[str, Server] = Factory(dict)
    instances: list[Instance] = Factory(list)
    requests: list[Request] = Factory(list)
    #: What the quota pools know of the workspaces.
    workspaces: WorkspaceCounts = Factory(WorkspaceCounts)

    @property
    def quiet_at(self) -> float:
        """Return when servers and instances stop to change by themselves."""
        return self.load.seconds + TAIL_SECONDS

    def hop(self, zone: str, other: str) -> float:
        """Return the seconds between two places."""
        return NEAR_SECONDS if zone == other else FAR_SECONDS

    def run(self) -> list[Request]:
        """Play the load and return every request."""
        self.run_all()
        return self.requests

    def furnish(self, instance: Instance) -> None:
        """Give an instance a desk for each service, with the servers of now."""
        for name, group in self.load.groups.items():
            policy = ExpectedDelay(
                instance.random,
                instance.zone,
                self.mechanisms.zone_hop,
                weigh_speed=self.mechanisms.weighs_speed,
                weigh_sheds=self.mechanisms.weighs_sheds,
                report_memory=self.mechanisms.report_memory,
                nearly_full_share=NEARLY_FULL_SHARE,
                nearly_full_slowness=self.mechanisms.nearly_full_slowness,
            )
            sample = Sample(instance.random, instance.zone, self.mechanisms.sample_size)
            throttle = ThrottleGate(self.divide_named, lambda: instance.place)
            throttle.registry.on_observation = partial(instance.tell_rate, name)
            router = ServiceRouter(policy, sample=sample, throttle=throttle)
            desk = Desk(router)
            router.on_load_change = lambda load, desk=desk: desk.news.__setitem__(
                load.backend_id, load
            )
            instance.desk_by_service[name] = desk
            self.list_servers(instance, name, group)

    def heeded(self, words: ServerSignals) -> ServerSignals:
        """Return what instances heed of what an answer asks for."""
        rate = words.rate if self.mechanisms.throttles else NO_RATE
        return ServerSignals(rate, words.rest if self.mechanisms.rests else NO_REST)

    def divide_named(self, load: BackendLoad, per_second: float) -> dict[Sender, float]:
        """Return what each sender may send to a server in need."""
        zones = [zone.name for zone in self.load.zones]
        return divide_rate(per_second, load.backend_id, load.zone, zones)

    def list_servers(self, instance: Instance, name: str, group: ServerGroup) -> None:
        """Tell an instance which servers of a service take work."""
        backend_by_id = {
            each.server_id: Backend(name, each.zone, '127.0.0.1', 1)
            for each in self.server_by_id.values()
            if each.group is group and not each.is_leaving
        }
        router = instance.desk_by_service[name].router
        router.update(Service(group.slots), backend_by_id)

    def ask(self, request: Request) -> None:
        """Let a caller ask for the first time."""
        kind = request.kind
        self.requests.append(request)
        delay = CLIENT_SECONDS
        if kind.opens_connection:
            delay += 2 * CLIENT_SECONDS
        if request.address_age > ADDRESS_SECONDS:
            delay += 4 * CLIENT_SECONDS
        self.after(delay, self.reach, request)

    def reach(self, request: Request) -> None:
        """Bring an attempt to an instance of the caller's zone."""
        near = [each for each in self.instances if each.zone == request.zone]
        up = [each for each in near if each.is_up] or near
        self.random.choice(up).arrive(request)

    def come_back(self, request: Request, wait: float) -> None:
        """Let a caller ask again on a new connection, if it still can."""
        request.tries += 1
        left = request.deadline - self.now
        most = request.kind.retries
        if request.is_repeating:
            wait, most = 0.0, REPEATING_FACTOR * most
        if request.tries > most or wait + 3 * CLIENT_SECONDS >= left:
            self.end(request, 'refused')
            return
        self.after(wait + 3 * CLIENT_SECONDS, self.reach, request)

    def refused(self, told: tuple[Request, float]) -> None:
        """Take a refusal with a time to come back."""
        request, retry_after = told
        left = request.deadline - self.now
        self.come_back(request, min(retry_after, left / 3))

    def lost(self, request: Request) -> None:
        """Find no instance: try again a little later."""
        if self.now + LOST_SECONDS >= request.deadline:
            self.end(request, 'failed')
        else:
            self.after(LOST_SECONDS, self.reach, request)

    def broken(self, request: Request) -> None:
        """Lose the connection while a request is under way."""
        if request.kind.repeatable:
            self.come_back(request, LOST_SECONDS)
        else:
            self.end(request, 'failed')

    def failed(self, request: Request) -> None:
        """Take an end without an answer."""
        self.end(request, 'failed')

    def done(self, request: Request) -> None:
        """Take an answer."""
        in_time = self.now < request.deadline
        self.end(request, 'answered' if in_time else 'failed')

    def end(self, request: Request, outcome: str) -> None:
        """Note how a request ended."""
        if request.ended_at is None:
            request.ended_at = self.now
            request.outcome = outcome

    def strike(self, event: Event) -> None:
        """Let an event happen, and its end later."""
        servers = [
            each
            for each in self.server_by_id.values()
            if event.service in ('', each.group.name) and not each.is_leaving
        ]
        hit = self.random.sample(servers, round(event.share * len(servers)))
        if event.kind in FIELD_BY_KIND:
            field, after = FIELD_BY_KIND[event.kind]
            during = True if event.kind == 'dark' else event.x
            self._change(hit, event.for_s, field, during, after)
            return
        match event.kind:
            case 'away':
                self._leave(hit)
                self.after(event.for_s, self._return, hit)
            case 'leave':
                self._leave(hit)
            case 'outage':
                for instance in self.instances:
                    instance.stop()
                    late = self.random.uniform(0.0, event.x)
                    self.after(event.for_s + late, instance.start, None)

    def _leave(self, servers: list[Server]) -> None:
        for server in servers:
            server.is_leaving = True
        self._list_all()

    def _return(self, servers: list[Server]) -> None:
        for server in servers:
            server.is_leaving = False
        self._list_all()

    def _list_all(self) -> None:
        for instance in self.instances:
            for name, group in self.load.groups.items():
                self.list_servers(instance, name, group)

    def _change(
        self, hit: list[Server], seconds: float, name: str, during: Any, after: Any
    ) -> None:
        """Change a field of some servers for a while."""
        for server in hit:
            server.change(**{name: during})
            self.after(seconds, lambda each: each.change(**{name: after}), server)


def build_world(
    load: Load,
    seed: int,
    settings: AdmissionSettings,
    *,
    make_world: type[World] = World,
    make_instance: type[Instance] = Instance,
    make_server: type[Server] = Server,
    **fields,
) -> World:
    """Return a world in which a load is about to begin."""
    world = make_world(load, Random(f'{seed} world'), settings, **fields)
    world.workspaces = WorkspaceCounts(
        {each.name: each.limit for each in load.workspaces}
    )
    for group in load.groups.values():
        for number in range(group.count):
            zone = load.zones[number % len(load.zones)].name
            server = make_server(world, f'{group.name}-{number}', zone, group)
            world.server_by_id[server.server_id] = server
            world.after(
                world.random.random() * group.noise_seconds, server.redraw, None
            )
    for zone in load.zones:
        for number in range(zone.instances):
            instance = make_instance(
                world, zone.name, Random(f'{seed} {zone.name} {number}')
            )
            if number < SENDERS_PER_ZONE:
                instance.place = SenderPosition(
                    Sender(zone.name, number), is_recent=True
                )
            world.instances.append(instance)
            world.furnish(instance)
            world.after(world.random.random() * FLUSH_SECONDS, instance.share, None)
    for event in load.events:
        if event.kind != 'burst':
            world.after(event.at, world.strike, event)
    for request in draw_requests(load, Random(f'{seed} callers')):
        world.after(request.asked_at, world.ask, request)
    return world

"""A service on a virtual clock: small fake workers and entry instances.

The instances run the daemon's own router and policy. There is no platform, no
membership and no network but a fixed hop.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import Factory, define, frozen

from benchmarks.virtual_clock import VirtualClock
from catkinslip.config.documents import Backend, Service
from catkinslip.routing.base import AttemptResult, LoadReport, Policy, ResultKind
from catkinslip.routing.router import ServiceRouter

HOP_SECONDS = 0.0005
ZONE_HOP_SECONDS = 0.0005
SERVICE_SECONDS = 0.02
REDRAW_SECONDS = 0.01
NOISY_SPEEDS = (1.0, 1.0, 1.0, 0.2)
SLOW = 0.05


@frozen
class Scenario:
    """What is simulated; load is a share of the quiet capacity."""

    name: str
    workers: int
    slots: int
    instances: int
    load: float
    requests: int = 20_000
    noisy: bool = False
    redraw_share: float = 1.0
    straggler: bool = False
    fail_fast: bool = False
    drain: bool = False
    cold_start: bool = False
    lost_instance: bool = False
    reports: str = 'speed'
    report_delay: float = 0.0
    zones: int = 1
    deadline: float = float('inf')

    @property
    def rate(self) -> float:
        """Return requests per second."""
        return self.load * self.workers * self.slots / SERVICE_SECONDS

    @property
    def seconds(self) -> float:
        """Return the length of the run."""
        return self.requests / self.rate


@define(eq=False)
class Request:
    """One request of a caller; its demand is in seconds at full speed."""

    arrived_at: float
    demand: float
    deadline: float
    latency: float | None = None
    failed: bool = False
    refused: bool = False
    attempts: int = 0


@define(eq=False)
class Attempt:
    """A request sent to one worker by one instance."""

    request: Request
    instance: 'Instance'
    worker: 'Worker'
    sent_at: float
    kind: ResultKind = ResultKind.ANSWERED
    report: LoadReport | None = None
    is_cancelled: bool = False
    is_running: bool = False


@define(eq=False)
class Worker:
    """Slots behind a FIFO queue; speed holds for a request from its start."""

    world: 'World'
    worker_id: str
    zone: str
    slots: int
    speed: float = 1.0
    in_flight: int = 0
    busy: int = 0
    draining: bool = False
    fail_fast: bool = False
    reports: str = 'speed'
    waiting: deque[Attempt] = Factory(deque)
    history: deque[tuple[float, LoadReport]] = Factory(deque)

    def arrive(self, attempt: Attempt) -> None:
        """Take a request, or fail or refuse it at once."""
        if attempt.is_cancelled:
            return
        if self.fail_fast or self.draining:
            attempt.kind = ResultKind.FAILED if self.fail_fast else ResultKind.SHED
            self.answer(attempt)
            return
        self.in_flight += 1
        if self.busy < self.slots:
            self.begin(attempt)
        else:
            self.waiting.append(attempt)

    def begin(self, attempt: Attempt) -> None:
        """Run a request in a slot."""
        self.busy += 1
        attempt.is_running = True
        self.world.after(attempt.request.demand / self.speed, self.finish, attempt)

    def finish(self, attempt: Attempt) -> None:
        """End a request that was not cancelled and answer it."""
        if attempt.is_cancelled:
            return
        attempt.is_running = False
        self.busy -= 1
        self.in_flight -= 1
        self.answer(attempt)
        self.take_next()

    def cancel(self, attempt: Attempt) -> None:
        """Stop a request that waits or runs here."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            self.in_flight -= 1
        elif attempt.is_running:
            self.busy -= 1
            self.in_flight -= 1
            self.take_next()

    def take_next(self) -> None:
        """Run the next request that is in time."""
        while self.waiting:
            following = self.waiting.popleft()
            if following.request.deadline > self.world.now:
                self.begin(following)
                return
            self.in_flight -= 1
            following.kind = ResultKind.SHED
            self.answer(following)

    def answer(self, attempt: Attempt) -> None:
        """Send an answer with a load report."""
        attempt.report = self.report()
        hop = self.world.hop(attempt.instance, self)
        self.world.after(hop, attempt.instance.answered, attempt)

    def report(self) -> LoadReport | None:
        """Return the report that this worker sends, honest or not."""
        if self.reports == 'none':
            return None
        speed = None if self.reports == 'no speed' else self.speed
        in_flight = self.in_flight
        if self.reports == 'idle':
            in_flight, speed = 0, 1.0
        if self.reports == 'busy':
            in_flight = 1000
        report = LoadReport(in_flight, speed)
        delay = self.world.scenario.report_delay
        return self.delayed(report, self.world.now - delay) if delay else report

    def delayed(self, report: LoadReport, until: float) -> LoadReport:
        """Return the latest report made until some time."""
        self.history.append((self.world.now, report))
        while len(self.history) > 1 and self.history[1][0] <= until:
            self.history.popleft()
        return self.history[0][1]


@define(eq=False)
class Instance:
    """One entry instance: the daemon's router; a subclass may add tries."""

    world: 'World'
    zone: str
    router: ServiceRouter
    lost: bool = False
    max_attempts: int = 3

    def arrive(self, request: Request) -> None:
        """Take a request of a caller."""
        self.send(request)

    def send(self, request: Request, excluded: tuple[str, ...] = ()) -> None:
        """Send one attempt to the worker that the router chooses."""
        now = self.world.now
        choice = self.router.choose(now, excluded)
        if choice is None:
            request.refused = True
            return
        worker = self.world.worker_by_id[choice.backend_id]
        attempt = Attempt(request, self, worker, now)
        request.attempts += 1
        self.router.started(choice.backend_id, now)
        self.world.after(self.world.hop(self, worker), worker.arrive, attempt)

    def answered(self, attempt: Attempt) -> None:
        """Take an answer; try elsewhere when it was refused."""
        if self.lost:
            return
        now = self.world.now
        result = AttemptResult(attempt.kind, now - attempt.sent_at, attempt.report)
        self.router.finished(attempt.worker.worker_id, result, now)
        request = attempt.request
        shed = attempt.kind is ResultKind.SHED
        if shed and request.attempts < self.max_attempts and now < request.deadline:
            self.send(request, (attempt.worker.worker_id,))
            return
        if request.latency is None:
            request.latency = now - request.arrived_at
            request.failed = attempt.kind is ResultKind.FAILED
            request.refused = attempt.kind is ResultKind.SHED


@define(eq=False)
class World(VirtualClock):
    """The virtual clock, the workers and the instances."""

    scenario: Scenario
    random: Random
    worker_by_id: dict[str, Worker] = Factory(dict)
    instances: list[Instance] = Factory(list)

    def hop(self, instance: Instance, worker: Worker) -> float:
        """Return the seconds between an instance and a worker."""
        near = instance.zone == worker.zone
        return HOP_SECONDS if near else HOP_SECONDS + ZONE_HOP_SECONDS

    def next_zone(self) -> str:
        """Return the zone of the instance that is built now."""
        return f'zone-{len(self.instances) % self.scenario.zones}'

    def run(self) -> list[Request]:
        """Run all events and return every request."""
        requests = self.draw_requests()
        self.run_all()
        return requests

    def draw_requests(self) -> list[Request]:
        """Draw all arrivals and demands, the same for every policy."""
        requests = []
        at = 0.0
        for _ in range(self.scenario.requests):
            at += self.random.expovariate(self.scenario.rate)
            demand = self.random.expovariate(1 / SERVICE_SECONDS)
            request = Request(at, demand, at + self.scenario.deadline)
            index = self.random.randrange(len(self.instances))
            self.after(at, self.arrive, (index, request))
            requests.append(request)
        return requests

    def arrive(self, arrival: tuple[int, Request]) -> None:
        """Hand a request to its instance, or to the next that lives."""
        index, request = arrival
        while self.instances[index].lost:
            index = (index + 1) % len(self.instances)
        self.instances[index].arrive(request)

    def redraw(self, worker: Worker) -> None:
        """Redraw the speed of a worker with a noisy neighbour."""
        if self.random.random() < self.scenario.redraw_share:
            worker.speed = self.random.choice(NOISY_SPEEDS)
        if self.now < self.scenario.seconds:
            self.after(REDRAW_SECONDS, self.redraw, worker)


def build_world(
    scenario: Scenario,
    seed: int,
    make_policy: Callable[[Random, World], Policy],
    make_instance: Callable[..., Instance] = Instance,
) -> World:
    """Return a world in which every instance runs its own router and policy."""
    world = World(scenario, Random(seed))
    backend_by_id = {}
    for number in range(scenario.workers):
        worker_id, zone = f'worker-{number}', f'zone-{number % scenario.zones}'
        worker = Worker(world, worker_id, zone, scenario.slots)
        world.worker_by_id[worker_id] = worker
        backend_by_id[worker_id] = Backend('service', zone, '127.0.0.1', 1)
    for number in range(scenario.instances):
        zone = world.next_zone()
        policy = make_policy(Random(f'{seed} {number}'), world)
        router = ServiceRouter(policy)
        router.update(Service(scenario.slots), backend_by_id)
        world.instances.append(make_instance(world, zone, router))
    order_faults(world, list(world.worker_by_id.values()))
    return world


def order_faults(world: World, workers: list[Worker]) -> None:
    """Order the scenario's faults; a third of the workers may be noisy."""
    scenario = world.scenario
    third = scenario.seconds / 3
    for worker in workers:
        worker.reports = scenario.reports
    if scenario.reports in ('idle', 'busy'):
        for worker in workers[2:]:
            worker.reports = 'speed'
    if scenario.noisy:
        for worker in workers[1 : 1 + len(workers) // 3]:
            world.after(0.0, world.redraw, worker)
    order_fault_of(scenario, world, workers[-1])
    if scenario.lost_instance:
        change_at(world, third, world.instances[0], 'lost', True)


def order_fault_of(scenario: Scenario, world: World, worker: Worker) -> None:
    """Order the scenario's fault of one worker."""
    third = scenario.seconds / 3
    if scenario.straggler or scenario.cold_start:
        worker.speed = SLOW
    if scenario.cold_start:
        change_at(world, third, worker, 'speed', 1.0)
    if scenario.fail_fast:
        change_at(world, third, worker, 'fail_fast', True)
        change_at(world, 2 * third, worker, 'fail_fast', False)
    if scenario.drain:
        change_at(world, third, worker, 'draining', True)


def change_at(world: World, at: float, subject: Any, name: str, value: Any) -> None:
    """Change an attribute at some time."""
    world.after(at, lambda _: setattr(subject, name, value), None)

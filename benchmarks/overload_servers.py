"""Backend servers under a load: slots that share a machine with noisy neighbours."""

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from attrs import Factory, define

from benchmarks.overload_load import ServerGroup
from catkinslip.resting.signals import RestSignal
from catkinslip.routing.base import LoadReport, ResultKind
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.signals import RateSignal

if TYPE_CHECKING:
    from benchmarks.overload_instances import Call, Instance
    from benchmarks.overload_world import World

#: Work that is left of a request that is done, in seconds; sums are not exact.
NO_WORK = 1e-9


@define(eq=False)
class Run:
    """One attempt of a call at a server."""

    call: 'Call'
    server: 'Server'
    instance: 'Instance'
    sent_at: float
    delay: float
    left: float
    is_gone: bool = False


@define(eq=False)
class Server:
    """Slots that share one machine with noisy neighbours, behind a short queue."""

    world: 'World'
    server_id: str
    zone: str
    group: ServerGroup
    is_slowed: bool = False
    fault_slowness: float = 1.0
    is_dark: bool = False
    is_leaving: bool = False
    #: The share of requests that it refuses, whatever room it has.
    shed_share: float = 0.0
    #: The requests a second that it names as the rate it takes; None for none.
    named_rate: float | None = None
    #: When requests came while it named one.
    came_in_need: list[float] = Factory(list)
    #: The seconds of rest that it asks each instance for, turning all away; None for
    #: none.
    rest: float | None = None
    #: When it turned requests away and asked for rest, by the instance that sent them.
    turned_away_by_instance: defaultdict[int, list[float]] = Factory(
        lambda: defaultdict(list)
    )
    running: list[Run] = Factory(list)
    waiting: list[Run] = Factory(list)
    moved_at: float = 0.0
    turn: int = 0

    @property
    def speed(self) -> float:
        """Return the speed that this server reports."""
        noise = self.group.noise_slowness if self.is_slowed else 1.0
        return 1 / (noise * self.fault_slowness)

    def rate(self) -> float:
        """Return the work done in a second of each running request."""
        full = len(self.running) > self.group.full_share * self.group.slots
        return self.speed / (self.group.full_slowness if full else 1.0)

    def arrive(self, run: Run) -> None:
        """Take a request, or refuse it at once."""
        if self.is_dark or run.is_gone:
            return
        if self.named_rate is not None:
            self.came_in_need.append(self.world.now)
        if self.rest is not None:
            self.turned_away_by_instance[id(run.instance)].append(self.world.now)
            self.answer(run, ResultKind.SHED)
        elif self.shed_share and self.world.random.random() < self.shed_share:
            self.answer(run, ResultKind.SHED)
        elif len(self.running) < self.group.slots:
            self.move()
            self.running.append(run)
            self.plan()
        elif len(self.waiting) < self.group.queue:
            self.waiting.append(run)
        else:
            self.answer(run, ResultKind.SHED)

    def move(self) -> None:
        """Do the work since the last change."""
        done = (self.world.now - self.moved_at) * self.rate()
        for run in self.running:
            run.left -= done
        self.moved_at = self.world.now

    def plan(self) -> None:
        """Order the end of the request that ends next."""
        self.turn += 1
        if self.running and not self.is_dark:
            least = min(run.left for run in self.running)
            seconds = max(0.0, least) / self.rate()
            self.world.after(seconds, self.finish, self.turn)

    def finish(self, turn: int) -> None:
        """End what is done, unless something changed meanwhile."""
        if turn != self.turn:
            return
        self.move()
        done = [run for run in self.running if run.left <= NO_WORK]
        self.running = [run for run in self.running if run.left > NO_WORK]
        self.fill()
        for run in done:
            self.answer(run, ResultKind.ANSWERED)
        self.plan()

    def fill(self) -> None:
        """Begin what waits for a slot."""
        while self.waiting and len(self.running) < self.group.slots:
            run = self.waiting.pop(0)
            self.running.append(run)

    def cancel(self, run: Run) -> None:
        """Stop a request whose caller left."""
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self.move()
            self.running.remove(run)
            self.fill()
            self.plan()

    def change(self, **fields: Any) -> None:
        """Change what this server is like."""
        self.move()
        for name, value in fields.items():
            setattr(self, name, value)
        self.plan()

    def redraw(self, _: None) -> None:
        """Redraw whether neighbours take the machine's time."""
        slowed = self.world.random.random() < self.group.noise_share
        if slowed != self.is_slowed:
            self.change(is_slowed=slowed)
        if self.world.now < self.world.quiet_at:
            self.world.after(self.group.noise_seconds, self.redraw, None)

    def report(self) -> LoadReport:
        """Return the load that this server tells."""
        return LoadReport(len(self.running) + len(self.waiting), self.speed)

    def answer(self, run: Run, kind: ResultKind) -> None:
        """Send an answer with a load report."""
        hop = self.world.hop(run.instance.zone, self.zone)
        rest = RestSignal(self.rest if kind is ResultKind.SHED else None)
        words = ServerSignals(RateSignal(self.named_rate), rest)
        told = (run, kind, self.report(), words)
        self.world.after(hop, run.instance.answered, told)

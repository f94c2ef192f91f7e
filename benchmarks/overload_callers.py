"""Callers under a load: who asks when, for what, and how long each waits."""

from collections.abc import Iterator
from random import Random

from attrs import define

from benchmarks.overload_load import Event, Kind, Load

#: Callers keep an address answer so long.
ADDRESS_SECONDS = 3.0
#: Work differs from request to request: mean and deviation of its logarithm.
WORK_LOG_MEAN = -0.045
WORK_LOG_DEVIATION = 0.3
#: Mean time between two requests of a caller, over that of an address answer.
ADDRESS_TURNS = 1 / 0.65


@define(eq=False)
class Request:
    """One request of a caller over all its attempts; seconds of the virtual clock."""

    kind: Kind
    zone: str
    asked_at: float
    patience: float
    work: float
    address_age: float
    workspace: str = ''
    is_repeating: bool = False
    #: Address of the caller; empty addresses are not told apart.
    address: str = ''
    tries: int = 0
    ended_at: float | None = None
    outcome: str = ''

    @property
    def deadline(self) -> float:
        """Return when the caller gives up."""
        return self.asked_at + self.patience

    @property
    def is_in_time(self) -> bool:
        """Tell whether it was answered within its target."""
        return self.is_answered and self.ended_at <= self.asked_at + self.kind.target

    @property
    def is_answered(self) -> bool:
        """Tell whether it was answered at all."""
        return self.outcome == 'answered'

    @property
    def worth(self) -> float:
        """Return what its answer was worth."""
        if not self.is_answered:
            return 0.0
        return self.kind.worth if self.is_in_time else self.kind.late_worth


def draw_requests(load: Load, random: Random) -> list[Request]:
    """Draw all first attempts, the same for every way of deciding."""
    return [
        draw_request(load, kind, at, random)
        for kind in load.kinds
        for at in draw_times(load, kind, random)
    ] + [
        request
        for event in load.events
        if event.requests or event.workspace
        for request in draw_extra(load, event, random)
    ]


def draw_times(load: Load, kind: Kind, random: Random) -> Iterator[float]:
    """Draw when callers ask for a kind, more of them during a burst."""
    bursts = [
        event
        for event in load.events
        if event.kind == 'burst' and not (event.requests or event.workspace)
    ]
    most = max([1.0, *(event.x for event in bursts)])
    at = 0.0
    while True:
        at += random.expovariate(kind.rate * most)
        if at >= load.seconds:
            return
        now = [each.x for each in bursts if each.at <= at < each.at + each.for_s]
        if random.random() < max([1.0, *now]) / most:
            yield at


def draw_extra(load: Load, event: Event, random: Random) -> Iterator[Request]:
    """Draw the additional requests of a burst of one kind or one workspace."""
    total = sum(each.share for each in load.workspaces)
    for kind in load.kinds:
        if event.requests not in ('', kind.name):
            continue
        rate = kind.rate * (event.x - 1)
        if event.workspace:
            share = next(
                each.share for each in load.workspaces if each.name == event.workspace
            )
            rate *= share / total
        at = event.at + random.expovariate(rate)
        while at < event.at + event.for_s:
            request = draw_request(load, kind, at, random)
            request.workspace = event.workspace or request.workspace
            yield request
            at += random.expovariate(rate)


def draw_request(load: Load, kind: Kind, at: float, random: Random) -> Request:
    """Draw one caller."""
    request = draw_usual(load, kind, at, random)
    if load.workspaces:
        shares = [each.share for each in load.workspaces]
        request.workspace = random.choices(load.workspaces, shares)[0].name
    if load.repeating_share:
        request.address = f'{random.getrandbits(32):x}'
        request.is_repeating = random.random() < load.repeating_share
    return request


def draw_usual(load: Load, kind: Kind, at: float, random: Random) -> Request:
    """Draw one caller without a workspace that waits before it returns."""
    return Request(
        kind=kind,
        zone=random.choices(load.zones, [zone.share for zone in load.zones])[0].name,
        asked_at=at,
        patience=kind.deadline * random.uniform(1 - load.patience_spread, 1.0),
        work=kind.work * random.lognormvariate(WORK_LOG_MEAN, WORK_LOG_DEVIATION),
        address_age=random.uniform(0.0, ADDRESS_SECONDS * ADDRESS_TURNS),
    )

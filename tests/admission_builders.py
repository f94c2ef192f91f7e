"""Loads on scarce capacity, and what callers got of them."""

from collections.abc import Callable, Iterable
from functools import lru_cache
from statistics import mean

from attrs import evolve

from benchmarks.overload_callers import Request
from benchmarks.overload_load import (
    Event,
    Kind,
    Load,
    ServerGroup,
    WorkspaceLoad,
    Zone,
)
from benchmarks.overload_world import build_world
from catkinslip.admission.waiting import AdmissionSettings

ZONES = tuple(Zone(name, 2) for name in 'abc')
#: Many instances with few callers each.
MANY_ZONES = tuple(Zone(name, 20) for name in 'abc')
BURST_AT = 4.0
BURST_SECONDS = 6.0
LISTING = Kind('listing', 'desk', 60.0, 0.09, 0.34, 2.0, priority=1)
PAYMENT = Kind('payment', 'desk', 30.0, 0.12, 0.391, 2.0, 2.0, repeatable=False)
UPLOAD = Kind('upload', 'desk', 36.0, 0.11, 1.734, 4.0, priority=2, repeatable=False)
PLEDGE = Kind('pledge', 'desk', 40.0, 0.072, 0.29, 1.5, 3.0, repeatable=False)


def full_servers(count: int) -> ServerGroup:
    """Return servers of two slots that turn away what finds no free slot."""
    return ServerGroup('desk', count, queue=0, noise_share=0.3)


def workspace_load(
    limits: float = 3.2,
    zones: tuple[Zone, ...] = ZONES,
    hot: float = 3.0,
    name: str = 'w0',
) -> Load:
    """Return a load in which one of 20 workspaces sends a multiple of its usual rate.

    The largest one, w0, sends a third of the requests.
    """
    sizes = [1 / (rank + 1) ** 1.2 for rank in range(20)]
    rate = LISTING.rate + PAYMENT.rate
    workspaces = tuple(
        WorkspaceLoad(f'w{rank}', size, limits * rate * size / sum(sizes))
        for rank, size in enumerate(sizes)
    )
    burst = Event('burst', BURST_AT, BURST_SECONDS, x=hot, workspace=name)
    return Load(
        'hot workspace',
        BURST_AT + BURST_SECONDS,
        zones,
        (full_servers(12),),
        (LISTING, PAYMENT),
        (burst,),
        workspaces=workspaces,
    )


def kind_load(kinds: Iterable[Kind], burst: str, factor: float, servers: int) -> Load:
    """Return a load with a burst of one kind on a small service."""
    return Load(
        f'burst of {burst}',
        BURST_AT + BURST_SECONDS,
        ZONES,
        (full_servers(servers),),
        tuple(kinds),
        (Event('burst', BURST_AT, BURST_SECONDS, x=factor, requests=burst),),
    )


def refusing_load(repeating_share: float = 0.0) -> Load:
    """Return a load whose idle servers refuse half of the requests for 8 seconds."""
    kinds = (
        Kind('listing', 'desk', 50.0, 0.09, 0.34, 2.0, priority=2),
        Kind('payment', 'desk', 30.0, 0.12, 0.391, 2.0, 2.0, priority=1),
        Kind('pledge', 'desk', 30.0, 0.072, 0.29, 1.5, 3.0),
    )
    return Load(
        'half refused',
        16.0,
        ZONES,
        (ServerGroup('desk', 24, queue=0, noise_share=0.3),),
        kinds,
        (Event('grey', BURST_AT, 8.0, share=1.0, x=0.5),),
        repeating_share=repeating_share,
    )


def fair_burst(burst: str) -> Load:
    """Return a burst of one of two kinds, uploads and pledges, on a small service."""
    if burst == 'upload':
        kinds = evolve(UPLOAD, rate=25.0), evolve(PLEDGE, rate=20.0)
        return kind_load(kinds, burst, 3.0, 10)
    kinds = evolve(PLEDGE, rate=36.0), evolve(UPLOAD, rate=15.0)
    return kind_load(kinds, burst, 2.0, 7)


def repeating_load() -> Load:
    """Return a burst in which 0.3 of the callers return at once and often."""
    load = kind_load((LISTING, PAYMENT), 'listing', 2.2, 12)
    return evolve(load, repeating_share=0.3)


#: A test looks at the same run several times.
@lru_cache(maxsize=64)
def play(load: Load, seed: int, settings: AdmissionSettings) -> list[Request]:
    """Play a load and return the requests that were first sent during its event."""
    event = load.events[0]
    requests = build_world(load, seed, settings).run()
    end = event.at + event.for_s
    return [each for each in requests if event.at <= each.asked_at < end]


def in_time(
    requests: Iterable[Request], which: Callable[[Request], bool] = lambda _: True
) -> float:
    """Return the share of some requests that were answered in time."""
    chosen = [each.is_in_time for each in requests if which(each)]
    return sum(chosen) / max(1, len(chosen))


def served(
    requests: Iterable[Request], which: Callable[[Request], bool] = lambda _: True
) -> float:
    """Return the share of some requests that were answered."""
    chosen = [each.is_answered for each in requests if which(each)]
    return sum(chosen) / max(1, len(chosen))


def mean_share(
    share: Callable[..., float],
    load: Load,
    settings: AdmissionSettings,
    which: Callable[[Request], bool] = lambda _: True,
    seeds: Iterable[int] = range(1, 7),
) -> float:
    """Return the mean over seeds of a share of some of a load's requests."""
    return mean(share(play(load, seed, settings), which) for seed in seeds)

"""Cost of fleet-wide quotas: refusals, and messages of whole fleets on a virtual clock.

    python -m benchmarks.quotas

The processor time of a refusal is that of Forwarder.forward for a workspace over its
limit. The fleets replay 430 requests a second of 80 or 800 workspaces, whose sizes
follow a Zipf distribution, at the home instances. Their processor time is that of all
parts of the quotas with their messages' encoding, without the system calls.
"""

import logging
import time
import tracemalloc
from random import Random

import trio
from attrs import Factory, define

from catkinslip.health.tracker import make_tracker
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.service import LimitRegistry
from catkinslip.models import Address
from catkinslip.proxy.call import Call
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.outcomes import NotRun
from catkinslip.proxy.pool import BackendPool
from catkinslip.quotas.exchange import FleetQuotas
from catkinslip.quotas.view import FleetView
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.builders import config_with
from tests.quota_builders import (
    BOUNDS,
    Fleet,
    Node,
    NodeClock,
    config_of,
    home_names,
    limited,
)

REFUSALS = 20_000
ROUNDS = 5
USUAL_PER_SECOND = 430.0
ZIPF_EXPONENT = 1.2
LIMIT_FACTOR = 1.6
WARM_SECONDS, SECONDS = 5.0, 10.0
#: Home sets and other instances of fleets of 14, 121 and 300.
FLEETS = {
    14: (home_names(zones=2, size=7), 0),
    121: (home_names(zones=3, size=2), 115),
    300: (home_names(zones=5, size=8), 260),
}


@define(eq=False)
class TimedNode(Node):
    """An instance whose processor time is counted."""

    seconds: float = 0.0

    def run(self, action) -> None:
        """Do something and count its time."""
        began = time.perf_counter()
        super().run(action)
        self.seconds += time.perf_counter() - began


@define
class TimedFleet(Fleet):
    """A fleet whose instances count their processor time."""

    bytes_by_sender: dict[str, int] = Factory(dict)
    count_by_sender: dict[str, int] = Factory(dict)

    def add(self, names, homes) -> None:
        """Start instances; all of the home sets have equal shares."""
        for name in names:
            share = 1 / len(homes) if name in homes else 0.0
            peer_ids = frozenset(homes) - {name}
            node = TimedNode(self, name, FleetView(share, True, homes, peer_ids))
            self.node_by_name[name] = node
            node.start()

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a datagram and count it."""
        self.bytes_by_sender[sender] = self.bytes_by_sender.get(sender, 0) + len(data)
        self.count_by_sender[sender] = self.count_by_sender.get(sender, 0) + 1
        super().deliver(sender, receiver, data)


def usual_rates(workspaces: int) -> dict[str, float]:
    """Return the usual requests per second of each workspace."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(workspaces)]
    return {
        f'w{rank}': USUAL_PER_SECOND * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }


def measure_fleet(instances: int, workspaces: int) -> str:
    """Return the messages, bytes and processor time of the instances of a fleet."""
    homes, others = FLEETS[instances]
    rates = usual_rates(workspaces)
    limits = {
        name: limited(LIMIT_FACTOR * rate, LIMIT_FACTOR * rate)
        for name, rate in rates.items()
    }
    fleet = TimedFleet(config_of(**limits))
    fleet.add((*homes, *(f'other-{each}' for each in range(others))), homes)
    for name, rate in rates.items():
        fleet.load(name, rate, list(homes), WARM_SECONDS + SECONDS)
    fleet.run(WARM_SECONDS)
    for node in fleet.node_by_name.values():
        node.seconds = 0.0
    fleet.bytes_by_sender.clear()
    fleet.count_by_sender.clear()
    fleet.run(SECONDS)
    counts = [fleet.count_by_sender.get(name, 0) / SECONDS for name in homes]
    sizes = [fleet.bytes_by_sender.get(name, 0) / SECONDS / 1e3 for name in homes]
    percents = [fleet.node_by_name[name].seconds / SECONDS * 100 for name in homes]
    idle = [
        node.seconds for name, node in fleet.node_by_name.items() if name not in homes
    ]
    idle_percent = max(idle, default=0.0) / SECONDS * 100
    return (
        f'{instances:4} {len(homes):5} {workspaces:4} {mean(counts):9.0f} '
        f'{max(counts):7.0f} {mean(sizes):7.1f} {max(sizes):7.1f} '
        f'{mean(percents):7.2f} {max(percents):7.2f} {idle_percent:7.3f}'
    )


def mean(values: list[float]) -> float:
    """Return the mean of some values."""
    return sum(values) / len(values)


def make_forwarder() -> Forwarder:
    """Return a forwarder whose quotas refuse the workspace `acme`."""
    fleet = Fleet(config_of(acme=limited(100.0, 100.0)))
    clock = NodeClock(fleet, 100.0)
    quotas = FleetQuotas(
        'i-1',
        BOUNDS,
        clock,
        Random(1),
        lambda: FleetView(1.0, True, ('other',), frozenset()),
        lambda name: Address(name, 1),
        lambda data, addresses: None,
    )
    quotas.apply_config(fleet.config)
    stock = quotas.holder.stock_by_name['acme']
    stock.refused_until = clock.monotonic() + 0.2
    directory = Directory(lambda: LeastInFlight(Random(0)))
    health = make_tracker(directory, clock, Random(0), max_instances=1)
    config = config_with(20)
    directory.update(config)
    health.update(config)
    limits = LimitRegistry(LimitSettings(), lambda _: 1)
    return Forwarder(
        directory, BackendPool(), clock, limits, health, HedgeTimer(), quotas=quotas
    )


async def measure_refusals() -> float:
    """Return the microseconds of processor time of one refusal."""
    forwarder = make_forwarder()
    service = next(iter(forwarder.directory.router_by_service))
    deadline = forwarder.clock.monotonic() + 10
    calls = [
        Call(f'r{n}', service, b'GET', b'/', [], b'', True, deadline, workspace='acme')
        for n in range(REFUSALS)
    ]
    sent = forwarder.quotas.counts.sent
    began = time.process_time()
    for call in calls:
        outcome = await forwarder.forward(call, None)
    seconds = time.process_time() - began
    if not isinstance(outcome, NotRun) or outcome.reason.status != 429:
        raise RuntimeError(f'the outcome must be a refusal, not {outcome}')
    if forwarder.quotas.counts.sent != sent:
        raise RuntimeError('refusals must not send datagrams')
    return seconds / REFUSALS * 1e6


def measure_memory(workspaces: int) -> float:
    """Return the bytes of one workspace at an instance that is no pool."""
    config = config_of(**{name: limited(1.0) for name in usual_rates(workspaces)})
    fleet = Fleet(config)
    fleet.add((), home_names())
    tracemalloc.start()
    node = Node(fleet, 'i-1', FleetView())
    before = tracemalloc.get_traced_memory()[0]
    node.start()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / workspaces


def main() -> None:
    """Print all measurements."""
    logging.disable(logging.CRITICAL)
    rounds = sorted(trio.run(measure_refusals) for _ in range(ROUNDS))
    print(
        f'refusal through Forwarder: {rounds[ROUNDS // 2]:.1f} us (median of {ROUNDS})'
    )
    print(f'memory: {measure_memory(800):.0f} bytes a workspace')
    print('instances, home instances, workspaces; datagrams/s of a home instance, mean')
    print(
        'and busiest; kB/s, the same; % of a core, the same, and of the busiest other'
    )
    for workspaces in (80, 800):
        for instances in FLEETS:
            print(measure_fleet(instances, workspaces))


if __name__ == '__main__':
    main()

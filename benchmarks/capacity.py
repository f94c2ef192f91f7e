"""Measure the slopes that docs/CAPACITY.md is worked out from.

Real daemons, one kind of state grown at a time; the last line is JSON. The request
path, peer exchanges and configuration changes have benchmarks of their own.
"""

import json
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import psutil
import trio
from attrs import asdict, frozen

from benchmarks.configuration_in_force import TIMEOUT_SECONDS, drained, time_change
from catkinslip.config.changes import ChangeAccepted, apply_change
from catkinslip.config.checks import read_document
from catkinslip.config.documents import Document
from catkinslip.config.reading import read_config
from catkinslip.store.http import HttpStore
from standins.processes import Process, ProcessGroup
from standins.registers import many_workers

REGISTER_SIZES = ((0, 440), (1_150, 440), (2_300, 440), (4_600, 440))
SERVICE_COUNTS = (110, 220, 440)
RULE_COUNTS = (0, 500, 1_000)
FLEET_SIZES = (2, 4, 8, 12)
SETTLE_SECONDS = 5.0
IDLE_SECONDS = 12.0
CHANGES = 12
LOOPBACK = 'lo'
CHANGE_PAUSE_SECONDS = 0.5


@frozen
class Point:
    """One measured value at one size."""

    size: float
    value: float


@frozen
class Slope:
    """How a value grows with a size, by least squares over the points."""

    name: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float


def main() -> int:
    """Measure all slopes and print them."""
    slopes = [
        *register_slopes(),
        service_slope(),
        rule_slope(),
        *fleet_slopes(),
    ]
    for each in slopes:
        points = ', '.join(f'{p.size:g}: {p.value:.4g}' for p in each.points)
        print(f'{each.name}: {each.slope:.6g} {each.unit} from {points}')
    print(json.dumps({'benchmark': 'capacity', 'slopes': [asdict(s) for s in slopes]}))
    return 0


def fit(name: str, unit: str, points: list[Point]) -> Slope:
    """Fit a line through points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    return Slope(name, unit, tuple(points), line.slope, line.intercept)


def register_slopes() -> list[Slope]:
    """Measure memory and processor time of a change against the register's size."""
    memory, change = [], []
    for workers, services in REGISTER_SIZES:
        with fleet(1) as (group, daemons):
            document = read_document(many_workers(workers, services)).unwrap()
            rss, cpu = put_in_force(group, daemons, document, CHANGES)
        memory.append(Point(workers, rss))
        change.append(Point(workers, cpu * 1000))
    return [
        fit('memory of a daemon by workers', 'bytes a worker', memory),
        fit('processor time of a change by workers', 'ms a worker', change),
    ]


def service_slope() -> Slope:
    """Measure memory against the number of services."""
    points = []
    for services in SERVICE_COUNTS:
        with fleet(1) as (group, daemons):
            document = read_document(many_workers(0, services)).unwrap()
            points.append(Point(services, put_in_force(group, daemons, document)[0]))
    return fit('memory of a daemon by services', 'bytes a service', points)


def rule_slope() -> Slope:
    """Measure memory against the number of request rules."""
    points = []
    for rules in RULE_COUNTS:
        with fleet(1) as (group, daemons):
            plain = many_workers(100, 10)
            plain['rules'] = {'requests': [request_rule(n) for n in range(rules)]}
            document = read_document(plain).unwrap()
            points.append(Point(rules, put_in_force(group, daemons, document)[0]))
    return fit('memory of a daemon by rules', 'bytes a rule', points)


def request_rule(number: int) -> dict:
    """Return one request rule as plain data."""
    return {
        'service': f'service-{number % 10}',
        'path': f'/path-{number}/*',
        'methods': ['POST'],
        'repeatable': True,
    }


def fleet_slopes() -> list[Slope]:
    """Measure what idle daemons spend on control against their number."""
    cpu, traffic, memory = [], [], []
    for size in FLEET_SIZES:
        with fleet(size) as (group, daemons):
            document = read_document(many_workers(30, 3)).unwrap()
            put_in_force(group, daemons, document)
            time.sleep(SETTLE_SECONDS)
            before, sent = cpu_seconds(daemons), loopback_bytes()
            time.sleep(IDLE_SECONDS)
            spent = statistics.fmean(cpu_seconds(daemons)) - statistics.fmean(before)
            cpu.append(Point(size, 100 * spent / IDLE_SECONDS))
            both = 2 * (loopback_bytes() - sent) / size / IDLE_SECONDS
            traffic.append(Point(size, both))
            memory.append(Point(size, statistics.fmean(map(resident, daemons))))
    return [
        fit('idle processor share of a daemon by instances', '% of a core', cpu),
        fit('control traffic of a daemon by instances', 'bytes/s in and out', traffic),
        fit('memory of a daemon by instances', 'bytes an instance', memory),
    ]


@contextmanager
def fleet(size: int) -> Iterator[tuple[ProcessGroup, list[Process]]]:
    """Start a platform and some daemons, and end them together."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        url = f'http://{group.start_platform().address}'
        yield (
            group,
            [
                group.start_daemon(f'entry-{number}', 'zone-a', platform_url=url)
                for number in range(size)
            ],
        )


def put_in_force(
    group: ProcessGroup, daemons: list[Process], document: Document, changes: int = 0
) -> tuple[float, float]:
    """Put a document in force; return bytes of a daemon and seconds a change."""
    platform = group.process_by_name['platform']
    return trio.run(apply_all, platform.address, daemons, document, changes)


async def apply_all(
    platform: str, daemons: list[Process], document: Document, changes: int
) -> tuple[float, float]:
    """Apply a document and some changes to it, none of them watched closely."""
    async with (
        httpx.AsyncClient(base_url=f'http://{platform}') as client,
        httpx.AsyncClient(timeout=TIMEOUT_SECONDS) as control,
    ):
        store = HttpStore(client, TIMEOUT_SECONDS)
        await time_change(store, control, daemons, document, 0)
        await trio.sleep(SETTLE_SECONDS)
        rss = statistics.fmean(map(resident, daemons))
        idle = await spent_while(daemons, changes, trio.sleep, CHANGE_PAUSE_SECONDS)
        if not changes or not document.register.backends:
            return rss, 0.0

        async def change_once(pause: float) -> None:
            nonlocal document, number
            document = drained(document, number)
            number += 1
            await apply_blindly(store, document, number)
            await trio.sleep(pause)

        number = 0
        busy = await spent_while(daemons, changes, change_once, CHANGE_PAUSE_SECONDS)
    return rss, (busy - idle) / changes


async def spent_while(daemons: list[Process], times: int, act, argument) -> float:
    """Return the mean processor seconds of daemons while an act is repeated."""
    before = statistics.fmean(cpu_seconds(daemons))
    for _ in range(times):
        await act(argument)
    return statistics.fmean(cpu_seconds(daemons)) - before


async def apply_blindly(store: HttpStore, document: Document, number: int) -> None:
    """Make a change without asking whether it is in force."""
    base = await read_config(store)
    outcome = await apply_change(store, base, document, f'blind-{number}', 'bench')
    assert isinstance(outcome, ChangeAccepted), outcome


def resident(daemon: Process) -> float:
    """Return the resident bytes of a daemon."""
    return psutil.Process(daemon.popen.pid).memory_info().rss


def cpu_seconds(daemons: list[Process]) -> list[float]:
    """Return the processor seconds that each daemon has spent."""
    return [sum(psutil.Process(d.popen.pid).cpu_times()[:2]) for d in daemons]


def loopback_bytes() -> int:
    """Return the bytes that the loopback device has sent."""
    return psutil.net_io_counters(pernic=True)[LOOPBACK].bytes_sent


if __name__ == '__main__':
    sys.exit(main())

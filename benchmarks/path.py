"""Measure what the request path adds to a call, against two other ways.

All arms take turns in one run: direct to the backend server, through the
daemon, and through a proxy on quart and httpx.
"""

import json
import os
import socket
import sys
import tempfile
from pathlib import Path

import psutil
from attrs import define, frozen
from hdrh.histogram import HdrHistogram

from benchmarks.caller import REQUEST
from catkinslip.cli.application import run as run_tool
from standins.load import new_histogram
from standins.processes import Process, ProcessGroup, wait_until
from tests.builders import document_plain

LOADS = ('one_caller', 'half_capacity')
ARMS = ('direct', 'daemon', 'quart')
CALLERS = 4
WARM_CALLS = 300
ROUNDS = 10
CALLS_A_ROUND = 200
CAPACITY_ROUNDS = 2
CAPACITY_SECONDS = 1.0
HALF_SECONDS = 0.5
IDLE_CONNECTIONS = 500
TARGET_P99_MS = 0.95
UNBOUNDED = 1 << 30


@frozen
class Bench:
    """The processes of one run."""

    group: ProcessGroup
    callers: list[Process]
    process_by_arm: dict[str, Process]

    def order(self, callers: list[Process], arm: str, **order: object) -> list[int]:
        """Let callers work at the same time; return all latencies."""
        plain = {'address': self.process_by_arm[arm].address, 'rate': 0.0, **order}
        for seed, caller in enumerate(callers):
            line = json.dumps({'count': UNBOUNDED, 'seconds': 60, 'seed': seed} | plain)
            caller.popen.stdin.write(line.encode() + b'\n')
            caller.popen.stdin.flush()
        latencies = []
        for caller in callers:
            latencies.extend(json.loads(caller.popen.stdout.readline()))
        return latencies


@define
class Capacity:
    """What one arm did with its processor time."""

    calls: int = 0
    cpu_seconds: float = 0.0

    @property
    def calls_a_core_second(self) -> float:
        """Return calls for each second of processor time."""
        return self.calls / self.cpu_seconds


def main() -> int:
    """Run the benchmark; return 0."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        bench = start(group)
        for arm in ARMS:
            bench.order(bench.callers, arm, count=WARM_CALLS)
        one = measure_one_caller(bench)
        capacity = measure_capacity(bench)
        half = measure_half(bench, capacity)
        idle = measure_idle(bench.process_by_arm['daemon'])
    report(one, capacity, half, idle)
    return 0


def start(group: ProcessGroup) -> Bench:
    """Start all processes and configure the daemon."""
    backend = group.start('backend', 'benchmarks.plain_backend')
    platform_url = f'http://{group.start_platform().address}'
    daemon = group.start_daemon('entry-1', 'zone-a', platform_url=platform_url)
    quart = group.start('quart', 'benchmarks.quart_proxy', '--backend', backend.address)
    document = group.folder / 'document.json'
    # With a slot for each caller no call is refused.
    plain = document_plain({'limits-1': backend.address}, slots=CALLERS)
    document.write_text(json.dumps(plain))
    run_tool(['apply', str(document), '--platform-url', platform_url, '--quiet'])
    wait_until(lambda: serves(daemon.address))
    callers = [
        group.start(f'caller-{n}', 'benchmarks.caller', has_stdin=True)
        for n in range(CALLERS)
    ]
    return Bench(group, callers, dict(zip(ARMS, (backend, daemon, quart), strict=True)))


def serves(address: str) -> bool:
    """Tell whether the daemon has its configuration."""
    with connect(address) as connection:
        connection.sendall(REQUEST)
        return b' 200 ' in connection.recv(65536)


def measure_one_caller(bench: Bench) -> dict[str, HdrHistogram]:
    """Measure calls one after another, the arms in turn."""
    histogram_by_arm = {arm: new_histogram() for arm in ARMS}
    for _ in range(ROUNDS):
        for arm in ARMS:
            latencies = bench.order(bench.callers[:1], arm, count=CALLS_A_ROUND)
            record(histogram_by_arm[arm], latencies)
    return histogram_by_arm


def measure_capacity(bench: Bench) -> dict[str, Capacity]:
    """Measure calls for each second of processor time, all callers at once."""
    capacity_by_arm = {arm: Capacity() for arm in ARMS}
    for _ in range(CAPACITY_ROUNDS):
        for arm, capacity in capacity_by_arm.items():
            process = psutil.Process(bench.process_by_arm[arm].popen.pid)
            before = sum(process.cpu_times()[:2])
            latencies = bench.order(bench.callers, arm, seconds=CAPACITY_SECONDS)
            capacity.cpu_seconds += sum(process.cpu_times()[:2]) - before
            capacity.calls += len(latencies)
    return capacity_by_arm


def measure_half(
    bench: Bench, capacity: dict[str, Capacity]
) -> dict[str, HdrHistogram]:
    """Measure each way at half of its own core, and direct at the daemon's rate."""
    histogram_by_arm = {arm: new_histogram() for arm in ARMS}
    for _ in range(ROUNDS):
        for arm in ARMS:
            loaded = 'quart' if arm == 'quart' else 'daemon'
            rate = capacity[loaded].calls_a_core_second / 2 / len(bench.callers)
            latencies = bench.order(bench.callers, arm, rate=rate, seconds=HALF_SECONDS)
            record(histogram_by_arm[arm], latencies)
    return histogram_by_arm


def measure_idle(daemon: Process) -> float:
    """Measure the memory of one idle connection, in bytes."""
    process = psutil.Process(daemon.popen.pid)
    connections = open_idle(daemon, IDLE_CONNECTIONS)
    before = process.memory_info().rss
    connections += open_idle(daemon, IDLE_CONNECTIONS)
    grown = process.memory_info().rss - before
    for connection in connections:
        connection.close()
    return grown / IDLE_CONNECTIONS


def open_idle(daemon: Process, count: int) -> list[socket.socket]:
    """Open connections that had one answer each."""
    connections = [connect(daemon.address) for _ in range(count)]
    for connection in connections:
        connection.sendall(REQUEST)
        connection.recv(65536)
    return connections


def connect(address: str) -> socket.socket:
    """Open a connection."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=10)


def record(histogram: HdrHistogram, latencies: list[int]) -> None:
    """Record microseconds."""
    for each in latencies:
        histogram.record_value(max(1, each))


def report(one, capacity, half, idle: float) -> None:
    """Print a table and a last line of JSON."""
    result = {
        'benchmark': 'path',
        'one_caller': summarise(one),
        'half_capacity': summarise(half),
        'calls_a_core_second': {
            arm: round(each.calls_a_core_second) for arm, each in capacity.items()
        },
        'bytes_an_idle_connection': round(idle),
        'load_average': os.getloadavg()[0],
        'cores': os.cpu_count(),
        'target_added_p99_ms': TARGET_P99_MS,
    }
    for load in LOADS:
        for arm, row in result[load].items():
            print(f'{load:14} {arm:7}', *(f'{k} {v:.3f}' for k, v in row.items()))
    print('calls a core second', result['calls_a_core_second'])
    print('load average', result['load_average'], 'on', result['cores'], 'cores')
    print('bytes an idle connection', result['bytes_an_idle_connection'])
    added = [result[load]['daemon']['added_p99_ms'] for load in LOADS]
    result['reached'] = max(added) <= TARGET_P99_MS
    print(json.dumps(result))


def summarise(histogram_by_arm: dict[str, HdrHistogram]) -> dict[str, dict]:
    """Return percentiles, and what each arm adds to the direct one."""
    direct = histogram_by_arm['direct']
    rows = {}
    for arm, histogram in histogram_by_arm.items():
        row = {'calls': histogram.get_total_count()}
        for percent in (50, 99):
            value = histogram.get_value_at_percentile(percent)
            base = direct.get_value_at_percentile(percent)
            row[f'p{percent}_ms'] = value / 1000
            row[f'added_p{percent}_ms'] = round((value - base) / 1000, 3)
        rows[arm] = row
    return rows


if __name__ == '__main__':
    sys.exit(main())

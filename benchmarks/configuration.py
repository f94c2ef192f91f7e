"""Measure what a change of the configuration costs, by the size of the register.

Compares one object that holds the whole document with a head of recent changes and
snapshots. The last line is JSON.
"""

import statistics
import time
import tracemalloc
from collections.abc import Callable

import orjson
from attrs import evolve, frozen

from catkinslip.config.checks import parse_document, read_document
from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    canonical_json,
    converter,
    digest_of,
)
from catkinslip.config.history import Head, config_after_change, extend_head
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.topic import ConfigTopic
from catkinslip.membership.detector import GOSSIP_FANOUT
from standins.fleet import TopicFleet
from standins.registers import many_workers

SIZES = ((30, 2), (300, 30), (4_600, 440))
FLEETS = (3, 17, 300)
SEEDS = 5
CHANGES = 192
CHANGES_A_DAY = 19_000
SECONDS_A_DAY = 86_400
REPEATS = 15


@frozen
class Cost:
    """Bytes and milliseconds of one change, by the way it travels."""

    workers: int
    document_bytes: int
    whole_bytes: float
    head_bytes: float
    head_and_snapshot_bytes: float
    news_bytes: float
    whole_news_bytes: int
    follow_ms: float
    whole_ms: float
    digest_ms: float
    check_ms: float
    memory_bytes_per_worker: float


def main() -> None:
    """Print a table for each question and a line of JSON."""
    costs = [measure_size(*size) for size in SIZES]
    print_costs(costs)
    spread = [measure_spread(size) for size in FLEETS]
    for row in spread:
        print(
            f'{row["instances"]:>5} instances: {row["reached_at_once"]:.0%} at once, '
            f'the rest in {row["rounds"]} rounds of exchange, '
            f'{row["bytes_per_instance"]:.0f} bytes an instance for one change'
        )
    plain = {'costs': [converter.unstructure(each) for each in costs], 'spread': spread}
    print(orjson.dumps(plain).decode())


def register(workers: int, services: int) -> Document:
    """Return a register of a size."""
    return read_document(many_workers(workers, services)).unwrap()


def drain(config: AcceptedConfig, number: int) -> AcceptedConfig:
    """Return the configuration after one backend server is drained or undrained."""
    names = list(config.document.register.backends)
    name = names[number % len(names)]
    backend = config.document.register.backends[name]
    changed = evolve(backend, draining=not backend.draining)
    backends = {**config.document.register.backends, name: changed}
    document = evolve(
        config.document, register=evolve(config.document.register, backends=backends)
    )
    version = ConfigVersion(0, config.version.number + 1)
    return AcceptedConfig(version, f'{number:016x}', 'operator', document)


def measure_size(workers: int, services: int) -> Cost:
    """Measure the cost of changes of one backend server each."""
    document = register(workers, services)
    config = AcceptedConfig(ConfigVersion(0, 1), 'f' * 16, 'operator', document)
    head, snapshot = extend_head(Head(), AcceptedConfig(), config, 0.0)
    snapshot_bytes = size_of(snapshot)
    head_bytes, written_bytes, whole_bytes, news_bytes = [], [], [], []
    before = config
    for number in range(CHANGES):
        before, config = config, drain(config, number)
        head, snapshot = extend_head(head, before, config, 1e9)
        head_bytes.append(size_of(head))
        written = head_bytes[-1] + (size_of(snapshot) if snapshot else 0)
        written_bytes.append(written)
        whole_bytes.append(size_of([config.version, config.change_id, document]))
        news_bytes.append(news_size(before, head))
    change = head.last
    plain = config.plain
    text = canonical_json(plain)
    return Cost(
        workers=workers,
        document_bytes=len(text),
        whole_bytes=statistics.fmean(whole_bytes),
        head_bytes=statistics.fmean(head_bytes),
        head_and_snapshot_bytes=statistics.fmean(written_bytes),
        news_bytes=statistics.fmean(news_bytes),
        whole_news_bytes=snapshot_bytes,
        follow_ms=milliseconds(lambda: config_after_change(before, change)),
        whole_ms=milliseconds(lambda: converter.structure(plain, Document)),
        digest_ms=milliseconds(lambda: digest_of(plain)),
        check_ms=milliseconds(lambda: parse_document(text)),
        memory_bytes_per_worker=memory(text) / workers,
    )


def size_of(value: object) -> int:
    """Return the bytes of a value as JSON."""
    return len(orjson.dumps(converter.unstructure(value)))


def news_size(before: AcceptedConfig, head: Head) -> int:
    """Return the bytes that bring a peer one change forward."""
    holder = ConfigHolder(before)
    holder.offer_changes(head.changes[-1:])
    behind = ConfigTopic(ConfigHolder(before), 'entry-1')
    news = ConfigTopic(holder, 'entry-2').updates_for(behind.digest())
    return len(orjson.dumps(news))


def milliseconds(act: Callable[[], object]) -> float:
    """Return the median time of an act."""
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        act()
        times.append(time.perf_counter() - began)
    return statistics.median(times) * 1000


def memory(text: bytes) -> float:
    """Return the bytes that one configuration in force holds."""
    tracemalloc.start()
    plain = orjson.loads(text)
    document = converter.structure(plain, Document)
    held = AcceptedConfig(ConfigVersion(0, 1), 'c', 'a', document, plain)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held.document is document
    return size


def measure_spread(size: int) -> dict:
    """Measure in how many rounds a change reaches a fleet, two of which watch."""
    document = register(30, 2)
    first = AcceptedConfig(ConfigVersion(0, 1), 'f' * 16, 'operator', document)
    second = drain(first, 0)
    head, _ = extend_head(Head(snapshot_name='s'), first, second, 1e9)
    reached, rounds, sent = [], [], []
    for seed in range(SEEDS):
        fleet = TopicFleet.of_size(size, seed)
        for topic in fleet.topics:
            topic.config.offer(first)
        for topic in fleet.topics[:2]:
            topic.config.offer_changes(head.changes)
        reached.append(fleet.run_burst(second.version, GOSSIP_FANOUT) / size)
        rounds.append(fleet.rounds_until(second.version))
        for _ in range(20):
            fleet.run_round()
        sent.append(fleet.bytes_sent / size)
    return {
        'instances': size,
        'reached_at_once': min(reached),
        'rounds': max(rounds),
        'bytes_per_instance': statistics.fmean(sent),
    }


def print_costs(costs: list[Cost]) -> None:
    """Print one line per measure and one column per size."""
    print(f'{"workers":<26}' + ''.join(f'{each.workers:>12,}' for each in costs))
    for name in converter.unstructure(costs[0]):
        if name == 'workers':
            continue
        values = [getattr(each, name) for each in costs]
        print(f'{name:<26}' + ''.join(f'{value:>12,.2f}' for value in values))
    rate = CHANGES_A_DAY / SECONDS_A_DAY
    for name in ('whole_bytes', 'head_bytes', 'news_bytes'):
        kilobytes = getattr(costs[-1], name) * rate / 1000
        print(f'{name} at {CHANGES_A_DAY} changes a day: {kilobytes:.2f} KB/s')


if __name__ == '__main__':
    main()

"""Measure what a log line and the counting cost a request, in microseconds."""

import json
import logging
import os
import statistics
import time
import tracemalloc
from collections import deque
from collections.abc import Callable

from attrs import frozen

from catkinslip.clock import SystemClock
from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.logs.buffer import BufferHandler, LogBuffer
from catkinslip.logs.format import LineFormatter
from catkinslip.logs.setup import use_handler
from catkinslip.metrics.durations import COARSE, FINE, Durations, Precision
from catkinslip.metrics.requests import RequestMetrics
from catkinslip.metrics.traces import TraceRing
from catkinslip.proxy.observer import ObserverGroup
from catkinslip.proxy.outcomes import Answered
from catkinslip.routing.base import Choice
from catkinslip.routing.directory import Directory
from tests.builders import document_plain, plain_call

ROUNDS = 15
ITEMS = 2_000
HISTOGRAMS = 500
BUDGET_MICROSECONDS = 950
LINES_PER_REQUEST = 2
LINE = ('routing: %s %s goes to %s, %s.', '7f3a90c2d14b5e66', 'limits', 'limits-3', 'x')


@frozen
class Arm:
    """One way that is measured: what runs for each item, and what after a round."""

    name: str
    run: Callable[[], None]
    end_round: Callable[[], None]


def main() -> None:
    """Run all arms interleaved and print medians; the last line is JSON."""
    arms = (*log_arms(), metrics_arm())
    samples_by_arm: dict[str, list[float]] = {arm.name: [] for arm in arms}
    for _ in range(ROUNDS):
        for arm in arms:
            samples_by_arm[arm.name].append(measure(arm))
    result = {name: statistics.median(each) for name, each in samples_by_arm.items()}
    for name, samples in samples_by_arm.items():
        low, high = min(samples), max(samples)
        print(f'{name}: {result[name]:.1f} us (from {low:.1f} to {high:.1f})')
    request = LINES_PER_REQUEST * result['buffered line'] + result['metrics and trace']
    result['request'] = request
    result['request_share_of_budget'] = request / BUDGET_MICROSECONDS
    for name, precision in (('fine', FINE), ('coarse', COARSE)):
        result[f'{name}_histogram_bytes'] = histogram_bytes(precision)
    print(f'a request with {LINES_PER_REQUEST} lines: {request:.1f} us')
    print(json.dumps({name: round(value, 4) for name, value in result.items()}))


def measure(arm: Arm) -> float:
    """Return microseconds for each item of one round, its end included."""
    began_at = time.perf_counter()
    for _ in range(ITEMS):
        arm.run()
    arm.end_round()
    return (time.perf_counter() - began_at) / ITEMS * 1_000_000


def log_arms() -> tuple[Arm, ...]:
    """Return a buffered line, its writing included, and a line written at once."""
    sink = open(os.devnull, 'w')  # noqa: SIM115 - open until the process ends
    buffer = LogBuffer()
    formatter = LineFormatter()
    use_handler(BufferHandler(buffer), 'info')
    buffered = logging.Logger('buffered', logging.INFO)
    buffered.addHandler(BufferHandler(buffer))
    direct = logging.Logger('direct', logging.INFO)
    direct_handler = logging.StreamHandler(sink)
    direct_handler.setFormatter(LineFormatter())
    direct.addHandler(direct_handler)

    def flush() -> None:
        while text := buffer.pop_lines(formatter, 100):
            os.write(sink.fileno(), text.encode())

    return (
        Arm('buffered line', lambda: buffered.info(*LINE), flush),
        Arm(
            'line put in the buffer', lambda: buffered.info(*LINE), buffer.records.clear
        ),
        Arm('line written at once', lambda: direct.info(*LINE), drop),
        Arm('line below the level', lambda: buffered.debug(*LINE), drop),
    )


def metrics_arm() -> Arm:
    """Return the counting and tracing of one request with one attempt."""
    document = read_document(document_plain({'limits-1': '127.0.0.1:1'})).unwrap()
    directory = Directory(lambda: None)
    directory.update(AcceptedConfig(ConfigVersion(0, 1), document=document))
    clock = SystemClock()
    traces = TraceRing('entry-1', clock, directory, deque(maxlen=2_000))
    observer = ObserverGroup((RequestMetrics(clock, directory), traces))
    each, choice, outcome = plain_call('limits'), Choice('limits-1', 'x'), Answered(200)

    def run() -> None:
        observer.on_server_chosen(each, choice, 1)
        observer.on_attempt_ended(each, 'limits-1', outcome, 0.0102)
        observer.on_request_ended(each, outcome, 0.0105)

    return Arm('metrics and trace', run, drop)


def drop() -> None:
    """Do nothing at the end of a round."""


def histogram_bytes(precision: Precision) -> float:
    """Return the allocated bytes of one set of durations with two windows."""
    tracemalloc.start()
    kept = []
    for _ in range(HISTOGRAMS):
        durations = Durations(precision)
        durations.record(0.01, 0.0)
        durations.record(0.01, 61.0)
        kept.append(durations)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(kept)


if __name__ == '__main__':
    main()

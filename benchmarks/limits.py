"""Compare admission, retries and hedges on a virtual clock, on the same arrivals.

    python -m benchmarks.limits --part overload --seeds 3 --processes 2

Latencies are in milliseconds, `in time` and `late` shares of the capacity. The last
line is JSON.
"""

import argparse
import json
import statistics
from concurrent.futures import ProcessPoolExecutor

from attrs import asdict, evolve, frozen

from benchmarks.limits_world import (
    AdmitAll,
    GradientLimit,
    LimitedInstance,
    StaticLimit,
)
from benchmarks.policy_world import Request, Scenario, build_world
from catkinslip.limits.admission import SharedLimit
from catkinslip.limits.base import Admission, LimitSettings
from catkinslip.limits.service import LimitRegistry, ServiceLimits
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.policies import TwoChoices

DEADLINE_SECONDS = 0.25
SERVICE_SECONDS = 0.02
SIZE_BY_NAME = {'budapest 25x5': (25, 5), 'brittany 30x2': (30, 2)}
NO_EXTRA = LimitSettings(extra_share=0.0, hedge_percentile=0.0)
RETRIES = LimitSettings(hedge_percentile=0.0)


@frozen
class Arm:
    """One way of limits; admission None is the daemon's."""

    name: str
    settings: LimitSettings
    make_admission: type[Admission] | None = None
    policy: type = ExpectedDelay
    ignores_deadlines: bool = False


OVERLOAD_ARMS = (
    Arm('admit all', NO_EXTRA, AdmitAll),
    Arm('admit all, workers ignore', NO_EXTRA, AdmitAll, ignores_deadlines=True),
    Arm('own share, depth 2', NO_EXTRA, StaticLimit),
    Arm('gradient', NO_EXTRA, GradientLimit),
    Arm('shared, depth 2', NO_EXTRA, SharedLimit),
    Arm('daemon, depth 1.5', evolve(NO_EXTRA, queue_depth=1.5)),
    Arm('daemon, depth 2', NO_EXTRA),
    Arm('daemon, workers ignore', NO_EXTRA, ignores_deadlines=True),
    Arm('daemon, depth 3', evolve(NO_EXTRA, queue_depth=3.0)),
    Arm('deadline only', evolve(NO_EXTRA, queue_depth=1e9)),
    Arm('daemon with retries, hedges', LimitSettings()),
)
TIGHT_ARMS = (
    Arm('admit all', NO_EXTRA, AdmitAll),
    Arm('shared, no deadline check', NO_EXTRA, SharedLimit),
    Arm('daemon, margin 0', evolve(NO_EXTRA, deadline_margin=0.0)),
    Arm('daemon, margin 1', NO_EXTRA),
    Arm('daemon, margin 2', evolve(NO_EXTRA, deadline_margin=2.0)),
)
DEPTH_ARMS = tuple(
    Arm(
        f'{policy.__name__}, depth {depth:g}, margin {margin:g}',
        evolve(RETRIES, queue_depth=depth, deadline_margin=margin),
        policy=policy,
    )
    for policy, depth, margin in (
        (ExpectedDelay, 2.0, 1.0),
        (ExpectedDelay, 3.0, 1.0),
        (ExpectedDelay, 4.0, 1.0),
        (ExpectedDelay, 4.0, 3.0),
        (ExpectedDelay, 1e9, 3.0),
        (TwoChoices, 2.0, 1.0),
        (TwoChoices, 4.0, 1.0),
    )
)
HEDGE_ARMS = (
    Arm('no hedge', RETRIES),
    Arm('hedge after p95', LimitSettings(hedge_percentile=95.0)),
    Arm('hedge after p99', LimitSettings()),
    Arm('hedge after p95, 20 %', LimitSettings(extra_share=0.2, hedge_percentile=95.0)),
    Arm('two choices, no hedge', RETRIES, policy=TwoChoices),
    Arm('two choices, p95', LimitSettings(hedge_percentile=95.0), policy=TwoChoices),
    Arm('two choices, p99', LimitSettings(), policy=TwoChoices),
)
RETRY_ARMS = (
    Arm('no retry', NO_EXTRA),
    Arm('retry within 5 %', RETRIES),
    Arm('retry without budget', evolve(RETRIES, extra_share=100.0)),
)


@frozen
class Score:
    """What callers saw in one run."""

    in_time: float
    late: float
    p50: float
    p99: float
    p999: float
    refused_percent: float
    extra_percent: float


def main() -> None:
    """Run the parts and print their tables."""
    arguments = parse_arguments()
    rows = []
    with ProcessPoolExecutor(arguments.processes) as pool:
        for scenario, arms in make_jobs(arguments.part, arguments.requests):
            print(f'\n{scenario.name}')
            for arm in arms:
                jobs = [(scenario, arm, seed) for seed in range(1, arguments.seeds + 1)]
                rows.append(show(scenario, arm, list(pool.map(run_job, jobs))))
    print(json.dumps({'bench': 'limits', 'rows': rows}))


def parse_arguments() -> argparse.Namespace:
    """Parse the flags."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', default='', help='overload, skew, hedge or retry')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--requests', type=int, default=15_000)
    parser.add_argument('--processes', type=int, default=2)
    return parser.parse_args()


def make_jobs(part: str, requests: int):
    """Return every scenario of a part with its arms."""
    jobs = []
    for size, (workers, slots) in SIZE_BY_NAME.items():
        plain = Scenario(size, workers, slots, 3, 0.8, requests)
        timed = evolve(plain, deadline=DEADLINE_SECONDS)
        for load in (1.1, 1.3, 1.5, 2.0):
            name = f'{size}, overload, {load:.0%}'
            jobs.append((evolve(timed, name=name, load=load), OVERLOAD_ARMS))
        skewed = evolve(timed, name=f'{size}, skew 8:1:1, 130%', load=1.3)
        jobs.append((skewed, OVERLOAD_ARMS))
        for load in (0.8, 1.3):
            tight = evolve(plain, deadline=0.05, load=load)
            name = f'{size}, tight 50 ms, {load:.0%}'
            jobs.append((evolve(tight, name=name), TIGHT_ARMS))
        for load, deadline, noisy in (
            (0.8, 0.25, True),
            (0.8, 10.0, True),
            (0.95, 10.0, True),
            (1.3, 0.25, False),
            (1.3, 0.1, False),
        ):
            depth = evolve(plain, load=load, deadline=deadline, noisy=noisy)
            noise = ', noisy' if noisy else ''
            name = f'{size}, depth, {load:.0%}, {deadline:g} s{noise}'
            jobs.append((evolve(depth, name=name), DEPTH_ARMS))
        for fault in ('quiet', 'straggler', 'noisy'):
            scenario = evolve(plain, name=f'{size}, hedge, 80%, {fault}')
            if fault != 'quiet':
                scenario = evolve(scenario, **{fault: True})
            jobs.append((scenario, HEDGE_ARMS))
        for fault in ('drain', 'straggler'):
            name = f'{size}, retry, 80%, {fault}'
            scenario = evolve(timed, name=name, **{fault: True})
            jobs.append((scenario, RETRY_ARMS))
    return [(scenario, arms) for scenario, arms in jobs if part in scenario.name]


def run_job(job: tuple[Scenario, Arm, int]) -> Score:
    """Run one scenario with one arm and one seed."""
    scenario, arm, seed = job
    world = build_world(
        scenario,
        seed,
        lambda random, world: arm.policy(random),
        lambda *given: make_instance(arm, scenario.instances, *given),
    )
    if 'skew' in scenario.name:
        first, *others = world.instances
        world.instances = [first] * 8 + others
    return score(scenario, world.run())


def make_instance(arm: Arm, instances: int, *given) -> LimitedInstance:
    """Return an instance with the limits of an arm."""
    book = LimitRegistry(arm.settings, lambda _: instances)
    instance = LimitedInstance(
        *given, book=book, ignores_deadlines=arm.ignores_deadlines
    )
    limits = book.limits_of('service', instance.router, 0.0)
    if arm.make_admission is not None:
        limits.admission = arm.make_admission()
    if arm.make_admission is GradientLimit:
        learn_latencies(limits)
    return instance


def learn_latencies(limits: ServiceLimits) -> None:
    """Let a limit learn from every answer's latency."""
    record = limits.latency.record

    def learn(latency: float) -> None:
        record(latency)
        limits.admission.learn(latency)

    limits.latency = Tee(learn)


@frozen
class Tee:
    """Hand latencies on; there is no percentile."""

    record: object


def score(scenario: Scenario, requests: list[Request]) -> Score:
    """Return what callers saw until the last arrival."""
    end = requests[-1].arrived_at
    capacity = scenario.workers * scenario.slots / SERVICE_SECONDS * end
    admitted = [each for each in requests if not each.refused]
    done = [each for each in admitted if each.latency is not None]
    in_time = [each for each in done if each.arrived_at + each.latency <= each.deadline]
    by_end = sum(each.arrived_at + each.latency <= end for each in in_time)
    latencies = sorted(min(each.latency, 60.0) * 1000 for each in done)
    return Score(
        in_time=by_end / capacity,
        late=(len(admitted) - len(in_time)) / capacity,
        p50=quantile(latencies, 0.5),
        p99=quantile(latencies, 0.99),
        p999=quantile(latencies, 0.999),
        refused_percent=100 * (1 - len(admitted) / len(requests)),
        extra_percent=100
        * sum(max(0, each.attempts - 1) for each in requests)
        / len(requests),
    )


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * share))]


def show(scenario: Scenario, arm: Arm, runs: list[Score]) -> dict:
    """Print and return the means over seeds."""
    mean = {
        name: statistics.mean(getattr(run, name) for run in runs)
        for name in asdict(runs[0])
    }
    print(
        f'  {arm.name:28} in time {mean["in_time"]:.3f}  late {mean["late"]:.3f}'
        f'  p50 {mean["p50"]:5.0f}  p99 {mean["p99"]:6.0f}  p99.9 {mean["p999"]:6.0f}'
        f'  refused {mean["refused_percent"]:4.1f} %'
        f'  extra {mean["extra_percent"]:5.2f} %',
        flush=True,
    )
    rounded = {name: round(value, 3) for name, value in mean.items()}
    return {'scenario': scenario.name, 'arm': arm.name, **rounded}


if __name__ == '__main__':
    main()

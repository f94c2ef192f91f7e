"""Compare policies of choice on a virtual clock, on the same arrivals.

    python -m benchmarks.policy --quick --only 'noisy' --arms 'two choices'

Latencies are in milliseconds. The last line is JSON.
"""

import argparse
import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from time import perf_counter

from attrs import asdict, frozen

from benchmarks.policy_arms import ARM_BY_NAME
from benchmarks.policy_checks import plot, print_checks, print_costs
from benchmarks.policy_scenarios import make_scenarios
from benchmarks.policy_world import Request, Scenario, build_world

SEEDS = (1, 2, 3, 4, 5)
QUICK_SEEDS = (1, 2)
BASELINES = ('random', 'round robin', 'delay without speed')
COMPARED = (
    'least in flight',
    'two choices',
    'delay',
    'in-flight oracle',
    'speed oracle',
)


@frozen
class Score:
    """What callers saw in one run; latencies are in milliseconds."""

    p50: float
    p99: float
    p999: float
    failed_per_1000: float
    refused_per_1000: float
    extra_per_1000: float
    goodput_share: float


def main() -> None:
    """Run every scenario for every arm and seed and print the tables."""
    arguments = parse_arguments()
    began = perf_counter()
    scenarios = [
        each
        for each in make_scenarios()
        if all(part in each.name for part in arguments.only.split(','))
    ]
    seeds = QUICK_SEEDS if arguments.quick else SEEDS
    arms = arguments.arms.split(',') if arguments.arms else []
    jobs = [
        (each, arm, seed)
        for each in scenarios
        for arm in arms or arms_of(each)
        for seed in seeds
    ]
    with ProcessPoolExecutor(arguments.processes) as pool:
        scores = dict(zip(jobs, pool.map(run_job, jobs, chunksize=4), strict=True))
    rows = []
    for scenario in scenarios:
        print(f'\n{scenario.name}')
        for arm in arms or arms_of(scenario):
            runs = [scores[scenario, arm, seed] for seed in seeds]
            rows.append(show(scenario, arm, runs))
    checks = [] if arms else print_checks(rows)
    costs = print_costs()
    if arguments.plot:
        plot(rows, arguments.plot)
    print(f'\n{len(jobs)} runs in {perf_counter() - began:.0f} s')
    result = {'bench': 'policy', 'rows': rows, 'checks': checks, 'costs': costs}
    print(json.dumps(result))


def arms_of(scenario: Scenario) -> tuple[str, ...]:
    """Return the arms to compare; the weak ones in the plain scenarios only."""
    is_plain = scenario.instances == 3 and scenario.name.endswith(('quiet', 'noisy'))
    return BASELINES + COMPARED if is_plain else COMPARED


def parse_arguments() -> argparse.Namespace:
    """Parse the flags."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true', help='fewer seeds')
    parser.add_argument(
        '--only', default='', help='parts of scenario names, with commas'
    )
    parser.add_argument('--arms', default='', help='names of arms, with commas')
    parser.add_argument('--plot', default='', help='write a picture to this file')
    parser.add_argument('--processes', type=int, default=2)
    return parser.parse_args()


def run_job(job: tuple[Scenario, str, int]) -> Score:
    """Run one scenario with one arm and one seed."""
    scenario, arm, seed = job
    world = build_world(scenario, seed, ARM_BY_NAME[arm])
    return score(scenario, world.run())


def score(scenario: Scenario, requests: list[Request]) -> Score:
    """Return what callers saw; requests of a lost instance are not counted."""
    done = [each for each in requests if each.latency is not None]
    good = [each for each in done if not each.failed and not each.refused]
    latencies = sorted(each.latency * 1000 for each in good)
    in_time = sum(each.arrived_at + each.latency <= each.deadline for each in good)
    thousands = len(requests) / 1000
    return Score(
        p50=quantile(latencies, 0.5),
        p99=quantile(latencies, 0.99),
        p999=quantile(latencies, 0.999),
        failed_per_1000=sum(each.failed for each in done) / thousands,
        refused_per_1000=sum(each.refused for each in done) / thousands,
        extra_per_1000=sum(max(0, each.attempts - 1) for each in requests) / thousands,
        goodput_share=in_time / len(requests) * scenario.load,
    )


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * share))]


def show(scenario: Scenario, arm: str, runs: list[Score]) -> dict:
    """Print and return the means over seeds, with the spread of the p99."""
    names = asdict(runs[0])
    mean = {name: statistics.mean(getattr(run, name) for run in runs) for name in names}
    spread = statistics.stdev(run.p99 for run in runs)
    print(
        f'  {arm:28} p50 {mean["p50"]:5.0f}  p99 {mean["p99"]:6.0f} +-{spread:4.0f}'
        f'  p99.9 {mean["p999"]:6.0f}  failed {mean["failed_per_1000"]:5.1f}'
        f'  extra {mean["extra_per_1000"]:5.1f}  good {mean["goodput_share"]:.3f}'
    )
    rounded = {name: round(value, 3) for name, value in mean.items()}
    return {'scenario': scenario.name, 'arm': arm, 'p99_spread': spread, **rounded}


if __name__ == '__main__':
    main()

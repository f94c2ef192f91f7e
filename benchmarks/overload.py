"""Compare ways to decide at the worst load, on the same callers and servers.

    python -m benchmarks.overload --seeds 8 --processes 4 --set hold_share=0.3
    python -m benchmarks.overload --ablation

Figures are means over seeds, from 0 to 1: what callers got of what their requests were
worth, in all and in the two worst windows of 2 s, by the worst kind, and the share of
requests that was answered at all. `better by` is the difference to the settings as they
are, seed by seed, with its 95 % confidence interval.
"""

import argparse
import json
import statistics
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from attrs import asdict, evolve, fields, frozen

from benchmarks.overload_callers import Request
from benchmarks.overload_load import LOADS, Load, named_load
from benchmarks.overload_world import Mechanisms, build_world
from catkinslip.admission.waiting import AdmissionSettings

WINDOW_SECONDS = 2.0
#: Normal quantile of a two-sided interval of 95 %.
INTERVAL_95 = 1.96
#: What the users weigh the figures with; a request refused after it came back costs.
WEIGHT_ALL, WEIGHT_WINDOWS, WEIGHT_KIND, WEIGHT_SERVED = 0.28, 0.4, 0.12, 0.2
REFUSED_AGAIN_COST = 0.3
#: Each mechanism and the setting with which it does nothing.
OFF_BY_SETTING = {
    'counts_spent': False,
    'uses_slow': False,
    'hold_share': 0.0,
    'spare_share_per_priority': 0.0,
    'late_retry_share': 0.0,
}
OFF_BY_MECHANISM = {
    'sample_size': 100_000,
    'probes': False,
    'shares_reports': False,
    'weighs_speed': False,
    'weighs_sheds': False,
    'throttles': False,
    'rests': False,
    'zone_hop': 0.0,
    'nearly_full_slowness': 1.0,
}


@frozen
class Arm:
    """One way to decide; the bound is told how long each caller has waited."""

    name: str
    settings: AdmissionSettings
    mechanisms: Mechanisms = Mechanisms()
    knows_spent: bool = False


@frozen
class Score:
    """What callers got in one run, each figure from 0 to 1."""

    total: float
    all: float
    windows: float
    worst_kind: float
    served: float


def main() -> None:
    """Run every arm on every load and print a table for each load."""
    arguments = parse_arguments()
    rows = []
    with ProcessPoolExecutor(arguments.processes) as pool:
        for name in arguments.loads:
            load = named_load(name)
            print(f'\n{name}: {load.name}')
            scores_by_arm = run_arms(pool, load, make_arms(arguments), arguments.seeds)
            rows += show(name, scores_by_arm)
    print(json.dumps({'bench': 'overload', 'rows': rows}))


def parse_arguments() -> argparse.Namespace:
    """Parse the flags."""
    names = sorted(path.stem for path in LOADS.glob('*.toml'))
    settings = [each.name for each in fields(AdmissionSettings)]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--loads', nargs='+', choices=names, default=names)
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help=f'compare with a changed setting, one of {", ".join(settings)}',
    )
    parser.add_argument(
        '--ablation', action='store_true', help='switch off each mechanism in turn'
    )
    parser.add_argument(
        '--bound', action='store_true', help='tell how long each caller has waited'
    )
    return parser.parse_args()


def make_arms(arguments: argparse.Namespace) -> list[Arm]:
    """Return the settings as they are, and what to compare with them."""
    usual = AdmissionSettings()
    arms = [Arm('as it is', usual)]
    if arguments.bound:
        arms.append(Arm('time spent is told', usual, knows_spent=True))
    for text in arguments.set:
        name, _, value = text.partition('=')
        arms.append(Arm(text, evolve(usual, **{name: json.loads(value.lower())})))
    if arguments.ablation:
        for name, off in OFF_BY_SETTING.items():
            arms.append(Arm(f'without {name}', evolve(usual, **{name: off})))
        for name, off in OFF_BY_MECHANISM.items():
            mechanisms = evolve(Mechanisms(), **{name: off})
            arms.append(Arm(f'without {name}', usual, mechanisms))
    return arms


def run_arms(
    pool: ProcessPoolExecutor, load: Load, arms: list[Arm], seeds: int
) -> dict[str, list[Score]]:
    """Return the scores of each arm, one a seed."""
    jobs = [(load, arm, seed) for arm in arms for seed in range(1, seeds + 1)]
    scores_by_arm: dict[str, list[Score]] = defaultdict(list)
    for (_, arm, _), result in zip(jobs, pool.map(run_job, jobs), strict=True):
        scores_by_arm[arm.name].append(result)
    return scores_by_arm


def run_job(job: tuple[Load, Arm, int]) -> Score:
    """Run one load with one arm and one seed."""
    load, arm, seed = job
    world = build_world(
        load,
        seed,
        arm.settings,
        mechanisms=arm.mechanisms,
        knows_spent=arm.knows_spent,
    )
    return score(world.run())


def score(requests: list[Request]) -> Score:
    """Return what callers got."""
    everything = share_of_worth(requests)
    by_window = group(requests, lambda each: int(each.asked_at // WINDOW_SECONDS))
    by_kind = group(requests, lambda each: each.kind.name)
    windows = statistics.mean(sorted(map(share_of_worth, by_window.values()))[:2])
    worst_kind = min(map(share_of_worth, by_kind.values()))
    served = sum(each.is_answered for each in requests) / len(requests)
    again = [each for each in requests if each.tries and not each.is_answered]
    refused_again = total_worth(again) / total_worth(requests)
    total = (
        WEIGHT_ALL * everything
        + WEIGHT_WINDOWS * windows
        + WEIGHT_KIND * worst_kind
        + WEIGHT_SERVED * served
        - REFUSED_AGAIN_COST * refused_again
    )
    return Score(total, everything, windows, worst_kind, served)


def share_of_worth(requests: list[Request]) -> float:
    """Return what requests earned of what they were worth."""
    return sum(each.worth for each in requests) / total_worth(requests)


def total_worth(requests: list[Request]) -> float:
    """Return what requests would earn if all were in time."""
    return sum(each.kind.worth for each in requests)


def group(requests: list[Request], key: Callable) -> dict[object, list[Request]]:
    """Return the requests by a key."""
    by_key: dict[object, list[Request]] = defaultdict(list)
    for request in requests:
        by_key[key(request)].append(request)
    return by_key


def show(load: str, scores_by_arm: dict[str, list[Score]]) -> list[dict]:
    """Print and return the means of each arm and its difference to the first."""
    rows = []
    usual = next(iter(scores_by_arm.values()))
    for arm, scores in scores_by_arm.items():
        mean = {
            name: round(statistics.mean(getattr(each, name) for each in scores), 3)
            for name in asdict(scores[0])
        }
        better = [a.total - b.total for a, b in zip(scores, usual, strict=True)]
        spread = statistics.stdev(better) if len(better) > 1 else 0.0
        interval = INTERVAL_95 * spread / len(better) ** 0.5
        by = statistics.mean(better)
        figures = '  '.join(f'{name} {value:.3f}' for name, value in mean.items())
        print(
            f'  {arm:28} {figures}  better by {by:+.3f} +- {interval:.3f}', flush=True
        )
        rows.append({'load': load, 'arm': arm, **mean, 'better': round(by, 3)})
    return rows


if __name__ == '__main__':
    main()

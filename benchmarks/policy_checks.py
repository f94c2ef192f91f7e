"""What the policy bench must reach, the cost of a decision, and the picture."""

from collections.abc import Callable
from random import Random
from statistics import median
from time import perf_counter

from benchmarks.policy_scenarios import LYING, MAIN
from catkinslip.config.documents import Backend, Service
from catkinslip.routing.base import AttemptResult, LoadReport, ResultKind
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.router import ServiceRouter

DECISIONS = 2_000
MOST_MICROSECONDS_BY_SIZE = {30: 30.0, 300: 60.0}
Rows = dict[tuple[str, str], dict]


def print_checks(rows: list[dict]) -> list[dict]:
    """Print for each figure that must be reached whether it was."""
    row_by_key = {(row['scenario'], row['arm']): row for row in rows}
    checks = []
    print('\nmust reach (1.00 is the bound)')
    for size in MAIN:
        for instances, quiet, noisy in ((3, 1.05, 1.05), (5, 1.05, 1.15), (15, 1.1, 0)):
            name = f'{size}, {instances} instances, 80 %, '
            checks.append((name + 'quiet', 'in-flight oracle', 'p99', quiet))
            if noisy:
                checks.append((name + 'noisy', 'speed oracle', 'p99', noisy))
                longer = name + 'noisy for longer'
                checks.append((longer, 'speed oracle', 'p99', noisy))
        for instances in (3, 5):
            name = f'{size}, {instances} instances, 80 %, '
            checks.append((name + 'noisy, no speed', 'half of the way', 'p99', 1.0))
            for lie in LYING:
                checks.append((name + lie, 'two choices', 'p99', 1.0))
        name = f'{size}, 3 instances, 80 %, straggler'
        checks.append((name, 'speed oracle', 'p999', 1.2))
    found = [check(row_by_key, *each) for each in checks]
    return [each for each in found if each is not None]


def check(
    row_by_key: Rows, scenario: str, against: str, measure: str, factor: float
) -> dict | None:
    """Print one check: the daemon's policy against a bound."""
    if (scenario, 'delay') not in row_by_key:
        return None

    def value(arm: str) -> float:
        return row_by_key[scenario, arm][measure]

    if against == 'half of the way':
        bound = (value('in-flight oracle') + value('speed oracle')) / 2
    else:
        bound = value(against) * factor
    ratio = value('delay') / bound
    # Within the spread over seeds a difference says nothing.
    spread = row_by_key[scenario, 'delay']['p99_spread'] / bound
    word = 'reached' if ratio <= 1 else 'missed'
    if ratio > 1 and measure == 'p99' and ratio - 1 <= spread:
        word = 'missed within noise'
    print(f'  {scenario:52} {measure} {ratio:5.2f} of {factor:.2f} x {against}: {word}')
    return {
        'scenario': scenario,
        'against': against,
        'ratio': round(ratio, 3),
        'verdict': word,
    }


def print_costs() -> dict[int, float]:
    """Print the microseconds of a decision and its bookkeeping by size."""
    print('\nmicroseconds a decision, and with started and finished; median')
    costs = {}
    for size in (5, 30, 100, 300):
        router = make_router(size)
        decision = timed(lambda r=router: r.choose(1.0))
        whole = timed(lambda r=router: serve_one(r))
        bound = MOST_MICROSECONDS_BY_SIZE.get(size)
        against = f', at most {bound:.0f}' if bound else ''
        print(f'  {size:4} servers: {decision:5.1f}, {whole:5.1f}{against}')
        costs[size] = round(decision, 1)
    return costs


def make_router(size: int) -> ServiceRouter:
    """Return a router that has a report of each server."""
    router = ServiceRouter(ExpectedDelay(Random(1), 'zone-0'))
    backends = {
        f'worker-{n}': Backend('service', f'zone-{n % 3}', '127.0.0.1', 1)
        for n in range(size)
    }
    router.update(Service(2), backends)
    for backend_id in backends:
        router.started(backend_id, 0.98)
        report = LoadReport(1, 0.9)
        result = AttemptResult(ResultKind.ANSWERED, 0.02, report)
        router.finished(backend_id, result, 0.99)
    return router


def serve_one(router: ServiceRouter) -> None:
    """Choose, send and take the answer of one request."""
    backend_id = router.choose(1.0).backend_id
    router.started(backend_id, 1.0)
    result = AttemptResult(ResultKind.ANSWERED, 0.02, LoadReport(1, 0.9))
    router.finished(backend_id, result, 1.02)


def timed(action: Callable[[], object]) -> float:
    """Return the median microseconds of an action."""
    samples = []
    for _ in range(DECISIONS):
        began = perf_counter()
        action()
        samples.append(perf_counter() - began)
    return median(samples) * 1e6


def plot(rows: list[dict], path: str) -> None:
    """Write a picture of the p99 of each arm against the number of instances."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2 * len(MAIN), figsize=(16, 4))
    places = [(size, kind) for size in MAIN for kind in ('quiet', 'noisy')]
    for axis, (size, kind) in zip(axes, places, strict=True):
        for arm in ('two choices', 'delay', 'in-flight oracle', 'speed oracle'):
            points = [
                (instances, row['p99'])
                for instances in (3, 5, 15)
                for row in rows
                if row['arm'] == arm
                and row['scenario'] == f'{size}, {instances} instances, 80 %, {kind}'
            ]
            axis.plot(*zip(*points, strict=True), marker='o', label=arm)
        axis.set(title=f'{size}, {kind}', xlabel='instances', ylabel='p99, ms')
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)

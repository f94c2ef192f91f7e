"""Compare subsets of servers with the selection among all, on the same callers.

    python -m benchmarks.subsets --seeds 3 --processes 4

Means over seeds: what callers got of what their requests were worth, at all instances
and at those outside the home sets; new connections; pairs of instance and server;
probes; and the requests of the busiest server over the mean. The last line is JSON.
"""

import argparse
import json
import statistics
from concurrent.futures import ProcessPoolExecutor

from attrs import asdict, frozen

from benchmarks.overload import share_of_worth
from benchmarks.overload_world import build_world
from benchmarks.subsets_world import (
    CountingServer,
    FleetInstance,
    FleetWorld,
    fleet_load,
)
from catkinslip.admission.waiting import AdmissionSettings

FLEETS = ((14, 14), (14, 40), (30, 40), (30, 220), (100, 220), (300, 220), (300, 660))
SECONDS = 8.0


@frozen
class Job:
    """One run; `use` is the share of the slots that the load takes."""

    instances: int
    servers: int
    use: float
    home_size: int
    uses_subsets: bool
    seed: int


@frozen
class Score:
    """The figures of one run."""

    worth: float
    worth_home: float
    worth_others: float
    refused: float
    opened: int
    opened_by_probes: int
    pairs: int
    probes: int
    busiest: float
    requests: int


def main() -> None:
    """Run all fleets and print the figures with and without subsets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--uses', type=float, nargs='+', default=[0.2, 0.45])
    parser.add_argument('--home-sizes', type=int, nargs='+', default=[2])
    parser.add_argument('--largest', type=int, default=660, help='most servers')
    arguments = parser.parse_args()
    rows = []
    with ProcessPoolExecutor(arguments.processes) as pool:
        for instances, servers in FLEETS:
            if servers > arguments.largest:
                continue
            for use in arguments.uses:
                for home_size in arguments.home_sizes:
                    fleet = (instances, servers, use, home_size)
                    rows += compare(pool, fleet, arguments.seeds)
    print(json.dumps({'bench': 'subsets', 'rows': rows}))


def compare(pool: ProcessPoolExecutor, fleet: tuple, seeds: int) -> list[dict]:
    """Print and return the means of one fleet with and without subsets."""
    jobs = [Job(*fleet, uses, 1 + n) for uses in (False, True) for n in range(seeds)]
    scores = list(pool.map(run_job, jobs))
    rows = []
    for uses, runs in ((False, scores[:seeds]), (True, scores[seeds:])):
        mean = {
            name: round(statistics.mean(getattr(each, name) for each in runs), 3)
            for name in asdict(runs[0])
        }
        instances, servers, use, home_size = fleet
        arm = 'subsets' if uses else 'present'
        figures = '  '.join(f'{name} {value:g}' for name, value in mean.items())
        print(f'{instances:4}x{servers:<4} use {use} home {home_size} {arm}  {figures}')
        rows.append({'fleet': fleet, 'arm': arm, **mean})
    lost = [b.worth - a.worth for a, b in zip(scores, scores[seeds:], strict=False)]
    spread = statistics.stdev(lost) if seeds > 1 else 0.0
    print(f'     better by {statistics.mean(lost):+.4f} (deviation {spread:.4f})')
    return rows


def run_job(job: Job) -> Score:
    """Run one fleet."""
    load = fleet_load(job.instances, job.servers, job.use, SECONDS)
    world = build_world(
        load,
        job.seed,
        AdmissionSettings(),
        make_world=FleetWorld,
        make_instance=FleetInstance,
        make_server=CountingServer,
        uses_subsets=job.uses_subsets,
        home_size=job.home_size,
    )
    requests = world.run()
    home = [each for each in requests if id(each) in world.home_requests]
    others = [each for each in requests if id(each) not in world.home_requests]
    arrived = [world.arrived[name] for name in world.server_by_id]
    return Score(
        worth=share_of_worth(requests),
        worth_home=share_of_worth(home),
        worth_others=share_of_worth(others) if others else 1.0,
        refused=sum(not each.is_answered for each in requests) / len(requests),
        opened=world.opened.total(),
        opened_by_probes=world.opened['probe'],
        pairs=len(world.pairs),
        probes=world.probes,
        busiest=max(arrived) / statistics.mean(arrived),
        requests=len(requests),
    )


if __name__ == '__main__':
    main()

"""Run the soak test with seeds: python -m soak --seeds 1 2 3 --seconds 20."""

import argparse
import shutil
import sys
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from random import Random

import trio
from attrs import frozen

from soak.callers import Callers
from soak.checks import find_unexpected_exits, find_unrecovered, find_violations
from soak.entries import EntryPlayer
from soak.faults import FaultPlayer
from soak.needs import ThrottlePlayer
from soak.partitions import PartitionPlayer
from soak.restores import RestorePlayer
from soak.rests import RestPlayer
from soak.stops import DEADLINES_MS, StopPlayer, find_lost, find_read_ids
from soak.world import World, make_folder, wait_for
from soak.zones import ZonePlayer

WORKERS = 6
INSTANCES = 3
CALLERS = 9
#: Seconds from the last fault until requests must be answered as before.
RECOVERY_SECONDS = 6.0
CHECKED_SECONDS = 2.0
#: Seconds in which requests in flight when callers stop are answered or time out.
SETTLE_SECONDS = 3.0


@frozen
class Result:
    """The outcome of one run: fault and request counts, and violations found."""

    seed: int
    faults: int
    requests: int
    violations: tuple[str, ...]


async def soak(
    seed: int,
    seconds: float,
    keep: Path | None,
    *,
    has_zones: bool = False,
    has_needs: bool = False,
    has_rests: bool = False,
    has_restores: bool = False,
    has_partitions: bool = False,
    has_stops: bool = False,
    has_entries: bool = False,
    instances: int = INSTANCES,
    callers: int = CALLERS,
) -> Result:
    """Run the soak test with one seed, and keep the logs if a check failed."""
    random = Random(seed)
    with make_folder() as folder:
        async with trio.open_nursery() as nursery:
            world = World(
                Path(folder),
                nursery,
                random,
                has_zones=has_zones,
                has_needs=has_needs,
                has_rests=has_rests,
                has_restores=has_restores,
                has_partitions=has_partitions,
                has_stops=has_stops,
                has_entries=has_entries,
            )
            try:
                result = await play(world, seed, seconds, instances, callers)
            finally:
                for instance in world.instances:
                    instance.end()
            nursery.cancel_scope.cancel()
        if result.violations and keep is not None:
            shutil.copytree(folder, keep / f'seed-{seed}', dirs_exist_ok=True)
    return result


async def play(
    world: World, seed: int, seconds: float, instances: int, caller_count: int
) -> Result:
    """Inject faults under load, wait for recovery, and run all checks."""
    workers = max(WORKERS, WORKERS * caller_count // CALLERS)
    await world.open(workers, instances)
    callers = Callers(world, Random(seed))
    player = FaultPlayer(world)
    if world.has_stops:
        player = StopPlayer(world)
        callers.deadlines_ms = DEADLINES_MS
    zones = ZonePlayer(world, Random(f'{seed} zones'))
    throttles = ThrottlePlayer(world, Random(f'{seed} needs'))
    rests = RestPlayer(world, Random(f'{seed} rests'), callers)
    restores = RestorePlayer(world, Random(f'{seed} restores'))
    partitions = PartitionPlayer(world, Random(f'{seed} partitions'), callers)
    entries = EntryPlayer(world, Random(f'{seed} entries'))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, caller_count)
        await wait_for(lambda: any(each.status == 200 for each in callers.requests))
        async with trio.open_nursery() as players:
            players.start_soon(player.run, seconds)
            for is_played, each in (
                (world.has_zones, zones),
                (world.has_needs, throttles),
                (world.has_rests, rests),
                (world.has_restores, restores),
                (world.has_partitions, partitions),
                (world.has_entries, entries),
            ):
                if is_played:
                    players.start_soon(each.run, seconds)
        await trio.sleep(RECOVERY_SECONDS)
        if world.has_partitions:
            await partitions.run_calm()
        since = trio.current_time()
        await trio.sleep(CHECKED_SECONDS)
        if world.has_entries:
            await entries.check()
        unexpected_exits = tuple(find_unexpected_exits(world))
        nursery.cancel_scope.cancel()
    unrecovered = tuple(find_unrecovered(callers, since))
    await trio.sleep(SETTLE_SECONDS)
    violations = (
        *find_violations(world, callers),
        *player.violations,
        *zones.violations(),
        *throttles.violations(),
        *rests.violations(),
        *partitions.violations(),
        *entries.violations(),
        *find_violations_of_stops(world, callers, player),
        *unexpected_exits,
        *unrecovered,
    )
    return Result(seed, len(player.played), len(callers.requests), violations)


def find_violations_of_stops(
    world: World, callers: Callers, player: FaultPlayer
) -> Iterator[str]:
    """Yield the requests that stops cut, if there was planned work only."""
    if isinstance(player, StopPlayer):
        yield from find_lost(callers, player.stops, find_read_ids(world.instances))


def main() -> int:
    """Run the seeds from the command line; return 1 if a check failed for any."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='*', help='Seeds to run.')
    parser.add_argument('--fresh', type=int, default=0, help='Number of random seeds.')
    parser.add_argument(
        '--seconds', type=float, default=15.0, help='Duration of the faults.'
    )
    parser.add_argument('--keep', type=Path, help='Folder for logs of failed seeds.')
    parser.add_argument(
        '--zones', action='store_true', help='Also evacuate zones and use cold servers.'
    )
    parser.add_argument(
        '--needs', action='store_true', help='Also let servers advertise rates.'
    )
    parser.add_argument(
        '--rests', action='store_true', help='Also let servers ask for rest periods.'
    )
    parser.add_argument(
        '--restores', action='store_true', help='Also restore the store from backups.'
    )
    parser.add_argument(
        '--partitions',
        action='store_true',
        help='Also partition instances from all servers.',
    )
    parser.add_argument(
        '--stops', action='store_true', help='Play planned work only, without faults.'
    )
    parser.add_argument(
        '--entries',
        action='store_true',
        help='Also write objects that cannot be read into the store.',
    )
    parser.add_argument('--instances', type=int, default=INSTANCES)
    parser.add_argument('--callers', type=int, default=CALLERS)
    arguments = parser.parse_args()
    seeds = list(arguments.seeds or ())
    seeds += [
        Random(time.time_ns() + n).getrandbits(31) for n in range(arguments.fresh)
    ]
    failed = 0
    for seed in seeds:
        run = partial(
            soak,
            has_zones=arguments.zones,
            has_needs=arguments.needs,
            has_rests=arguments.rests,
            has_restores=arguments.restores,
            has_partitions=arguments.partitions,
            has_stops=arguments.stops,
            has_entries=arguments.entries,
            instances=arguments.instances,
            callers=arguments.callers,
        )
        result = trio.run(run, seed, arguments.seconds, arguments.keep)
        failed += bool(result.violations)
        print(
            f'seed {result.seed}: {result.faults} faults, {result.requests} requests, '
            f'{len(result.violations)} violations',
            flush=True,
        )
        for line in result.violations[:10]:
            print(f'  {line}', flush=True)
    print(f'{len(seeds) - failed} seeds passed, {failed} failed', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

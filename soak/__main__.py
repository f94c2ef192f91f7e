"""Run seeds of the soak: python -m soak --seeds 1 2 3 --seconds 20."""

import argparse
import shutil
import sys
import time
from functools import partial
from pathlib import Path
from random import Random

import trio
from attrs import frozen

from soak.callers import Callers
from soak.checks import find_broken, find_ended, find_unrecovered
from soak.faults import FaultPlayer
from soak.needs import NeedPlayer
from soak.restores import RestorePlayer
from soak.rests import RestPlayer
from soak.world import World, make_folder, wait_for
from soak.zones import ZonePlayer

WORKERS = 6
INSTANCES = 3
CALLERS = 9
#: After the last fault, until requests must be answered as before.
RECOVERY_SECONDS = 6.0
CHECKED_SECONDS = 2.0
#: Requests under way when callers stop have their answers or timeouts by then.
SETTLE_SECONDS = 3.0


@frozen
class Result:
    """One run: what was played, how much was asked, what was broken."""

    seed: int
    faults: int
    requests: int
    broken: tuple[str, ...]


async def soak(
    seed: int,
    seconds: float,
    keep: Path | None,
    *,
    has_zones: bool = False,
    has_needs: bool = False,
    has_rests: bool = False,
    has_restores: bool = False,
) -> Result:
    """Run one seed."""
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
            )
            try:
                result = await play(world, seed, seconds)
            finally:
                for instance in world.instances:
                    instance.end()
            nursery.cancel_scope.cancel()
        if result.broken and keep is not None:
            shutil.copytree(folder, keep / f'seed-{seed}', dirs_exist_ok=True)
    return result


async def play(world: World, seed: int, seconds: float) -> Result:
    """Play faults while callers call, let all heal, and check."""
    await world.open(WORKERS, INSTANCES)
    callers = Callers(world, Random(seed))
    player = FaultPlayer(world)
    zones = ZonePlayer(world, Random(f'{seed} zones'))
    needs = NeedPlayer(world, Random(f'{seed} needs'))
    rests = RestPlayer(world, Random(f'{seed} rests'), callers)
    restores = RestorePlayer(world, Random(f'{seed} restores'))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, CALLERS)
        await wait_for(lambda: any(each.status == 200 for each in callers.requests))
        async with trio.open_nursery() as players:
            players.start_soon(player.run, seconds)
            if world.has_zones:
                players.start_soon(zones.run, seconds)
            if world.has_needs:
                players.start_soon(needs.run, seconds)
            if world.has_rests:
                players.start_soon(rests.run, seconds)
            if world.has_restores:
                players.start_soon(restores.run, seconds)
        await trio.sleep(RECOVERY_SECONDS)
        since = trio.current_time()
        await trio.sleep(CHECKED_SECONDS)
        ended = tuple(find_ended(world))
        nursery.cancel_scope.cancel()
    unrecovered = tuple(find_unrecovered(callers, since))
    await trio.sleep(SETTLE_SECONDS)
    broken = (
        *find_broken(world, callers),
        *player.violations,
        *zones.broken(),
        *needs.broken(),
        *rests.broken(),
        *ended,
        *unrecovered,
    )
    return Result(seed, len(player.played), len(callers.requests), broken)


def main() -> int:
    """Run the seeds that were asked for; return 1 if any broke a promise."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='*', help='Seeds to run.')
    parser.add_argument('--fresh', type=int, default=0, help='How many new seeds.')
    parser.add_argument(
        '--seconds', type=float, default=15.0, help='Faults for so long.'
    )
    parser.add_argument('--keep', type=Path, help='Folder for logs of failed seeds.')
    parser.add_argument(
        '--zones', action='store_true', help='Empty zones and turn servers cold, too.'
    )
    parser.add_argument(
        '--needs', action='store_true', help='Let servers name rates, too.'
    )
    parser.add_argument(
        '--rests', action='store_true', help='Let servers ask for rest, too.'
    )
    parser.add_argument(
        '--restores', action='store_true', help='Bring the store back from copies, too.'
    )
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
        )
        result = trio.run(run, seed, arguments.seconds, arguments.keep)
        failed += bool(result.broken)
        print(
            f'seed {result.seed}: {result.faults} faults, {result.requests} requests, '
            f'{len(result.broken)} broken',
            flush=True,
        )
        for line in result.broken[:10]:
            print(f'  {line}', flush=True)
    print(f'{len(seeds) - failed} seeds held, {failed} broke a promise', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

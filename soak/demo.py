"""Run instances on a stand-in of the users' platform, hurt them, say what came back.

python -m soak.demo
"""

import signal
import sys
from collections import Counter
from pathlib import Path
from random import Random

import trio

from soak.callers import Callers, Told
from soak.checks import find_broken
from soak.world import World, make_folder, wait_for

SERVERS = 6
INSTANCES = 3
CALLERS = 9
STEP_SECONDS = 1.5
LEAVING = 'i-0'
SEED = 1


async def play(folder: Path) -> int:
    """Serve callers through four changes; return 1 if a promise was broken."""
    async with trio.open_nursery() as nursery:
        world = World(folder, nursery, Random(SEED))
        try:
            result = await show(world)
        finally:
            for instance in world.instances:
                instance.end()
        nursery.cancel_scope.cancel()
    return result


async def show(world: World) -> int:
    """Print what callers were told after each step."""
    await world.open(SERVERS, INSTANCES)
    callers = Callers(world, Random(SEED))
    killed = world.instances[-1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, CALLERS)
        await wait_for(lambda: any(each.status == 200 for each in callers.requests))
        await tell(callers, f'{INSTANCES} instances, {SERVERS} servers')
        world.register(LEAVING, 'draining')
        await tell(callers, f'{LEAVING} leaves')
        world.put_config()
        await tell(callers, 'a newer configuration')
        killed.send(signal.SIGKILL, 'killed')
        await tell(callers, f'{killed.name} is killed; its callers do not move')
        killed.process.wait()
        killed.start()
        await tell(callers, f'{killed.name} is back')
        nursery.cancel_scope.cancel()
    await trio.sleep(STEP_SECONDS)
    broken = list(find_broken(world, callers))
    print(f'{len(callers.requests)} requests, {len(broken)} broken promises')
    print('\n'.join(broken))
    return 1 if broken else 0


async def tell(callers: Callers, what: str) -> None:
    """Let callers call for a step and print what they were told."""
    first = len(callers.requests)
    await trio.sleep(STEP_SECONDS)
    told = Counter(each.told for each in callers.requests[first:] if each.told)
    counts = ', '.join(f'{told[each]} {each.name.lower()}' for each in Told)
    print(f'{what}: {counts}', flush=True)


def main() -> int:
    """Run the demo; return 0 when everything that must hold held."""
    with make_folder() as folder:
        return trio.run(play, Path(folder))


if __name__ == '__main__':
    sys.exit(main())

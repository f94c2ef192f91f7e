"""Demo: run instances on a stand-in platform, inject faults, and print the outcomes.

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
    """Run the demo in a folder; return 1 if a guarantee was violated."""
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
    """Make four changes under load and print the outcomes of requests after each."""
    await world.open(SERVERS, INSTANCES)
    callers = Callers(world, Random(SEED))
    killed = world.instances[-1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, CALLERS)
        await wait_for(lambda: any(each.status == 200 for each in callers.requests))
        await tell(callers, f'{INSTANCES} instances, {SERVERS} servers')
        world.register(LEAVING, 'draining')
        await tell(callers, f'{LEAVING} is leaving')
        world.put_config()
        await tell(callers, 'a newer configuration')
        killed.send(signal.SIGKILL, 'killed')
        await tell(callers, f'{killed.name} is killed; its callers stay with it')
        killed.process.wait()
        killed.start()
        await tell(callers, f'{killed.name} is restarted')
        nursery.cancel_scope.cancel()
    await trio.sleep(STEP_SECONDS)
    broken = list(find_broken(world, callers))
    print(f'{len(callers.requests)} requests, {len(broken)} violations')
    print('\n'.join(broken))
    return 1 if broken else 0


async def tell(callers: Callers, what: str) -> None:
    """Wait for one step and print the outcomes of its requests."""
    first = len(callers.requests)
    await trio.sleep(STEP_SECONDS)
    told = Counter(each.told for each in callers.requests[first:] if each.told)
    counts = ', '.join(f'{told[each]} {each.name.lower()}' for each in Told)
    print(f'{what}: {counts}', flush=True)


def main() -> int:
    """Run the demo; return 0 if all guarantees held."""
    with make_folder() as folder:
        return trio.run(play, Path(folder))


if __name__ == '__main__':
    sys.exit(main())

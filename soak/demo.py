"""Demo: run instances on a stand-in platform, inject faults, and print the outcomes.

python -m soak.demo
"""

import signal
import sys
from collections import Counter
from pathlib import Path
from random import Random

import trio

from soak.callers import Callers, Outcome
from soak.checks import find_violations
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
            result = await run_steps(world)
        finally:
            for instance in world.instances:
                instance.end()
        nursery.cancel_scope.cancel()
    return result


async def run_steps(world: World) -> int:
    """Make four changes under load and print the outcomes of requests after each."""
    await world.open(SERVERS, INSTANCES)
    callers = Callers(world, Random(SEED))
    killed = world.instances[-1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, CALLERS)
        await wait_for(lambda: any(each.status == 200 for each in callers.requests))
        await print_outcomes(callers, f'{INSTANCES} instances, {SERVERS} servers')
        world.register(LEAVING, 'draining')
        await print_outcomes(callers, f'{LEAVING} is leaving')
        world.put_config()
        await print_outcomes(callers, 'a newer configuration')
        killed.send(signal.SIGKILL, 'killed')
        await print_outcomes(
            callers, f'{killed.name} is killed; its callers stay with it'
        )
        killed.process.wait()
        killed.start()
        await print_outcomes(callers, f'{killed.name} is restarted')
        nursery.cancel_scope.cancel()
    await trio.sleep(STEP_SECONDS)
    violations = list(find_violations(world, callers))
    print(f'{len(callers.requests)} requests, {len(violations)} violations')
    print('\n'.join(violations))
    return 1 if violations else 0


async def print_outcomes(callers: Callers, event: str) -> None:
    """Wait for one step and print the outcomes of its requests."""
    first = len(callers.requests)
    await trio.sleep(STEP_SECONDS)
    count_by_outcome = Counter(
        each.outcome for each in callers.requests[first:] if each.outcome
    )
    counts = ', '.join(
        f'{count_by_outcome[each]} {each.name.lower()}' for each in Outcome
    )
    print(f'{event}: {counts}', flush=True)


def main() -> int:
    """Run the demo; return 0 if all guarantees held."""
    with make_folder() as folder:
        return trio.run(play, Path(folder))


if __name__ == '__main__':
    sys.exit(main())

"""Fault: one entry of another writer ends all instances, again at each start.

Two entries are tried one after the other, beside the sound ones of the workers: one
under a name with a byte that cannot be read, and one with a list of lists where an
address is due. Processes that end are started again after a short delay, as on the
platform.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    CannotRunError,
    Client,
    Instance,
    Record,
    Store,
    Worker,
    configuration,
    play,
)

INSTANCES = 3
#: Ends of one process by itself that count, and machines on which they must happen.
MOST_ENDS = 3
MOST_MACHINES = 2
RESTART_SECONDS = 0.5
#: Time for which an entry stays.
ENTRY_SECONDS = 8.0
CALM_SECONDS = 3.0
REQUEST_PAUSE_SECONDS = 0.2
NESTING = 1000
SERVICE = 'suivi-bagages'
ROUTES = [
    {
        'name': 'recu-depot',
        'host': 'a.example',
        'path_prefix': '/recu/',
        'service': SERVICE,
        'kind': 'non_idempotent',
        'timeout_s': 2.0,
        'target_latency_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
    }
]
#: Name, JSON text of the name, and JSON text of the spec of entries. The byte 255 is no
#: UTF-8; JSON has no bytes, so it is escaped.
NO_ENTRY = (
    'a number as a service',
    '"i-other"',
    '{"addr":"127.0.0.1:9","info":{"service":7}}',
)
ENTRIES = [
    (
        'a name with a byte that cannot be read',
        r'"i-\udcff"',
        '{"addr":"127.0.0.1:9"}',
    ),
    (
        f'lists in lists, {NESTING} deep, as an address',
        '"i-other"',
        f'{{"addr":{"[" * NESTING}{"]" * NESTING},"info":{{}}}}',
    ),
]


async def case(
    record: Record, folder: Path, instances: list[Instance], *, has_trouble: bool
) -> bool:
    """Write unreadable entries beside sound ones and count the ends of processes."""
    store = Store()
    await store.start()
    store.put('config', 'main', configuration(ROUTES, [SERVICE]))
    for number in range(3):
        worker = Worker(f'i-{number}', record, SERVICE, slots=4)
        worker.work_seconds = 0.05
        await worker.start(store)
    for number in range(INSTANCES):
        seed = instances[0].address('control') if instances else ''
        instances.append(Instance(f'edge-{number}', folder, store, record, seed))
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    await asyncio.sleep(CALM_SECONDS)
    held = True
    for number, entry in enumerate(ENTRIES):
        text, name, spec = entry if has_trouble else NO_ENTRY
        record.write(f'another writer writes an entry: {text}')
        store.put_text('servers', name, spec)
        ends = await watch(instances, record, f'{number}')
        often = [each for each, count in ends.items() if count >= MOST_ENDS]
        record.write(f'ends by themselves: {dict(ends)}')
        held = held and len(often) < MOST_MACHINES
        for kind, key in list(store.text_by_key):
            if kind == 'servers' and key not in ('i-0', 'i-1', 'i-2'):
                store.remove(kind, key)
        record.write('the entry is gone')
        await start_all(instances)
    return held


async def watch(instances: list[Instance], record: Record, name: str) -> Counter[str]:
    """Start ended processes again and send requests; return the ends by instance."""
    ends: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    until = time.monotonic() + ENTRY_SECONDS
    async with asyncio.TaskGroup() as group:
        for instance in instances:
            group.create_task(restart_always(instance, record, ends, until))
            group.create_task(send_always(instance, record, name, outcomes, until))
    record.write(f'requests by outcome: {dict(outcomes)}')
    return ends


async def restart_always(
    instance: Instance, record: Record, ends: Counter[str], until: float
) -> None:
    """Start a process again whenever it has ended, as the platform does."""
    while time.monotonic() < until:
        status = instance.popen.poll()
        if status is not None:
            ends[instance.name] += 1
            record.write(f'{instance.name} ended by itself, status {status}')
            await asyncio.sleep(RESTART_SECONDS)
            instance.start()
        await asyncio.sleep(0.02)


async def send_always(
    instance: Instance,
    record: Record,
    name: str,
    outcomes: Counter[str],
    until: float,
) -> None:
    """Send requests one after the other."""
    number = 0
    while time.monotonic() < until:
        client = Client(instance.address('front'), record)
        request_id = f'{instance.name}-{name}-{number}'
        outcome = await client.ask(request_id, 'POST', f'/recu/{request_id}', 3.0)
        outcomes[outcome] += 1
        client.close()
        number += 1
        await asyncio.sleep(REQUEST_PAUSE_SECONDS)


async def start_all(instances: list[Instance]) -> None:
    """Start the processes that have ended and wait until all are ready."""
    await asyncio.sleep(RESTART_SECONDS)
    for instance in instances:
        if instance.popen.poll() is not None:
            instance.start()
    for instance in instances:
        try:
            await instance.wait_ready()
        except CannotRunError:
            instance.start()
            await instance.wait_ready()


if __name__ == '__main__':
    sys.exit(play(case))

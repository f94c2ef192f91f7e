"""LOST: a stopping instance reads requests late and cuts them while they are at work.

After SIGTERM the instance goes on to take connections and requests until five sixths of
its grace period are over, and then ends with all that is in flight. Clients that keep
an address answer for three times its lifetime still send to it then.
"""

import asyncio
import signal
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

GRACE_SECONDS = 6.0
#: Of requests sent no later than this after SIGTERM, those at which a worker is at work
#: in the last sixth of the grace period do not count.
EXCUSED_SECONDS = 3.0
#: When requests are sent, in seconds after SIGTERM.
SENT_AT = (3.3, 3.6, 3.9, 4.2, 4.5, 4.8)
#: Some clients keep an address answer for this many lifetimes.
KEPT_LIFETIMES = 3
#: The usual work of a request, and that of a long one.
USUAL_SECONDS = 0.2
LONG_SECONDS = 1.5
TIMEOUT_SECONDS = 2.0
DEADLINE_SECONDS = 4.0
SERVICE = 'suivi-bagages'
ROUTES = [
    {
        'name': 'recu-depot',
        'host': 'a.example',
        'path_prefix': '/recu/',
        'service': SERVICE,
        'kind': 'non_idempotent',
        'timeout_s': TIMEOUT_SECONDS,
        'target_latency_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
    }
]


async def case(
    record: Record, folder: Path, instances: list[Instance], *, has_trouble: bool
) -> bool:
    """Stop one of two instances and send it requests of clients that still know it."""
    store = Store()
    await store.start()
    store.put('config', 'main', configuration(ROUTES, [SERVICE]))
    workers = [Worker(f'i-{n}', record, SERVICE, slots=4) for n in range(4)]
    for worker in workers:
        worker.work_seconds = USUAL_SECONDS
        await worker.start(store)
    first = Instance('edge-1', folder, store, record)
    second = Instance('edge-2', folder, store, record, first.address('control'))
    instances += [first, second]
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    await wait_until_listed(second, first)
    await warm_up(first, record)

    answer = await second.resolve()
    kept_seconds = KEPT_LIFETIMES * answer['ttl_s']
    record.write(f'addresses {answer}, some clients keep them {kept_seconds:g} s')
    if kept_seconds < max(SENT_AT):
        raise CannotRunError('no client would keep the addresses for so long')
    for worker in workers:
        worker.work_seconds = LONG_SECONDS
    if has_trouble:
        first.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    record.write('SIGTERM to edge-1' if has_trouble else 'no SIGTERM')
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(send(f'r{n}', first, record, stopped_at + at))
            for n, at in enumerate(SENT_AT)
        ]
        if has_trouble:
            group.create_task(watch_end(first, record, stopped_at))
    return not find_lost(record, workers, dict(task.result() for task in tasks))


async def wait_until_listed(asked: Instance, listed: Instance) -> None:
    """Wait until one instance names another one to clients."""
    for _ in range(200):
        answer = await asked.resolve()
        if answer is not None and listed.address('front') in answer['addrs']:
            return
        await asyncio.sleep(0.05)
    raise CannotRunError('the instances did not find each other')


async def warm_up(instance: Instance, record: Record) -> None:
    """Send some requests on a calm system."""
    for number in range(4):
        client = Client(instance.address('front'), record)
        name = f'calm-{number}'
        outcome = await client.ask(name, 'POST', f'/recu/{name}', DEADLINE_SECONDS)
        client.close()
        if outcome != '200':
            raise CannotRunError('a request on a calm system was not answered')


async def send(
    name: str, instance: Instance, record: Record, at: float
) -> tuple[str, str]:
    """Send a request on a new connection at a moment; return its ID and outcome."""
    await asyncio.sleep(at - time.monotonic())
    client = Client(instance.address('front'), record)
    outcome = await client.ask(name, 'POST', f'/recu/{name}', DEADLINE_SECONDS)
    client.close()
    return name, outcome


async def watch_end(instance: Instance, record: Record, stopped_at: float) -> None:
    """Kill the process after its grace period, as the platform does."""
    while time.monotonic() < stopped_at + GRACE_SECONDS:
        if instance.popen.poll() is not None:
            seconds = time.monotonic() - stopped_at
            record.write(f'edge-1 ended {seconds:.2f} s after SIGTERM')
            return
        await asyncio.sleep(0.01)
    instance.kill()
    record.write('edge-1 got SIGKILL')


def find_lost(
    record: Record, workers: list[Worker], outcome_by_name: dict[str, str]
) -> list[str]:
    """Return the requests that were passed on and whose connection ended unanswered.

    All were sent later than EXCUSED_SECONDS after SIGTERM. No worker broke off, and the
    route's timeout and the clients' deadlines were later than the ends seen.
    """
    runs: Counter[str] = Counter()
    for worker in workers:
        runs.update(worker.runs)
    for name, outcome in outcome_by_name.items():
        record.write(f'{name}: outcome={outcome} runs={runs[name]}')
    lost = [
        name
        for name, outcome in outcome_by_name.items()
        if outcome.startswith('closed') and runs[name]
    ]
    record.write(f'lost after they were passed on to a worker: {lost or "none"}')
    return lost


if __name__ == '__main__':
    sys.exit(play(case))

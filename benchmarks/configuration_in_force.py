"""Measure the time until a change is in force on every one of a few processes.

The last line is JSON.
"""

import statistics
import tempfile
import time
from pathlib import Path

import httpx
import orjson
import trio
from attrs import evolve

from catkinslip.config.changes import ChangeAccepted, apply_change
from catkinslip.config.checks import read_document
from catkinslip.config.documents import Document
from catkinslip.config.reading import StoredConfig, read_config
from catkinslip.store.http import HttpStore
from standins.processes import Process, ProcessGroup
from standins.registers import many_workers

WORKERS = 4_600
SERVICES = 440
DAEMONS = 6
CHANGES = 20
POLL_SECONDS = 0.01
TIMEOUT_SECONDS = 10.0
PAUSE_SECONDS = 0.3


def main() -> None:
    """Start the processes, make changes and print the times."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        url = f'http://{group.start_platform().address}'
        daemons = [
            group.start_daemon(f'entry-{number}', 'zone-a', platform_url=url)
            for number in range(DAEMONS)
        ]
        seconds = trio.run(measure, url, daemons)
    row = {
        'workers': WORKERS,
        'daemons': DAEMONS,
        'changes': CHANGES,
        'first_seconds': seconds[0],
        'median_seconds': statistics.median(seconds[1:]),
        'longest_seconds': max(seconds[1:]),
    }
    print(
        f'{DAEMONS} daemons, {WORKERS} workers: in force everywhere after '
        f'{row["median_seconds"]:.3f} s (median), {row["longest_seconds"]:.3f} s '
        f'(longest of {CHANGES}); the first document {row["first_seconds"]:.3f} s.'
    )
    print(orjson.dumps(row).decode())


async def measure(url: str, daemons: list[Process]) -> list[float]:
    """Return the time of the first document and of each change."""
    document = read_document(many_workers(WORKERS, SERVICES)).unwrap()
    seconds = []
    async with (
        httpx.AsyncClient(base_url=url) as platform,
        httpx.AsyncClient(timeout=TIMEOUT_SECONDS) as client,
    ):
        store = HttpStore(platform, TIMEOUT_SECONDS)
        for number in range(CHANGES + 1):
            seconds.append(await time_change(store, client, daemons, document, number))
            document = drained(document, number)
            await trio.sleep(PAUSE_SECONDS)
    return seconds


async def time_change(
    store: HttpStore,
    client: httpx.AsyncClient,
    daemons: list[Process],
    document: Document,
    number: int,
) -> float:
    """Make a change and return the seconds until it is in force everywhere."""
    base = await read_config(store)
    assert isinstance(base, StoredConfig), base
    outcome = await apply_change(store, base, document, f'change-{number}', 'bench')
    assert isinstance(outcome, ChangeAccepted), outcome
    began = time.monotonic()
    async with trio.open_nursery() as nursery:
        for daemon in daemons:
            nursery.start_soon(wait_for, client, daemon, f'change-{number}')
    return time.monotonic() - began


async def wait_for(client: httpx.AsyncClient, daemon: Process, change_id: str) -> None:
    """Wait until a change is in force on one instance."""
    while True:
        response = await client.get(f'http://{daemon.control_address}/v1/status')
        if response.json()['change_id'] == change_id:
            return
        await trio.sleep(POLL_SECONDS)


def drained(document: Document, number: int) -> Document:
    """Return the document with one more backend server drained."""
    name = list(document.register.backends)[number]
    backend = evolve(document.register.backends[name], draining=True)
    backends = {**document.register.backends, name: backend}
    return evolve(document, register=evolve(document.register, backends=backends))


if __name__ == '__main__':
    main()

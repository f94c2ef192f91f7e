"""Helpers that start a small fleet of processes and load it."""

import json
import tempfile
import unittest
from pathlib import Path

import httpx
import trio

from catkinslip.cli.application import run as run_tool
from standins.load import LoadCaller, Tally
from standins.processes import Process, ProcessGroup, wait_until
from tests.builders import document_plain

LOAD_CALLERS = 6


def new_process_group(test: unittest.TestCase) -> ProcessGroup:
    """Return a process group that is stopped at the end of a test."""
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    group = ProcessGroup(Path(folder.name))
    test.addCleanup(group.stop_all)
    return group


def start_small_fleet(
    group: ProcessGroup, zones: tuple[str, ...], backend=(), **settings: object
) -> list[Process]:
    """Start a platform, two backend servers and one daemon per zone; wait for all."""
    platform_url = f'http://{group.start_platform().address}'
    backends = [group.start_backend(f'limits-{n}', **dict(backend)) for n in (1, 2)]
    apply_document(
        group, document_plain({each.name: each.address for each in backends})
    )
    daemons = [
        group.start_daemon(f'entry-{n}', zone, platform_url=platform_url, **settings)
        for n, zone in enumerate(zones)
    ]
    for daemon in daemons:
        wait_until(lambda each=daemon: len(fetch_addresses(each)) == len(daemons))
        wait_until(lambda each=daemon: is_serving(each))
    return daemons


def apply_document(group: ProcessGroup, plain: dict) -> None:
    """Apply a configuration document with the command-line tool."""
    path = group.folder / 'document.json'
    path.write_text(json.dumps(plain))
    platform_url = f'http://{group.process_by_name["platform"].address}'
    status = run_tool(['apply', str(path), '--platform-url', platform_url, '--quiet'])
    if status != 0:
        raise RuntimeError(f'apply ended with {status}')


def fetch_addresses(daemon: Process, service: str = 'limits') -> list[str]:
    """Return the addresses that a daemon returns for a service."""
    url = f'http://{daemon.address}/.well-known/catkinslip/addresses/{service}'
    return httpx.get(url, timeout=10).json().get('addresses', [])


def is_serving(daemon: Process) -> bool:
    """Return whether a daemon forwards requests."""
    url = f'http://{daemon.address}/'
    return httpx.get(url, headers={'Host': 'limits'}, timeout=10).status_code == 200


async def load_during_failure(
    daemons: list[Process], cause_failure, lifetime: float
) -> Tally:
    """Load the daemons during a failure and for some time after it."""
    tally = Tally()
    async with trio.open_nursery() as nursery:
        for number in range(LOAD_CALLERS):
            caller = LoadCaller(
                name=f'caller-{number}',
                service='limits',
                instance_addresses=[each.address for each in daemons],
                tally=tally,
                lifetime=lifetime,
            )
            nursery.start_soon(caller.run, 60)
        await wait_for_answers(tally)
        await trio.to_thread.run_sync(cause_failure)
        await wait_for_answers(tally)
        nursery.cancel_scope.cancel()
    return tally


async def wait_for_answers(tally: Tally) -> None:
    """Wait until callers got ten more right answers each on average."""
    target = tally.right + 10 * LOAD_CALLERS
    while tally.right < target:
        await trio.sleep(0.01)

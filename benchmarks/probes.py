"""Count probes at a backend server while instances disagree, restart, or are alone.

One server answers its health path but no requests, so it has no recent answer and
every instance wants to probe it. The platform is down meanwhile.
"""

import argparse
import json
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import httpx
import trio

from benchmarks.drain import DrainSystem, ask
from catkinslip.models import Address
from standins.processes import Process, ProcessGroup, wait_until

RATE = 1.0
CALLS_PER_PROBE = 2
RESTART_SECONDS = 4.0
CALL_PAUSE_SECONDS = 0.2
SILENT_SERVICE_SECONDS = 600.0
ARMS = ('equal', 'split', 'alone', 'restarts')


def main() -> int:
    """Print the probes of each arm; return 0 when all are within the budget."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--arms', nargs='+', choices=ARMS, default=ARMS)
    arguments = parser.parse_args()
    size, seconds = arguments.instances, arguments.seconds
    results = [run_arm(arm, size, seconds) for arm in arguments.arms]
    print(json.dumps(results))
    return 0 if all(result['within'] for result in results) else 1


def run_arm(arm: str, size: int, seconds: float) -> dict:
    """Run one arm and return what the server counted."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        platform_url = f'http://{group.start_platform().address}'
        group.start_backend('limits-1')
        silent = group.start_backend('limits-2', service_time=SILENT_SERVICE_SECONDS)
        write_config(group)
        daemons = [start_daemon(group, arm, n, size) for n in range(size)]
        for daemon in daemons:
            wait_until(lambda d=daemon: ask_briefly(d))
        faults = f'{platform_url}/standin/faults'
        httpx.post(faults, json={'down': True}).raise_for_status()
        began = time.time()
        trio.run(load, group, arm, daemons, seconds)
        url = f'http://{silent.address}/standin/ledger'
        elapsed = time.time() - began
        times = [at for at in httpx.get(url).json()['probe_times'] if at >= began]
        silent.kill()
        members = [count_members(each, arm, n) for n, each in enumerate(daemons)][1:]
    return judge(arm, size, times, elapsed, members)


def write_config(group: ProcessGroup) -> None:
    """Put the register in force with the budget of the measurement."""
    system = DrainSystem(group)
    terms = {'probes_per_second': RATE, 'calls_per_probe': CALLS_PER_PROBE}
    backends = {}
    for name, process in group.process_by_name.items():
        if name.startswith('limits'):
            address = Address.parse(process.address)
            backends[name] = {
                'service': 'limits',
                'zone': 'zone-a',
                'host': address.host,
                'port': address.port,
            }
    services = {'limits': terms}
    system.apply_plain({'register': {'services': services, 'backends': backends}})


def start_daemon(
    group: ProcessGroup, arm: str, number: int, size: int, seeds: str = ''
) -> Process:
    """Start an instance."""
    return group.start_daemon(
        f'entry-{number}',
        'zone-a',
        platform_url=f'http://{group.process_by_name["platform"].address}',
        platform_timeout=0.2,
        shared_secret=secret_of(arm, number),
        request_timeout=1.0,
        max_instances=size,
        seeds=seeds,
    )


def ask_briefly(daemon: Process) -> bool:
    """Tell whether an instance has its configuration."""
    return ask(daemon).status_code in (200, 504)


async def load(group, arm: str, daemons: list[Process], seconds: float) -> None:
    """Send calls to every instance, and restart the first one in its arm."""
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for number in range(len(daemons)):
                nursery.start_soon(call, daemons, number)
            if arm == 'restarts':
                nursery.start_soon(restart, group, arm, daemons)


async def call(daemons: list[Process], number: int) -> None:
    """Send calls to one instance, which pay for its probes."""
    async with httpx.AsyncClient() as client:
        while True:
            url = f'http://{daemons[number].address}/'
            with suppress(httpx.HTTPError):
                await client.get(url, headers={'Host': 'limits'}, timeout=2.0)
            await trio.sleep(CALL_PAUSE_SECONDS)


async def restart(group: ProcessGroup, arm: str, daemons: list[Process]) -> None:
    """Kill and start the first instance again and again."""
    seeds = daemons[1].control_address
    while True:
        await trio.sleep(RESTART_SECONDS)
        daemons[0].kill()
        daemons[0] = await trio.to_thread.run_sync(
            start_daemon, group, arm, 0, len(daemons), seeds
        )


def secret_of(arm: str, number: int) -> str:
    """Return the secret of an instance; others refuse one that has another."""
    return {'split': f'half-{number % 2}', 'alone': f'own-{number}'}.get(arm, 'whole')


def count_members(daemon: Process, arm: str, number: int) -> int:
    """Return the number of members that an instance knows."""
    headers = {'Catkinslip-Secret': secret_of(arm, number)}
    url = f'http://{daemon.control_address}/v1/status'
    return len(httpx.get(url, headers=headers).json()['members'])


def judge(
    arm: str, size: int, times: list[float], seconds: float, members: list[int]
) -> dict:
    """Return the counts, with the fullest window that the budget is for."""
    window = size / RATE
    fullest = max(
        (sum(0 <= at - each < window for at in times) for each in times), default=0
    )
    print(
        f'{arm}, {size} instances: {len(times)} probes in {seconds:.0f} s at one '
        f'server, at most {fullest} in any {window:g} s, allowed {size}, members seen '
        f'{sorted(set(members))}',
        flush=True,
    )
    return {
        'arm': arm,
        'instances': size,
        'probes': len(times),
        'seconds': round(seconds, 1),
        'most_in_window': fullest,
        'within': fullest <= size,
    }


if __name__ == '__main__':
    sys.exit(main())

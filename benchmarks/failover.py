"""Measure how soon answers leave out a killed, paused or leaving instance."""

import json
import signal
import tempfile
import time
from pathlib import Path

import httpx

from standins.processes import Process, ProcessGroup, wait_until

ZONES = ('zone-a', 'zone-b', 'zone-c')
INSTANCES = 6
ROUNDS = 4
SIGNAL_BY_WAY = {
    'killed': signal.SIGKILL,
    'paused': signal.SIGSTOP,
    'leaving': signal.SIGTERM,
}


def main() -> None:
    """Print the seconds of each way, then all as JSON."""
    seconds_by_way: dict[str, list[float]] = {way: [] for way in SIGNAL_BY_WAY}
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        url = f'http://{group.start_platform().address}'
        for number in range(INSTANCES):
            start(group, number, url)
        for _ in range(ROUNDS):
            for way in SIGNAL_BY_WAY:
                seconds_by_way[way].append(measure(group, way, url))
    for way, seconds in seconds_by_way.items():
        print(f'{way}: {min(seconds):.2f} to {max(seconds):.2f} s')
    print(json.dumps(seconds_by_way))


def start(group: ProcessGroup, number: int, url: str) -> Process:
    """Start one instance at the default interval."""
    zone = ZONES[number % len(ZONES)]
    return group.start_daemon(
        f'entry-{number}',
        zone,
        platform_url=url,
        min_home_instances=INSTANCES,
        max_home_instances=INSTANCES,
    )


def measure(group: ProcessGroup, way: str, url: str) -> float:
    """Hurt the first instance; return the seconds until all others leave it out."""
    hurt, *others = [
        group.process_by_name[f'entry-{number}'] for number in range(INSTANCES)
    ]
    for daemon in [hurt, *others]:
        wait_until(lambda each=daemon: len(addresses(each)) == INSTANCES)
    began = time.monotonic()
    hurt.send_signal(SIGNAL_BY_WAY[way])
    for daemon in others:
        wait_until(lambda each=daemon: hurt.address not in addresses(each))
    seconds = time.monotonic() - began
    if way == 'paused':
        hurt.send_signal(signal.SIGCONT)
        return seconds
    hurt.kill()
    start(group, 0, url)
    return seconds


def addresses(daemon: Process) -> list[str]:
    """Return the addresses that an instance answers."""
    url = f'http://{daemon.address}/.well-known/catkinslip/addresses/any'
    return httpx.get(url, timeout=10).json()['addresses']


if __name__ == '__main__':
    main()

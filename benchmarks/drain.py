"""Measure drain on real processes: from the first sign to no new work.

Three instances carry a load while one backend server for each path begins to leave.
"""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path

import httpx
import trio
from attrs import Factory, define

from catkinslip.cli.application import run as run_tool
from catkinslip.models import Address
from standins.load import LoadCaller, Tally
from standins.processes import Process, ProcessGroup, wait_until

ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'limits'
STAYING = 'limits-stays'
LOADED_PATHS = ('own', 'close', 'list', 'register', 'stop')
TOLD_PATHS = ('peers', 'frozen')
BOUND_SECONDS = 3.0
LOAD_SECONDS = 6.5
PAUSE_SECONDS = 0.5
CALLERS = 6
LINGER_SECONDS = 2.0
#: Longer than a peer's timeout, so that nobody still waits for the frozen instance.
FROZEN_SECONDS = 1.5
#: Terms that let a test see a return soon; the division is by three instances.
TERMS = {'slots': 5, 'probes_per_second': 3.0, 'calls_per_probe': 10}
MAX_INSTANCES = 3
#: One client, as each new one loads certificates for some 15 ms.
CLIENT = httpx.Client(limits=httpx.Limits(max_keepalive_connections=0))


@define
class DrainSystem:
    """A system in which one backend server for each path will leave."""

    group: ProcessGroup
    load_seconds: float = LOAD_SECONDS
    daemons: list[Process] = Factory(list)
    signed_at_by_path: dict[str, float] = Factory(dict)
    last_start_by_path: dict[str, float] = Factory(dict)
    tally: Tally = Factory(Tally)

    def start(self) -> None:
        """Start all processes and wait until every instance serves."""
        self.group.start_platform()
        for path in (*LOADED_PATHS, *TOLD_PATHS):
            linger = LINGER_SECONDS if path == 'stop' else 0.0
            self.group.start_backend(f'limits-{path}', service_time=0.01, linger=linger)
        self.group.start_backend(STAYING, service_time=0.01)
        self.apply()
        for zone in ZONES:
            daemon = self.group.start_daemon(
                f'entry-{zone}',
                zone,
                platform_url=self.platform_url,
                max_instances=MAX_INSTANCES,
            )
            self.daemons.append(daemon)
        for daemon in self.daemons:
            wait_until(lambda d=daemon: ask(d).status_code == 200)
            wait_until(lambda d=daemon: len(status(d)['members']) == len(ZONES))

    @property
    def platform_url(self) -> str:
        """Return the URL of the stand-in platform."""
        return f'http://{self.group.process_by_name["platform"].address}'

    def backend(self, name: str) -> Process:
        """Return a backend server."""
        return self.group.process_by_name[name]

    def apply(self, draining: str = '') -> None:
        """Apply the register with one server marked as draining, or none."""
        backends = {}
        for name, process in self.group.process_by_name.items():
            if not name.startswith(SERVICE):
                continue
            address = Address.parse(process.address)
            backends[name] = {
                'service': SERVICE,
                'zone': ZONES[0],
                'host': address.host,
                'port': address.port,
                'draining': name == draining,
            }
        services = {SERVICE: TERMS}
        self.apply_plain({'register': {'services': services, 'backends': backends}})

    def apply_plain(self, plain: dict) -> None:
        """Apply a document with the operators' tool."""
        path = self.group.folder / 'document.json'
        path.write_text(json.dumps(plain))
        code = run_tool(
            ['apply', str(path), '--platform-url', self.platform_url, '--quiet']
        )
        if code != 0:
            raise RuntimeError(f'apply ended with {code}')

    def behave(self, name: str, **behaviour: object) -> None:
        """Change the behaviour of a backend server."""
        url = f'http://{self.backend(name).address}/standin/behaviour'
        httpx.post(url, json=behaviour).raise_for_status()

    def ledger(self, name: str) -> dict:
        """Return what a backend server ran."""
        url = f'http://{self.backend(name).address}/standin/ledger'
        return CLIENT.get(url).json()

    def sign(self, path: str) -> None:
        """Let the server of a path begin to leave, by this path alone."""
        name = f'limits-{path}'
        self.signed_at_by_path[path] = time.time()
        if path == 'own':
            self.behave(name, draining=True, closes_when_draining=False)
        elif path == 'close':
            self.behave(name, draining=True, drain_header=False)
        elif path == 'register':
            self.apply(draining=name)
        elif path == 'stop':
            self.backend(name).popen.terminate()
        elif path == 'list':
            word = {
                'name': name,
                'zone': ZONES[0],
                'address': self.backend(name).address,
                'control_address': '',
                'leaving': True,
            }
            url = f'{self.platform_url}/v1/instances/{name}'
            httpx.put(url, json=word).raise_for_status()

    def run_load(self) -> None:
        """Load all instances while servers leave, and read their ledgers."""
        trio.run(self._load)
        for path in LOADED_PATHS:
            name = f'limits-{path}'
            if path == 'stop':
                line = self.backend(name).popen.stdout.readline()
                ledger = json.loads(line)
            else:
                ledger = self.ledger(name)
            self.last_start_by_path[path] = ledger['last_started_at']

    async def _load(self) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                caller = LoadCaller(
                    name=f'{SERVICE}-caller-{number}',
                    service=SERVICE,
                    instance_addresses=[each.address for each in self.daemons],
                    tally=self.tally,
                    method='POST',
                )
                nursery.start_soon(caller.run, self.load_seconds)
            for path in LOADED_PATHS:
                await trio.sleep(PAUSE_SECONDS)
                await trio.to_thread.run_sync(self.sign, path)

    def seconds_by_path(self) -> dict[str, float]:
        """Return the seconds from the first sign to the last started request."""
        return {
            path: max(0.0, last - self.signed_at_by_path[path])
            for path, last in self.last_start_by_path.items()
        }

    def measure_peers(self) -> float:
        """Return how long peers take to learn a sign that one instance saw.

        The platform is down, and the others get no request meanwhile.
        """
        httpx.post(f'{self.platform_url}/standin/faults', json={'down': True})
        first, *others = self.daemons
        self.show_sign('limits-peers', first)
        return seconds_until_all_know('limits-peers', others)

    def measure_frozen(self) -> float:
        """Return how long an instance, frozen during a sign, takes once it wakes."""
        first, *_, frozen = self.daemons
        frozen.send_signal(signal.SIGSTOP)
        self.show_sign('limits-frozen', first)
        time.sleep(FROZEN_SECONDS)
        frozen.send_signal(signal.SIGCONT)
        return seconds_until_all_know('limits-frozen', [frozen])

    def show_sign(self, name: str, daemon: Process) -> None:
        """Let a server drain and one instance see its sign."""
        self.behave(name, draining=True)
        wait_until(lambda: ask(daemon) and knows(daemon, name))


def ask(daemon: Process) -> httpx.Response:
    """Send one request through an instance."""
    return CLIENT.get(f'http://{daemon.address}/', headers={'Host': SERVICE})


def status(daemon: Process) -> dict:
    """Return the status of an instance."""
    return CLIENT.get(f'http://{daemon.control_address}/v1/status').json()


def knows(daemon: Process, name: str) -> bool:
    """Tell whether an instance knows that a server is leaving."""
    return name in status(daemon)['leaving_backends']


def seconds_until_all_know(name: str, daemons: list[Process]) -> float:
    """Wait until instances know that a server is leaving."""
    began = time.monotonic()
    for daemon in daemons:
        wait_until(lambda d=daemon: knows(d, name))
    return time.monotonic() - began


def main() -> int:
    """Print the seconds of each path; return 0 when all are within the bound."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        system = DrainSystem(group)
        system.start()
        system.run_load()
        seconds_by_path = system.seconds_by_path()
        seconds_by_path['peers, platform down'] = system.measure_peers()
        seconds_by_path['frozen meanwhile, after it woke'] = system.measure_frozen()
    for path, seconds in seconds_by_path.items():
        print(f'{path}: {seconds:.3f} s from the first sign to no new work')
    tally = system.tally
    print(f'{tally.right} right, {tally.cut} cut, {tally.unknown} unknown')
    line = {'seconds_by_path': seconds_by_path, 'cut': tally.cut}
    print(json.dumps({**line, 'unknown': tally.unknown, 'right': tally.right}))
    is_late = max(seconds_by_path.values()) > BOUND_SECONDS
    return 1 if is_late or tally.cut or tally.unknown else 0


if __name__ == '__main__':
    sys.exit(main())

"""The soaked system: stand-ins and links in this process, instances as processes."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

import trio
from attrs import Factory, define

from soak.links import Link
from standins.objects import ObjectsStandin, serve_objects
from standins.processes import ROOT
from standins.workers import Worker
from tests.platform_builders import config_spec, server_item, settings_text
from tests.small_platform import free_ports

STEP_SECONDS = 0.02
STOP_SECONDS = 6.0
MODULE = 'catkinslip.platform'
#: The split of one route gives the second service a tenth.
SERVICES = ('one', 'one', 'two')
#: What a cold server bears in a second, and what all instances may send it.
COLD_PER_SECOND = 4.0
COLD_EXCESS = 1.5
COLD_SLACK = 8.0
ZONE_FIELDS = {
    'zones': 'zone-a = "region-1"\nzone-b = "region-1"',
    'bounds': f',"cold_excess={COLD_EXCESS}","cold_slack={COLD_SLACK}"',
}
PORT_NAMES = ('front', 'ready', 'peer', 'directory', 'report')


@define
class Instance:
    """One instance: its process, its ports and its link to the store."""

    name: str
    port_by_name: dict[str, int]
    settings_path: Path
    log_path: Path
    store_link: Link
    process: subprocess.Popen | None = None
    #: Why the process may end; empty while it must not.
    may_end: str = ''
    is_paused: bool = False
    started_at: float = 0.0

    def start(self) -> None:
        """Start the process; its log goes on in the same file."""
        self.may_end = ''
        self.started_at = trio.current_time()
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', MODULE],
                cwd=ROOT,
                env={
                    **os.environ,
                    'CATKINSLIP_NODE_FILE': str(self.settings_path),
                    'CATKINSLIP_METRICS_PORT': '0',
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals, may_end: str = '') -> None:
        """Send the process a signal."""
        if self.process.poll() is None:
            self.may_end = may_end or self.may_end
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, which the soak started."""
        self.send(signal.SIGKILL, 'end of the soak')
        self.process.wait()


@define
class World:
    """Everything of one run."""

    folder: Path
    nursery: trio.Nursery
    random: Random
    store: ObjectsStandin = Factory(ObjectsStandin)
    worker_by_id: dict[str, Worker] = Factory(dict)
    link_by_worker: dict[str, Link] = Factory(dict)
    service_by_worker: dict[str, str] = Factory(dict)
    instances: list[Instance] = Factory(list)
    store_port: int = 0
    version: int = 0x10
    #: Whether there are two zones, and servers that may be cold.
    has_zones: bool = False
    #: Whether some servers name the rate that they take.
    has_needs: bool = False
    #: Whether some servers turn all away and ask for rest.
    has_rests: bool = False
    #: Whether the store comes back from copies.
    has_restores: bool = False
    #: When the store was away or an instance stood still.
    disturbances: list[tuple[float, float]] = Factory(list)
    #: When an instance was away or stood still, and learned anew what there is.
    restarts: list[tuple[float, float]] = Factory(list)

    async def open(self, workers: int, instances: int) -> None:
        """Start everything and wait until an instance answers callers."""
        self.put_config()
        ports: list[int] = []
        self.nursery.start_soon(serve_objects, self.store, ports.append)
        await wait_for(lambda: ports)
        self.store_port = ports[0]
        for number in range(workers):
            service = SERVICES[number % len(SERVICES)]
            await self.add_worker(f'i-{number}', service)
        for number in range(instances):
            await self.add_instance(f'edge-{number}')

    def put_config(self) -> None:
        """Write a newer configuration."""
        self.version += self.random.randint(1, 9)
        cold_per_s = COLD_PER_SECOND if self.has_zones else None
        spec = config_spec(f'{self.version:08x}', cold_per_s=cold_per_s)
        self.store.put('config', 'main', spec)

    async def add_worker(self, server_id: str, service: str) -> None:
        """Start a server behind a link and register it."""
        worker = Worker(server_id, slots=4, work_seconds=0.02)
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.nursery.start_soon(trio.serve_listeners, worker.serve, listeners)
        link = Link(listeners[0].socket.getsockname()[1])
        await link.open(self.nursery)
        self.worker_by_id[server_id] = worker
        self.link_by_worker[server_id] = link
        self.service_by_worker[server_id] = service
        self.register(server_id, 'ready')

    def register(self, server_id: str, state: str) -> None:
        """Write a server's entry into the store."""
        port = self.link_by_worker[server_id].port
        service = self.service_by_worker[server_id]
        zone = self.zone_of(server_id)
        item = server_item(server_id, service, port, state=state, slots=4, zone=zone)
        self.store.put('servers', server_id, item['spec'], item['status'])

    def zone_of(self, server_id: str) -> str:
        """Return the zone of a server: every second one stands in another."""
        is_other = self.has_zones and int(server_id.rpartition('-')[2]) % 2
        return 'zone-b' if is_other else 'zone-a'

    def zone_workers(self, zone: str) -> list[str]:
        """Return the servers of a zone."""
        return [name for name in self.worker_by_id if self.zone_of(name) == zone]

    @property
    def cold_bound(self) -> float:
        """Return the requests that a cold server gets in any second."""
        return COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK

    def was_disturbed(self, began: float, ended: float) -> bool:
        """Tell whether something excuses an instance in a span of time."""
        return any(start < ended and began < end for start, end in self.disturbances)

    def was_restarted(self, at: float) -> bool:
        """Tell whether an instance was away then, or had just come back."""
        return any(began <= at < ended for began, ended in self.restarts)

    async def add_instance(self, name: str) -> None:
        """Start an instance with a link of its own to the store."""
        link = Link(self.store_port)
        await link.open(self.nursery)
        ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True))
        path = self.folder / f'{name}.toml'
        fields = ZONE_FIELDS if self.has_zones else {}
        text = settings_text(store=link.port, **fields, **ports)
        text = text.replace('edge-1', name)
        if self.instances:
            seed = self.instances[0].port_by_name['peer']
            own = ports['peer']
            text = text.replace(
                f'seeds = ["127.0.0.1:{own}', f'seeds = ["127.0.0.1:{seed}'
            )
        path.write_text(text)
        instance = Instance(name, ports, path, self.folder / f'{name}.log', link)
        instance.start()
        self.instances.append(instance)

    def runs(self, request_id: str) -> int:
        """Return how often a request ran, on all servers."""
        workers = self.worker_by_id.values()
        return sum(worker.runs_by_request[request_id] for worker in workers)


async def wait_for(condition) -> None:
    """Wait until a condition holds."""
    while not condition():
        await trio.sleep(STEP_SECONDS)


def make_folder() -> tempfile.TemporaryDirectory:
    """Return a folder for settings and logs that ends with the run."""
    return tempfile.TemporaryDirectory(prefix='soak-')

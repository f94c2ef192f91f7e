"""The system under test: stand-ins, links, and instances as separate processes."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path as FilePath
from random import Random

import trio
from attrs import Factory, define

from soak.links import Link, Path
from soak.owners import InstancePaths
from standins.objects import ObjectsStandin, serve_objects
from standins.processes import ROOT
from standins.workers import Worker
from tests.platform_builders import config_spec, server_item, settings_text
from tests.small_platform import free_ports

STEP_SECONDS = 0.02
STOP_SECONDS = 6.0
MODULE = 'catkinslip.platform'
#: Services of the servers, in turn. The traffic split of one route sends a tenth of the
#: requests to the second service.
SERVICES = ('one', 'one', 'two')
#: Requests per second that a cold server can handle. The factor and the offset below
#: bound how many requests all instances together may send to a cold server.
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
    settings_path: FilePath
    log_path: FilePath
    store_link: Link
    process: subprocess.Popen | None = None
    #: The reason why the process may exit; empty while it must keep running.
    exit_reason: str = ''
    is_paused: bool = False
    started_at: float = 0.0
    #: The path to all servers.
    path: Path = Factory(Path)

    def start(self) -> None:
        """Start the process and append its log to the same file."""
        self.exit_reason = ''
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

    def send(self, number: signal.Signals, exit_reason: str = '') -> None:
        """Send a signal to the process if it is running."""
        if self.process.poll() is None:
            self.exit_reason = exit_reason or self.exit_reason
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL, 'end of the soak test')
        self.process.wait()


@define
class World:
    """All stand-ins, links and instances of one run."""

    folder: FilePath
    nursery: trio.Nursery
    random: Random
    store: ObjectsStandin = Factory(ObjectsStandin)
    worker_by_id: dict[str, Worker] = Factory(dict)
    link_by_worker: dict[str, Link] = Factory(dict)
    service_by_worker: dict[str, str] = Factory(dict)
    instances: list[Instance] = Factory(list)
    store_port: int = 0
    version: int = 0x10
    #: Whether the run has two zones, and servers that may be cold.
    has_zones: bool = False
    #: Whether some servers advertise the rate that they accept.
    has_needs: bool = False
    #: Whether some servers reject all requests and ask for rest periods.
    has_rests: bool = False
    #: Whether the store is restored from backups.
    has_restores: bool = False
    #: Whether instances are partitioned from all servers.
    has_partitions: bool = False
    #: Whether there is planned work only: stops, signals and changes of rules.
    has_stops: bool = False
    #: Whether another writer writes objects that cannot be read.
    has_entries: bool = False
    paths: InstancePaths = Factory(
        lambda self: InstancePaths(self.instances), takes_self=True
    )
    #: Start and end times of spans in which the store was disturbed or an instance was
    #: stopped or paused.
    disturbances: list[tuple[float, float]] = Factory(list)
    #: Start and end times of spans in which an instance was stopped or paused, and then
    #: received its state again.
    restarts: list[tuple[float, float]] = Factory(list)

    async def open(self, workers: int, instances: int) -> None:
        """Start the store, the servers and the instances."""
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
        """Write a newer configuration into the store."""
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
        link.paths = self.paths if self.has_partitions else None
        await link.open(self.nursery)
        self.worker_by_id[server_id] = worker
        self.link_by_worker[server_id] = link
        self.service_by_worker[server_id] = service
        self.register(server_id, 'ready')

    def register(self, server_id: str, state: str) -> None:
        """Write the registration of a server into the store."""
        port = self.link_by_worker[server_id].port
        service = self.service_by_worker[server_id]
        zone = self.zone_of(server_id)
        item = server_item(server_id, service, port, state=state, slots=4, zone=zone)
        self.store.put('servers', server_id, item['spec'], item['status'])

    def zone_of(self, server_id: str) -> str:
        """Return the zone of a server; with two zones, odd ones are in the second."""
        is_other = self.has_zones and int(server_id.rpartition('-')[2]) % 2
        return 'zone-b' if is_other else 'zone-a'

    def zone_workers(self, zone: str) -> list[str]:
        """Return the names of the servers in a zone."""
        return [name for name in self.worker_by_id if self.zone_of(name) == zone]

    @property
    def cold_bound(self) -> float:
        """Return the maximum number of requests for a cold server in any second."""
        return COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK

    def was_disturbed(self, began: float, ended: float) -> bool:
        """Return whether a disturbance overlaps a span of time."""
        return any(start < ended and began < end for start, end in self.disturbances)

    def was_restarted(self, at: float) -> bool:
        """Return whether an instance was restarting or had just restarted at a time."""
        return any(began <= at < ended for began, ended in self.restarts)

    async def add_instance(self, name: str) -> None:
        """Start an instance that has its own link to the store."""
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
        """Return how many times a request ran on all servers together."""
        workers = self.worker_by_id.values()
        return sum(worker.runs_by_request[request_id] for worker in workers)


async def wait_for(condition) -> None:
    """Poll a condition until it holds."""
    while not condition():
        await trio.sleep(STEP_SECONDS)


def make_folder() -> tempfile.TemporaryDirectory:
    """Return a temporary folder for settings and logs, removed after the run."""
    return tempfile.TemporaryDirectory(prefix='soak-')

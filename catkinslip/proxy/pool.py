"""Connections to backend servers: limited, kept for reuse, trimmed when idle."""

import socket
from collections.abc import Callable, Iterable

import h11
import trio
from attrs import Factory, define, field

from catkinslip.config.difference import compare_documents
from catkinslip.config.documents import AcceptedConfig, Backend, Document
from catkinslip.models import Address
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.wire import Wire, client_wire

CONNECT_SECONDS = 1.0
MAX_IDLE = 16
MAX_IDLE_SECONDS = 30.0
TRIM_SECONDS = 5.0
# The greatest home set by default, and one instance that an old answer names.
INSTANCES_PER_BACKEND = 6
DEFAULT_LIMIT = 50
MAX_WAITING = 100
#: Asks a silent other side after 1 s and twice more, and then ends the connection.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


@define
class IdleWire:
    """A connection without a request, and since when."""

    wire: Wire
    since: float


@define
class BackendConnections:
    """The connections of this instance to one backend server."""

    limit: int = DEFAULT_LIMIT
    in_use: int = 0
    idle: list[IdleWire] = Factory(list)
    waiters: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    async def take_slot(self) -> bool:
        """Wait in order for one of the limited slots; false when too many wait."""
        if self.in_use < self.limit and not len(self.waiters):
            self.in_use += 1
            return True
        if len(self.waiters) >= MAX_WAITING:
            return False
        await self.waiters.park()
        return True

    def has_room(self) -> bool:
        """Tell whether one more idle connection may be kept."""
        idle = len(self.idle)
        return idle < MAX_IDLE and idle + self.in_use <= self.limit

    def give_slot(self) -> None:
        """Hand a slot to who waits longest, or free it."""
        self.in_use -= 1
        while len(self.waiters) and self.in_use < self.limit:
            self.in_use += 1
            self.waiters.unpark()


@define
class BackendPool:
    """Open, reuse and close connections to backend servers."""

    #: Instances that share the connections of one backend server.
    count_instances: Callable[[], float] = lambda: INSTANCES_PER_BACKEND
    #: Whether answers may take long, so that silence alone tells nothing.
    keeps_alive: bool = False
    connections_by_address: dict[Address, BackendConnections] = Factory(dict)
    #: Idle connections to be closed with the next trim.
    dropped: list[IdleWire] = Factory(list)
    document: Document = Factory(Document)

    def update(self, config: AcceptedConfig) -> None:
        """Take over the connection limits of a new configuration."""
        before, document = self.document, config.document
        difference = compare_documents(before, document)
        self.document = document
        backends = document.register.backends
        for name in difference.backends & before.register.backends.keys():
            old, new = before.register.backends[name], backends.get(name)
            if new is not None and new.incarnation != old.incarnation:
                self._drop_idle(Address(old.host, old.port))
        if difference.redefined:
            self.share_limits()
            return
        self._limit(backends[name] for name in difference.backends if name in backends)

    def _drop_idle(self, address: Address) -> None:
        """Use no more of the connections to a server that started again."""
        connections = self.connections_by_address.get(address)
        if connections is not None:
            self.dropped.extend(connections.idle)
            connections.idle.clear()

    def share_limits(self) -> None:
        """Cut the connections of every server by the instances that are known now."""
        self._limit(self.document.register.backends.values())

    def _limit(self, backends: Iterable[Backend]) -> None:
        service_by_name = self.document.effective_services()
        instances = max(1, self.count_instances())
        for backend in backends:
            service = service_by_name.get(backend.service)
            if service is None:
                continue
            connections = self._connections(Address(backend.host, backend.port))
            connections.limit = max(1, int(service.max_connections / instances))

    def is_full(self, address: Address) -> bool:
        """Tell whether a further request would wait for one of the own connections."""
        connections = self._connections(address)
        return connections.in_use >= connections.limit

    async def acquire(
        self, address: Address, max_idle_seconds: float = MAX_IDLE_SECONDS
    ) -> Wire | NotRun:
        """Return a connection without a request, or say why there is none."""
        connections = self._connections(address)
        if not await connections.take_slot():
            return NotRun(Reason.CONNECTION_LIMIT, f'to {address}')
        try:
            wire = await self._take_idle(connections, max_idle_seconds)
            if wire is None:
                wire = await connect(address, keeps_alive=self.keeps_alive)
        except BaseException:
            connections.give_slot()
            raise
        if isinstance(wire, NotRun):
            connections.give_slot()
        return wire

    async def release(self, address: Address, wire: Wire) -> None:
        """Keep a connection that ended cleanly, else close it; never cancelled."""
        connections = self._connections(address)
        try:
            if connections.has_room() and ended_cleanly(wire):
                wire.start_next_cycle()
                wire.is_reused = True
                connections.idle.append(IdleWire(wire, trio.current_time()))
            else:
                with trio.CancelScope(shield=True):
                    await wire.close()
        finally:
            connections.give_slot()

    async def run(self) -> None:
        """Close connections that idled too long, until cancelled."""
        while True:
            await trio.sleep(TRIM_SECONDS)
            self.share_limits()
            await self.trim()

    async def trim(self) -> None:
        """Close connections that idled too long or were closed by their server."""
        now = trio.current_time()
        for entry in self._take_dropped():
            await entry.wire.close()
        for connections in list(self.connections_by_address.values()):
            kept, dropped = [], []
            for entry in connections.idle:
                old = now - entry.since >= MAX_IDLE_SECONDS
                (dropped if old or is_readable(entry.wire) else kept).append(entry)
            # In place: another list would let who takes one meanwhile take it twice.
            connections.idle[:] = kept
            for entry in dropped:
                await entry.wire.close()

    def _take_dropped(self) -> list[IdleWire]:
        dropped, self.dropped = self.dropped, []
        return dropped

    async def close(self) -> None:
        """Close every idle connection."""
        for entry in self._take_dropped():
            await entry.wire.close()
        for connections in self.connections_by_address.values():
            while connections.idle:
                await connections.idle.pop().wire.close()

    def _connections(self, address: Address) -> BackendConnections:
        connections = self.connections_by_address.get(address)
        if connections is None:
            connections = BackendConnections()
            self.connections_by_address[address] = connections
        return connections

    async def _take_idle(
        self, connections: BackendConnections, max_idle_seconds: float
    ) -> Wire | None:
        idle = connections.idle
        while idle:
            entry = idle[-1]
            if is_readable(entry.wire):
                idle.pop()
                await entry.wire.close()
                continue
            if trio.current_time() - entry.since < max_idle_seconds:
                idle.pop()
                return entry.wire
            break
        if idle and len(idle) + connections.in_use > connections.limit:
            await idle.pop(0).wire.close()
        return None


async def connect(address: Address, *, keeps_alive: bool = False) -> Wire | NotRun:
    """Open a connection."""
    family = trio.socket.AF_INET6 if ':' in address.host else trio.socket.AF_INET
    sock = trio.socket.socket(family)
    try:
        if keeps_alive:
            for option in KEEPALIVE_OPTIONS:
                sock.setsockopt(*option)
        with trio.move_on_after(CONNECT_SECONDS):
            await sock.connect((address.host, address.port))
            return client_wire(trio.SocketStream(sock))
    except OSError as error:
        sock.close()
        return NotRun(Reason.CONNECT_FAILED, str(error))
    except BaseException:
        sock.close()
        raise
    sock.close()
    return NotRun(Reason.CONNECT_FAILED, f'no connection in {CONNECT_SECONDS:g} s')


def ended_cleanly(wire: Wire) -> bool:
    """Tell whether both sides ended and no surplus bytes came."""
    codec = wire.codec
    if wire.is_spoiled:
        return False
    if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
        return False
    surplus, closed = codec.trailing_data
    return not surplus and not closed


def is_readable(wire: Wire) -> bool:
    """Tell whether an idle connection was closed or got surplus bytes."""
    return wire.stream.socket.is_readable()

"""A pool of connections to backend servers, limited in number and reused."""

import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum, unique

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
TRIM_INTERVAL_SECONDS = 5.0
# The largest home set by default, and one instance from an outdated address answer.
INSTANCES_PER_BACKEND = 6
DEFAULT_LIMIT = 50
MAX_WAITING = 100
#: TCP keep-alive: first probe after 1 s of silence, closed after two without an answer.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


log = logging.getLogger('pool')

#: Opens a connection to an address, with or without TCP keep-alive.
Connector = Callable[[Address, bool], Awaitable[Wire | NotRun]]


@unique
class Purpose(Enum):
    """Purpose for which a connection is acquired."""

    REQUEST = 'request'
    PROBE = 'probe'


@define
class IdleWire:
    """An idle connection and the trio time at which it became idle."""

    wire: Wire
    since: float


@define
class BackendConnections:
    """The connections from this instance to one backend server."""

    limit: int = DEFAULT_LIMIT
    in_use: int = 0
    idle: list[IdleWire] = Factory(list)
    waiters: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    async def acquire_slot(self) -> bool:
        """Wait in FIFO order for a connection slot; return false if too many wait."""
        if self.in_use < self.limit and not len(self.waiters):
            self.in_use += 1
            return True
        if len(self.waiters) >= MAX_WAITING:
            return False
        await self.waiters.park()
        return True

    def may_keep_idle(self) -> bool:
        """Return whether one more idle connection may be kept."""
        idle = len(self.idle)
        return idle < MAX_IDLE and idle + self.in_use <= self.limit

    def release_slot(self) -> None:
        """Release a slot and hand it to the request that has waited longest, if any."""
        self.in_use -= 1
        while len(self.waiters) and self.in_use < self.limit:
            self.in_use += 1
            self.waiters.unpark()


@define
class BackendPool:
    """A pool of connections to backend servers, by address."""

    #: Number of instances that share the connection limit of one backend server.
    count_instances: Callable[[], float] = lambda: INSTANCES_PER_BACKEND
    #: Whether TCP keep-alive detects lost servers, for answers that may take long.
    uses_keepalive: bool = False
    connections_by_address: dict[Address, BackendConnections] = Factory(dict)
    #: Idle connections that the next trim closes.
    dropped: list[IdleWire] = Factory(list)
    document: Document = Factory(Document)
    #: Opener of new connections.
    connect: Connector = field(factory=lambda: connect)
    #: Number of connections opened, by purpose.
    opened_by_purpose: Counter[Purpose] = Factory(Counter)

    def update(self, config: AcceptedConfig) -> None:
        """Apply the connection limits of a new configuration."""
        before, document = self.document, config.document
        difference = compare_documents(before, document)
        self.document = document
        backends = document.register.backends
        for name in difference.backends & before.register.backends.keys():
            old, new = before.register.backends[name], backends.get(name)
            if new is not None and new.incarnation != old.incarnation:
                self._drop_idle(Address(old.host, old.port))
        if difference.redefined:
            self.divide_limits()
            return
        self._limit(backends[name] for name in difference.backends if name in backends)

    def _drop_idle(self, address: Address) -> None:
        """Stop reusing the idle connections to a server that restarted."""
        connections = self.connections_by_address.get(address)
        if connections is not None:
            self.dropped.extend(connections.idle)
            connections.idle.clear()

    def divide_limits(self) -> None:
        """Divide the connection limit of every server among the current instances."""
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
        """Return whether another request would wait for a connection to a server."""
        connections = self._connections(address)
        return connections.in_use >= connections.limit

    def has_idle(self, address: Address) -> bool:
        """Return whether an idle connection to a server is open."""
        connections = self.connections_by_address.get(address)
        if connections is None or not connections.idle:
            return False
        return not is_readable(connections.idle[-1].wire)

    async def acquire(
        self,
        address: Address,
        max_idle_seconds: float = MAX_IDLE_SECONDS,
        purpose: Purpose = Purpose.REQUEST,
    ) -> Wire | NotRun:
        """Return an idle or new connection to a server, or why there is none.

        Only a connection that has been idle for less than max_idle_seconds is reused.
        """
        connections = self._connections(address)
        if not await connections.acquire_slot():
            return NotRun(Reason.CONNECTION_LIMIT, f'to {address}')
        try:
            wire = await self._acquire_idle(connections, max_idle_seconds)
            if wire is None:
                wire = await self.connect(address, self.uses_keepalive)
        except BaseException:
            connections.release_slot()
            raise
        if isinstance(wire, NotRun):
            connections.release_slot()
        elif not wire.is_reused:
            self.opened_by_purpose[purpose] += 1
        return wire

    async def release(self, address: Address, wire: Wire) -> None:
        """Keep a connection for reuse if its exchange ended cleanly, else close it.

        The close is shielded from cancellation.
        """
        connections = self._connections(address)
        try:
            if connections.may_keep_idle() and ended_cleanly(wire):
                wire.start_next_cycle()
                wire.is_reused = True
                connections.idle.append(IdleWire(wire, trio.current_time()))
            else:
                with trio.CancelScope(shield=True):
                    await wire.close()
        finally:
            connections.release_slot()

    async def run(self) -> None:
        """Update the limits and close unused connections regularly, until cancelled."""
        while True:
            await trio.sleep(TRIM_INTERVAL_SECONDS)
            self.divide_limits()
            await self.trim()

    async def trim(self) -> None:
        """Close connections that were idle too long or closed by their server."""
        now = trio.current_time()
        for entry in self._pop_dropped():
            await entry.wire.close()
        for connections in list(self.connections_by_address.values()):
            kept, dropped = [], []
            for entry in connections.idle:
                old = now - entry.since >= MAX_IDLE_SECONDS
                (dropped if old or is_readable(entry.wire) else kept).append(entry)
            # In place: with a new list, a connection that a request acquires meanwhile
            # could be acquired a second time.
            connections.idle[:] = kept
            for entry in dropped:
                await entry.wire.close()

    def _pop_dropped(self) -> list[IdleWire]:
        dropped, self.dropped = self.dropped, []
        return dropped

    async def close(self) -> None:
        """Close every idle connection."""
        for entry in self._pop_dropped():
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

    async def _acquire_idle(
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


async def connect(address: Address, uses_keepalive: bool = False) -> Wire | NotRun:
    """Open a connection to a backend server, or return why that failed."""
    family = trio.socket.AF_INET6 if ':' in address.host else trio.socket.AF_INET
    try:
        sock = trio.socket.socket(family)
    except OSError as error:
        # This instance lacks descriptors or memory; the server is not at fault.
        log.warning('pool: no socket for a connection to %s. error=%s', address, error)
        return NotRun(Reason.CONNECTION_LIMIT, str(error))
    try:
        if uses_keepalive:
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
    """Return whether request and answer are complete without surplus bytes.

    A server may answer before the whole request is written to it.
    """
    codec = wire.codec
    if wire.must_close or wire.has_unwritten:
        return False
    if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
        return False
    surplus, closed = codec.trailing_data
    return not surplus and not closed


def is_readable(wire: Wire) -> bool:
    """Return whether an idle connection was closed or received surplus bytes."""
    return wire.stream.socket.is_readable()

"""Sharing of load reports between the instances of a zone as they arrive.

Each report goes to every instance of the zone in a datagram within a few
milliseconds, so that all choose from the reports that any of them received. A lost
datagram does no harm.
"""

import logging
import socket
from collections.abc import Callable

import orjson
import trio
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.models import Address
from catkinslip.routing.base import BackendLoad, LoadReport
from catkinslip.routing.directory import Directory

#: Seconds for which reports are gathered into one datagram.
FLUSH_SECONDS = 0.008
#: Seconds between two reads of the socket; datagrams that arrive meanwhile are
#: applied together.
RECEIVE_SECONDS = 0.001
#: Each takes about 40 bytes; a datagram stays below one packet of 1,500 bytes.
MAX_REPORTS = 30
#: The payload of a UDP datagram in one packet of 1,500 bytes.
MAX_DATAGRAM_BYTES = 1472
#: Older reports are not sent, as a server's speed changes many times a second.
MAX_REPORT_AGE_SECONDS = 0.05
#: A request sent at least this long before a report is counted in the report.
REQUEST_TRANSIT_SECONDS = 0.002
READ_ERRORS = (
    orjson.JSONDecodeError,
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

log = logging.getLogger('health')


def all_servers(loads: list[BackendLoad]) -> list[BackendLoad]:
    """Return all servers."""
    return loads


@define
class ReportSharer:
    """Exchange of new reports with the other instances of the zone."""

    own_address: Address
    #: Returns the addresses of the other instances of the zone.
    targets: Callable[[], list[Address]]
    directory: Directory
    clock: Clock
    #: Returns the servers of which this instance may report: failures of its own paths
    #: say nothing of servers.
    reportable: Callable[[list[BackendLoad]], list[BackendLoad]] = all_servers
    #: Servers with a change to send, by backend ID.
    load_by_id: dict[str, BackendLoad] = Factory(dict)
    #: Set while there are changes to send.
    has_updates: trio.Event = Factory(trio.Event)
    #: Handlers of datagrams without reports, by the key of their topic.
    handler_by_topic: dict[str, Callable[[dict], None]] = Factory(dict)
    #: Number of datagrams sent.
    sent: int = 0
    #: Number of received reports of known servers, including those not newer than
    #: the local ones.
    received: int = 0
    #: Number of datagrams that could not be read.
    malformed: int = 0
    _socket: socket.socket | None = field(default=None, init=False)

    def queue_load(self, load: BackendLoad) -> None:
        """Queue a server whose load or local requests changed for the next datagram."""
        self.load_by_id[load.backend_id] = load
        self.has_updates.set()

    async def run(self) -> None:
        """Send and receive datagrams until cancelled.

        Raises OSError if the UDP address cannot be bound.
        """
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self.own_address.host, self.own_address.port))
            self._socket = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send)

    async def _send(self) -> None:
        while True:
            await self.has_updates.wait()
            await trio.sleep(FLUSH_SECONDS)
            self.has_updates = trio.Event()
            data = self.encode()
            if data is not None:
                self.send_datagram(data, self.targets())

    def send_datagram(self, data: bytes, addresses: list[Address]) -> None:
        """Send a datagram to several instances; a failure is only logged."""
        if self._socket is None:
            # Nothing is sent before the address is bound, or after it is closed.
            return
        for address in addresses:
            try:
                self._socket.sendto(data, (address.host, address.port))
                self.sent += 1
            except OSError as error:
                # The next report follows within milliseconds.
                log.debug('health: datagram not sent. to=%s error=%r', address, error)

    def encode(self) -> bytes | None:
        """Return the queued changes as a datagram; None if there is nothing to send."""
        now = self.clock.monotonic()
        loads = self.reportable(list(self.load_by_id.values())[:MAX_REPORTS])
        self.load_by_id.clear()
        silent = [[load.backend_id, load.start_tag] for load in loads if load.is_silent]
        reports = [
            [
                load.backend_id,
                load.start_tag,
                load.reported_in_flight + load.selections_since_report,
                load.speed,
                round((now - load.reported_at) * 1e3),
                round(max(0.0, load.reported_cold_until - now) * 1e3),
            ]
            for load in loads
            if load.report is not None
            and now - load.reported_at < MAX_REPORT_AGE_SECONDS
        ]
        if not reports and not silent:
            return None
        return orjson.dumps({'reports': reports, 'silent': silent})

    async def _receive(self, sock: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            self._receive_all(sock)
            await trio.sleep(RECEIVE_SECONDS)

    def _receive_all(self, sock: socket.socket) -> None:
        """Apply every datagram that has arrived."""
        while True:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log.debug('health: datagram not received. error=%r', error)
                return
            self.apply_datagram(data)

    def apply_datagram(self, data: bytes) -> None:
        """Apply the reports of a datagram that are newer than the local ones.

        Other topics go to their handlers. An unreadable datagram is counted and logged.
        """
        now = self.clock.monotonic()
        try:
            message = orjson.loads(data)
            if 'reports' not in message:
                self._handle_topic(message)
                return
            for each in message['reports']:
                # Earlier versions send no remaining cold time.
                backend_id, start, in_flight, speed, age_ms, *more = each
                report = LoadReport(float(in_flight), float(speed))
                at = now - max(0.0, age_ms) / 1e3
                cold_seconds = float(more[0]) / 1e3 if more else 0.0
                self._apply_report(str(backend_id), start, report, at, cold_seconds)
            for backend_id, start in message['silent']:
                self._apply_silence(str(backend_id), start, now)
        except READ_ERRORS as error:
            self.malformed += 1
            log.warning('health: datagram not readable. error=%r', error)

    def _handle_topic(self, message: dict) -> None:
        for topic, handle in self.handler_by_topic.items():
            if topic in message:
                handle(message)
                return
        raise ValueError(f'datagram has no known topic, its keys are {sorted(message)}')

    def _apply_silence(self, backend_id: str, start: int, now: float) -> None:
        router = self.directory.find_router_of_start(backend_id, start)
        if router is not None:
            router.apply_peer_silence(backend_id, now)

    def _apply_report(
        self,
        backend_id: str,
        start: int,
        report: LoadReport,
        at: float,
        cold_seconds: float,
    ) -> None:
        router = self.directory.find_router_of_start(backend_id, start)
        if router is None:
            return
        load = router.load_by_id[backend_id]
        in_report = load.selected_at < at - REQUEST_TRANSIT_SECONDS
        picks_before = load.selections_since_report if in_report else 0
        router.record_report(backend_id, report, at, picks_before)
        now = self.clock.monotonic()
        router.cold.mark_cold(load, cold_seconds, now, 'reported by another instance')
        self.received += 1

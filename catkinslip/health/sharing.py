"""Tell the other instances of the zone what servers report, as it comes in.

A report goes to every instance of the zone in a datagram within a few milliseconds,
so that they all choose from what any of them learned. A lost datagram does no harm.
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

#: Reports of this time go out together.
FLUSH_SECONDS = 0.008
#: Datagrams of this time are taken together.
TAKE_SECONDS = 0.001
#: Some 40 bytes each; a datagram stays below one packet of 1,500 bytes.
MAX_REPORTS = 30
MAX_DATAGRAM_BYTES = 1472
#: An older report says little of a server whose speed changes many times a second.
OLDEST_SECONDS = 0.05
#: A request sent this much before a report is in it.
ON_THE_WAY_SECONDS = 0.002
READ_ERRORS = (orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError)

log = logging.getLogger('health')


@define
class ReportSharer:
    """Send new reports to the instances of the zone, and take theirs."""

    own: Address
    targets: Callable[[], list[Address]]
    directory: Directory
    clock: Clock
    load_by_id: dict[str, BackendLoad] = Factory(dict)
    has_news: trio.Event = Factory(trio.Event)
    #: Takes a datagram that tells of something else, by what it tells.
    take_by_topic: dict[str, Callable[[dict], None]] = Factory(dict)
    sent: int = 0
    taken: int = 0
    malformed: int = 0
    _socket: socket.socket | None = field(default=None, init=False)

    def note(self, load: BackendLoad) -> None:
        """Take note of a server whose load or own requests changed."""
        self.load_by_id[load.backend_id] = load
        self.has_news.set()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self.own.host, self.own.port))
            self._socket = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send)

    async def _send(self) -> None:
        while True:
            await self.has_news.wait()
            await trio.sleep(FLUSH_SECONDS)
            self.has_news = trio.Event()
            data = self.encode()
            if data is not None:
                self.post(data, self.targets())

    def post(self, data: bytes, addresses: list[Address]) -> None:
        """Send a datagram to several instances."""
        for address in addresses:
            try:
                self._socket.sendto(data, (address.host, address.port))
                self.sent += 1
            except OSError as error:
                # The next report is on its way within milliseconds.
                log.debug('health: no datagram sent. to=%s error=%r', address, error)

    def encode(self) -> bytes | None:
        """Return the fresh reports as a datagram; None if there are none."""
        now = self.clock.monotonic()
        loads = list(self.load_by_id.values())[:MAX_REPORTS]
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
            if load.report is not None and now - load.reported_at < OLDEST_SECONDS
        ]
        if not reports and not silent:
            return None
        return orjson.dumps({'reports': reports, 'silent': silent})

    async def _receive(self, sock: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            self._take_all(sock)
            await trio.sleep(TAKE_SECONDS)

    def _take_all(self, sock: socket.socket) -> None:
        """Take over every datagram that has come."""
        while True:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log.debug('health: no report received. error=%r', error)
                return
            self.take(data)

    def take(self, data: bytes) -> None:
        """Take over the reports of a datagram that are newer than the own ones."""
        now = self.clock.monotonic()
        try:
            told = orjson.loads(data)
            if 'reports' not in told:
                self._take_other(told)
                return
            for each in told['reports']:
                # An earlier program tells nothing of cold servers.
                backend_id, start, in_flight, speed, age_ms, *more = each
                report = LoadReport(float(in_flight), float(speed))
                at = now - max(0.0, age_ms) / 1e3
                cold_seconds = float(more[0]) / 1e3 if more else 0.0
                self._learn(str(backend_id), start, report, at, cold_seconds)
            for backend_id, start in told['silent']:
                self._learn_silence(str(backend_id), start, now)
        except READ_ERRORS as error:
            self.malformed += 1
            log.warning('health: a datagram cannot be read. error=%r', error)

    def _take_other(self, told: dict) -> None:
        for topic, take in self.take_by_topic.items():
            if topic in told:
                take(told)
                return
        raise ValueError(f'a datagram tells of {sorted(told)}')

    def _learn_silence(self, backend_id: str, start: int, now: float) -> None:
        router = self.directory.find_router_of_start(backend_id, start)
        if router is not None:
            router.apply_peer_silence(backend_id, now)

    def _learn(
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
        in_report = load.selected_at < at - ON_THE_WAY_SECONDS
        picks_before = load.selections_since_report if in_report else 0
        router.record_report(backend_id, report, at, picks_before)
        now = self.clock.monotonic()
        router.cold.mark_cold(load, cold_seconds, now, 'another instance tells')
        self.taken += 1

"""Instances of a small platform that are partitioned from all servers."""

import socket
from collections import Counter
from enum import Enum, auto, unique

import httpx
import trio
from attrs import Factory, define

from catkinslip.models import Address
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import CONNECT_SECONDS, connect
from catkinslip.proxy.wire import Wire
from tests.small_platform import SmallPlatform

#: Seconds from the start of a partition after which the platform judges it.
STABILITY_SECONDS = 3.0
STEP_SECONDS = 0.02
#: Seconds between two requests of the callers of one instance.
REQUEST_SECONDS = 0.1


@unique
class Cut(Enum):
    """How a partition shows itself to an instance."""

    NONE = auto()
    #: No packet arrives, in either direction.
    SILENT = auto()
    #: Open connections are reset and new ones are refused.
    RESET = auto()
    #: Open connections live on and new ones are refused.
    NEW_REFUSED = auto()


@define(eq=False)
class CuttableStream(trio.abc.Stream):
    """A connection whose bytes are lost while its links are silent."""

    stream: trio.SocketStream
    links: 'Links'

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection."""
        return self.stream.socket

    async def send_all(self, data: bytes) -> None:
        if self.links.cut is Cut.SILENT:
            await trio.lowlevel.checkpoint()
            return
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self.stream.receive_some(max_bytes)
        await self.links.wait_until_heard()
        return data

    async def aclose(self) -> None:
        await self.stream.aclose()


@define
class Links:
    """The paths from one instance to all servers."""

    cut: Cut = Cut.NONE
    streams: list[CuttableStream] = Factory(list)

    def start(self, cut: Cut) -> None:
        """Begin a partition, or end it with `Cut.NONE`."""
        self.cut = cut
        if cut is Cut.RESET:
            for stream in self.streams:
                reset(stream)
            self.streams.clear()

    async def wait_until_heard(self) -> None:
        """Wait until the links are silent no more."""
        while self.cut is Cut.SILENT:
            await trio.sleep(STEP_SECONDS)

    async def connect(self, address: Address, uses_keepalive: bool) -> Wire | NotRun:
        """Open a connection unless the paths are cut."""
        if self.cut is Cut.SILENT:
            await trio.sleep(CONNECT_SECONDS)
            return NotRun(Reason.CONNECT_FAILED, 'no connection in time')
        if self.cut is not Cut.NONE:
            await trio.lowlevel.checkpoint()
            return NotRun(Reason.CONNECT_FAILED, 'connection refused')
        wire = await connect(address, uses_keepalive)
        if isinstance(wire, Wire):
            wire.stream = CuttableStream(wire.stream, self)
            self.streams.append(wire.stream)
        return wire


@define
class FirstTries:
    """Requests of callers that do not retry, by the instance that got them."""

    sent: Counter[int] = Factory(Counter)
    served: Counter[int] = Factory(Counter)
    #: Statuses, with the reason of a refusal.
    statuses: Counter[tuple[int, str]] = Factory(Counter)

    def share(self, entries: list[int]) -> float:
        """Return the share of the requests at some instances that was served."""
        sent = sum(self.sent[entry] for entry in entries)
        return sum(self.served[entry] for entry in entries) / max(1, sent)


@define
class PartitionedPlatform:
    """A platform of two availability zones whose instances can be partitioned."""

    platform: SmallPlatform
    links_by_entry: list[Links] = Factory(list)
    numbers: int = 0

    async def start(self, zones: tuple[str, ...], servers: int = 6) -> None:
        """Start servers in two zones and an instance for each name of a zone."""
        self.platform.zones = 'zone-a = "region-1"\nzone-b = "region-1"'
        for number in range(servers):
            zone = f'zone-{"ab"[number % 2]}'
            await self.platform.add_worker(
                f'i-{number}', zone=zone, work_seconds=0.03, slots=4
            )
        # One route is split among two services.
        await self.platform.add_worker('j-0', 'two', work_seconds=0.03, slots=4)
        await self.platform.add_worker('j-1', 'two', zone='zone-b', slots=4)
        for zone in zones:
            seed = 0 if self.platform.entries else None
            entry = await self.platform.add_entry(seed, zone)
            links = Links()
            entry.pool.connect = links.connect
            self.links_by_entry.append(links)

    def cut(self, entries: list[int], how: Cut) -> None:
        """Begin or end the partition of some instances."""
        for entry in entries:
            self.links_by_entry[entry].start(how)

    async def lose(self, entry: int, how: Cut = Cut.RESET) -> None:
        """Partition an instance and let it find that all servers of `one` fail."""
        self.cut([entry], how)
        reach = self.platform.entries[entry].reach
        while not reach.is_lost('one'):
            for worker_id in self.platform.worker_by_id:
                if worker_id.startswith('i-'):
                    reach.record_failure('one', worker_id)
            await trio.sleep(STEP_SECONDS)

    async def send_for(self, seconds: float) -> FirstTries:
        """Send requests to all instances for some seconds and count the answers."""
        tries = FirstTries()
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for entry in range(len(self.platform.entries)):
                    self.numbers += 1
                    nursery.start_soon(self._send, entry, self.numbers, tries)
                await trio.sleep(REQUEST_SECONDS)
        return tries

    async def _send(self, entry: int, number: int, tries: FirstTries) -> None:
        tries.sent[entry] += 1
        request_id = f'r{number}'
        method, path = ('POST', '/p/x') if number % 3 == 0 else ('GET', '/q/x')
        try:
            answer = await self.platform.send(method, path, entry, request_id)
        except httpx.HTTPError:
            tries.statuses[entry, 'cut'] += 1
            return
        tries.statuses[entry, status_of(answer)] += 1
        tries.served[entry] += answer.status_code == 200

    def runs_twice(self) -> list[str]:
        """Return the requests that may run once and ran more often."""
        return [
            request_id
            for number in range(3, self.numbers + 1, 3)
            if self.platform.runs(request_id := f'r{number}') > 1
        ]


def status_of(answer: httpx.Response) -> str:
    """Return the status of an answer, with the reason if it is a refusal."""
    reason = '' if answer.is_success else f', {answer.text.strip()}'
    return f'{answer.status_code}{reason}'


def reset(stream: CuttableStream) -> None:
    """End a connection at once for both sides."""
    try:
        stream.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection ended before.
        return

"""A small load tool: closed-loop callers, counted answers, latencies."""

import itertools
import json

import h11
import trio
from attrs import Factory, define
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS)


@define
class Tally:
    """What callers were told."""

    right: int = 0
    wrong: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    ids_by_outcome: dict[str, list[str]] = Factory(dict)
    histogram: HdrHistogram = Factory(new_histogram)

    def count(self, outcome: str, request_id: str) -> None:
        """Count one request."""
        setattr(self, outcome, getattr(self, outcome) + 1)
        self.ids_by_outcome.setdefault(outcome, []).append(request_id)


@define
class LoadCaller:
    """Ask for addresses, keep the answer a while, and send requests."""

    name: str
    service: str
    ask: list[str]
    tally: Tally
    method: str = 'GET'
    lifetime: float = 1.0
    numbers: itertools.count = Factory(itertools.count)
    addresses: list[str] = Factory(list)
    asked_at: float = -1e9
    stream: trio.SocketStream | None = None
    codec: h11.Connection | None = None

    async def run(self, seconds: float, pause: float = 0.0) -> None:
        """Send requests one after another for some seconds."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await self.send_one()
            await trio.sleep(pause)
        await self.disconnect()

    async def send_one(self) -> None:
        """Send one request and count how it ended."""
        number = next(self.numbers)
        request_id = f'{self.name}-{number}'
        began = trio.current_time()
        try:
            await self.connect(number)
            status, headers, body = await self.exchange(request_id)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            await self.disconnect()
            self.tally.count('cut', request_id)
            return
        micros = int((trio.current_time() - began) * 1e6)
        self.tally.histogram.record_value(max(1, micros))
        self.tally.count(judge(status, headers, body, request_id), request_id)

    async def connect(self, number: int) -> None:
        """Connect to one of the service's addresses."""
        now = trio.current_time()
        if now - self.asked_at > self.lifetime:
            self.addresses = await self.ask_addresses(number)
            self.asked_at = now
            await self.disconnect()
        if self.stream is not None:
            return
        index = (hash_of(self.name) + number) % len(self.addresses)
        await self.open(self.addresses[index])

    async def ask_addresses(self, number: int) -> list[str]:
        """Ask the instances in turn until one answers."""
        for offset in range(len(self.ask)):
            try:
                await self.disconnect()
                await self.open(self.ask[(number + offset) % len(self.ask)])
                path = f'/.well-known/catkinslip/addresses/{self.service}'
                _, _, body = await self.request('GET', path, [], b'')
                return json.loads(body)['addresses']
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                continue
        raise OSError('no instance answers')

    async def open(self, address: str) -> None:
        """Open a connection."""
        host, _, port = address.rpartition(':')
        self.stream = await trio.open_tcp_stream(host, int(port))
        self.stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        self.codec = h11.Connection(h11.CLIENT)

    async def disconnect(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await trio.aclose_forcefully(self.stream)
        self.stream = None

    async def exchange(self, request_id: str):
        """Send one request with a body that names it."""
        headers = [
            ('catkinslip-service', self.service),
            ('catkinslip-request-id', request_id),
        ]
        body = b'' if self.method == 'GET' else request_id.encode()
        path = f'/{self.service}/{request_id}'
        return await self.request(self.method, path, headers, body)

    async def request(self, method: str, path: str, headers, body: bytes):
        """Send a request and return status, headers and body of the answer."""
        codec = self.codec
        headers = [('host', self.service), *headers]
        if body:
            headers.append(('content-length', str(len(body))))
        events = [h11.Request(method=method, target=path, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self.stream.send_all(b''.join(codec.send(each) for each in events))
        answer = await self.receive()
        if codec.our_state is h11.DONE and codec.their_state is h11.DONE:
            codec.start_next_cycle()
        else:
            await self.disconnect()
        return answer

    async def receive(self):
        """Read one answer."""
        response, body = None, b''
        while True:
            event = self.codec.next_event()
            if event is h11.NEED_DATA:
                self.codec.receive_data(await self.stream.receive_some(65536))
            elif type(event) is h11.Response:
                response = event
            elif type(event) is h11.Data:
                body += bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                return response.status_code, dict(response.headers), body
            elif type(event) is h11.ConnectionClosed:
                raise h11.RemoteProtocolError('closed before the answer ended')


def judge(status: int, headers: dict, body: bytes, request_id: str) -> str:
    """Return the name of an answer's outcome."""
    told = headers.get(b'catkinslip-outcome')
    if told == b'not-run':
        return 'not_run'
    if told == b'unknown':
        return 'unknown'
    if status != 200:
        return 'wrong'
    answer = json.loads(body)
    sound = answer['request_id'] == request_id and answer['path'].endswith(request_id)
    return 'right' if sound else 'wrong'


def hash_of(name: str) -> int:
    """Return a number for a name, the same in every run."""
    return sum(name.encode())

"""Closed-loop load generator that counts outcomes and records latencies."""

import itertools
import json
import math

import h11
import trio
from attrs import Factory, define
from hdrh.histogram import HdrHistogram

from standins.ledgers import SentRequest

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 60_000_000
DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, DIGITS)


@define
class Tally:
    """Sent requests, number of requests by outcome, and latencies."""

    right: int = 0
    wrong: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    sent_requests: list[SentRequest] = Factory(list)
    histogram: HdrHistogram = Factory(new_histogram)

    def count(self, sent_request: SentRequest, outcome: str) -> None:
        """Record the outcome of a request."""
        sent_request.outcome = outcome
        setattr(self, outcome, getattr(self, outcome) + 1)

    def ids_with_outcome(self, outcome: str) -> set[str]:
        """Return the IDs of the requests with an outcome."""
        return {
            each.request_id for each in self.sent_requests if each.outcome == outcome
        }


@define
class LoadCaller:
    """Caller that fetches and caches a service's addresses and sends requests."""

    name: str
    service: str
    instance_addresses: list[str]
    tally: Tally
    method: str = 'GET'
    lifetime: float = 1.0
    #: Caller timeout in seconds; the caller then disconnects.
    caller_timeout: float = math.inf
    numbers: itertools.count = Factory(itertools.count)
    addresses: list[str] = Factory(list)
    prefix_by_address: dict[str, str] = Factory(dict)
    fetched_at: float = -1e9
    address: str = ''
    stream: trio.SocketStream | None = None
    codec: h11.Connection | None = None

    async def run(self, seconds: float, pause: float = 0.0) -> None:
        """Send requests one after another for a number of seconds."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await self.send_one()
            await trio.sleep(pause)
        await self.disconnect()

    async def send_one(self) -> None:
        """Send one request and record its outcome."""
        number = next(self.numbers)
        request_id = f'{self.name}-{number}'
        sent_request = SentRequest(request_id, repeatable=self.method == 'GET')
        await self.send(sent_request, number, request_id)

    async def send(self, sent_request: SentRequest, number: int, subject: str) -> None:
        """Send a request with a subject in its path and record the outcome."""
        self.tally.sent_requests.append(sent_request)
        began = trio.current_time()
        try:
            with trio.fail_after(self.caller_timeout):
                await self.connect(number)
                status, headers, body = await self.exchange(sent_request, subject)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            h11.RemoteProtocolError,
        ):
            await self.disconnect()
            self.tally.count(sent_request, 'cut')
            return
        micros = int((trio.current_time() - began) * 1e6)
        self.tally.histogram.record_value(max(1, micros))
        outcome = classify_answer(status, headers)
        if outcome == 'right':
            outcome = self.read_answer(sent_request, subject, body)
        self.tally.count(sent_request, outcome)

    def read_answer(self, sent_request: SentRequest, subject: str, body: bytes) -> str:
        """Record the answer's request ID; return `wrong` if it is another request's."""
        answer = json.loads(body)
        sent_request.answered_id = answer['request_id']
        is_expected = answer['path'] == self.path_of(subject)
        is_expected = is_expected and self.is_expected_id(sent_request)
        return 'right' if is_expected else 'wrong'

    def is_expected_id(self, sent_request: SentRequest) -> bool:
        """Return whether the answer carries the ID of the request."""
        return sent_request.answered_id == sent_request.request_id

    def path_of(self, subject: str) -> str:
        """Return the path of a request with a subject."""
        return f'/{self.service}/{subject}'

    async def connect(self, number: int) -> None:
        """Connect to one of the service's addresses; refresh them when they expired."""
        now = trio.current_time()
        if now - self.fetched_at > self.lifetime:
            self.addresses = await self.fetch_addresses(number)
            self.fetched_at = now
            await self.disconnect()
        if self.stream is not None:
            return
        index = (hash_of(self.name) + number) % len(self.addresses)
        await self.open(self.addresses[index])

    async def fetch_addresses(self, number: int) -> list[str]:
        """Return the service's addresses from the first instance that answers."""
        for offset in range(len(self.instance_addresses)):
            try:
                await self.disconnect()
                await self.open(
                    self.instance_addresses[
                        (number + offset) % len(self.instance_addresses)
                    ]
                )
                path = f'/.well-known/catkinslip/addresses/{self.service}'
                _, _, body = await self.request('GET', path, [], b'')
                answer = json.loads(body)
                self.prefix_by_address = answer['key_prefix_by_address']
                return answer['addresses']
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                continue
        raise OSError('no instance answered the address request')

    async def open(self, address: str) -> None:
        """Open a connection to an address."""
        self.address = address
        host, _, port = address.rpartition(':')
        self.stream = await trio.open_tcp_stream(host, int(port))
        self.stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        self.codec = h11.Connection(h11.CLIENT)

    async def disconnect(self) -> None:
        """Close the connection if one is open."""
        if self.stream is not None:
            await trio.aclose_forcefully(self.stream)
        self.stream = None

    async def exchange(self, sent_request: SentRequest, subject: str):
        """Send one request and return its answer; a body holds the subject."""
        headers = [
            ('catkinslip-service', self.service),
            ('catkinslip-request-id', sent_request.request_id),
        ]
        if sent_request.key:
            headers.append(('idempotency-key', sent_request.key))
        body = b'' if self.method == 'GET' else subject.encode()
        return await self.request(self.method, self.path_of(subject), headers, body)

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
        """Return status, headers and body of the next answer."""
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


@define
class ResendingCaller(LoadCaller):
    """Caller that resends a keyed request elsewhere until the outcome is known."""

    method: str = 'POST'
    #: Whether the caller makes its own keys: the platform records those, the home
    #: instance records others.
    has_own_keys: bool = False
    max_attempts: int = 3
    ids: list[str] = Factory(list)

    async def send_one(self) -> None:
        """Send one request, up to `max_attempts` times."""
        self.ids = []
        key = subject = ''
        for _ in range(self.max_attempts):
            number = next(self.numbers)
            subject = subject or f'{self.name}-{number}'
            key = key or await self.new_key(number, subject)
            if not key:
                return
            self.ids.append(f'{self.name}-{number}')
            sent_request = SentRequest(self.ids[-1], key, repeatable=False)
            await self.send(sent_request, number, subject)
            if sent_request.outcome not in ('unknown', 'cut'):
                return
            await self.disconnect()

    async def new_key(self, number: int, subject: str) -> str:
        """Return a new key, or an empty string if no instance is reachable."""
        if self.has_own_keys:
            return subject
        try:
            with trio.fail_after(self.caller_timeout):
                await self.connect(number)
        except (OSError, trio.TooSlowError):
            await self.disconnect()
            return ''
        return f'{self.prefix_by_address[self.address]}.{subject}'

    def is_expected_id(self, sent_request: SentRequest) -> bool:
        """Return whether the answer carries the ID of one of the attempts."""
        return sent_request.answered_id in self.ids


def classify_answer(status: int, headers: dict) -> str:
    """Return the outcome of an answer as a field name of `Tally`."""
    outcome = headers.get(b'catkinslip-outcome')
    if outcome == b'not-run':
        return 'not_run'
    if outcome == b'unknown':
        return 'unknown'
    return 'right' if status == 200 else 'wrong'


def hash_of(name: str) -> int:
    """Return a hash of a name that is the same in every run."""
    return sum(name.encode())

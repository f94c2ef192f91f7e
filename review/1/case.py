"""UNASKED: the end of a long body is dropped, and another request takes its place.

A client uploads a body in chunks. The worker answers before it has read the body, keeps
the connection and reads on later, as the pages allow. The body is as long as what the
connection to the worker takes meanwhile, so that only its end, `0 CR LF CR LF`, is not
yet written when the answer comes.
"""

import asyncio
import re
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
    CannotRunError,
    Client,
    Instance,
    Record,
    Store,
    configuration,
    message,
    play,
)

CHUNK_BYTES = 60_000
#: A body that no connection takes while the worker reads nothing.
MOST_CHUNKS = 200
#: Size of the chunks without the disruption, when nothing is measured.
CALM_CHUNKS = [CHUNK_BYTES, CHUNK_BYTES, 32_000]
#: Pause after each chunk, so that the instance passes on one chunk at a time.
PAUSE_SECONDS = 0.01
#: Time until the worker answers, in which it reads nothing of the body.
EARLY_ANSWER_SECONDS = 1.0
#: Time after its answer until the worker reads on.
READ_ON_SECONDS = 0.6
#: Requests sent after an upload, any of which may take the connection.
FOLLOWING = 4
ATTEMPTS = 12
ATTEMPTS_FOR_EACH_MEASUREMENT = 3
#: A measurement is made again where the instance passed on parts of chunks, as it may
#: on a busy machine.
MEASUREMENTS = 6
CALM_ATTEMPTS = 3
SERVICE = 'suivi-bagages'
ROUTES = [
    {
        'name': 'recu-depot',
        'host': 'a.example',
        'path_prefix': '/recu/',
        'service': SERVICE,
        'kind': 'non_idempotent',
        'timeout_s': 2.0,
        'target_latency_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
    },
    {
        'name': 'statut-sac',
        'host': 'a.example',
        'path_prefix': '/statut/',
        'service': SERVICE,
        'kind': 'idempotent',
        'timeout_s': 1.5,
        'target_latency_s': 0.4,
        'max_attempts': 2,
        'priority': 2,
    },
]


class Behaviour:
    """What all workers do with uploads, and what they have seen."""

    def __init__(self, *, is_early: bool) -> None:
        self.is_early = is_early
        #: Whether an upload is only measured, and its connection closed.
        self.measures = False
        self.is_waiting = threading.Event()
        self.may_measure = threading.Event()
        self.measured: list[bytes] = []
        #: What came where the rest of a body was due.
        self.foreign: list[bytes] = []


class EarlyWorker:
    """A worker that answers before it has read a long body, and reads on later."""

    def __init__(
        self, name: str, record: Record, store: Store, behaviour: Behaviour
    ) -> None:
        self.name, self.record, self.behaviour = name, record, behaviour
        self.sock = socket.create_server((HOST, 0))
        port = self.sock.getsockname()[1]
        info = {'service': SERVICE, 'version': 'v1', 'zone': 'zone-a', 'slots': 4}
        status = {'state': 'ready', 'seq': 1, 'cold_left_s': 0.0}
        store.put('servers', name, {'addr': f'{HOST}:{port}', 'info': info}, status)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            while self._serve_request(sock):
                pass
        except OSError as error:
            self.record.write(f'worker {self.name}: a connection ended, {error}')
        finally:
            sock.close()

    def _serve_request(self, sock: socket.socket) -> bool:
        head = read_exact_head(sock)
        if head is None:
            return False
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines if line)
        if first.startswith('GET /healthz'):
            sock.sendall(message('HTTP/1.1 200 OK', self._fields()))
            return True
        request_id = headers['request-id']
        self.record.write(f'worker {self.name}: gets {first}, id {request_id}')
        if 'chunked' in headers.get('transfer-encoding', ''):
            return self._serve_upload(sock, request_id)
        self._answer(sock, request_id)
        return True

    def _serve_upload(self, sock: socket.socket, request_id: str) -> bool:
        if self.behaviour.is_early:
            time.sleep(EARLY_ANSWER_SECONDS)
            if self.behaviour.measures:
                self._measure(sock)
                return False
            self._answer(sock, request_id)
            text = f'answered {request_id} early, reads on later'
            self.record.write(f'worker {self.name}: {text}')
            time.sleep(READ_ON_SECONDS)
        sock.settimeout(1.0)
        size, rest = read_chunks(sock)
        if rest:
            self.behaviour.foreign.append(rest)
            text = f'after {size} bytes of the body of {request_id} comes {rest}'
            self.record.write(f'worker {self.name}: {text}')
            return False
        text = f'has read all {size} bytes of the body of {request_id}'
        self.record.write(f'worker {self.name}: {text}')
        if not self.behaviour.is_early:
            self._answer(sock, request_id)
        sock.settimeout(None)
        return True

    def _measure(self, sock: socket.socket) -> None:
        self.behaviour.is_waiting.set()
        self.behaviour.may_measure.wait()
        self.behaviour.measured.append(read_available(sock))

    def _answer(self, sock: socket.socket, request_id: str) -> None:
        fields = {
            'Request-Id': request_id,
            'Response-Signature': f'signed.{request_id}',
            **self._fields(),
        }
        sock.sendall(message('HTTP/1.1 200 OK', fields, b'done'))

    def _fields(self) -> dict[str, str]:
        return {'Server-Load': '0,0,4,100', 'Instance-Id': self.name}


def read_exact_head(sock: socket.socket) -> bytes | None:
    """Read the head of a request and nothing behind it; None at the end."""
    while True:
        data = sock.recv(16384, socket.MSG_PEEK)
        if not data:
            return None
        end = data.find(b'\r\n\r\n')
        if end >= 0:
            return sock.recv(end + 4)
        time.sleep(0.001)


def read_chunks(sock: socket.socket) -> tuple[int, bytes]:
    """Read a body in chunks; return its size and what came in place of its rest.

    A connection that ends, or on which nothing comes for a second, is no fault here.
    """
    file = sock.makefile('rb', buffering=0)
    size = 0
    while True:
        line = read_line(file)
        if re.fullmatch(rb'[0-9a-fA-F]+\r\n', line) is None:
            return size, line
        length = int(line, 16)
        left = length
        while left:
            data = file.read(left)
            if not data:
                return size, b''
            left -= len(data)
        size += length
        end = read_line(file)
        if end != b'\r\n' or not length:
            return size, b'' if end == b'\r\n' else end


def read_line(file: socket.SocketIO) -> bytes:
    """Read one line; return nothing if the stream ends or rests within it."""
    line = b''
    try:
        while not line.endswith(b'\n'):
            byte = file.read(1)
            if not byte:
                return b''
            line += byte
    except TimeoutError:
        return b''
    return line


def read_available(sock: socket.socket) -> bytes:
    """Read what the other side has written so far."""
    sock.settimeout(0.5)
    parts = []
    try:
        while data := sock.recv(1 << 20):
            parts.append(data)
    except TimeoutError:
        pass
    return b''.join(parts)


async def case(
    record: Record, folder: Path, instances: list[Instance], *, has_trouble: bool
) -> bool:
    """Upload bodies of which the connection to the worker takes all but the end."""
    store = Store()
    await store.start()
    store.put('config', 'main', configuration(ROUTES, [SERVICE]))
    behaviour = Behaviour(is_early=has_trouble)
    for number in range(2):
        EarlyWorker(f'i-{number}', record, store, behaviour)
    measured = Instance('edge-0', folder, store, record)
    instance = Instance('edge-1', folder, store, record, measured.address('control'))
    instances += [measured, instance]
    for each in instances:
        each.start()
    for each in instances:
        await each.wait_ready()
    sizes = CALM_CHUNKS
    for number in range(ATTEMPTS if has_trouble else CALM_ATTEMPTS):
        if has_trouble and number % ATTEMPTS_FOR_EACH_MEASUREMENT == 0:
            sizes = await measure_chunks(measured, behaviour, record, number)
        await attempt(instance, record, sizes, number)
        if behaviour.foreign:
            record.write(f'broken in attempt {number + 1}')
            return False
    return True


async def measure_chunks(
    instance: Instance, behaviour: Behaviour, record: Record, number: int
) -> list[int]:
    """Return sizes of chunks of which a connection takes all but the body's end."""
    for again in range(MEASUREMENTS):
        name = f'measure-{number}-{again}'
        stream = await measure(instance, behaviour, record, name)
        record.write(f'measured: a connection takes {len(stream)} bytes of a body')
        sizes = sizes_that_fill(stream)
        if sizes is not None:
            return sizes
    raise CannotRunError('the chunks were not passed on one by one')


async def measure(
    instance: Instance, behaviour: Behaviour, record: Record, name: str
) -> bytes:
    """Return what a connection takes of a body while the worker reads nothing.

    The instance is stopped for a moment, so that it writes no more while the worker
    reads what it has written so far. The attempts are made at another instance, which
    nothing disturbs.
    """
    behaviour.measures = True
    behaviour.is_waiting.clear()
    behaviour.may_measure.clear()
    count = len(behaviour.measured)
    chunks = [CHUNK_BYTES] * MOST_CHUNKS
    upload = asyncio.create_task(send_upload(instance, record, name, chunks))
    await wait_for(behaviour.is_waiting.is_set)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(0.1)
    behaviour.may_measure.set()
    await wait_for(lambda: len(behaviour.measured) > count)
    instance.signal(signal.SIGCONT)
    await upload
    behaviour.measures = False
    return behaviour.measured[-1]


async def wait_for(condition) -> None:
    """Wait until a condition holds; raise CannotRunError after some seconds."""
    end = time.monotonic() + 10.0
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError('an upload could not be measured')
        await asyncio.sleep(0.01)


def sizes_that_fill(stream: bytes) -> list[int] | None:
    """Return sizes of chunks for a stream of this length without its end.

    Return None if the stream has parts of chunks.
    """
    position, passed_on = 0, 0
    while (end := stream.find(b'\r\n', position)) >= 0:
        length = int(stream[position:end], 16)
        if end + 2 + length + 2 > len(stream):
            break
        passed_on += length
        position = end + 2 + length + 2
    left = len(stream) - position
    if passed_on % CHUNK_BYTES or left < 8:
        return None
    sizes = [CHUNK_BYTES] * (passed_on // CHUNK_BYTES)
    last = next(n for n in range(left, 0, -1) if len(f'{n:x}') + n + 4 <= left)
    return [*sizes, last]


async def attempt(
    instance: Instance, record: Record, sizes: list[int], number: int
) -> None:
    """Send an upload and then requests that may take the same connection."""
    await send_upload(instance, record, f'upload-{number}', sizes)
    async with asyncio.TaskGroup() as group:
        for following in range(FOLLOWING):
            name = f'status-{number}-{following}'
            group.create_task(send_following(instance, record, name))
    await asyncio.sleep(READ_ON_SECONDS + 0.5)


async def send_following(instance: Instance, record: Record, name: str) -> None:
    """Send a request without a body on a new connection."""
    client = Client(instance.address('front'), record)
    await client.ask(name, 'GET', f'/statut/{name}', 3.0)
    client.close()


async def send_upload(
    instance: Instance, record: Record, name: str, sizes: list[int]
) -> None:
    """Send a body in chunks of these sizes and wait for the answer."""
    client = Client(instance.address('front'), record)
    if not await client.connect():
        raise CannotRunError('no connection to the instance')
    lines = [
        f'POST /recu/{name} HTTP/1.1',
        'Host: a.example',
        f'Request-Id: {name}',
        'Deadline-Ms: 4000',
        'Transfer-Encoding: chunked',
    ]
    record.write(f'client {name}: sends {sum(sizes)} bytes in {len(sizes)} chunks')
    try:
        async with asyncio.timeout(5.0):
            client.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            for size in sizes:
                client.writer.write(b'%x\r\n' % size + b'u' * size + b'\r\n')
                await client.writer.drain()
                await asyncio.sleep(PAUSE_SECONDS)
            client.writer.write(b'0\r\n\r\n')
            outcome = await client.receive()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome = f'no answer ({type(error).__name__})'
    record.write(f'client {name}: {outcome}')
    client.close()


if __name__ == '__main__':
    sys.exit(play(case))

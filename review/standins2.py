"""Stand-ins for the scripts of the second review: the platform's store and workers.

Only the standard library is used. Store and workers run in one process, which takes
commands as lines of JSON on its standard input and answers each with a line.
"""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from urllib.parse import parse_qs, unquote, urlsplit

HEAD_END = b'\r\n\r\n'
PREFIX = '/catkinslip/objects/'
PAGE_ITEMS = 500
QUEUED = 4

Headers = dict[str, str]


class Request:
    """One request: method, target, headers with names in lower case, body."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        self.method, self.target, _ = lines[0].split(' ', 2)
        pairs = (line.partition(':') for line in lines[1:])
        self.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None if the connection ended."""
    try:
        head = (await reader.readuntil(HEAD_END))[: -len(HEAD_END)]
        request = Request(head, b'')
        request.body = await read_body(reader, request.headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body that the headers frame."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    parts = []
    while size := int((await reader.readuntil(b'\r\n'))[:-2], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
    return b''.join(parts)


def answer_bytes(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


class Store:
    """The platform's metadata store: objects by kind and name, with revisions."""

    def __init__(self) -> None:
        self.item_by_key: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.revision = 10
        self.changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: object, status: object) -> dict:
        """Write an object and wake the watches."""
        known = self.item_by_key.get((kind, name))
        if known and (known['spec'], known['status']) == (spec, status):
            return known
        self.revision += 1
        created = known['metadata']['created'] if known else self.revision
        item = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.item_by_key[kind, name] = item
        await self._notify(kind, item, is_removed=False)
        return item

    async def remove(self, kind: str, name: str) -> bool:
        """Remove an object and wake the watches; return whether there was one."""
        item = self.item_by_key.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        item['metadata']['revision'] = self.revision
        await self._notify(kind, item, is_removed=True)
        return True

    async def _notify(self, kind: str, item: dict, *, is_removed: bool) -> None:
        self.events.append((self.revision, kind, item, is_removed))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request: Request) -> tuple[int, object]:
        """Return status and body of the answer to a call."""
        url = urlsplit(request.target)
        if not url.path.startswith(PREFIX):
            return 404, {}
        parts = [unquote(each) for each in url.path[len(PREFIX) :].split('/')]
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if request.method == 'GET':
            return await self._get(kind, name, query)
        if request.method == 'DELETE':
            return await self._delete(kind, name, query)
        body = json.loads(request.body)
        if request.method == 'POST':
            return await self._create(kind, body)
        return await self._replace(kind, name, body, is_status=parts[-1] == 'status')

    async def _get(self, kind: str, name: str, query: dict) -> tuple[int, object]:
        if name:
            item = self.item_by_key.get((kind, name))
            return (200, item) if item else (404, {})
        if 'watch' in query:
            return 200, await self._watch(kind, query)
        after = query.get('after', '')
        names = sorted(each for of, each in self.item_by_key if of == kind)
        names = [each for each in names if each > after]
        items = [self.item_by_key[kind, each] for each in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return 200, {'items': items, 'more': more, 'as_of': self.revision}

    async def _watch(self, kind: str, query: dict) -> dict:
        since = int(query['watch'])
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            found = [each for each in self.events if each[0] > since]
            events = [
                {'object': item, 'tombstone': removed}
                for _, of, item, removed in found
                if of == kind
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'as_of': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    async def _create(self, kind: str, body: dict) -> tuple[int, object]:
        name = body['metadata']['name']
        known = self.item_by_key.get((kind, name))
        if known:
            return 409, known
        return 200, await self.put(kind, name, body.get('spec'), None)

    async def _replace(
        self, kind: str, name: str, body: dict, *, is_status: bool
    ) -> tuple[int, object]:
        known = self.item_by_key.get((kind, name))
        if known is None:
            return 404, {}
        wanted = body.get('metadata', {}).get('revision')
        if wanted not in (None, known['metadata']['revision']):
            return 409, known
        spec = known['spec'] if is_status else body.get('spec')
        status = body.get('status') if is_status else known['status']
        return 200, await self.put(kind, name, spec, status)

    async def _delete(self, kind: str, name: str, query: dict) -> tuple[int, object]:
        known = self.item_by_key.get((kind, name))
        if known is None:
            return 404, {}
        if query.get('revision') not in (None, str(known['metadata']['revision'])):
            return 409, known
        await self.remove(kind, name)
        return 200, known

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while request := await read_request(reader):
                status, body = await self.handle(request)
                headers = {'Content-Type': 'application/json'}
                writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A sound worker: runs requests in its slots, queues a few, rejects the others."""

    def __init__(self, config: dict, record: Callable[..., None]) -> None:
        self.id = config['id']
        self.service = config['service']
        self.zone = config['zone']
        self.slots = config.get('slots', 6)
        self.work_seconds = config.get('work_s', 0.1)
        self.body = b'x' * config.get('body_bytes', 200)
        self.record = record
        self.running = 0
        self.waiting = 0
        self.port = 0
        self.sequence = 0
        self.state = 'ready'
        self.freed = asyncio.Semaphore(self.slots)

    async def start(self) -> None:
        """Listen on a port that the kernel gives."""
        server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, backlog=1024, limit=1 << 20
        )
        self.port = server.sockets[0].getsockname()[1]
        self.server = server

    def entry(self) -> tuple[dict, dict]:
        """Return spec and status of the worker's entry in the store."""
        self.sequence += 1
        info = {
            'service': self.service,
            'version': 'v1',
            'zone': self.zone,
            'slots': self.slots,
        }
        spec = {'addr': f'127.0.0.1:{self.port}', 'info': info}
        status = {'state': self.state, 'seq': self.sequence, 'cold_left_s': 0}
        return spec, status

    def load_headers(self) -> Headers:
        """Return the headers that each answer has."""
        load = f'{self.running},{self.waiting},{self.slots},100'
        return {'Server-Load': load, 'Instance-Id': self.id}

    async def serve(self, reader, writer) -> None:
        """Serve one connection, one request at a time."""
        try:
            while request := await read_request(reader):
                writer.write(await self.answer(request, reader))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request: Request, reader) -> bytes:
        """Run a request and return the answer to it."""
        if request.target == '/healthz':
            return answer_bytes(200, self.load_headers(), b'')
        request_id = request.headers.get('request-id', '')
        headers = {'Request-Id': request_id, **self.load_headers()}
        if request.headers.get('target-instance', self.id) != self.id:
            return answer_bytes(421, headers, b'')
        if self.waiting >= QUEUED:
            return answer_bytes(503, {**headers, 'Not-Executed': '1'}, b'')
        self.waiting += 1
        try:
            await self.freed.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record('run', request_id, self.id)
            left = await self._work(reader)
        finally:
            self.running -= 1
            self.freed.release()
        self.record('left' if left else 'done', request_id, self.id)
        if left:
            raise ConnectionResetError
        headers.update(self.load_headers())
        headers['Response-Signature'] = f'proof-{request_id}'
        return answer_bytes(200, headers, self.body)

    async def _work(self, reader) -> bool:
        """Work on a request; return whether its connection closed meanwhile."""
        ends_at = time.monotonic() + self.work_seconds
        while (left := ends_at - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return True
            await asyncio.sleep(min(left, 0.06))
        return False


class Platform:
    """The store and the workers, and the commands that change them."""

    def __init__(self) -> None:
        self.store = Store()
        self.worker_by_id: dict[str, Worker] = {}
        self.records: list[list] = []

    def record(self, *words: object) -> None:
        """Record what happened, with the time on the steady clock."""
        self.records.append([round(time.monotonic(), 4), *words])

    async def run(self) -> None:
        """Serve until standard input ends."""
        server = await asyncio.start_server(
            self.store.serve, '127.0.0.1', 0, backlog=1024, limit=8 << 20
        )
        print(json.dumps({'store': server.sockets[0].getsockname()[1]}), flush=True)
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            command = json.loads(line)
            handler = getattr(self, f'do_{command.pop("do")}')
            print(json.dumps(await handler(**command)), flush=True)

    async def do_worker(self, **config) -> dict:
        """Start a worker and register it."""
        worker = Worker(config, self.record)
        await worker.start()
        self.worker_by_id[worker.id] = worker
        await self.store.put('servers', worker.id, *worker.entry())
        return {'port': worker.port}

    async def do_put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object as the operator does."""
        return (await self.store.put(kind, name, spec, None))['metadata']

    async def do_records(self, path: str) -> dict:
        """Write what the workers recorded to a file."""
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(self.records, file)
        return {'count': len(self.records)}


if __name__ == '__main__':
    asyncio.run(Platform().run())

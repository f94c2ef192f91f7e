"""Requests on kept connections while three instances are restarted in turn."""

import asyncio
import contextlib
import json
import multiprocessing
import os
import random
import signal
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from small2 import (
    HOST,
    REGION,
    CaseError,
    Deployment,
    config_spec,
    route,
)  # noqa: E402

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SEED = int(os.environ.get('SEED', time.time_ns() % 100_000))
CLIENTS = int(os.environ.get('CLIENTS', '4500'))
INSTANCES = 3
#: The clients are divided among some processes, as one would be too slow for them.
CLIENT_PROCESSES = 4
WORKERS = 2
#: A client thinks this long between an answer and its next request; it may reuse a
#: connection for four fifths of idle_timeout_s, which is 12 s here.
THINK_SECONDS = (4.0, 11.0)
#: Share of the clients that keep an address answer three times as long.
PATIENT_SHARE = 0.33
DEADLINE_MS = 1500
TIMEOUT_SECONDS = 0.8
STEADY_SECONDS = 12.0
GRACE_SECONDS = 6.0
#: Pause between the end of a stop and the next one.
PAUSE_SECONDS = 4.0
CASE_SECONDS = STEADY_SECONDS + INSTANCES * (GRACE_SECONDS + 1.0 + PAUSE_SECONDS)
BODY = b'r' * 300
#: Exit status for a broken rule; run.sh turns it into 1, and all others but 0 into 2.
BROKEN_STATUS = 10


class Connection(asyncio.Protocol):
    """A kept connection, with at most one request in flight."""

    def __init__(self) -> None:
        self.data = b''
        self.answer: asyncio.Future | None = None
        self.transport = None
        self.is_open = False

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport, self.is_open = transport, True

    def connection_lost(self, error) -> None:
        """End the request in flight without an answer."""
        self.is_open = False
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(None)

    def data_received(self, data) -> None:
        """Collect the answer; end the request once it is whole."""
        self.data += data
        head, separator, body = self.data.partition(b'\r\n\r\n')
        if not separator or self.answer is None or self.answer.done():
            return
        lines = head.decode('latin-1').lower().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:])
        if len(body) >= int(headers['content-length']):
            self.answer.set_result((int(lines[0].split()[1]), headers))

    async def send(self, request: bytes, seconds: float):
        """Send a request; return status and headers, None without an answer."""
        self.data = b''
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        try:
            return await asyncio.wait_for(self.answer, seconds)
        except TimeoutError:
            return 'late'


class Client:
    """A client as the pages describe it, on kept connections."""

    def __init__(self, number: int, case: 'Case') -> None:
        self.number, self.case = number, case
        self.random = random.Random(f'{SEED} {number}')
        self.is_patient = self.random.random() < PATIENT_SHARE
        self.addresses: list[str] = []
        self.resolved_at = -1e9
        self.connection: Connection | None = None
        self.address = ''

    async def run(self) -> None:
        """Send requests until the case ends."""
        await asyncio.sleep(self.random.uniform(0, THINK_SECONDS[1]))
        count = 0
        while not self.case.is_over:
            count += 1
            await self._request(f'c{self.number}-{count}')
            await asyncio.sleep(self.random.uniform(*THINK_SECONDS))

    async def _request(self, request_id: str) -> None:
        await self._resolve()
        kept = self.connection
        if kept is not None and not (kept.is_open and self.address in self.addresses):
            kept.transport.close()
            kept = self.connection = None
        is_kept = kept is not None
        if not is_kept:
            await self._connect()
        if self.connection is None:
            return
        head = (
            f'POST /receipt/{self.number} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n'
            f'Content-Length: {len(BODY)}\r\n\r\n'
        )
        sent_at = time.monotonic()
        found = await self.connection.send(head.encode() + BODY, DEADLINE_MS / 1000)
        self.case.record(request_id, self.address, is_kept, sent_at, found)
        if isinstance(found, tuple) and found[1].get('connection') != 'close':
            return
        self.connection.transport.close()
        self.connection = None

    async def _resolve(self) -> None:
        kept_seconds = self.case.ttl * (3 if self.is_patient else 1)
        if time.monotonic() - self.resolved_at < kept_seconds:
            return
        found = await self.case.resolve(self.random)
        if found:
            self.addresses, self.resolved_at = found, time.monotonic()

    async def _connect(self) -> None:
        self.address = self.random.choice(self.addresses)
        host, port = self.address.split(':')
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            _, self.connection = await asyncio.wait_for(
                loop.create_connection(Connection, host, int(port)), 1.0
            )


class Case:
    """The run of the case and what its clients saw."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.rows: list[tuple] = []
        self.is_over = False
        self.ttl = 3.0
        #: Time of the SIGTERM by address of the instance.
        self.term_at: dict[str, float] = {}

    def record(self, *row) -> None:
        """Record a request and its end."""
        self.rows.append((*row[:4], time.monotonic(), row[4]))

    async def resolve(self, chance: random.Random) -> list[str]:
        """Ask up to three nodes for addresses, in some order."""
        nodes = list(self.deployment.instances)
        chance.shuffle(nodes)
        for node in nodes:
            try:
                found = await asyncio.wait_for(self._ask(node), 1.0)
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                continue
            if found.get('addrs'):
                self.ttl = found['ttl_s']
                return found['addrs']
        return []

    async def _ask(self, node) -> dict:
        host, port = node.directory.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            query = f'name={HOST}&region={REGION}&zone={node.zone}'
            writer.write(
                f'GET /catkinslip/resolve?{query} HTTP/1.1\r\nHost: {host}\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            answer = await reader.read()
        finally:
            writer.close()
        return json.loads(answer.partition(b'\r\n\r\n')[2])

    async def run_clients(self, numbers: range) -> None:
        """Let some clients work for the time of the case."""
        clients = [Client(number, self) for number in numbers]
        tasks = [asyncio.create_task(each.run()) for each in clients]
        await asyncio.sleep(CASE_SECONDS)
        self.is_over = True
        await asyncio.sleep(DEADLINE_MS / 1000)
        for each in tasks:
            if each.done() and each.exception() is not None:
                raise each.exception()
            each.cancel()

    def restart_all(self) -> None:
        """Stop the instances in turn and start them again."""
        time.sleep(STEADY_SECONDS)
        for each in self.deployment.instances:
            self.term_at[each.front] = time.monotonic()
            if TROUBLE:
                each.signal(signal.SIGTERM)
            time.sleep(GRACE_SECONDS + 1.0)
            if TROUBLE:
                if each.process.poll() is None:
                    raise CaseError(f'{each.name} did not end in its grace period')
                each.start()
            time.sleep(PAUSE_SECONDS)


def run_process(case: Case, number: int, path: Path) -> None:
    """Run the clients of one process and write what they saw."""
    asyncio.run(case.run_clients(range(number, CLIENTS, CLIENT_PROCESSES)))
    path.write_text(json.dumps(case.rows))


def play(case: Case) -> None:
    """Let clients work in processes of their own while the instances are restarted."""
    folder = case.deployment.folder
    context = multiprocessing.get_context('fork')
    processes = {}
    for number in range(CLIENT_PROCESSES):
        path = folder / f'rows-{number}.json'
        processes[path] = context.Process(target=run_process, args=(case, number, path))
    try:
        for each in processes.values():
            each.start()
        case.restart_all()
        for path, each in processes.items():
            each.join(20.0)
            if each.exitcode != 0:
                raise CaseError(f'clients ended with {each.exitcode}')
            case.rows += json.loads(path.read_text())
    finally:
        for each in processes.values():
            each.kill()
            each.join()


def judge(case: Case, runs: set[str]) -> list[str]:
    """Return the requests that the rule LOST counts.

    They were passed on to a worker, and their connection ended without an answer, from
    the SIGTERM until 1 s after the grace period, before seven tenths of the route's
    timeout. A request that a worker did not begin to run is not counted here.
    """
    broken = []
    for request_id, address, is_kept, sent, end, found in case.rows:
        term_at = case.term_at.get(address)
        if found is not None or term_at is None or request_id not in runs:
            continue
        is_near = sent >= term_at - DEADLINE_MS / 1000
        is_stop = is_near and term_at <= end <= term_at + GRACE_SECONDS + 1.0
        if is_stop and end - sent < 0.7 * TIMEOUT_SECONDS:
            broken.append(
                f'{request_id} at {address} kept={is_kept} sent {sent - term_at:.3f} s '
                'after SIGTERM, the connection ended without an answer after '
                f'{(end - sent) * 1e3:.0f} ms, a worker began to run it'
            )
    return broken


def main() -> int:
    """Run the case; return BROKEN_STATUS if the rule was broken, 0 if it held."""
    deployment = Deployment()
    try:
        for number in range(WORKERS):
            deployment.do(
                'worker',
                id=f'i-{number:04x}',
                service='receipts',
                zone=f'zone-{"ab"[number % 2]}',
                slots=60,
                work_s=0.12,
            )
        rows = [
            route(
                'r-1',
                '/receipt/',
                'non_idempotent',
                'receipts',
                timeout_s=TIMEOUT_SECONDS,
                target_latency_s=0.3,
            )
        ]
        spec = config_spec(7, rows, ['receipts'])
        deployment.do('put', kind='config', name='main', spec=spec)
        deployment.add_instances(INSTANCES)
        time.sleep(2.0)
        case = Case(deployment)
        play(case)
        return report(case, deployment)
    finally:
        deployment.end()


def report(case: Case, deployment: Deployment) -> int:
    """Write the record and return the exit status."""
    runs = {row[2] for row in deployment.records() if row[1] == 'run'}
    broken = judge(case, runs)
    count_by_end: dict[str, int] = {}
    for row in case.rows:
        found = row[5]
        name = str(found[0]) if isinstance(found, list) else str(found)
        count_by_end[name] = count_by_end.get(name, 0) + 1
    lines = [
        f'trouble={TROUBLE} seed={SEED} clients={CLIENTS}',
        f'requests={len(case.rows)} ran={len(runs)} ends={count_by_end}',
        f'broken={len(broken)}',
        *broken,
    ]
    if TROUBLE:
        lost = {each.split()[0] for each in broken}
        for each in deployment.instances:
            log = each.log_path.read_text().splitlines()
            lines.append(f'log of {each.name} at {each.front}')
            lines += [line for line in log if is_shown(line, lost)]
    (HERE / 'record.txt').write_text('\n'.join(lines) + '\n')
    if count_by_end.get('200', 0) < 100:
        return 2
    return BROKEN_STATUS if broken else 0


def is_shown(line: str, lost: set[str]) -> bool:
    """Return whether a log line is about a stop or about a lost request."""
    return ' lifecycle: ' in line or any(f' {each} ' in line for each in lost)


if __name__ == '__main__':
    try:
        status = main()
    except BaseException:
        traceback.print_exc()
        status = 2
    sys.exit(status)

"""Two failures at once on real processes: what was told against what ran."""

import json
import signal
import tempfile
import unittest
from pathlib import Path

import httpx
import trio

from benchmarks.drain import status
from catkinslip.status import ExitStatus
from standins.ledgers import find_contradictions, read_ledger
from standins.load import LoadCaller, ResendingCaller, Tally
from standins.processes import Process, ProcessGroup, wait_until
from standins.tool import ToolResult, run_tool
from tests.builders import document_plain

SERVICE = 'claims'
INSTANCES = ('entry-1', 'entry-2', 'entry-3')
BACKENDS = ('claims-1', 'claims-2', 'claims-3')
RECORDED = {
    'service': SERVICE,
    'path': '/claims/recorded-*',
    'methods': ['POST'],
    'repeatable': False,
    'record': 'platform',
}
REQUEST_SECONDS = 0.5
#: Longer than a request may take, so that who loses it is past the deadline.
PATIENCE_SECONDS = 1.0
ADDRESS_SECONDS = 2.0
CALLERS_OF_A_KIND = 8
#: Long enough that requests of each kind are in flight whenever a failure begins.
SERVICE_SECONDS = 0.1
MORE = 100
LOST_ANSWERS = 1000


class CombinedFailuresTest(unittest.TestCase):
    """Three instances, three backend servers, callers of each kind."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.group = ProcessGroup(cls.folder)
        cls.addClassCleanup(cls.group.stop_all)
        cls.url = f'http://{cls.group.start_platform().address}'
        addresses = {name: cls.start_backend(name).address for name in BACKENDS}
        plain = document_plain(addresses, SERVICE, slots=20)
        plain['rules']['requests'] = [RECORDED]
        path = cls.folder / 'document.json'
        path.write_text(json.dumps(plain))
        assert cls.tool('apply', str(path)).status == ExitStatus.SUCCESS
        for name in INSTANCES:
            cls.start_daemon(name)

    @classmethod
    def start_backend(cls, name: str, port: str = '0') -> Process:
        ledger = cls.folder / f'{name}.ledger'
        return cls.group.start_backend(
            name, port=port, slots=20, service_time=SERVICE_SECONDS, ledger=ledger
        )

    @classmethod
    def start_daemon(cls, name: str) -> Process:
        return cls.group.start_daemon(
            name,
            'zone-a',
            platform_url=cls.url,
            platform_timeout=0.3,
            peer_interval=0.1,
            request_timeout=REQUEST_SECONDS,
            max_instances=len(INSTANCES),
        )

    @classmethod
    def tool(cls, *arguments: str) -> ToolResult:
        return run_tool(*arguments, '--platform-url', cls.url)

    def setUp(self):
        for name in INSTANCES:
            wait_until(lambda n=name: is_ready(self.process(n)))
        self.tallies = [Tally() for _ in range(4)]
        self.done = trio.Event()

    def process(self, name: str) -> Process:
        return self.group.process_by_name[name]

    def order(self, **faults: object) -> None:
        httpx.post(f'{self.url}/standin/faults', json=faults).raise_for_status()

    def run_under_load(self, hurt) -> None:
        """Load the system while it is hurt, then compare words and ledgers."""
        trio.run(self.load, hurt)
        for name in BACKENDS:
            process = self.process(name)
            if process.popen.poll() is None:
                wait_until(lambda p=process: is_idle(p))
        ledgers = [self.folder / f'{name}.ledger' for name in BACKENDS]
        runs = [run for path in ledgers for run in read_ledger(path)]
        sent_requests = [each for tally in self.tallies for each in tally.sent_requests]
        self.assertEqual(find_contradictions(sent_requests, runs), [])

    async def load(self, hurt) -> None:
        async with trio.open_nursery() as nursery:
            for caller in self.callers():
                nursery.start_soon(self.run_caller, caller)
            try:
                await self.more('right')
                await hurt()
                await self.more('right')
            finally:
                self.done.set()

    def callers(self) -> list[LoadCaller]:
        ask = [self.process(name).address for name in INSTANCES]
        kinds = (
            ('get', LoadCaller, {}),
            ('post', LoadCaller, {'method': 'POST'}),
            ('keyed', ResendingCaller, {}),
            ('recorded', ResendingCaller, {'has_own_keys': True}),
        )
        waits = {'caller_timeout': PATIENCE_SECONDS, 'lifetime': ADDRESS_SECONDS}
        test = self._testMethodName
        return [
            kind(f'{name}-{number}-{test}', SERVICE, ask, tally, **waits, **arguments)
            for (name, kind, arguments), tally in zip(kinds, self.tallies, strict=True)
            for number in range(CALLERS_OF_A_KIND)
        ]

    async def run_caller(self, caller: LoadCaller) -> None:
        while not self.done.is_set():
            await caller.send_one()
            await trio.sleep(0.002)
        await caller.disconnect()

    async def more(self, outcome: str, count: int = MORE) -> None:
        """Wait until callers were told an outcome some times more."""
        tallies = self.tallies
        end = sum(getattr(tally, outcome) for tally in tallies) + count
        with trio.fail_after(30):
            while sum(getattr(tally, outcome) for tally in tallies) < end:
                await trio.sleep(0.01)

    def changes(self) -> int:
        return len(self.tool('changes', '--json').json)

    def test_platform_stopped_and_an_instance_killed(self):
        async def hurt():
            self.process('platform').send_signal(signal.SIGSTOP)
            await self.more('unknown', 1)
            self.process('entry-1').kill()
            await self.more('cut', 1)
            await self.more('right')
            self.process('platform').send_signal(signal.SIGCONT)

        self.addCleanup(self.start_daemon, 'entry-1')
        self.run_under_load(hurt)

    def test_backend_stopped_while_the_platform_loses_answers_to_an_operator(self):
        async def hurt():
            self.order(lose_answers=LOST_ANSWERS)
            self.process('claims-1').send_signal(signal.SIGSTOP)
            await self.more('unknown', 1)
            self.drained = await trio.to_thread.run_sync(self.tool, 'drain', 'claims-2')
            await self.more('right')
            self.order(lose_answers=0)
            self.process('claims-1').send_signal(signal.SIGCONT)

        self.addCleanup(self.tool, 'undrain', 'claims-2')
        before = self.changes()
        self.run_under_load(hurt)
        told = self.drained.status
        self.assertIn(told, (ExitStatus.SUCCESS, ExitStatus.UNKNOWN))
        made = self.changes() - before
        self.assertLessEqual(made, 1)
        if told == ExitStatus.SUCCESS:
            self.assertEqual(made, 1)
            for process in map(self.process, INSTANCES):
                wait_until(
                    lambda p=process: 'claims-2' in status(p)['leaving_backends']
                )

    def test_instance_stopped_past_deadlines_while_a_backend_is_killed(self):
        async def hurt():
            self.process('entry-1').send_signal(signal.SIGSTOP)
            await self.more('cut', 1)
            await self.more('right')
            self.process('claims-3').kill()
            await self.more('right')
            self.process('entry-1').send_signal(signal.SIGCONT)

        port = self.process('claims-3').address.rpartition(':')[2]
        self.addCleanup(self.start_backend, 'claims-3', port)
        self.run_under_load(hurt)


def is_ready(daemon: Process) -> bool:
    found = status(daemon)
    return found['config_version']['number'] and len(found['members']) == len(INSTANCES)


def is_idle(backend: Process) -> bool:
    ledger = httpx.get(f'http://{backend.address}/standin/ledger').json()
    return ledger['in_flight'] == 0

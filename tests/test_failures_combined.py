"""Two simultaneous failures of real processes: answers compared with server ledgers."""

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
#: Timeout of callers; longer than a request may take, so that a caller that gives up
#: is past the deadline.
CALLER_TIMEOUT_SECONDS = 1.0
ADDRESS_SECONDS = 2.0
CALLERS_OF_A_KIND = 8
#: Service time; long enough that requests of each kind are in flight when a failure
#: begins.
SERVICE_SECONDS = 0.1
OUTCOMES_PER_PHASE = 100
LOST_ANSWERS = 1000


class CombinedFailuresTest(unittest.TestCase):
    """Three instances, three backend servers and callers of four kinds."""

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

    def set_faults(self, **faults: object) -> None:
        httpx.post(f'{self.url}/standin/faults', json=faults).raise_for_status()

    def run_under_load(self, cause_failure) -> None:
        """Load the system during a failure, then compare answers with the ledgers."""
        trio.run(self.load, cause_failure)
        for name in BACKENDS:
            process = self.process(name)
            if process.popen.poll() is None:
                wait_until(lambda p=process: is_idle(p))
        ledgers = [self.folder / f'{name}.ledger' for name in BACKENDS]
        runs = [run for path in ledgers for run in read_ledger(path)]
        sent_requests = [each for tally in self.tallies for each in tally.sent_requests]
        self.assertEqual(find_contradictions(sent_requests, runs), [])

    async def load(self, cause_failure) -> None:
        async with trio.open_nursery() as nursery:
            for caller in self.callers():
                nursery.start_soon(self.run_caller, caller)
            try:
                await self.wait_for_outcomes('right')
                await cause_failure()
                await self.wait_for_outcomes('right')
            finally:
                self.done.set()

    def callers(self) -> list[LoadCaller]:
        instance_addresses = [self.process(name).address for name in INSTANCES]
        kinds = (
            ('get', LoadCaller, {}),
            ('post', LoadCaller, {'method': 'POST'}),
            ('keyed', ResendingCaller, {}),
            ('recorded', ResendingCaller, {'has_own_keys': True}),
        )
        waits = {'caller_timeout': CALLER_TIMEOUT_SECONDS, 'lifetime': ADDRESS_SECONDS}
        test = self._testMethodName
        return [
            kind(
                f'{name}-{number}-{test}',
                SERVICE,
                instance_addresses,
                tally,
                **waits,
                **arguments,
            )
            for (name, kind, arguments), tally in zip(kinds, self.tallies, strict=True)
            for number in range(CALLERS_OF_A_KIND)
        ]

    async def run_caller(self, caller: LoadCaller) -> None:
        while not self.done.is_set():
            await caller.send_one()
            await trio.sleep(0.002)
        await caller.disconnect()

    async def wait_for_outcomes(
        self, outcome: str, count: int = OUTCOMES_PER_PHASE
    ) -> None:
        """Wait until callers got `count` more answers with an outcome."""
        tallies = self.tallies
        end = sum(getattr(tally, outcome) for tally in tallies) + count
        with trio.fail_after(30):
            while sum(getattr(tally, outcome) for tally in tallies) < end:
                await trio.sleep(0.01)

    def change_count(self) -> int:
        return len(self.tool('changes', '--json').json)

    def test_platform_stopped_and_an_instance_killed(self):
        async def cause_failure():
            self.process('platform').send_signal(signal.SIGSTOP)
            await self.wait_for_outcomes('unknown', 1)
            self.process('entry-1').kill()
            await self.wait_for_outcomes('cut', 1)
            await self.wait_for_outcomes('right')
            self.process('platform').send_signal(signal.SIGCONT)

        self.addCleanup(self.start_daemon, 'entry-1')
        self.run_under_load(cause_failure)

    def test_backend_stopped_while_the_platform_loses_answers_to_an_operator(self):
        async def cause_failure():
            self.set_faults(lose_answers=LOST_ANSWERS)
            self.process('claims-1').send_signal(signal.SIGSTOP)
            await self.wait_for_outcomes('unknown', 1)
            self.drained = await trio.to_thread.run_sync(self.tool, 'drain', 'claims-2')
            await self.wait_for_outcomes('right')
            self.set_faults(lose_answers=0)
            self.process('claims-1').send_signal(signal.SIGCONT)

        self.addCleanup(self.tool, 'undrain', 'claims-2')
        before = self.change_count()
        self.run_under_load(cause_failure)
        drain_status = self.drained.status
        self.assertIn(drain_status, (ExitStatus.SUCCESS, ExitStatus.UNKNOWN))
        changes_made = self.change_count() - before
        self.assertLessEqual(changes_made, 1)
        if drain_status == ExitStatus.SUCCESS:
            self.assertEqual(changes_made, 1)
            for process in map(self.process, INSTANCES):
                wait_until(
                    lambda p=process: 'claims-2' in status(p)['leaving_backends']
                )

    def test_instance_stopped_past_deadlines_while_a_backend_is_killed(self):
        async def cause_failure():
            self.process('entry-1').send_signal(signal.SIGSTOP)
            await self.wait_for_outcomes('cut', 1)
            await self.wait_for_outcomes('right')
            self.process('claims-3').kill()
            await self.wait_for_outcomes('right')
            self.process('entry-1').send_signal(signal.SIGCONT)

        port = self.process('claims-3').address.rpartition(':')[2]
        self.addCleanup(self.start_backend, 'claims-3', port)
        self.run_under_load(cause_failure)


def is_ready(daemon: Process) -> bool:
    found = status(daemon)
    return found['config_version']['number'] and len(found['members']) == len(INSTANCES)


def is_idle(backend: Process) -> bool:
    ledger = httpx.get(f'http://{backend.address}/standin/ledger').json()
    return ledger['in_flight'] == 0

"""Tests of platform servers that announce in their answers that they are leaving."""

import unittest

import trio

from catkinslip.platform.dialect import PlatformDialect
from standins.workers import Fault
from tests.platform_builders import server_item
from tests.small_platform import SmallPlatform, on_platform, wait_for

CALLS = 16
WORK_SECONDS = 0.02


async def call_some(platform: SmallPlatform, name: str) -> list[int]:
    """Send more requests at once than a server has slots; return the statuses."""
    statuses: list[int] = []

    async def call(number: int) -> None:
        answer = await platform.send('POST', '/p/x', request_id=f'{name}-{number}')
        statuses.append(answer.status_code)

    async with trio.open_nursery() as nursery:
        for number in range(CALLS):
            nursery.start_soon(call, number)
    return statuses


async def start_leaving_server(platform: SmallPlatform) -> None:
    """Start two servers, one of them leaving, and send requests until it answers."""
    for server_id in ('i-1', 'i-2'):
        await platform.add_worker(server_id, work_seconds=WORK_SECONDS)
    entry = await platform.add_entry()
    await wait_for(lambda: len(entry.assembler.current_backends) == 2)
    worker = platform.worker_by_id['i-1']
    worker.is_leaving = True
    while not (worker.arrived_at or entry.sampler.health.leaving_ids()):
        await call_some(platform, 'first')


class LeavingTest(unittest.TestCase):
    """A server that announced in an answer that it leaves gets no requests."""

    def test_leaving_server_gets_no_requests(self):
        async def check(platform):
            await start_leaving_server(platform)
            worker = platform.worker_by_id['i-1']
            before = len(worker.arrived_at)
            self.assertIn(200, await call_some(platform, 'more'))
            self.assertEqual(len(worker.arrived_at), before)

        on_platform(check)

    def test_leaving_server_gets_no_requests_while_the_store_is_unavailable(self):
        async def check(platform):
            await start_leaving_server(platform)
            platform.store.faults.refuse_with = 503
            worker = platform.worker_by_id['i-1']
            before = len(worker.arrived_at)
            self.assertIn(200, await call_some(platform, 'more'))
            self.assertEqual(len(worker.arrived_at), before)

        on_platform(check)

    def test_leaving_server_gets_no_requests_if_its_entry_stays_ready_or_returns(self):
        async def check(platform):
            await start_leaving_server(platform)
            worker = platform.worker_by_id['i-1']
            before = len(worker.arrived_at)
            entry = platform.entries[0]
            port = entry.sampler.health.directory.address_by_backend['i-1'].port
            platform.store.put(
                'servers',
                'i-1',
                *spec_and_status(server_item('i-1', 'one', port, slots=3)),
            )
            router = entry.sampler.health.directory.router_by_service['one']
            await wait_for(lambda: router.load_by_id['i-1'].slots == 3)
            await call_some(platform, 'ready')
            platform.store.remove('servers', 'i-1')
            await wait_for(lambda: 'i-1' not in router.load_by_id)
            platform.register('i-1', 'one', port)
            await wait_for(lambda: 'i-1' in router.load_by_id)
            self.assertIn(200, await call_some(platform, 'back'))
            self.assertEqual(len(worker.arrived_at), before)

        on_platform(check)

    def test_refusals_errors_and_probe_answers_mark_a_server_as_leaving(self):
        async def check(platform):
            await platform.add_worker('i-1', fault=Fault.SHED, is_leaving=True)
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs('health', 'INFO') as logs:
                await platform.send('POST', '/p/x')
                await wait_for(lambda: entry.sampler.health.leaving_ids())
            self.assertIn('i-1 is leaving, signs: own.', '\n'.join(logs.output))

        on_platform(check)

    def test_restarted_server_is_used(self):
        async def check(platform):
            await start_leaving_server(platform)
            entry = platform.entries[0]
            port = entry.sampler.health.directory.address_by_backend['i-1'].port
            worker = platform.worker_by_id['i-1']
            worker.is_leaving = False
            platform.register('i-1', 'one', port, born=1_700_000_000_000)
            router = entry.sampler.health.directory.router_by_service['one']
            await wait_for(lambda: router.load_by_id['i-1'].incarnation)
            before = len(worker.arrived_at)
            await wait_for(lambda: not router.load_by_id['i-1'].draining)
            while len(worker.arrived_at) == before:
                await call_some(platform, 'new')

        on_platform(check)


class NotLeavingTest(unittest.TestCase):
    """Events that must not mark a server as leaving."""

    def test_server_that_closes_its_connections_is_still_used(self):
        async def check(platform):
            await platform.add_worker('i-1')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            worker = platform.worker_by_id['i-1']
            await platform.send('POST', '/p/x', request_id='kept')
            worker.is_unframed = True
            for number in range(CALLS):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200, number)
            self.assertEqual(entry.sampler.health.leaving_ids(), [])

        on_platform(check)

    def test_another_server_at_its_address_does_not_mark_a_server_as_leaving(self):
        async def check(platform):
            port = await platform.add_worker('i-9', service='two', is_leaving=True)
            platform.register('i-1', 'one', port)
            entry = await platform.add_entry()
            await wait_for(lambda: len(entry.assembler.current_backends) == 2)
            with self.assertLogs('routing', 'INFO') as logs:
                answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('goes to i-1', '\n'.join(logs.output))
            self.assertNotIn('i-1', entry.sampler.health.leaving_ids())

        on_platform(check)


class HeaderTest(unittest.TestCase):
    """The values of the header that announces that a server leaves."""

    def test_only_the_value_1_marks_the_server_as_leaving(self):
        dialect = PlatformDialect()
        for value, is_leaving in (
            (b'1', True),
            (b' 1 ', True),
            (b'0', False),
            (b'', False),
        ):
            signals = dialect.read_signals(200, [(b'server-leaving', value)])
            self.assertEqual(signals.is_leaving, is_leaving, value)


def spec_and_status(item: dict) -> tuple[dict, dict]:
    """Return the spec and the status of an object of the store."""
    return item['spec'], item['status']


if __name__ == '__main__':
    unittest.main()

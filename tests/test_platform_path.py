"""Tests of the whole request path on the users' platform, in one event loop."""

import unittest

import httpx
import trio

from standins.workers import Fault
from tests.small_platform import PROBE_SECONDS, SmallPlatform, on_platform, wait_for


async def two_workers(platform: SmallPlatform, **fields) -> list:
    """Start two servers of a service and one instance, and return the servers."""
    for server_id in ('i-1', 'i-2'):
        await platform.add_worker(server_id, **fields)
    await platform.add_entry()
    return list(platform.worker_by_id.values())


class PathTest(unittest.TestCase):
    """Requests through one instance, as callers and servers see them."""

    def test_request_is_answered_unchanged(self):
        async def check(platform):
            await two_workers(platform)
            answer = await platform.send('POST', '/p/x?y=1', content=b'body')
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(answer.content, b'answer to r1')
            self.assertEqual(answer.headers['response-signature'], 'signed-r1')
            self.assertEqual(answer.headers['request-id'], 'r1')
            worker = next(w for w in platform.worker_by_id.values() if w.heads)
            self.assertEqual(worker.heads[0].target, b'/p/x?y=1')
            self.assertEqual(worker.bodies, [b'body'])
            remaining_ms = int(dict(worker.heads[0].headers)[b'deadline-ms'])
            self.assertLessEqual(remaining_ms, 1500)

        on_platform(check)

    def test_no_route_is_not_found_and_no_server_is_not_run(self):
        async def check(platform):
            await platform.add_entry()
            self.assertEqual((await platform.get('/none/')).status_code, 404)
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('retry-after', answer.headers)

        on_platform(check)

    def test_refused_request_goes_to_another_server(self):
        async def check(platform):
            first, second = await two_workers(platform)
            first.fault = Fault.SHED
            for number in range(6):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200)
            self.assertEqual(len(second.heads), 6)

        on_platform(check)

    def test_request_that_may_have_run_is_not_sent_again(self):
        async def check(platform):
            for worker in await two_workers(platform):
                worker.fault = Fault.RESET
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 502)
            self.assertEqual(platform.runs(), 1)

        on_platform(check)

    def test_answer_of_another_request_never_reaches_the_caller(self):
        async def check(platform):
            for worker in await two_workers(platform):
                worker.fault = Fault.CROSSED
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 502)
            self.assertNotIn('response-signature', answer.headers)

        on_platform(check)

    def test_second_answer_on_a_connection_is_dropped(self):
        async def check(platform):
            await platform.add_worker('i-1', fault=Fault.EXTRA)
            await platform.add_entry()
            for number in range(5):
                answer = await platform.get(request_id=f'r{number}')
                self.assertEqual(answer.content, f'answer to r{number}'.encode())

        on_platform(check)

    def test_cut_answer_does_not_look_complete(self):
        async def check(platform):
            for worker in await two_workers(platform):
                worker.fault = Fault.CUT
            with self.assertRaises(httpx.HTTPError):
                await platform.send('POST', '/p/x')

        on_platform(check)

    def test_answer_without_a_length_arrives_whole(self):
        async def check(platform):
            await platform.add_worker('i-1', is_unframed=True)
            await platform.add_entry()
            answer = await platform.get()
            self.assertEqual(answer.content, b'answer to r1')

        on_platform(check)

    def test_address_of_another_server_is_not_used(self):
        async def check(platform):
            port = await platform.add_worker('i-1')
            platform.register('i-gone', 'one', port)
            platform.store.remove('servers', 'i-1')
            await platform.add_entry()
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertEqual(platform.runs(), 0)

        on_platform(check)

    def test_caller_that_disconnects_ends_the_run(self):
        async def check(platform):
            await platform.add_worker('i-1', work_seconds=20)
            await platform.add_entry()
            with trio.move_on_after(0.3):
                await platform.get()
            await wait_for(lambda: platform.worker_by_id['i-1'].cancelled)

        on_platform(check)

    def test_silent_server_is_not_chosen(self):
        async def check(platform):
            first, second = await two_workers(platform)
            first.is_unresponsive = True
            for number in range(4):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200)
            self.assertEqual(len(second.heads), 4)

        on_platform(check)

    def test_request_at_a_server_that_falls_silent_goes_to_another(self):
        async def check(platform):
            workers = await two_workers(platform)
            # Each answer adds a share of a repeated send to the retry budget.
            for number in range(10):
                await platform.send('POST', '/p/x', request_id=f'before-{number}')
            for worker in workers:
                worker.fault = Fault.SILENT
                worker.heads.clear()
            answers = []

            async def send():
                answers.append(await platform.get(deadline_ms=1400))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await wait_for(lambda: any(worker.heads for worker in workers))
                first, other = sorted(workers, key=lambda worker: not worker.heads)
                first.is_unresponsive = True
                other.fault = Fault.NONE
            self.assertEqual(answers[0].status_code, 200)
            self.assertEqual(len(other.heads), 1)

        on_platform(check)

    def test_servers_that_answer_probes_late_are_still_used(self):
        async def check(platform):
            await two_workers(platform, probe_seconds=0.1)
            platform.entries[0].sampler.answer_seconds = 0.02
            for number in range(4):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200)

        on_platform(check)

    def test_server_without_a_free_connection_does_not_look_silent(self):
        async def check(platform):
            await two_workers(platform)
            entry = platform.entries[0]
            directory = entry.sampler.health.directory
            router = directory.router_by_service['one']
            address = directory.address_by_backend['i-1']
            connections = entry.pool.connections_by_address[address]
            connections.limit = 1
            await connections.acquire_slot()
            entry.sampler.answer_seconds = 0.02
            await entry.sampler.refresh_one(router, 'i-1')
            self.assertFalse(router.is_silent('i-1'))
            connections.release_slot()
            entry.sampler.answer_seconds = PROBE_SECONDS
            await entry.sampler.refresh_one(router, 'i-1')
            self.assertIsNotNone(router.load_by_id['i-1'].report)

        on_platform(check)

    def test_slowed_server_is_not_chosen(self):
        async def check(platform):
            first, second = await two_workers(platform)
            first.percent = 400
            for number in range(6):
                await platform.send('POST', '/p/x', request_id=f'r{number}')
            self.assertEqual(len(second.heads), 6)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

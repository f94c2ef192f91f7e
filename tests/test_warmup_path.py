"""Requests to cold servers, on an emulated platform in one event loop."""

import unittest
from collections.abc import Callable

import trio

from catkinslip.clock import SystemClock
from standins.workers import Worker
from tests.platform_builders import config_spec
from tests.small_platform import (
    GENEROUS_SECONDS,
    SmallPlatform,
    on_platform,
    wait_at_most,
    wait_for,
)

#: Requests a second that a cold server handles: 4 * 1.5 + 4.
BOUND = 10
BOUNDS = ',"cold_excess=1.5","cold_slack=4"'
COLD_SECONDS = 4.0
CLOCK = SystemClock()


def always() -> bool:
    """Return True, for no condition."""
    return True


async def warm_and_cold(platform: SmallPlatform, instances: int = 1) -> list[Worker]:
    """Start two servers, the second to turn cold later, and some instances."""
    platform.bounds = BOUNDS
    platform.store.put('config', 'main', config_spec(cold_per_s=4.0))
    for server_id in ('i-1', 'i-2'):
        await platform.add_worker(server_id, cold_bound=BOUND, work_seconds=0.01)
    for _ in range(instances):
        entry = await platform.add_entry()
        # Make the instances senders at once; no other instance can be one here.
        await wait_for(
            lambda entry=entry: entry.instances.sender_lease.listed_since < 1e9
        )
        entry.instances.sender_lease.listed_since -= 60
    for entry in platform.entries:
        count = len(platform.entries) - 1
        await wait_for(lambda e=entry, n=count: len(e.instances.peer_by_id) == n)
    return list(platform.worker_by_id.values())


async def send_load(
    platform: SmallPlatform,
    seconds: float,
    until: Callable[[], object] = always,
) -> set[int]:
    """Send requests for some seconds and until a condition holds.

    Return the statuses.
    """
    statuses = set()

    async def call(entry: int, number: int) -> None:
        count = 0
        while True:
            count += 1
            answer = await platform.get(
                '/q/a', entry, request_id=f'r{entry}-{number}-{count}'
            )
            statuses.add(answer.status_code)

    async with trio.open_nursery() as nursery:
        for entry in range(len(platform.entries)):
            for number in range(4):
                nursery.start_soon(call, entry, number)
        await trio.sleep(seconds)
        await wait_for(until)
        nursery.cancel_scope.cancel()
    return statuses


class ColdPathTest(unittest.TestCase):
    """Requests that arrive at a cold server."""

    def test_server_that_turns_cold_later_gets_at_most_what_it_handles(self):
        async def check(platform):
            _, cold = await warm_and_cold(platform, instances=3)
            await send_load(platform, 0.5, lambda: cold.heads)
            cold.turn_cold(GENEROUS_SECONDS)
            await send_load(platform, 2.5, lambda: cold.cold_arrivals)
            self.assertLessEqual(cold.max_cold_arrivals(), BOUND)
            self.assertFalse(cold.process.cancel_called)

        on_platform(check)

    def test_reopened_zone_with_cold_servers_gets_requests(self):
        async def check(platform):
            near, cold = await warm_and_cold(platform, instances=2)
            platform.store.put('evacuations', 'zone-a', {})
            await wait_for(
                lambda: all(e.assembler.evacuated_zones for e in platform.entries)
            )
            for worker in (near, cold):
                worker.turn_cold(GENEROUS_SECONDS)
            platform.store.remove('evacuations', 'zone-a')
            await wait_for(
                lambda: not any(e.assembler.evacuated_zones for e in platform.entries)
            )
            statuses = await send_load(
                platform, 2.5, lambda: near.cold_arrivals and cold.cold_arrivals
            )
            for worker in (near, cold):
                self.assertLessEqual(worker.max_cold_arrivals(), BOUND)
            # The other calls are refused at once and may be retried.
            self.assertLessEqual(statuses, {200, 503})

        on_platform(check)

    def test_reopened_zone_with_warm_servers_is_detected_by_its_first_calls(self):
        async def check(platform):
            await warm_and_cold(platform)
            entry = platform.entries[0]
            router = entry.sampler.health.directory.router_by_service['one']
            platform.store.put('evacuations', 'zone-a', {})
            await wait_for(lambda: platform.entries[0].assembler.evacuated_zones)
            platform.store.remove('evacuations', 'zone-a')
            await wait_for(lambda: not platform.entries[0].assembler.evacuated_zones)
            self.assertEqual(len(router.cold.cold(CLOCK.monotonic())), 2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_load, platform, COLD_SECONDS)
                # Without a probe's answer the servers would stay cold for 3 s.
                is_known = await wait_at_most(
                    1.5, lambda: not router.cold.cold(CLOCK.monotonic())
                )
                nursery.cancel_scope.cancel()
            self.assertTrue(is_known)

        on_platform(check)

    def test_new_server_without_a_cold_report_is_treated_as_cold(self):
        async def check(platform):
            await warm_and_cold(platform)
            entry = platform.entries[0]
            port = await platform.add_worker('i-3', cold_bound=BOUND)
            platform.worker_by_id['i-3'].turn_cold(COLD_SECONDS)
            platform.register('i-3', 'one', port, cold_left_s=None)
            router = entry.sampler.health.directory.router_by_service['one']
            await wait_for(lambda: 'i-3' in router.load_by_id)
            await send_load(platform, 1.5)
            worker = platform.worker_by_id['i-3']
            self.assertLessEqual(worker.max_cold_arrivals(), BOUND)

        on_platform(check)

    def test_call_is_refused_if_all_servers_are_cold_and_no_instance_is_a_sender(self):
        async def check(platform):
            workers = await warm_and_cold(platform)
            entry = platform.entries[0]
            entry.instances.sender_lease.listed_since = trio.current_time()
            for worker in workers:
                worker.turn_cold(COLD_SECONDS)
            router = entry.sampler.health.directory.router_by_service['one']
            router.cold.mark_possibly_restarted(router.loads, CLOCK.monotonic(), 'test')
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('cold', answer.text)
            self.assertEqual([worker.cold_arrivals for worker in workers], [[], []])

        on_platform(check)

    def test_crash_of_a_cold_server_leads_to_no_verdict(self):
        async def check(platform):
            for number in range(4):
                await platform.add_worker(f'i-{number}', cold_bound=0)
            platform.bounds = BOUNDS
            platform.store.put('config', 'main', config_spec(cold_per_s=4.0))
            entry = await platform.add_entry()
            lease = entry.instances.sender_lease
            await wait_for(lambda: lease.listed_since < 1e9)
            lease.listed_since -= 60
            for worker in platform.worker_by_id.values():
                worker.turn_cold(COLD_SECONDS)
            router = entry.sampler.health.directory.router_by_service['one']
            router.cold.mark_possibly_restarted(router.loads, CLOCK.monotonic(), 'test')
            ended = []
            for number in range(4):
                await platform.send('POST', '/p/x', request_id=f'r{number}')
                ended.append(
                    sum(
                        worker.process.cancel_called
                        for worker in platform.worker_by_id.values()
                    )
                )
            # Later copies of the request go to no cold server, and none gets a verdict.
            self.assertEqual(ended, [1, 1, 1, 1])
            self.assertEqual(entry.crash_registry.verdicts, 0)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

"""Cold times in the answers to load probes, and probes during shutdown."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

import h11
import trio
import trio.testing

from catkinslip.config.documents import Backend, Service
from catkinslip.health import sampler as module
from catkinslip.health.sampler import LoadSampler
from catkinslip.models import Address
from catkinslip.platform.dialect import PlatformDialect
from catkinslip.proxy.pool import Purpose
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from catkinslip.warmup.gate import ColdGate
from tests.builders import ignored_reach

NOW = 100.0
ROUND_TRIP_SECONDS = 0.01
START_SECONDS = 3.0
BOUND = 10.0
#: The event loop runs its tasks in random order: this many runs cover both orders.
ORDERS = 40
SERVICE = Service()
BACKEND = Backend('limits', zone='zone-a', host='10.0.0.1', port=80, cold_seconds=0.0)


class ColdAnswerTest(unittest.TestCase):
    """A server is cold for the time that it reports; a malformed time has no effect."""

    def setUp(self):
        self.now = NOW
        self.headers = [(b'instance-id', b'i-1')]
        self.router = ServiceRouter(LeastInFlight(Random(1)), cold=ColdGate())
        self.router.cold.configure(START_SECONDS, BOUND)
        self.router.change(SERVICE, {'i-1': BACKEND}, NOW)
        self.load = self.router.load_by_id['i-1']
        self.during_round_trip = lambda: None

    async def receive(self, wire) -> h11.Response:
        """Answer after a round trip, calling `during_round_trip` meanwhile."""
        self.now += ROUND_TRIP_SECONDS
        self.during_round_trip()
        return h11.Response(status_code=200, headers=self.headers)

    def probe(self, *cold: bytes) -> None:
        """Probe the server, whose answer has one `cold-ms` header for each value."""
        self.headers += [(b'cold-ms', each) for each in cold]
        register = SimpleNamespace(
            backends={'i-1': BACKEND}, services={'limits': SERVICE}
        )
        sampler = LoadSampler(
            health=SimpleNamespace(
                document=SimpleNamespace(register=register), **ignored_reach()
            ),
            pool=None,
            clock=SimpleNamespace(monotonic=lambda: self.now),
            dialect=PlatformDialect(),
            probes_per_second=1.0,
            count_instances=lambda: 1,
        )

        async def nothing(*args: object) -> None:
            pass

        with (
            patch.object(module, 'receive_response', self.receive),
            patch.object(module, 'drain_body', nothing),
        ):
            wire = SimpleNamespace(send=nothing)
            self.assertTrue(trio.run(sampler._probe, self.router, self.load, wire))

    def test_reported_time_counts_from_the_answer(self):
        self.probe(b'2500')
        self.assertAlmostEqual(self.load.cold_until, self.now + 2.5)

    def test_server_without_a_cold_time_is_warm(self):
        self.router.cold.mark_cold(self.load, 60.0, NOW, 'test')
        self.probe()
        self.assertFalse(self.load.is_cold(self.now))

    def test_malformed_time_keeps_the_known_time(self):
        self.router.cold.mark_cold(self.load, 60.0, NOW, 'test')
        for malformed in (b'', b'-1', b'soon', b'nan', b'1e9'):
            with self.subTest(malformed), self.assertLogs('health', 'INFO'):
                self.probe(malformed)
            self.assertTrue(self.load.is_cold(self.now))
            del self.headers[1:]

    def test_earlier_answer_does_not_end_a_possible_restart(self):
        self.during_round_trip = lambda: self.router.mark_possibly_restarted(
            'i-1', self.now
        )
        self.probe(b'0')
        self.assertTrue(self.load.is_cold(self.now))
        self.during_round_trip = lambda: None
        self.probe()
        self.assertFalse(self.load.is_cold(self.now))


class EndTest(unittest.TestCase):
    """No probe starts after the sampler has ended.

    A call that is woken in the same step of the event loop as the cancellation may
    start one more probe after the sampler's tasks have ended. Such a probe raised
    `RuntimeError: Nursery is closed to new arrivals`, which ends an instance with a
    traceback.
    """

    def make_sampler(self, router: ServiceRouter, pool: object) -> LoadSampler:
        """Return a sampler of one server."""
        address = Address('127.0.0.1', 80)
        directory = SimpleNamespace(
            address_by_backend={'i-1': address}, router_by_service={'limits': router}
        )
        health = SimpleNamespace(
            directory=directory,
            key_by_id={'i-1': None},
            rank=lambda router, tried: router.rank(NOW, tried),
            **ignored_reach(),
        )
        return LoadSampler(
            health=health,
            pool=pool,
            clock=SimpleNamespace(monotonic=lambda: NOW),
            dialect=PlatformDialect(),
            probes_per_second=100.0,
            count_instances=lambda: 1,
        )

    def test_call_that_is_woken_as_the_last_probe_ends_sends_no_probe(self):
        # In one of the two orders in which the loop may run the tasks, the nursery is
        # already closed and its task ends only in the next step.
        async def run():
            router = ServiceRouter(LeastInFlight(Random(1)))
            router.change(SERVICE, {'i-1': BACKEND}, NOW)
            probe_ends = trio.Event()

            class HangingPool:
                def is_full(self, address: Address) -> bool:
                    return False

                async def acquire(self, address: Address, purpose: Purpose) -> None:
                    try:
                        await trio.sleep_forever()
                    finally:
                        probe_ends.set()

            sampler = self.make_sampler(router, HangingPool())

            async def outlive() -> None:
                with trio.CancelScope(shield=True):
                    await probe_ends.wait()
                    sampler.probing_ids.clear()
                    sampler.bucket_by_id.clear()
                    await sampler.refresh_one(router, 'i-1')

            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                nursery.start_soon(outlive)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(sampler.refresh_one, router, 'i-1')
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return sampler.sent

        for _ in range(ORDERS):
            self.assertEqual(trio.run(run), 1)

    def test_call_that_outlives_the_sampler_sends_no_probe(self):
        router = ServiceRouter(LeastInFlight(Random(1)))
        router.change(SERVICE, {'i-1': BACKEND}, NOW)
        sampler = self.make_sampler(
            router, SimpleNamespace(is_full=lambda address: False)
        )

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            await sampler.refresh_one(router, 'i-1')
            await sampler.refresh(router, [])

        trio.run(run)
        self.assertEqual(sampler.sent, 0)


if __name__ == '__main__':
    unittest.main()

"""What the answer to a probe is taken to say of a cold server."""

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
from catkinslip.routing.policies import LeastInFlight
from catkinslip.routing.router import ServiceRouter
from catkinslip.warmup.gate import ColdGate

NOW = 100.0
ROUND_TRIP_SECONDS = 0.01
START_SECONDS = 3.0
BOUND = 10.0
#: The loop draws the order of its tasks: so many runs see both.
ORDERS = 40
SERVICE = Service()
BACKEND = Backend('limits', zone='zone-a', host='10.0.0.1', port=80, cold_seconds=0.0)


class ColdAnswerTest(unittest.TestCase):
    """A server is cold for as long as it says, or for as long as was known before."""

    def setUp(self):
        self.now = NOW
        self.headers = [(b'instance-id', b'i-1')]
        self.router = ServiceRouter(LeastInFlight(Random(1)), cold=ColdGate())
        self.router.cold.configure(START_SECONDS, BOUND)
        self.router.change(SERVICE, {'i-1': BACKEND}, NOW)
        self.load = self.router.load_by_id['i-1']
        self.on_the_way = lambda: None

    async def receive(self, wire) -> h11.Response:
        """Answer after a round trip, and let something happen meanwhile."""
        self.now += ROUND_TRIP_SECONDS
        self.on_the_way()
        return h11.Response(status_code=200, headers=self.headers)

    def probe(self, *cold: bytes) -> None:
        """Ask the server, which tells that it is cold in as many headers."""
        self.headers += [(b'cold-ms', each) for each in cold]
        register = SimpleNamespace(
            backends={'i-1': BACKEND}, services={'limits': SERVICE}
        )
        asker = LoadSampler(
            health=SimpleNamespace(document=SimpleNamespace(register=register)),
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
            self.assertTrue(trio.run(asker._probe, self.router, self.load, wire))

    def test_time_that_is_told_counts_from_the_answer(self):
        self.probe(b'2500')
        self.assertAlmostEqual(self.load.cold_until, self.now + 2.5)

    def test_server_that_tells_nothing_is_warm(self):
        self.router.cold.mark_cold(self.load, 60.0, NOW, 'test')
        self.probe()
        self.assertFalse(self.load.is_cold(self.now))

    def test_malformed_time_leaves_what_was_known(self):
        self.router.cold.mark_cold(self.load, 60.0, NOW, 'test')
        for malformed in (b'', b'-1', b'soon', b'nan', b'1e9'):
            with self.subTest(malformed), self.assertLogs('health', 'INFO'):
                self.probe(malformed)
            self.assertTrue(self.load.is_cold(self.now))
            del self.headers[1:]

    def test_answer_that_was_on_its_way_ends_no_doubt(self):
        self.on_the_way = lambda: self.router.mark_possibly_restarted('i-1', self.now)
        self.probe(b'0')
        self.assertTrue(self.load.is_cold(self.now))
        self.on_the_way = lambda: None
        self.probe()
        self.assertFalse(self.load.is_cold(self.now))


class EndTest(unittest.TestCase):
    """What is asked while everything ends.

    A call that was woken in the step of the loop in which all was cancelled may want
    one more probe after the sampler's tasks have ended. It raised `RuntimeError:
    Nursery is closed to new arrivals`, which ends an instance with a trace.
    """

    def asker(self, router: ServiceRouter, pool: object) -> LoadSampler:
        """Return a sampler of one server."""
        address = Address('127.0.0.1', 80)
        directory = SimpleNamespace(
            address_by_backend={'i-1': address}, router_by_service={'limits': router}
        )
        health = SimpleNamespace(
            directory=directory,
            key_by_id={'i-1': None},
            rank=lambda router, tried: router.rank(NOW, tried),
        )
        return LoadSampler(
            health=health,
            pool=pool,
            clock=SimpleNamespace(monotonic=lambda: NOW),
            dialect=PlatformDialect(),
            probes_per_second=100.0,
            count_instances=lambda: 1,
        )

    def test_call_that_is_woken_as_the_last_probe_ends_asks_nobody(self):
        # The nursery is closed by then, and its task ends only in the next step: in one
        # of two orders in which the loop may go on.
        async def run():
            router = ServiceRouter(LeastInFlight(Random(1)))
            router.change(SERVICE, {'i-1': BACKEND}, NOW)
            probe_ends = trio.Event()

            class HangingPool:
                def is_full(self, address: Address) -> bool:
                    return False

                async def acquire(self, address: Address) -> None:
                    try:
                        await trio.sleep_forever()
                    finally:
                        probe_ends.set()

            asker = self.asker(router, HangingPool())

            async def outlive() -> None:
                with trio.CancelScope(shield=True):
                    await probe_ends.wait()
                    asker.asking.clear()
                    asker.bucket_by_id.clear()
                    await asker.look(router, 'i-1')

            async with trio.open_nursery() as nursery:
                nursery.start_soon(asker.run)
                nursery.start_soon(outlive)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(asker.look, router, 'i-1')
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return asker.sent

        for _ in range(ORDERS):
            self.assertEqual(trio.run(run), 1)

    def test_call_that_outlives_the_sampler_asks_nobody(self):
        router = ServiceRouter(LeastInFlight(Random(1)))
        router.change(SERVICE, {'i-1': BACKEND}, NOW)
        asker = self.asker(router, SimpleNamespace(is_full=lambda address: False))

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(asker.run)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            await asker.look(router, 'i-1')
            await asker.refresh(router, [])

        trio.run(run)
        self.assertEqual(asker.sent, 0)


if __name__ == '__main__':
    unittest.main()

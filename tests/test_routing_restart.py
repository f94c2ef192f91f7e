"""All parts treat a server that restarts under its ID as a new server."""

import unittest
from random import Random

import orjson
import trio

from catkinslip.clock import SystemClock
from catkinslip.config.documents import (
    AcceptedConfig,
    Backend,
    Document,
    Register,
    Service,
    to_plain,
)
from catkinslip.health.drain import DrainSignal
from catkinslip.health.sharing import ReportSharer
from catkinslip.health.tracker import make_tracker
from catkinslip.models import Address
from catkinslip.proxy.pool import BackendPool, IdleWire
from catkinslip.routing.base import LoadReport
from catkinslip.routing.delay import PAUSED_DELAY, ExpectedDelay
from catkinslip.routing.directory import Directory
from catkinslip.routing.router import ServiceRouter
from tests.small_platform import on_platform, wait_for

LOCAL_ADDRESS = Address('127.0.0.1', 9)
FULL = LoadReport(2, 0.1)


def config(incarnation: int) -> AcceptedConfig:
    """Return a configuration with one server of some incarnation."""
    backend = Backend('limits', 'zone-a', '10.0.0.1', 80, incarnation=incarnation)
    register = Register({'limits': Service(2)}, {'limits-1': backend})
    return AcceptedConfig(document=Document(register))


class RestartTest(unittest.TestCase):
    """The state of the earlier start is discarded."""

    def setUp(self):
        self.clock = SystemClock()
        self.directory = Directory(lambda: ExpectedDelay(Random(1)))
        self.health = make_tracker(self.directory, self.clock, Random(1), 1)
        self.sharer = ReportSharer(LOCAL_ADDRESS, list, self.directory, self.clock)
        self.update(7)

    def update(self, incarnation: int) -> None:
        self.directory.update(config(incarnation))
        self.health.update(config(incarnation))

    @property
    def router(self) -> ServiceRouter:
        return self.directory.router_by_service['limits']

    def test_load_speed_silence_and_pauses_end(self):
        now = self.clock.monotonic()
        self.router.started('limits-1', now)
        self.router.apply_peer_report('limits-1', FULL, now)
        self.router.mark_silent('limits-1')
        self.router.mark_unhealthy('limits-1', now)
        before = self.router.load_by_id['limits-1']
        self.update(8)
        load = self.router.load_by_id['limits-1']
        self.assertFalse(self.router.is_known(before))
        self.assertEqual((load.in_flight, load.report), (0, None))
        self.assertFalse(load.is_silent)
        self.assertLess(self.router.choose(now).delay, PAUSED_DELAY)

    def test_the_same_start_changes_nothing(self):
        before = self.router.started('limits-1', 1.0)
        self.update(7)
        self.assertTrue(self.router.is_known(before))
        self.assertEqual(self.router.load_by_id['limits-1'].in_flight, 1)

    def test_drain_signals_and_refused_connections_end(self):
        now = self.clock.monotonic()
        key = self.health.key_by_id['limits-1']
        self.health.drain.add_signal(key, DrainSignal.OWN, now)
        self.health.apply_changes()
        self.health.record_refusal('limits-1')
        self.assertIsNone(self.router.choose(now))
        self.update(8)
        self.assertIsNotNone(self.router.choose(now))
        self.assertEqual(self.health.reachability.avoided_ids(now), [])

    def test_datagram_on_the_earlier_start_is_ignored(self):
        self.update(8)
        datagram = {
            'reports': [['limits-1', 7, 2.0, 0.1, 0]],
            'silent': [['limits-1', 7]],
        }
        self.sharer.apply_datagram(orjson.dumps(datagram))
        load = self.router.load_by_id['limits-1']
        self.assertIsNone(load.report)
        self.assertFalse(load.is_silent)
        datagram['reports'][0][1] = 8
        self.sharer.apply_datagram(orjson.dumps(datagram))
        self.assertEqual(load.report, FULL)

    def test_datagram_names_the_start(self):
        self.router.apply_peer_report('limits-1', FULL, self.clock.monotonic())
        self.sharer.queue_load(self.router.load_by_id['limits-1'])
        datagram = orjson.loads(self.sharer.encode())
        self.assertEqual(datagram['reports'][0][:2], ['limits-1', 7])

    def test_unknown_incarnation_is_left_out_of_a_document(self):
        plain = to_plain(config(0).document)
        self.assertNotIn('incarnation', plain['register']['backends']['limits-1'])


class PoolTest(unittest.TestCase):
    """Idle connections to the earlier start are not reused."""

    def test_idle_connections_are_dropped_and_closed(self):
        async def check():
            pool = BackendPool()
            pool.update(config(7))
            connections = pool.connections_by_address[Address('10.0.0.1', 80)]
            wire = ClosingWire()
            connections.idle.append(IdleWire(wire, trio.current_time()))
            pool.update(config(7))
            self.assertEqual(len(connections.idle), 1)
            pool.update(config(8))
            self.assertEqual(connections.idle, [])
            await pool.trim()
            self.assertTrue(wire.is_closed)

        trio.run(check)


class ClosingWire:
    """A connection that can only be closed."""

    is_closed = False

    async def close(self) -> None:
        self.is_closed = True


class LateAnswerTest(unittest.TestCase):
    """A late answer of the earlier start, on the whole path."""

    def test_it_reaches_its_caller_and_does_not_affect_the_new_start(self):
        async def check(platform):
            port = await platform.add_worker('i-1', work_seconds=0.3)
            entry = await platform.add_entry()
            router = entry.sampler.health.directory.router_by_service['one']
            answers = []

            async def ask():
                answers.append(await platform.send('POST', '/p/x'))

            platform.nursery.start_soon(ask)
            await wait_for(lambda: platform.runs())
            platform.register('i-1', 'one', port, born=1_780_000_000_000)
            await wait_for(lambda: router.load_by_id['i-1'].incarnation)
            self.assertEqual(router.load_by_id['i-1'].in_flight, 0)
            await wait_for(lambda: answers)
            self.assertEqual(answers[0].status_code, 200)
            self.assertEqual(platform.runs(), 1)
            self.assertEqual(router.load_by_id['i-1'].in_flight, 0)
            self.assertIsNone(router.load_by_id['i-1'].report)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

"""Crash reports to peers, crash records in a store, and trials."""

import unittest

import trio
from returns.result import Failure, Success

from catkinslip.clock import SystemClock
from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.guard import NO_TRIAL_RETRY_SECONDS, CrashGuard
from catkinslip.crashes.identity import RequestKey, key_of, query_of
from catkinslip.crashes.objects import (
    ObjectCrashStore,
    record_from_plain,
    record_to_plain,
)
from catkinslip.crashes.publisher import CrashPublisher
from catkinslip.crashes.registry import MAX_SERVERS, CrashRegistry
from catkinslip.crashes.suspect import Verdict
from catkinslip.crashes.synchronizer import CrashSynchronizer
from catkinslip.crashes.topic import MAX_REPORTS, CrashTopic
from catkinslip.store.base import Conflict
from catkinslip.store.embedded import EmbeddedStore
from tests.builders import plain_call
from tests.test_crashes_registry import KEY, NOW, registry_with

MALFORMED_ENDS = (
    None,
    7,
    [[1]],
    [['t', 'c', None]],
    [['t', 'c', 'text']],
    {'t': 'c'},
)


class TopicTest(unittest.TestCase):
    """Crash reports in the product's own peer exchange, each sent once."""

    def topic(self, registry: CrashRegistry) -> CrashTopic:
        return CrashTopic(registry, lambda: NOW)

    def test_peer_receives_each_crash_once(self):
        one, two = self.topic(registry_with(3)), self.topic(CrashRegistry())
        two.receive(one.updates_for(two.digest()))
        self.assertEqual(two.registry.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)
        self.assertIsNone(one.updates_for(two.digest()))
        self.assertIsNone(two.updates_for(one.digest()))

    def test_most_severe_are_sent_and_their_number_is_bounded(self):
        registry = registry_with(3)
        for number in range(3 * MAX_REPORTS):
            registry.record_crash(RequestKey(f't{number}', 'c'), 'q', 'i-1/1', NOW)
        reports = self.topic(registry).updates_for(None)
        self.assertEqual(len(reports), MAX_REPORTS)
        self.assertEqual(reports[0][:2], [KEY.target, KEY.content])

    def test_malformed_reports_are_refused(self):
        for reports in MALFORMED_ENDS:
            with self.assertRaises(ValueError):
                self.topic(CrashRegistry()).receive(reports)


class DatagramTest(unittest.TestCase):
    """Datagrams with crash reports between instances on the platform."""

    def publisher(self, registry: CrashRegistry, sent: list) -> CrashPublisher:
        return CrashPublisher(
            'edge-1', registry, SystemClock(), list, lambda data, _: sent.append(data)
        )

    def test_each_datagram_is_sent_twice_and_fits_a_packet(self):
        sent: list[bytes] = []
        publisher = self.publisher(CrashRegistry(), sent)

        async def run():
            for number in range(20):
                key = RequestKey(f'{number:016x}', f'{number:032x}')
                crashes = {
                    f'i-{each:010x}/1778000000000': 'f' * 16 for each in range(3)
                }
                publisher.on_crash(key, crashes)
            with trio.move_on_after(0.5):
                await publisher.run()

        trio.run(run)
        self.assertEqual(len(sent), 2 * len(set(sent)))
        self.assertLess(max(map(len, sent)), 1472)

    def test_malformed_datagrams_are_refused(self):
        publisher = self.publisher(CrashRegistry(), [])
        servers = {f'i-{number}': 'q' for number in range(MAX_SERVERS)}
        for datagram in (
            {},
            {'by': 'x'},
            {'by': 'x', 'ends': 7},
            {'by': 'x', 'ends': [['t', 'c', {}]]},
            {'by': 'x', 'ends': [['t', 'c', servers]]},
        ):
            with self.assertRaises((AttributeError, KeyError, TypeError, ValueError)):
                publisher.apply_datagram(datagram)


class RecordTest(unittest.TestCase):
    """Crash records as objects of the product's own platform."""

    def test_write_needs_the_revision_that_is_stored(self):
        async def run():
            store = ObjectCrashStore(EmbeddedStore())
            record = CrashRecord(KEY, {'i-1/1': 'q', 'i-2/1': 'q'})
            written = (await store.write(record)).unwrap()
            self.assertEqual((await store.read(KEY)).unwrap(), written)
            again = await store.write(record)
            self.assertIsInstance(again, Failure)
            self.assertIsInstance(again.failure(), Conflict)
            self.assertEqual(await store.delete(written), Success(None))
            self.assertEqual(await store.read(KEY), Success(None))

        trio.run(run)

    def test_foreign_records_are_refused(self):
        good = record_to_plain(CrashRecord(KEY, {'i-1/1': 'q'}, 1))
        self.assertEqual(record_from_plain(good, 3).trials, 1)
        for wrong in (
            {'trials': True},
            {'trials': -1},
            {'ends': {'i-1': 7}},
            {'ends': None},
            {'target': ''},
            {'content': 9},
        ):
            with self.assertRaises((AttributeError, TypeError, ValueError)):
                record_from_plain({**good, **wrong}, 3)


class TrialTest(unittest.TestCase):
    """Trials, which need a grant of the store."""

    def guilty_guard(self) -> tuple[CrashGuard, object]:
        clock = SystemClock()
        guard, call = CrashGuard(clock), plain_call('limits')
        for number in range(3):
            server = f'i-{number}/1'
            guard.registry.record_crash(
                key_of(call), query_of(call), server, clock.monotonic()
            )
        guard.registry.suspect_by_key[key_of(call)].changed_at -= 1000.0
        return guard, call

    def test_without_a_store_there_is_none(self):
        guard, call = self.guilty_guard()
        refusal = trio.run(guard.refuse, call)
        self.assertEqual(refusal.retry_after, NO_TRIAL_RETRY_SECONDS)

    def test_two_instances_get_one(self):
        store = ObjectCrashStore(EmbeddedStore())
        granted = []
        for _ in range(2):
            guard, call = self.guilty_guard()
            guard.synchronizer = CrashSynchronizer(guard.registry, store, guard.clock)
            granted.append(trio.run(guard.refuse, call) is None)
        self.assertEqual(granted, [True, False])
        self.assertEqual(call.max_attempts, None)

"""Tests that every object store has to pass, and tests of the platform's faults."""

import tempfile
import unittest
from contextlib import asynccontextmanager
from math import inf
from pathlib import Path
from random import Random

import httpx
import trio
from returns.result import Success

from catkinslip.clock import SystemClock
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.watcher import ConfigWatcher
from catkinslip.store.base import (
    AnswerLost,
    Conflict,
    ListedInstance,
    ObjectKey,
    OverBudget,
    Unavailable,
)
from catkinslip.store.budget import TokenBucket
from catkinslip.store.budgeted import BudgetedStore
from catkinslip.store.embedded import EmbeddedStore
from catkinslip.store.http import CALLER_HEADER, HttpStore
from standins.platform import MAX_VALUE_BYTES
from standins.processes import ProcessGroup

GENEROUS_SECONDS = 30.0


class StoreRunner:
    """Mixin that runs a function with the store from `open_store` of a test class."""

    def setUp(self):
        self.key = ObjectKey('config', self.id())

    def run_async(self, function):
        async def run():
            with trio.fail_after(GENEROUS_SECONDS):
                async with self.open_store() as store:
                    return await function(store)

        return trio.run(run)


class Contract(StoreRunner):
    """Tests of the behaviour that every object store has in common."""

    def test_absent_object_is_none_and_can_be_deleted(self):
        async def act(store):
            await store.delete(self.key)
            return await store.read(self.key)

        self.assertEqual(self.run_async(act), Success(None))

    def test_write_needs_the_version_that_is_there(self):
        async def act(store):
            first = await store.write(self.key, {'n': 1}, 0)
            again = await store.write(self.key, {'n': 2}, 0)
            second = await store.write(self.key, {'n': 2}, first.unwrap().version)
            stale = await store.write(self.key, {'n': 3}, first.unwrap().version)
            return first, again, second, stale, await store.read(self.key)

        first, again, second, stale, found = self.run_async(act)
        self.assertGreater(second.unwrap().version, first.unwrap().version)
        self.assertEqual(again.failure(), Conflict(first.unwrap().version))
        self.assertEqual(stale.failure(), Conflict(second.unwrap().version))
        self.assertEqual(found, second)

    def test_one_of_many_writers_wins(self):
        async def act(store):
            results = []

            async def write(number):
                results.append(await store.write(self.key, {'n': number}, 0))

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(write, number)
            return results, await store.read(self.key)

        results, found = self.run_async(act)
        winners = [each for each in results if isinstance(each, Success)]
        self.assertEqual(winners, [found])

    def test_deleted_object_is_gone(self):
        async def act(store):
            await store.write(self.key, {}, 0)
            await store.delete(self.key)
            return await store.read(self.key)

        self.assertEqual(self.run_async(act), Success(None))

    def test_watch_returns_a_change_at_once_and_none_after_the_wait(self):
        async def act(store):
            written = (await store.write(self.key, {'n': 1}, 0)).unwrap()
            none = await store.wait_for_change(self.key, written.version, 0.05)
            seen = []

            async def watch():
                seen.append(
                    await store.wait_for_change(self.key, written.version, 20.0)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.05)
                second = await store.write(self.key, {'n': 2}, written.version)
            behind = await store.wait_for_change(self.key, written.version, 20.0)
            return none, seen[0], behind, second

        none, seen, behind, second = self.run_async(act)
        self.assertEqual(none, Success(None))
        self.assertEqual(seen, second)
        self.assertEqual(behind, second)

    def test_list_shows_the_last_announcement_of_an_instance(self):
        instance = ListedInstance('e1', 'zone-a', 'a:1', 'a:2', False)
        leaving = ListedInstance('e1', 'zone-a', 'a:1', 'a:2', True)

        async def act(store):
            await store.announce(instance)
            await store.announce(leaving)
            return (await store.list_instances()).unwrap()

        self.assertEqual(self.run_async(act), [leaving])


class EmbeddedStoreTest(Contract, unittest.TestCase):
    """The common tests with the store inside one process."""

    @asynccontextmanager
    async def open_store(self):
        yield EmbeddedStore()


class PlatformTest(unittest.TestCase):
    """Base class of tests with a stand-in process of the platform for each class."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        group = ProcessGroup(Path(folder.name))
        cls.addClassCleanup(group.stop_all)
        cls.url = f'http://{group.start_platform().address}'

    @asynccontextmanager
    async def open_store(self):
        headers = {CALLER_HEADER: self.id()}
        async with httpx.AsyncClient(base_url=self.url, headers=headers) as client:
            yield HttpStore(client, 10.0)


class HttpStoreTest(Contract, PlatformTest):
    """The common tests with the client of the object API."""


class PlatformFaultsTest(StoreRunner, PlatformTest):
    """Faults of the platform, each of which results in the matching outcome."""

    async def set_faults(self, store: HttpStore, **faults):
        await store.client.post('/standin/faults', json=faults)

    def outcomes(self, **faults):
        """Return the results of a write and a read under faults, and a read after."""

        async def act(store):
            await self.set_faults(store, **faults)
            write = await store.write(self.key, {'n': 1}, 0)
            read = await store.read(self.key)
            no_faults = {'down': False, 'delay': 0, 'cut_answers': 0, 'lose_answers': 0}
            await self.set_faults(store, **no_faults)
            return write.failure(), read, await store.read(self.key)

        return self.run_async(act)

    def test_platform_that_is_down_leaves_a_write_open(self):
        write, read, stored = self.outcomes(down=True)
        self.assertIsInstance(write, AnswerLost)
        self.assertIsInstance(read.failure(), Unavailable)
        self.assertEqual(stored, Success(None))

    def test_a_refusal_leaves_the_connection_usable(self):
        # A refusal that was sent before the body arrived made the next call hang.
        head = b'PUT /v1/objects/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n'
        get = b'GET /v1/objects/a/b HTTP/1.1\r\nHost: x\r\n\r\n'

        async def act(store):
            await self.set_faults(store, down=True)
            host, _, port = self.url.removeprefix('http://').rpartition(':')
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(head)
            for _ in range(3):
                await self.set_faults(store, down=True)
            await stream.send_all(b'{}' + get)
            received = b''
            while received.count(b'HTTP/1.1 503') < 2:
                received += await stream.receive_some()
            await stream.aclose()
            await self.set_faults(store, down=False)

        self.run_async(act)

    def test_lost_and_cut_answers_leave_a_write_open(self):
        for fault in ('lose_answers', 'cut_answers'):
            self.key = ObjectKey('config', fault)
            write, read, stored = self.outcomes(**{fault: 1})
            self.assertIsInstance(write, AnswerLost)
            self.assertEqual(stored.unwrap().value, {'n': 1})

    def test_refused_connection_is_no_call(self):
        async def act():
            async with httpx.AsyncClient(base_url='http://127.0.0.1:1') as client:
                return await HttpStore(client, 5.0).write(self.key, {}, 0)

        self.assertIsInstance(trio.run(act).failure(), Unavailable)

    def test_value_beyond_a_megabyte_is_refused(self):
        async def act(store):
            value = {'text': 'x' * MAX_VALUE_BYTES}
            return (
                await store.write(self.key, value, 0),
                await store.read(self.key),
            )

        write, read = self.run_async(act)
        self.assertIsInstance(write.failure(), Unavailable)
        self.assertEqual(read, Success(None))

    def test_call_over_the_budget_is_an_outcome_with_a_time(self):
        async def act(store):
            await self.set_faults(store, budget=2)
            results = [await store.read(self.key) for _ in range(20)]
            await self.set_faults(store, budget=0)
            return results

        refused = [each for each in self.run_async(act) if each != Success(None)]
        self.assertTrue(refused)
        self.assertEqual(refused[0].failure(), OverBudget(1.0))

    def test_watcher_stays_within_its_share_when_the_platform_is_down(self):
        async def act(store):
            await self.set_faults(store, down=True)
            bucket = TokenBucket(0.0)
            budgeted = BudgetedStore(store, SystemClock(), 40.0, 2, lambda: 1, bucket)
            watcher = ConfigWatcher(budgeted, ConfigHolder(), random=Random(1))
            watcher.backoff.max_bound = 0.001
            began = trio.current_time()
            with trio.move_on_after(2.0):
                await watcher.run()
            lasted = trio.current_time() - began
            await self.set_faults(store, down=False)
            callers = (await store.client.get('/standin/callers')).json()
            return callers[self.id()]['calls'], lasted

        with self.assertLogs('config'):
            calls, lasted = self.run_async(act)
        self.assertGreater(calls, 5)
        self.assertLessEqual(calls, 20 * lasted + 1)

    def test_calls_of_17_instances_and_a_restart_loop_stay_within_the_budget(self):
        budget, count, visible = 100.0, 17, 8  # A partition halves the members.

        async def call_on(store, restarts):
            while True:
                bucket = TokenBucket(0.0)
                budgeted = BudgetedStore(
                    store,
                    SystemClock(),
                    budget,
                    count,
                    lambda: visible,
                    bucket,
                )
                with trio.move_on_after(0.05 if restarts else inf):
                    while True:
                        await budgeted.read(self.key)

        async def act(store):
            began = trio.current_time()
            with trio.move_on_after(2.0):
                async with trio.open_nursery() as nursery:
                    for number in range(count):
                        nursery.start_soon(call_on, store, number == 0)
            lasted = trio.current_time() - began
            callers = (await store.client.get('/standin/callers')).json()
            return callers[self.id()]['calls'], lasted

        calls, lasted = self.run_async(act)
        self.assertGreater(calls, count)
        self.assertLessEqual(calls, budget * lasted + count)

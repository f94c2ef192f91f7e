"""Tests of the configurations that an instance applies from the platform."""

import unittest
from random import Random

import trio
from trio.testing import MockClock

from catkinslip.config.changes import apply_change
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.reading import CONFIG_KEY, StoredConfig, read_config
from catkinslip.config.watcher import WATCH_SECONDS, ConfigWatcher
from standins.registers import many_workers
from standins.store import FaultyStore
from tests.builders import document_of


class ConfigWatcherTest(unittest.TestCase):
    """Accepted changes come into force, and older configurations never do."""

    def setUp(self):
        self.store = FaultyStore()
        self.config = ConfigHolder()
        self.watches = True
        self.watcher = ConfigWatcher(
            self.store, self.config, lambda: self.watches, Random(1)
        )

    async def change(self, workers: int, raise_epoch: bool = False):
        base = await read_config(self.store)
        assert isinstance(base, StoredConfig)
        document = document_of(many_workers(workers, 1))
        await apply_change(
            self.store, base, document, f'to-{workers}', 'ana', raise_epoch=raise_epoch
        )

    async def settle(self, seconds: float = 3 * WATCH_SECONDS) -> int:
        """Let some seconds pass and return the number of workers in force."""
        await trio.sleep(seconds)
        return len(self.config.current.document.register.backends)

    def run_with_watcher(self, act):
        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watcher.run)
                result = await act()
                nursery.cancel_scope.cancel()
            return result

        return trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_changes_and_whole_documents_come_into_force(self):
        async def act():
            seen = []
            for workers in (2, 3, 600, 4):
                await self.change(workers)
                seen.append(await self.settle())
            return seen

        self.assertEqual(self.run_with_watcher(act), [2, 3, 600, 4])

    def test_instance_that_does_not_watch_polls_now_and_then(self):
        async def act():
            await self.change(2)
            first = await self.settle()
            self.watches = False
            self.store.reads = 0
            await self.settle(600)
            polls = self.store.reads
            await self.change(3)
            return first, polls, await self.settle(120)

        first, polls, last = self.run_with_watcher(act)
        self.assertEqual((first, last), (2, 3))
        self.assertLess(polls, 25)

    def test_instance_that_must_watch_after_all_begins_within_seconds(self):
        async def act():
            self.watches = False
            await self.change(2)
            await self.settle()
            self.watches = True
            await self.settle(3)
            await self.change(3)
            return await self.settle(0.1)

        self.assertEqual(self.run_with_watcher(act), 3)

    async def restore(self, failed_reads: int) -> int:
        """Restore the platform with lower object versions; return the workers in force.

        With `failed_reads`, the instance sees failed reads of the platform in between.
        """
        await self.change(2)
        await self.change(3)
        await self.settle(1)
        version = self.store.object_by_key[CONFIG_KEY].version
        self.store.object_by_key.clear()
        if failed_reads:
            self.store.reads_down = failed_reads
            await self.settle()
        await self.change(4)
        await self.change(5, raise_epoch=True)
        self.assertEqual(self.store.object_by_key[CONFIG_KEY].version, version)
        return await self.settle()

    def test_restored_platform_that_counts_again_is_noticed(self):
        with self.assertLogs('config', 'WARNING'):
            self.assertEqual(self.run_with_watcher(lambda: self.restore(3)), 5)

    def test_restored_platform_is_noticed_though_no_call_failed(self):
        self.assertEqual(self.run_with_watcher(lambda: self.restore(0)), 5)

    def test_damaged_objects_change_nothing_and_are_logged(self):
        async def act():
            await self.change(2)
            await self.settle(1)
            await self.store.write(CONFIG_KEY, {'changes': 3}, 1)
            return await self.settle(3)

        with self.assertLogs('config', 'WARNING') as logs:
            self.assertEqual(self.run_with_watcher(act), 2)
        self.assertIn('malformed', logs.output[0])

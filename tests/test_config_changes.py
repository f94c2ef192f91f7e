"""Tests of concurrent configuration changes and of lost answers of the platform."""

import unittest

import trio
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from catkinslip.config.changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    ChangeUnknown,
    apply_change,
)
from catkinslip.config.documents import AcceptedConfig, Document, converter
from catkinslip.config.history import CHANGES_PER_SNAPSHOT
from catkinslip.config.reading import (
    CONFIG_KEY,
    SNAPSHOT_KIND,
    StoredConfig,
    read_config,
)
from catkinslip.store.base import Conflict
from standins.registers import many_workers
from standins.store import FaultyStore
from tests.builders import document_of

OPERATIONS = st.lists(
    st.tuples(
        st.integers(0, 3),  # Number of reads that the base is behind.
        st.sampled_from(('', '', 'lost', 'dropped', 'late', 'refused')),
        st.integers(1, 6),  # Number of reads until a late write is applied.
        st.sampled_from((0, 0, 0, 1, 4, 9)),  # Number of reads that fail.
    ),
    min_size=1,
    max_size=12,
)


class ConfigChangesTest(unittest.TestCase):
    """Each change has exactly one outcome, which matches the state of the platform."""

    def setUp(self):
        self.store = FaultyStore()

    def run_async(self, function, *arguments):
        return trio.run(function, *arguments, clock=MockClock(autojump_threshold=0))

    async def change(self, workers: int, base: StoredConfig | None = None):
        base = base or await read_config(self.store)
        document = document_of(many_workers(workers, 1))
        return await apply_change(self.store, base, document, f'to-{workers}', 'ana')

    async def workers(self) -> int:
        found = await read_config(self.store)
        return len(found.config.document.register.backends)

    def test_loser_of_a_race_gets_the_change_that_came_first(self):
        async def race():
            await self.change(1)
            base = await read_config(self.store)
            await self.change(2, base)
            await self.change(3)
            return await self.change(4, base), await self.workers()

        outcome, workers = self.run_async(race)
        self.assertIsInstance(outcome, ChangeConflict)
        self.assertEqual(outcome.winner.change_id, 'to-2')
        self.assertEqual(outcome.winner.author, 'ana')
        self.assertEqual(workers, 3)

    def test_lost_answer_is_resolved_by_reading_back(self):
        async def lose():
            await self.change(1)
            self.store.faults = ['lost']
            return await self.change(2), await self.workers()

        outcome, workers = self.run_async(lose)
        self.assertIsInstance(outcome, ChangeAccepted)
        self.assertEqual(workers, 2)

    def test_change_is_found_under_a_later_one(self):
        async def lose():
            await self.change(1)
            base = await read_config(self.store)
            self.store.faults = ['late']
            self.store.reads_down = 2
            async with trio.open_nursery() as nursery:
                outcome = []

                async def first():
                    outcome.append(await self.change(2, base))

                nursery.start_soon(first)
                await trio.sleep(0.1)
                await self.store.write(*self.store.late.pop())
                await self.change(3)
            return outcome[0], await self.workers()

        outcome, workers = self.run_async(lose)
        self.assertIsInstance(outcome, ChangeAccepted)
        self.assertEqual(workers, 3)

    def test_dropped_write_is_kept_from_taking_effect_later(self):
        async def drop():
            await self.change(1)
            self.store.faults = ['dropped']
            base = await read_config(self.store)
            outcome = await self.change(2, base)
            late = await self.store.write(CONFIG_KEY, {}, base.object_version)
            return outcome, late, await self.workers()

        outcome, late, workers = self.run_async(drop)
        self.assertIsInstance(outcome, ChangeNotMade)
        self.assertIsInstance(late.failure(), Conflict)
        self.assertEqual(workers, 1)

    def test_late_write_that_lands_while_reading_back_is_accepted(self):
        async def late():
            await self.change(1)
            self.store.faults = ['late']
            return await self.change(2), await self.workers()

        outcome, workers = self.run_async(late)
        self.assertIsInstance(outcome, ChangeAccepted)
        self.assertEqual(workers, 2)

    def test_outcome_is_unknown_while_nothing_can_be_read(self):
        async def lose():
            await self.change(1)
            self.store.faults = ['lost', 'dropped', 'dropped', 'dropped']
            self.store.reads_down = 0
            base = await read_config(self.store)
            self.store.reads_down = 99
            return await self.change(2, base)

        outcome = self.run_async(lose)
        self.assertIsInstance(outcome, ChangeUnknown)
        self.assertEqual(outcome.change_id, 'to-2')

    def test_lost_answer_beyond_the_history_is_unknown_and_not_guessed(self):
        async def lose():
            await self.change(1)
            base = await read_config(self.store)
            self.store.faults = ['late', 'dropped']
            self.store.reads_down = 1
            outcome = []
            async with trio.open_nursery() as nursery:

                async def first():
                    outcome.append(await self.change(2, base))

                nursery.start_soon(first)
                await trio.sleep(0.01)
                self.store.late.clear()
                self.store.faults = []
                for number in range(100):
                    await self.change(3 + number % 5)
            return outcome[0]

        self.assertIsInstance(self.run_async(lose), ChangeUnknown)

    def test_fields_of_a_newer_program_are_not_written_over(self):
        rule = {'service': '*', 'path': '/', 'methods': ['GET'], 'repeatable': True}
        newer = {**rule, 'newer': 1}

        async def act():
            await self.change(1)
            base = await read_config(self.store)
            outcomes = []
            for plain in ({'rules': {'newer': {}}}, {'rules': {'requests': [newer]}}):
                document = converter.structure(plain, Document)
                version = base.config.version
                config = AcceptedConfig(version, 'x', 'ana', document, plain)
                outcomes.append(await self.change(2, evolve(base, config=config)))
            return outcomes

        for outcome in self.run_async(act):
            self.assertIsInstance(outcome, ChangeNotMade)

    def test_snapshots_that_no_head_names_are_deleted(self):
        async def many():
            base = await read_config(self.store)
            await self.change(1)
            lost = await self.change(2, base)
            for number in range(5 * CHANGES_PER_SNAPSHOT):
                await self.change(2 + number % 3)
            return lost

        self.assertIsInstance(self.run_async(many), ChangeConflict)
        kinds = [key.kind for key in self.store.object_by_key]
        self.assertEqual(kinds.count(SNAPSHOT_KIND), 2)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(OPERATIONS)
    def test_no_outcome_is_wrong_and_none_is_applied_twice(self, operations):
        self.store = store = FaultyStore()

        async def operate():
            outcome_by_id = {}
            readings = [await read_config(store)]
            for number, operation in enumerate(operations):
                behind, fault, store.late_after, down = operation
                base = readings[-1 - min(behind, len(readings) - 1)]
                store.faults = [fault] if fault else []
                store.reads_down = down
                document = document_of(many_workers(number + 1, 1))
                change_id = f'change-{number}'
                outcome_by_id[change_id] = await apply_change(
                    store, base, document, change_id, 'ana'
                )
                store.reads_down = 0
                readings.append(await read_config(store))
            await store.apply_late_writes()
            return outcome_by_id, readings

        outcome_by_id, readings = self.run_async(operate)
        last = [value['changes'][-1] for value in store.written if value['changes']]
        accepted_ids = {change['change_id'] for change in last}
        for change_id, outcome in outcome_by_id.items():
            if isinstance(outcome, ChangeAccepted):
                self.assertIn(change_id, accepted_ids)
            elif not isinstance(outcome, ChangeUnknown):
                self.assertNotIn(change_id, accepted_ids)
        versions = {str(change['version']) for change in last}
        self.assertEqual(len(versions), len(accepted_ids))
        read_versions = [each.config.version for each in readings]
        self.assertEqual(read_versions, sorted(read_versions))

"""Tests of the client of the platform's store."""

import unittest

import trio
import trio.testing
from returns.result import Failure, Success

from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.identity import RequestKey
from catkinslip.discovery.base import HistoryRemoved
from catkinslip.discovery.revisions import era_of
from catkinslip.platform.client import RESTORED
from catkinslip.platform.json_text import load_json
from catkinslip.platform.stored import StoredCrashes
from catkinslip.proxy.pool import KEEPALIVE_OPTIONS
from catkinslip.store.base import Conflict, OverBudget
from tests.small_platform import GENEROUS_SECONDS, on_platform


class ListingTest(unittest.TestCase):
    """Listings that consist of several pages."""

    def test_change_between_two_pages_is_news_after_the_listing(self):
        async def check(platform):
            store = platform.store
            for number in range(5):
                platform.register(f'i-{number}', 'one', 9000 + number)
            store.page_items = 2
            pages = []

            def remove_from_the_first_page():
                pages.append(True)
                if len(pages) == 1:
                    store.remove('servers', 'i-0')

            store.on_page = remove_from_the_first_page
            source = platform.server_source()
            listing = (await source.read_all()).unwrap()
            self.assertEqual(len(pages), 3)
            self.assertEqual(len(listing.value_by_name), 5)
            news = (await source.wait_for_changes(listing.revision, 1.0)).unwrap()
            self.assertEqual(news.changes, (('i-0', None),))

        on_platform(check)


class ForeignObjectsTest(unittest.TestCase):
    """Unreadable objects from another writer among the registered servers."""

    def test_listing_gives_all_others(self):
        async def check(platform):
            platform.register('i-1', 'one', 9001)
            platform.store.put('servers', 'i-2', 'no server', {'state': 'ready'})
            platform.register('i-3', 'one', 9003)
            platform.store.item_by_key['servers', 'i-4'] = {'spec': {}}
            platform.store.put('servers', 'i-5', {'addr': float('nan')})
            platform.store.page_items = 2
            listing = (await platform.server_source().read_all()).unwrap()
            self.assertEqual(sorted(listing.value_by_name), ['i-1', 'i-3'])

        on_platform(check)

    def test_page_of_objects_without_names_ends_the_listing(self):
        async def check(platform):
            for name in ('i-1', 'i-2', 'i-3'):
                platform.store.item_by_key['servers', name] = {'spec': {}}
            platform.store.page_items = 2
            self.assertIsInstance(await platform.server_source().read_all(), Failure)

        on_platform(check)

    def test_unreadable_change_removes_the_server_it_replaces(self):
        async def check(platform):
            platform.register('i-1', 'one', 9001)
            source = platform.server_source()
            listing = (await source.read_all()).unwrap()
            platform.store.put('servers', 'i-1', {'addr': '10.0.0.1:0'})
            news = (await source.wait_for_changes(listing.revision, 1.0)).unwrap()
            self.assertEqual(news.changes, (('i-1', None),))
            self.assertEqual(source.client.unreadable_by_kind['servers'], 1)

        on_platform(check)

    def test_bytes_that_are_no_text_spoil_only_their_own_value(self):
        self.assertEqual(load_json(b'{"a":"\xff","b":1}')['b'], 1)
        self.assertEqual(load_json(b'{"a":NaN,"b":1}')['b'], 1)


class StatusTest(unittest.TestCase):
    """Statuses that are understood without a readable body."""

    def test_removed_history_is_recognized_by_the_status_alone(self):
        async def check(platform):
            source = platform.server_source()
            listing = (await source.read_all()).unwrap()
            platform.store.put('config', 'other', {})
            platform.store.forget_history()
            lost = (await source.wait_for_changes(listing.revision - 1, 0.1)).failure()
            self.assertIsInstance(lost, HistoryRemoved)

        on_platform(check)


class EraTest(unittest.TestCase):
    """Answers of a store that was restored, whose era is then a later one."""

    def test_answer_of_an_earlier_era_or_of_none_is_refused(self):
        async def check(platform):
            source = platform.server_source()
            for era, is_accepted in (
                (None, 1),
                (2, 1),
                (1, 0),
                (None, 0),
                (2, 1),
                (3, 1),
            ):
                platform.store.era = era
                result = await source.read_all()
                self.assertEqual(isinstance(result, Success), bool(is_accepted), era)
            self.assertEqual(era_of((await source.read_all()).unwrap().revision), 3)

        on_platform(check)

    def test_refusal_is_recognized_without_an_era(self):
        async def check(platform):
            platform.store.era = 1
            source = platform.server_source()
            await source.read_all()
            platform.store.era, platform.store.faults.refuse_with = None, 429
            result = await source.read_all()
            self.assertIsInstance(result.failure(), OverBudget)

        on_platform(check)

    def test_listing_over_two_eras_fails(self):
        async def check(platform):
            platform.store.era = 1
            for number in range(3):
                platform.register(f'i-{number}', 'one', 80 + number)
            platform.store.page_items = 2
            backup = platform.store.backup()
            platform.store.on_page = lambda: platform.store.restore(backup)
            result = await platform.server_source().read_all()
            self.assertIsInstance(result, Failure)

        on_platform(check)

    def test_wait_ends_when_another_answer_names_a_later_era(self):
        async def check(platform):
            platform.store.era, platform.store.answers_gone = 1, False
            source = platform.server_source()
            revision = (await source.read_all()).unwrap().revision
            ended = []

            async def wait():
                ended.append(await source.wait_for_changes(revision, GENEROUS_SECONDS))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked(0.1)
                platform.store.era = 2
                await source.read_all()
            self.assertEqual(ended, [Failure(RESTORED)])

        on_platform(check)

    def test_nothing_is_written_on_a_revision_of_an_earlier_era(self):
        async def check(platform):
            platform.store.era = 1
            source = platform.server_source()
            await source.read_all()
            crashes = StoredCrashes(source.client)
            record = CrashRecord(RequestKey('t', 'c'), {'i-1/1': 'q'})
            written = (await crashes.write(record)).unwrap()
            self.assertEqual(era_of(written.revision), 1)
            self.assertEqual((await crashes.read(record.key)).unwrap(), written)
            platform.store.era = 2
            await source.read_all()
            before = len(platform.store.calls)
            for call in (crashes.write, crashes.delete):
                self.assertEqual(await call(written), Failure(Conflict(0)))
            self.assertEqual(len(platform.store.calls), before)

        on_platform(check)


class ConnectionTest(unittest.TestCase):
    """Connections to the store, which use TCP keep-alive."""

    def test_silent_connection_is_ended_by_the_kernel(self):
        async def check(platform):
            source = platform.server_source()
            await source.read_all()
            address = source.client.address
            pool = source.client.pages.pool
            wire = pool.connections_by_address[address].idle[0].wire
            for level, name, value in KEEPALIVE_OPTIONS:
                self.assertEqual(wire.stream.socket.getsockopt(level, name), value)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

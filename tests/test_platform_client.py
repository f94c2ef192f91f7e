"""What is read from the platform's store."""

import unittest

from returns.result import Failure

from catkinslip.discovery.base import HistoryGone
from catkinslip.models import Address
from catkinslip.platform import names
from catkinslip.platform.client import KindSource, StoreClient, load_json
from catkinslip.platform.decoding import decode_backend
from catkinslip.proxy.pool import KEEPALIVE_OPTIONS
from tests.small_platform import SmallPlatform, on_platform


def backends(platform: SmallPlatform) -> KindSource:
    """Return the source of the registered servers."""
    address = Address('127.0.0.1', platform.store_port)
    return KindSource(StoreClient(address), names.SERVERS_KIND, decode_backend)


class ListingTest(unittest.TestCase):
    """Listings of several pages."""

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
            source = backends(platform)
            listing = (await source.read_all()).unwrap()
            self.assertEqual(len(pages), 3)
            self.assertEqual(len(listing.value_by_name), 5)
            news = (await source.wait_for_news(listing.revision, 1.0)).unwrap()
            self.assertEqual(news.changes, (('i-0', None),))

        on_platform(check)


class ForeignObjectsTest(unittest.TestCase):
    """Objects of another writer among the registered servers."""

    def test_listing_gives_all_others(self):
        async def check(platform):
            platform.register('i-1', 'one', 9001)
            platform.store.put('servers', 'i-2', 'no server', {'state': 'ready'})
            platform.register('i-3', 'one', 9003)
            platform.store.item_by_key['servers', 'i-4'] = {'spec': {}}
            platform.store.put('servers', 'i-5', {'addr': float('nan')})
            platform.store.page_items = 2
            listing = (await backends(platform).read_all()).unwrap()
            self.assertEqual(sorted(listing.value_by_name), ['i-1', 'i-3'])

        on_platform(check)

    def test_page_of_objects_without_names_ends_the_listing(self):
        async def check(platform):
            for name in ('i-1', 'i-2', 'i-3'):
                platform.store.item_by_key['servers', name] = {'spec': {}}
            platform.store.page_items = 2
            self.assertIsInstance(await backends(platform).read_all(), Failure)

        on_platform(check)

    def test_unreadable_change_removes_the_server_it_replaces(self):
        async def check(platform):
            platform.register('i-1', 'one', 9001)
            source = backends(platform)
            listing = (await source.read_all()).unwrap()
            platform.store.put('servers', 'i-1', {'addr': '10.0.0.1:0'})
            news = (await source.wait_for_news(listing.revision, 1.0)).unwrap()
            self.assertEqual(news.changes, (('i-1', None),))
            self.assertEqual(source.client.unreadable_by_kind['servers'], 1)

        on_platform(check)

    def test_bytes_that_are_no_text_spoil_only_their_own_value(self):
        self.assertEqual(load_json(b'{"a":"\xff","b":1}')['b'], 1)
        self.assertEqual(load_json(b'{"a":NaN,"b":1}')['b'], 1)


class StatusTest(unittest.TestCase):
    """What a status says without a body that can be read."""

    def test_history_that_is_gone_is_told_by_the_status_alone(self):
        async def check(platform):
            source = backends(platform)
            listing = (await source.read_all()).unwrap()
            platform.store.put('config', 'other', {})
            platform.store.forget_history()
            lost = (await source.wait_for_news(listing.revision - 1, 0.1)).failure()
            self.assertIsInstance(lost, HistoryGone)

        on_platform(check)


class ConnectionTest(unittest.TestCase):
    """Connections to the store."""

    def test_silent_connection_is_ended_by_the_kernel(self):
        async def check(platform):
            source = backends(platform)
            await source.read_all()
            address = source.client.address
            pool = source.client.pages.pool
            wire = pool.connections_by_address[address].idle[0].wire
            for level, name, value in KEEPALIVE_OPTIONS:
                self.assertEqual(wire.stream.socket.getsockopt(level, name), value)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

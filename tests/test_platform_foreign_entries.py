"""Entries of another writer that can be read but not written strictly."""

import json
import unittest

import orjson

from catkinslip.page_client import MAX_ANSWER_BYTES
from catkinslip.platform.decoding import DECODE_ERRORS, decode_backend
from catkinslip.platform.json_text import load_json
from tests.platform_builders import config_spec, server_item
from tests.small_platform import SmallPlatform, on_platform, wait_for

#: Half of a surrogate pair, as JSON writers show a byte that is no UTF-8.
HALF_PAIR = '\udcff'
NESTING = 1000
#: As deep as the stand-in for the store encodes.
STORED_NESTING = 300
LARGE_TEXT = 1_000_000
#: JSON texts that decoders reject for different reasons.
REJECTED_TEXTS = (
    f'{{"addr":{"[" * 1021}{"]" * 1021},"info":{{}}}}',
    f'{{"addr":{"[" * 5000}{"]" * 5000},"info":{{}}}}',
    f'{{"addr":"127.0.0.1:9","info":{{"slots":{"9" * 5000}}}}}',
    '{"addr":"127.0.0.1:9\x01\n","info":{"slots":1e999}}',
    '{"addr":"127.0.0.1:9",,"info":nothing}',
)
STORED_LISTS = load_json(b'[' * STORED_NESTING + b']' * STORED_NESTING)
#: Fields of servers whose entries are no servers.
ODD_FIELDS = (
    {'port': 65536},
    {'port': 10**400},
    {'port': -1},
    {'port': 9, 'slots': 10**400},
    {'port': 9, 'cold_left_s': 10**400},
    {'port': 9, 'zone': STORED_LISTS},
    {'port': 9, 'born': STORED_LISTS},
    {'port': 9, 'cold_left_s': STORED_LISTS},
)


def nested_lists() -> object:
    """Return lists in lists, as deep as readers of JSON accept."""
    return load_json(b'[' * NESTING + b']' * NESTING)


async def add_foreign_entry(platform: SmallPlatform, name: str, **fields) -> None:
    """Start two instances, then write an entry beside that of a sound server."""
    await platform.add_worker('i-1')
    for seed in (None, 0):
        entry = await platform.add_entry(seed)
        await wait_for(lambda each=entry: each.assembler.current_backends)
    platform.register(name, 'one', 9, **fields)


class ForeignEntryTest(unittest.TestCase):
    """What instances make of entries that they cannot pass on or log."""

    def test_instances_did_not_learn_from_peers_that_cannot_encode_an_entry(self):
        # Those that do not read the store ran requests on a dropped route.
        async def check(platform):
            await add_foreign_entry(platform, 'i-other', zone=HALF_PAIR)
            revision = platform.store.revision
            for entry in platform.entries:
                backends = entry.assembler.backends
                await wait_for(lambda each=backends: each.revision >= revision)
                page = await entry.peer_pages.handler_by_path['/peer/knowledge']('0.0')
                self.assertEqual(set(orjson.loads(page.body)['backends']), {'i-1'})

        on_platform(check)

    def test_name_that_is_no_text_names_no_server(self):
        async def check(platform):
            await add_foreign_entry(platform, f'i-{HALF_PAIR}')
            platform.register('i-2', 'one', 10)
            entry = platform.entries[0]
            await wait_for(lambda: 'i-2' in entry.assembler.current_backends)
            self.assertEqual(set(entry.assembler.current_backends), {'i-1', 'i-2'})

        on_platform(check)

    def test_rejected_entries_hid_all_servers_and_their_changes(self):
        # One value that a decoder rejects took the whole answer of the store with it.
        async def check(platform):
            await add_foreign_entry(platform, f'i-{HALF_PAIR}')
            for number, text in enumerate(REJECTED_TEXTS):
                platform.store.put_text('servers', f'i-other-{number}', text)
            platform.register('i-2', 'one', 10)
            await platform.add_entry(0)
            for entry in platform.entries:
                known = entry.assembler
                await wait_for(lambda each=known: 'i-2' in each.current_backends)
                self.assertEqual(set(known.current_backends), {'i-1', 'i-2'})

        on_platform(check)

    def test_listing_ended_at_a_page_whose_names_are_no_text(self):
        async def check(platform):
            for name in ('i-1', f'i-{HALF_PAIR}', f'i-{HALF_PAIR}x', 'j-1'):
                platform.register(name, 'one', 9)
            platform.store.page_items = 1
            listing = (await platform.server_source().read_all()).unwrap()
            self.assertEqual(set(listing.value_by_name), {'i-1', 'j-1'})

        on_platform(check)

    def test_rejected_change_left_the_server_that_it_replaced(self):
        async def check(platform):
            platform.register('i-1', 'one', 9)
            platform.register('i-2', 'one', 9)
            source = platform.server_source()
            listing = (await source.read_all()).unwrap()
            platform.store.put_text('servers', 'i-1', REJECTED_TEXTS[1])
            platform.store.remove('servers', 'i-2')
            news = (await source.wait_for_changes(listing.revision, 1.0)).unwrap()
            self.assertEqual(news.changes, (('i-1', None), ('i-2', None)))

        on_platform(check)

    def test_infinite_number_in_the_rules_ended_the_process(self):
        async def check(platform):
            await platform.add_worker('i-1')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            text = json.dumps(config_spec('0000000b'))
            platform.store.put_text('config', 'main', text.replace('220', '1e999'))
            platform.store.put('config', 'main', config_spec('0000000c'))
            await wait_for(lambda: entry.assembler.rules_version == 0xC)
            self.assertEqual((await platform.get()).status_code, 200)

        on_platform(check)

    def test_name_of_a_server_added_headers_to_requests(self):
        # A name with line ends was written into the heads of requests as it is.
        async def check(platform):
            name = 'i-1\r\nInjected: yes'
            await platform.add_worker(name, service='two')
            await platform.add_worker('i-1', service='one')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            self.assertEqual(set(entry.assembler.current_backends), {'i-1'})
            for number in range(20):
                await platform.get(request_id=f'r{number}')
            self.assertFalse(platform.worker_by_id[name].runs_by_request)

        on_platform(check)

    def test_large_entry_that_is_often_written_hid_all_changes(self):
        # Its changes were more than an answer may hold, at each further wait as well.
        async def check(platform):
            await platform.add_worker('i-1')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            text = f'"{"x" * LARGE_TEXT}"'
            for _ in range(MAX_ANSWER_BYTES // LARGE_TEXT + 1):
                platform.store.put_text('servers', 'i-other', text)
            platform.register('i-2', 'one', 10)
            await wait_for(lambda: 'i-2' in entry.assembler.current_backends)

        on_platform(check)

    def test_instance_that_starts_beside_unreadable_rules_has_those_of_peers(self):
        async def check(platform):
            await platform.add_worker('i-1')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            platform.store.put_text('config', 'main', REJECTED_TEXTS[1])
            started = await platform.add_entry(0)
            await wait_for(lambda: started.assembler.current_backends)
            for each in platform.entries:
                self.assertEqual(each.assembler.rules_version, 0xA)

        on_platform(check)

    def test_odd_entry_among_servers_ended_instances_or_hid_later_changes(self):
        # Each decodes as JSON, and is then deep, too large or out of range.
        async def check(platform):
            await add_foreign_entry(platform, 'i-other')
            for number, fields in enumerate(ODD_FIELDS):
                platform.register(f'odd-{number}', 'one', **fields)
                await platform.add_worker(f'i-new-{number}')
                platform.store.remove('servers', f'i-new-{number - 1}')
                expected = {'i-1', 'i-other', f'i-new-{number}'}
                await platform.wait_for_backends(expected)
            await platform.add_entry(0)
            await platform.wait_for_backends(expected)
            self.assertEqual((await platform.get()).status_code, 200)

        on_platform(check)

    def test_nested_lists_ended_the_reader_of_the_store(self):
        for field in ('addr', 'info', 'born'):
            item = server_item('i-1', 'one', 9)
            item['spec'][field] = nested_lists()
            with self.subTest(field=field), self.assertRaises(DECODE_ERRORS):
                decode_backend('i-1', item)


if __name__ == '__main__':
    unittest.main()

"""Tests of the workspaces in the platform's configuration."""

import unittest

from attrs import evolve
from hypothesis import given, settings

from catkinslip.config.documents import Workspace
from catkinslip.models import Address
from catkinslip.platform import names
from catkinslip.platform.client import StoreClient
from catkinslip.platform.decoding import DECODE_ERRORS, decode_rules
from catkinslip.platform.sources import KindSource
from tests.small_platform import on_platform, wait_for
from tests.test_platform_decoding import ANY_JSON
from tests.workspace_builders import (
    ACME,
    BIRCH,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    TENANT_COLUMNS,
    connect,
    exchange,
    raw_request,
    row,
    spec_with,
    tenants,
    two_workspaces,
)

NAN, INFINITY = float('nan'), float('inf')


def decode(table: object):
    """Return the workspaces of a configuration with a table of them."""
    spec = {**spec_with(), 'tenants': table}
    return decode_rules('main', {'spec': spec}).workspaces


class DecodingTest(unittest.TestCase):
    """Workspaces by name, and the values that make a configuration invalid."""

    def assert_invalid(self, *rows: list) -> str:
        """Check that rows are invalid and that the error holds no key; return it."""
        with self.assertRaises(DECODE_ERRORS) as caught:
            decode(tenants(*rows))
        text = repr(caught.exception)
        for key in (KEY, OTHER_KEY, NEW_KEY):
            self.assertNotIn(key, text)
        return text

    def test_workspaces(self):
        found = decode(tenants([ACME, [KEY, NEW_KEY], 3, 12.5, 40]))
        self.assertEqual(found, {ACME: Workspace((KEY, NEW_KEY), 3, 12.5, 40.0)})

    def test_missing_and_null_values_mean_no_limit(self):
        for table in (None, tenants()):
            self.assertEqual(decode(table), {})
        spec = spec_with()
        self.assertNotIn('tenants', spec)
        self.assertEqual(decode_rules('main', {'spec': spec}).workspaces, {})
        self.assertEqual(
            decode(tenants([ACME, None, None, None, None], [BIRCH, [], 0, 0, 0])),
            {ACME: Workspace(), BIRCH: Workspace((), 0)},
        )
        narrow = {'columns': ['name', 'api_keys'], 'rows': [[ACME, [KEY]]]}
        self.assertEqual(decode(narrow), {ACME: Workspace((KEY,))})

    def test_public_and_upload(self):
        routes = decode_rules('main', {'spec': spec_with()}).routes
        self.assertEqual(
            [each.public for each in routes.values()], [False, False, True]
        )
        self.assertFalse(routes['r3'].repeatable)
        spec = spec_with()
        for value in ('yes', 1, [], 'false'):
            with self.subTest(value), self.assertRaises(DECODE_ERRORS):
                spec['routes']['rows'][0][-1] = value
                decode_rules('main', {'spec': spec})

    def test_key_in_two_workspaces_names_both(self):
        text = self.assert_invalid(row(ACME, KEY), row(BIRCH, OTHER_KEY, KEY))
        self.assertIn(ACME, text)
        self.assertIn(BIRCH, text)

    def test_malformed_numbers(self):
        odd = (-1, -0.5, NAN, INFINITY, -INFINITY, True, False, '5', [], {}, 10**400)
        for value in odd:
            for column in ('rate_per_s', 'burst'):
                with self.subTest(column=column, value=str(value)[:9]):
                    fields = row(ACME, KEY)
                    fields[TENANT_COLUMNS.index(column)] = value
                    self.assertIn(column, self.assert_invalid(fields))
        for value in (-1, 0.5, NAN, True, '1', 1001):
            with self.subTest(priority=value):
                self.assert_invalid(row(ACME, KEY, priority=value))

    def test_malformed_keys_and_names(self):
        for keys in (KEY, [KEY, ''], [KEY, None], [KEY, 7], [[KEY]], {KEY: 1}, True):
            with self.subTest(keys=str(type(keys))):
                self.assert_invalid([ACME, keys, 1, None, None])
        self.assert_invalid([ACME, [KEY + '\ud800'], 1, None, None])
        for name in (None, '', 7, 'a\r\nx: y', 'ä', ' a', 'a' * 129, KEY + '\n'):
            with self.subTest(name=name):
                self.assert_invalid([name, [KEY], 1, None, None])
        self.assert_invalid(row(ACME, KEY), row(ACME, OTHER_KEY))

    def test_shifted_columns_show_no_key(self):
        """Guards against a key in the error of another column."""
        self.assert_invalid([ACME, 1, KEY, None, None])
        self.assert_invalid([ACME, [OTHER_KEY], 1, KEY, None])
        self.assert_invalid([ACME, [OTHER_KEY], 1, None])
        self.assert_invalid([[KEY], ACME, 1, None, None])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(ANY_JSON, ANY_JSON)
    def test_any_table_is_decoded_or_invalid_without_its_keys(self, table, value):
        rows = [[ACME, [KEY], value, value, value], [value, [OTHER_KEY], 1, 1, 1]]
        for each in (table, {'columns': TENANT_COLUMNS, 'rows': rows}):
            try:
                decode(each)
            except DECODE_ERRORS as error:
                self.assertNotIn(KEY, repr(error))
                self.assertNotIn(OTHER_KEY, repr(error))


class InvalidConfigurationTest(unittest.TestCase):
    """A configuration that becomes invalid leaves the last valid one in force."""

    def test_key_in_two_workspaces_keeps_the_last_valid_one(self):
        """Guards against an outage of all callers, and a log line with the key."""

        async def check(platform):
            platform.store.put('config', 'main', two_workspaces())
            await platform.add_worker('i-1')
            entry = await platform.add_entry()
            client = entry.assembler.rules.source.client
            stream = await connect(platform)
            with self.assertLogs('store', 'WARNING') as logs:
                shared = spec_with(
                    row(ACME, KEY), row(BIRCH, OTHER_KEY, KEY), version='0000000b'
                )
                platform.store.put('config', 'main', shared)
                await wait_for(lambda: client.unreadable_by_kind['config'])
            (line,) = logs.output
            self.assertIn(ACME, line)
            self.assertIn(BIRCH, line)
            self.assertNotIn(KEY, line)
            self.assertIn('kept=True', line)
            self.assertEqual(entry.assembler.rules_version, 0xA)
            self.assertIn('main', entry.assembler.rules.value_by_name)
            status, _ = await exchange(stream, raw_request(f'X-Api-Key: {KEY}'))
            self.assertEqual(status, 200)
            status, _ = await exchange(stream, raw_request(f'X-Api-Key: {NEW_KEY}'))
            self.assertEqual(status, 401)
            mended = spec_with(row(ACME, NEW_KEY), version='0000000c')
            platform.store.put('config', 'main', mended)
            await wait_for(lambda: entry.assembler.rules_version == 0xC)
            status, _ = await exchange(stream, raw_request(f'X-Api-Key: {NEW_KEY}'))
            self.assertEqual(status, 200)

        on_platform(check)

    def test_unreadable_configuration_is_no_removal(self):
        """Guards against rules that count as removed, in changes and in listings."""

        async def check(platform):
            platform.store.put('config', 'main', two_workspaces())
            address = Address('127.0.0.1', platform.store_port)
            source = KindSource(
                StoreClient(address),
                names.CONFIG_KIND,
                decode_rules,
                names.MAIN_NAME,
                keeps_readable=True,
            )
            listing = (await source.read_all()).unwrap()
            platform.store.put('config', 'main', {'version': 'x'})
            changes = (await source.wait_for_changes(listing.revision, 1.0)).unwrap()
            self.assertEqual(changes.changes, ())
            again = (await source.read_all()).unwrap()
            self.assertEqual(again.value_by_name, listing.value_by_name)
            platform.store.remove('config', 'main')
            changes = (await source.wait_for_changes(again.revision, 1.0)).unwrap()
            self.assertEqual(changes.changes, (('main', None),))
            self.assertEqual((await source.read_all()).unwrap().value_by_name, {})

        on_platform(check)


class MixedVersionsTest(unittest.TestCase):
    """Rules from the store replace the same version without workspaces."""

    def test_rules_know_whether_workspaces_are_unknown(self):
        rules = decode_rules('main', {'spec': spec_with()})
        self.assertEqual(rules.workspaces, {})
        unknown = evolve(rules, workspaces=None)
        self.assertTrue(rules.is_newer_than(unknown))
        self.assertFalse(unknown.is_newer_than(rules))
        self.assertFalse(unknown.is_newer_than(unknown))


if __name__ == '__main__':
    unittest.main()

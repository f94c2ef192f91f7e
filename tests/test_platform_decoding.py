"""Tests of reading the platform's settings file and decoding its objects."""

import unittest
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from catkinslip.config.documents import SplitPart
from catkinslip.models import Address
from catkinslip.platform.decoding import (
    DECODE_ERRORS,
    decode_backend,
    decode_instance,
    decode_rules,
)
from catkinslip.platform.settings import read_settings, read_settings_file
from tests.platform_builders import (
    config_item,
    instance_item,
    server_item,
    settings_text,
)
from tests.unsound_json import ANY_JSON

NAN, INFINITY = float('nan'), float('inf')
#: Values that another writer may put into a field.
ODD_VALUES = (None, True, '', 'x', -1, 0.5, NAN, INFINITY, [], {}, 2**60)
#: Columns of the configuration that each row needs.
COLUMNS_BY_TABLE = {
    'routes': (
        'name',
        'host',
        'path_prefix',
        'kind',
        'timeout_s',
        'target_latency_s',
        'priority',
        'max_attempts',
        'service',
    ),
    'services': ('name', 'health_path', 'max_conns'),
}
SOUND_VALUES_BY_COLUMN = {
    'timeout_s': (0.5,),
    'target_latency_s': (0.5,),
    'health_path': (),
    'max_conns': (),
    'priority': (),
    'max_attempts': (),
}


class SettingsTest(unittest.TestCase):
    """Reading of the settings file, which reports every mistake."""

    def test_settings_are_read(self):
        settings = read_settings(settings_text(front=81, store=99)).unwrap()
        self.assertEqual(settings.caller_address, Address('127.0.0.1', 81))
        self.assertEqual(settings.store_address, Address('127.0.0.1', 99))
        self.assertEqual(settings.stop_seconds, 6.0)
        self.assertEqual(settings.resend_slack, 58.0)

    def test_cores_are_a_share_of_a_core_that_is_so_many_times_as_fast(self):
        text = settings_text()
        self.assertEqual(read_settings(text).unwrap().cores, 1.0)
        text = text + '[limits]\ncpu_share = 0.7\ncpus = 3\n'
        self.assertAlmostEqual(read_settings(text).unwrap().cores, 2.1)

    def test_every_mistake_is_reported_with_its_location(self):
        text = settings_text()
        text = text.replace('ready = "127.0.0.1:7001"', 'ready = "nowhere"')
        text = text.replace('"grace_s=6"', '"grace_s=soon"').replace('node =', 'name =')
        mistakes = '\n'.join(read_settings(text).failure())
        self.assertIn("listen.ready: 'nowhere' is wrong", mistakes)
        self.assertIn('node: is missing.', mistakes)
        self.assertIn('bounds: grace_s is missing.', mistakes)

    def test_settings_that_cannot_be_read_ended_the_process_at_a_reload(self):
        texts = (
            f'a = {"[" * 3000}{"]" * 3000}',
            *(
                settings_text().replace('[7005, 7005]', value)
                for value in ('[inf, 7005]', '[]', '{}', '["x"]', '0')
            ),
            settings_text().replace('"grace_s=6"', '"grace_s=inf"'),
            settings_text().replace('"grace_s=6"', '"grace_s=6","cold_excess=nan"'),
            *(
                f'{settings_text()}[limits]\nmax_fds = {value}\n'
                for value in ('inf', 'nan', '[]', '"x"')
            ),
        )
        for text in texts:
            with self.subTest(text=text[-100:]):
                self.assertIsInstance(read_settings(text), Failure)

    def test_unknown_fields_are_ignored(self):
        text = 'future = [1]\n' + settings_text()
        self.assertEqual(read_settings(text).unwrap().instance_id, 'edge-1')

    def test_file_that_is_missing_or_not_toml_is_reported(self):
        self.assertIsInstance(read_settings('node ='), Failure)
        self.assertIsInstance(read_settings_file({}), Failure)
        variables = {'CATKINSLIP_NODE_FILE': '/nowhere/at/all'}
        self.assertIn('cannot be read', read_settings_file(variables).failure()[0])


class ObjectsTest(unittest.TestCase):
    """Decoding of the store's objects into typed fields."""

    def test_server(self):
        entry = decode_backend('i-1', server_item('i-1', 'one', 80))
        self.assertEqual((entry.host, entry.port), ('127.0.0.1', 80))
        self.assertEqual((entry.service, entry.slots), ('one', 2))
        self.assertFalse(entry.is_draining)

    def test_draining_server_and_one_without_status(self):
        item = server_item('i-1', 'one', 80, state='draining')
        self.assertTrue(decode_backend('i-1', item).is_draining)
        item['status'] = None
        self.assertFalse(decode_backend('i-1', item).is_draining)

    def test_versions_are_compared_as_numbers(self):
        older = decode_rules('main', config_item(version='0000000a'))
        newer = decode_rules('main', config_item(version='00000010'))
        self.assertEqual((older.version, newer.version), (10, 16))

    def test_routes(self):
        routes = decode_rules('main', config_item()).routes
        parts = (SplitPart('one', 90), SplitPart('two', 10))
        self.assertEqual(routes['r1'].parts, parts)
        self.assertTrue(routes['r1'].repeatable)
        self.assertEqual(routes['r2'].parts, (SplitPart('one', 1),))
        self.assertFalse(routes['r2'].repeatable)
        self.assertEqual(routes['r2'].timeout, 1.5)
        self.assertEqual(routes['r2'].priority, 1)

    def test_start_tells_one_incarnation_from_another(self):
        item = server_item('i-1', 'one', 80)
        self.assertEqual(decode_backend('i-1', item).incarnation, 0)
        item['spec']['born'] = 1_780_000_000_123
        self.assertEqual(decode_backend('i-1', item).incarnation, 1_780_000_000_123)

    def test_status_of_an_earlier_start_does_not_count(self):
        item = server_item('i-1', 'one', 80, state='draining', born=8)
        item['status']['born'] = 7
        entry = decode_backend('i-1', item)
        self.assertEqual((entry.incarnation, entry.is_draining), (8, False))
        item['status']['born'] = 9
        entry = decode_backend('i-1', item)
        self.assertEqual((entry.incarnation, entry.is_draining), (9, True))


def replaced(item: dict, path: str, value: object) -> dict:
    """Return an item after setting the value at a path of dotted names."""
    *above, last = path.split('.')
    target = item
    for name in above:
        target = target[name]
    target[last] = value
    return item


class ForeignObjectsTest(unittest.TestCase):
    """Invalid objects from another writer, which the decoders reject."""

    def assert_unreadable(self, decode, item: dict) -> None:
        with self.assertRaises(DECODE_ERRORS):
            decode('i-1', item)

    def test_server_with_a_field_of_another_type_or_range(self):
        paths = (
            'spec',
            'spec.addr',
            'spec.info',
            'spec.info.service',
            'spec.info.zone',
            'spec.info.slots',
        )
        for path in paths:
            for value in ODD_VALUES:
                if value == 'x' and path in ('spec.info.service', 'spec.info.zone'):
                    continue
                with self.subTest(path=path, value=value):
                    item = replaced(server_item('i-1', 'one', 80), path, value)
                    self.assert_unreadable(decode_backend, item)

    def test_server_under_a_name_that_no_header_can_hold_was_sent_requests(self):
        for name in ('i-\n', ' ', 'i-1 ', 'i\r\nHost: x', '\x00', 'i-\x7f', 'i' * 300):
            with self.subTest(name=name):
                item = server_item(name, 'one', 80)
                with self.assertRaises(DECODE_ERRORS):
                    decode_backend(name, item)
                item = server_item('i-1', name, 80)
                self.assert_unreadable(decode_backend, item)
        entry = decode_backend('i é 1', server_item('i é 1', 'one', 80))
        self.assertEqual(entry.backend_id, 'i é 1')

    def test_server_whose_address_cannot_be_connected_to(self):
        for address in ('10.0.0.1:0', '10.0.0.1:65536', 'nowhere:80', '10.0.0.1:-4'):
            with self.subTest(address):
                item = replaced(server_item('i-1', 'one', 80), 'spec.addr', address)
                self.assert_unreadable(decode_backend, item)

    def test_server_with_a_state_that_is_not_known(self):
        for state in ('READY', 'gone', '', None, 7, ['ready']):
            with self.subTest(state=state):
                item = server_item('i-1', 'one', 80, state=state)
                self.assert_unreadable(decode_backend, item)

    def test_server_with_a_start_or_a_cold_time_that_is_none(self):
        for value in (True, 'soon', NAN, INFINITY, -1, 2**60, []):
            with self.subTest(value=value):
                item = replaced(server_item('i-1', 'one', 80), 'spec.born', value)
                self.assert_unreadable(decode_backend, item)
                item = server_item('i-1', 'one', 80)
                item = replaced(item, 'status.cold_left_s', value)
                self.assert_unreadable(decode_backend, item)

    def test_instance_with_a_field_missing_or_of_another_type(self):
        self.assertEqual(decode_instance('edge-1', instance_item('edge-1')).cores, 2.0)
        for field in instance_item('edge-1')['spec']:
            for value in (None, True, '', -1, NAN, [], {}):
                with self.subTest(field=field, value=value):
                    item = instance_item('edge-1')
                    item = replaced(item, f'spec.{field}', value)
                    self.assert_unreadable(decode_instance, item)
            item = instance_item('edge-1')
            del item['spec'][field]
            self.assert_unreadable(decode_instance, item)

    def test_rules_with_a_field_of_another_type_or_range_came_into_force(self):
        # A number that is infinite or too large ended the process.
        for table, columns in COLUMNS_BY_TABLE.items():
            for column, value in product(columns, (*ODD_VALUES, 10**400)):
                if value in SOUND_VALUES_BY_COLUMN.get(column, ('x',)):
                    continue
                with self.subTest(table=table, column=column, value=value):
                    item = config_item()
                    rows = item['spec'][table]
                    rows['rows'][-1][rows['columns'].index(column)] = value
                    self.assert_unreadable(decode_rules, item)

    def test_version_that_is_no_plain_hexadecimal_number(self):
        for version in (*ODD_VALUES, '-1', '0x1', '1_0', ' 1', '9' * 400, 12):
            with self.subTest(version=version):
                self.assert_unreadable(decode_rules, config_item(version=version))

    @settings(max_examples=300, deadline=None)
    @given(ANY_JSON, ANY_JSON, st.sampled_from(['spec', 'spec.info', 'status']))
    def test_any_object_is_decoded_or_known_as_unreadable(self, item, part, path):
        for plain in (item, replaced(server_item('i-1', 'one', 80), path, part)):
            for decode in (decode_backend, decode_instance, decode_rules):
                try:
                    decode('i-1', plain)
                except DECODE_ERRORS:
                    continue


if __name__ == '__main__':
    unittest.main()

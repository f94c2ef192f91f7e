"""The platform's settings and objects become the product's own values."""

import unittest

from returns.result import Failure

from catkinslip.config.documents import SplitPart
from catkinslip.models import Address
from catkinslip.platform.decoding import decode_backend, decode_rules
from catkinslip.platform.settings import read_settings, read_settings_file
from tests.platform_builders import config_item, server_item, settings_text


class SettingsTest(unittest.TestCase):
    """The settings file is read whole, or every mistake is told."""

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

    def test_every_mistake_is_told_with_its_place(self):
        text = settings_text()
        text = text.replace('ready = "127.0.0.1:7001"', 'ready = "nowhere"')
        text = text.replace('"grace_s=6"', '"grace_s=soon"').replace('node =', 'name =')
        told = '\n'.join(read_settings(text).failure())
        self.assertIn("listen.ready: 'nowhere' is wrong", told)
        self.assertIn('node: is missing.', told)
        self.assertIn('bounds: grace_s is missing.', told)

    def test_unknown_fields_are_ignored(self):
        text = 'future = [1]\n' + settings_text()
        self.assertEqual(read_settings(text).unwrap().instance_id, 'edge-1')

    def test_file_that_is_no_toml_or_not_there_is_told(self):
        self.assertIsInstance(read_settings('node ='), Failure)
        self.assertIsInstance(read_settings_file({}), Failure)
        variables = {'CATKINSLIP_NODE_FILE': '/nowhere/at/all'}
        self.assertIn('cannot be read', read_settings_file(variables).failure()[0])


class ObjectsTest(unittest.TestCase):
    """Objects of the store are decoded into typed fields."""

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


if __name__ == '__main__':
    unittest.main()

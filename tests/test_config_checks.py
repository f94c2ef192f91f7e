"""Tests that a document is checked completely before it is sent."""

import json
import unittest

import attrs

from catkinslip.config.checks import MAX_DOCUMENT_BYTES, parse_document, read_document
from catkinslip.config.documents import AcceptedConfig, Service, ServiceOverride
from catkinslip.proxy.pool import INSTANCES_PER_BACKEND, BackendPool
from standins.registers import many_workers
from tests.builders import document_of, document_plain

ADDRESS_BY_BACKEND = {'limits-3': '127.0.0.1:80', 'limits-4': '127.0.0.1:81'}


def locations(plain: object) -> list[str]:
    """Return the sorted locations of all mistakes in a document."""
    result = read_document(plain)
    return sorted(each.place for each in result.failure().mistakes)


class ConfigChecksTest(unittest.TestCase):
    """All mistakes of a document are reported at once, each with its location."""

    def setUp(self):
        self.plain = document_plain(ADDRESS_BY_BACKEND)
        self.backends = self.plain['register']['backends']

    def test_good_document_is_read(self):
        document = read_document(self.plain).unwrap()
        self.assertEqual(document.register.backends['limits-3'].port, 80)

    def test_wrong_types_unknown_fields_and_ranges_are_named_at_once(self):
        self.backends['limits-3'].update(port='80', color='red')
        del self.backends['limits-4']['zone']
        self.plain['register']['services']['limits'] = {'slots': 0, 'timeout': True}
        self.plain['rules'] = {
            'requests': [
                {'service': '*', 'path': '/', 'methods': 'GET', 'repeatable': 1}
            ],
            'services': {'limits': {'max_connections': 1.5}},
        }
        self.assertEqual(
            locations(self.plain),
            [
                'register.backends.limits-3.color',
                'register.backends.limits-3.port',
                'register.backends.limits-4.zone',
                'register.services.limits.slots',
                'register.services.limits.timeout',
                'rules.requests[0].methods',
                'rules.requests[0].repeatable',
                'rules.services.limits.max_connections',
            ],
        )

    def test_wrong_meanings_are_named_at_once(self):
        self.backends['limits-4'].update(host='127.0.0.1', port=80, service='claims')
        self.backends['bad name'] = {**self.backends['limits-3'], 'host': 'limits.hu'}
        self.backends['limits-5'] = {
            **self.backends['limits-3'],
            'host': '0.0.0.0',
            'zone': 'a/b',
        }
        self.plain['rules'] = {
            'requests': [
                {'service': 'x', 'path': 'p', 'methods': ['get'], 'repeatable': True}
            ],
            'services': {'y': {}},
        }
        self.assertEqual(
            locations(self.plain),
            [
                'register.backends.bad name',
                'register.backends.bad name.host',
                'register.backends.limits-4',
                'register.backends.limits-4.service',
                'register.backends.limits-5.host',
                'register.backends.limits-5.zone',
                'rules.requests[0].methods[0]',
                'rules.requests[0].path',
                'rules.requests[0].service',
                'rules.services.y',
            ],
        )

    def test_two_spellings_of_an_address_are_one_address(self):
        self.backends['limits-3']['host'] = '::1'
        self.backends['limits-4'].update(host='0:0::1', port=80)
        self.assertEqual(locations(self.plain), ['register.backends.limits-4'])

    def test_text_that_is_no_document_is_refused(self):
        for text in (b'', b'{', b'[]', b'null', b'[' * 100_000, b'\xff', b'NaN'):
            with self.subTest(text[:5]):
                (mistake,) = parse_document(text).failure().mistakes
                self.assertEqual(mistake.place, 'document')

    def test_duplicate_name_is_refused(self):
        text = json.dumps(self.plain).replace('limits-4', 'limits-3').encode()
        (mistake,) = parse_document(text).failure().mistakes
        self.assertEqual(mistake.place, 'limits-3')

    def test_document_beyond_the_size_of_a_value_is_refused(self):
        self.assertEqual(locations(many_workers(9_000, 440)), ['document'])
        self.assertLess(MAX_DOCUMENT_BYTES, 1 << 20)
        document_of(many_workers(4_600, 440))

    def test_overrides_replace_fields_of_a_service(self):
        override = {'slots': 7, 'max_connections': 40}
        self.plain['rules'] = {'services': {'limits': override}}
        document = document_of(self.plain)
        service = document.effective_services()['limits']
        self.assertEqual(service, Service(slots=7, max_connections=40))
        pool = BackendPool()
        pool.update(AcceptedConfig(document=document))
        limits = {each.limit for each in pool.connections_by_address.values()}
        self.assertEqual(limits, {40 // INSTANCES_PER_BACKEND})

    def test_every_field_of_a_service_can_be_replaced(self):
        overridden = attrs.fields_dict(ServiceOverride)
        for name, field in attrs.fields_dict(Service).items():
            self.assertEqual(overridden[name].metadata, field.metadata)

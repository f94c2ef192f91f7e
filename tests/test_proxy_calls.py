"""Tests of how register, settings and caller determine the deadline of a call."""

import unittest
from random import Random

from catkinslip.clock import SystemClock
from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.proxy.bodies import NO_BODY
from catkinslip.proxy.calls import CallFactory
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.native_dialect import NativeDialect
from tests.builders import document_plain

NOW = 1000.0


class StoppedClock(SystemClock):
    """A clock that always returns the same time."""

    def monotonic(self) -> float:
        return NOW

    def wall(self) -> float:
        return NOW


class TimeoutTest(unittest.TestCase):
    """The deadline of a call follows from the shortest timeout that applies."""

    def setUp(self):
        self.config = ConfigHolder()
        self.factory = CallFactory(
            StoppedClock(), Random(1), self.config, 30.0, NativeDialect()
        )

    def offer(self, number: int, rule: dict, **fields):
        plain = document_plain({}, **fields)
        plain['rules']['services'] = {'limits': rule} if rule else {}
        document = read_document(plain).unwrap()
        version = ConfigVersion(0, number)
        self.config.offer(AcceptedConfig(version, f'c{number}', 'ana', document))

    def seconds(self, *headers: tuple[bytes, bytes]) -> float:
        head = RequestHead(b'GET', b'/a', b'1.1', [(b'host', b'limits'), *headers])
        call = self.factory.make(head, NO_BODY, '127.0.0.1')
        self.assertEqual(call.wall_deadline, call.deadline)
        return call.deadline - NOW

    def test_register_rules_and_setting_bound_a_call(self):
        self.assertEqual(self.seconds(), 30.0)
        self.offer(1, {}, timeout=2)
        self.assertEqual(self.seconds(), 2.0)
        self.assertEqual(self.seconds((b'catkinslip-timeout', b'1')), 1.0)
        self.assertEqual(self.seconds((b'catkinslip-timeout', b'5')), 2.0)
        self.offer(2, {'timeout': 4}, timeout=2)
        self.assertEqual(self.seconds(), 4.0)
        self.offer(3, {}, timeout=60)
        self.assertEqual(self.seconds(), 30.0)

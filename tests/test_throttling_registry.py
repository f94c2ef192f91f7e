"""Servers that advertise a rate: reading it, detecting its end, and the log lines."""

import unittest

from catkinslip.platform.dialect import read_rate
from catkinslip.routing.base import BackendLoad
from catkinslip.throttling.registry import MAX_REMOVED, RateRegistry
from catkinslip.throttling.signals import (
    MALFORMED_RATE,
    NO_RATE,
    AnswerKind,
    RateSignal,
)

NOW = 100.0
RATE = RateSignal(1.2)


class RateHeaderTest(unittest.TestCase):
    """The rate in the headers of an answer."""

    def read(self, *values: bytes) -> RateSignal:
        return read_rate([(b'server-limit', value) for value in values])

    def test_decimal_numbers(self):
        self.assertEqual(self.read(b'1.2').per_second, 1.2)
        self.assertEqual(self.read(b'40').per_second, 40.0)
        self.assertEqual(self.read(b'0').per_second, 0.0)
        self.assertEqual(self.read(b'999999999').per_second, 999999999.0)

    def test_none(self):
        self.assertEqual(read_rate([(b'server-load', b'1,0,2')]), NO_RATE)

    def test_malformed_rates(self):
        for value in (b'', b'-1', b'nan', b'inf', b'1e3', b'1,2', b'1.', b'9' * 10):
            with self.subTest(value):
                self.assertEqual(self.read(value), MALFORMED_RATE)

    def test_lowest_of_several_counts_and_a_malformed_one_makes_all_malformed(self):
        self.assertEqual(self.read(b'3', b'1.5').per_second, 1.5)
        self.assertEqual(self.read(b'3', b'x'), MALFORMED_RATE)


class RateRegistryTest(unittest.TestCase):
    """The registry's record of one server."""

    def setUp(self):
        self.registry = RateRegistry()
        self.load = BackendLoad('i-1', 'zone-a', 2)

    def apply_answer(self, signal, sent_at, now, kind=AnswerKind.ANSWER):
        self.registry.apply_answer(self.load, signal, kind, sent_at, now)

    def per_second(self) -> float | None:
        rate = self.registry.find(self.load)
        return None if rate is None else rate.per_second

    def test_advertised_changed_and_ended_by_answers(self):
        self.apply_answer(NO_RATE, NOW, NOW + 0.1)
        self.assertIsNone(self.per_second())
        with self.assertLogs('throttling', 'INFO') as logs:
            self.apply_answer(RATE, NOW, NOW + 0.2)
            self.assertEqual(self.per_second(), 1.2)
            self.apply_answer(RateSignal(0.5), NOW + 2, NOW + 2.1)
            self.assertEqual(self.per_second(), 0.5)
            self.apply_answer(NO_RATE, NOW + 3, NOW + 3.1)
            self.assertIsNone(self.per_second())
        self.assertEqual(
            [record.getMessage() for record in logs.records],
            [
                'throttling: i-1 advertises a rate. per_second=1.2 by=answer',
                'throttling: i-1 advertises another rate. per_second=0.5 was=1.2',
                'throttling: i-1 no longer advertises a rate. after_s=2.9 by=answer',
            ],
        )

    def test_answer_to_an_earlier_request_does_not_end_the_rate(self):
        self.apply_answer(RATE, NOW, NOW + 0.2)
        self.apply_answer(NO_RATE, NOW + 0.1, NOW + 0.3)
        self.assertEqual(self.per_second(), 1.2)
        self.apply_answer(NO_RATE, NOW + 0.3, NOW + 0.4)
        self.assertIsNone(self.per_second())

    def test_others_than_successes_end_it_only_where_they_advertise_it(self):
        for kind in (AnswerKind.PROBE, AnswerKind.REFUSAL, AnswerKind.FAILURE):
            with self.subTest(kind):
                self.setUp()
                self.apply_answer(RATE, NOW, NOW + 0.2)
                self.apply_answer(NO_RATE, NOW + 1, NOW + 1.1, kind)
                self.assertEqual(self.per_second(), 1.2)
                self.apply_answer(RATE, NOW + 2, NOW + 2.1, kind)
                self.apply_answer(NO_RATE, NOW + 3, NOW + 3.1, kind)
                self.assertIsNone(self.per_second())

    def test_unreadable_rate_changes_nothing_and_is_logged_once(self):
        with self.assertLogs('throttling', 'WARNING') as logs:
            self.apply_answer(MALFORMED_RATE, NOW, NOW)
            self.apply_answer(MALFORMED_RATE, NOW, NOW)
        self.assertEqual(len(logs.records), 1)
        self.assertIsNone(self.per_second())
        self.apply_answer(RATE, NOW, NOW + 1)
        self.apply_answer(MALFORMED_RATE, NOW + 2, NOW + 3)
        self.assertEqual(self.per_second(), 1.2)
        self.assertEqual(self.registry.events['malformed'], 3)

    def test_rate_that_changes_with_each_answer_is_logged_once_a_second(self):
        with self.assertLogs('throttling', 'INFO') as logs:
            for step in range(100):
                now = NOW + step / 50
                self.apply_answer(RateSignal(1 + step / 100), now, now)
        self.assertLessEqual(len(logs.records), 3)
        self.assertEqual(self.per_second(), 1.99)

    def test_server_whose_entry_returns_is_still_throttled(self):
        self.apply_answer(RATE, NOW, NOW)
        self.registry.forget(self.load)
        self.assertEqual(self.registry.active_rates(), [])
        self.load = BackendLoad('i-1', 'zone-a', 2)
        self.registry.restore(self.load)
        self.assertEqual(self.per_second(), 1.2)
        self.assertIs(self.registry.find(self.load).load, self.load)
        self.apply_answer(NO_RATE, NOW + 1, NOW + 1.1)
        self.assertIsNone(self.per_second())

    def test_another_start_of_a_server_is_not_throttled(self):
        self.apply_answer(RATE, NOW, NOW)
        for is_removed in (True, False):
            if is_removed:
                self.registry.forget(self.load)
            other = BackendLoad('i-1', 'zone-a', 2, incarnation=7)
            self.registry.restore(other)
            self.assertIsNone(self.registry.find(other))
            self.assertEqual(self.registry.removed_by_id, {})
            self.apply_answer(RATE, NOW, NOW)

    def test_number_of_remembered_removed_servers_is_limited(self):
        for number in range(MAX_REMOVED + 5):
            load = BackendLoad(f'i-{number}', 'zone-a', 2)
            self.registry.apply_answer(load, RATE, AnswerKind.ANSWER, NOW, NOW)
            self.registry.forget(load)
        self.assertEqual(len(self.registry.removed_by_id), MAX_REMOVED)


if __name__ == '__main__':
    unittest.main()

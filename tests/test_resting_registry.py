"""Parsing of rest periods in answers, and the registry of rest periods."""

import unittest

from catkinslip.platform.dialect import MAX_REST_SECONDS, read_rest
from catkinslip.resting.registry import RestRegistry
from catkinslip.resting.signals import MALFORMED_REST, NO_REST, RestSignal
from catkinslip.routing.base import BackendLoad
from catkinslip.throttling.signals import AnswerKind

NOW = 100.0


def signal_of(*values: bytes, status: int = 503) -> RestSignal:
    """Return the signal of a refusal with some `retry-after` headers."""
    return read_rest(status, [(b'retry-after', value) for value in values])


class SignalTest(unittest.TestCase):
    """Parsing of the header."""

    def test_seconds_and_fractions_are_read(self):
        self.assertEqual(signal_of(b'3'), RestSignal(3.0))
        self.assertEqual(signal_of(b'0.25', status=429), RestSignal(0.25))

    def test_only_statuses_that_turn_away_ask_for_rest(self):
        for status in (200, 408, 421, 500, 504):
            self.assertEqual(signal_of(b'3', status=status), NO_REST)

    def test_nothing_else_than_seconds_is_accepted(self):
        dated = b'Wed, 21 Oct 2026 07:28:00 GMT'
        for value in (b'', b'-1', b'x', b'1e9', b'inf', b'nan', b'1234567890', dated):
            self.assertEqual(signal_of(value), MALFORMED_REST, value)

    def test_longest_of_several_counts_unless_one_is_malformed(self):
        self.assertEqual(signal_of(b'1', b'4'), RestSignal(4.0))
        self.assertEqual(signal_of(b'1', b'soon'), MALFORMED_REST)

    def test_absurdly_long_rest_is_cut(self):
        self.assertEqual(signal_of(b'999999999'), RestSignal(MAX_REST_SECONDS))


class RegistryTest(unittest.TestCase):
    """The rest period of one server."""

    def setUp(self):
        self.registry = RestRegistry()
        self.load = BackendLoad('a', 'zone-a', 2)

    def request_rest(self, seconds: float, now: float = NOW) -> None:
        """Apply a refusal that requests a rest period."""
        self.registry.apply_signal(
            self.load, RestSignal(seconds), AnswerKind.REFUSAL, now, now
        )

    def test_rest_lasts_as_long_as_it_was_asked_for(self):
        self.request_rest(3.0)
        self.assertAlmostEqual(
            self.registry.find(self.load, NOW + 1).remaining(NOW + 1), 2.0
        )
        self.assertIsNotNone(self.registry.find(self.load, NOW + 2.99))
        self.assertIsNone(self.registry.find(self.load, NOW + 3))

    def test_rest_grows_and_never_shrinks(self):
        self.request_rest(3.0)
        self.request_rest(1.0, NOW + 0.1)
        self.assertAlmostEqual(self.registry.find(self.load, NOW).until, NOW + 3)
        self.request_rest(4.0, NOW + 0.2)
        self.assertAlmostEqual(self.registry.find(self.load, NOW).until, NOW + 4.2)

    def test_zero_asks_for_nothing(self):
        self.request_rest(0.0)
        self.assertIsNone(self.registry.find(self.load, NOW))

    def test_malformed_rest_changes_nothing_and_is_logged_once(self):
        self.request_rest(3.0)
        with self.assertLogs('resting', 'WARNING') as logs:
            for _ in range(3):
                self.registry.apply_signal(
                    self.load, MALFORMED_REST, AnswerKind.REFUSAL, NOW, NOW
                )
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.registry.events['malformed'], 3)
        self.assertIsNotNone(self.registry.find(self.load, NOW + 2))


if __name__ == '__main__':
    unittest.main()

"""What answers say of rest, and what is believed of it."""

import unittest

from catkinslip.platform.dialect import MOST_REST_SECONDS, read_rest
from catkinslip.resting.book import RestBook
from catkinslip.resting.signs import MALFORMED_REST, NO_REST, RestSign
from catkinslip.routing.base import BackendLoad
from catkinslip.throttling.signals import AnswerKind

NOW = 100.0


def sign_of(*values: bytes, status: int = 503) -> RestSign:
    """Return what a refusal with some headers of the name says."""
    return read_rest(status, [(b'retry-after', value) for value in values])


class SignTest(unittest.TestCase):
    """How the header is read."""

    def test_seconds_and_fractions_are_read(self):
        self.assertEqual(sign_of(b'3'), RestSign(3.0))
        self.assertEqual(sign_of(b'0.25', status=429), RestSign(0.25))

    def test_only_statuses_that_turn_away_ask_for_rest(self):
        for status in (200, 408, 421, 500, 504):
            self.assertEqual(sign_of(b'3', status=status), NO_REST)

    def test_nothing_else_than_seconds_is_believed(self):
        dated = b'Wed, 21 Oct 2026 07:28:00 GMT'
        for value in (b'', b'-1', b'x', b'1e9', b'inf', b'nan', b'1234567890', dated):
            self.assertEqual(sign_of(value), MALFORMED_REST, value)

    def test_longest_of_several_counts_and_one_unreadable_spoils_all(self):
        self.assertEqual(sign_of(b'1', b'4'), RestSign(4.0))
        self.assertEqual(sign_of(b'1', b'soon'), MALFORMED_REST)

    def test_absurdly_long_rest_is_cut(self):
        self.assertEqual(sign_of(b'999999999'), RestSign(MOST_REST_SECONDS))


class BookTest(unittest.TestCase):
    """What is believed of one server."""

    def setUp(self):
        self.book = RestBook()
        self.load = BackendLoad('a', 'zone-a', 2)

    def ask(self, seconds: float, now: float = NOW) -> None:
        """Take a refusal that asks for rest."""
        self.book.told(self.load, RestSign(seconds), AnswerKind.REFUSAL, now, now)

    def test_rest_lasts_as_long_as_it_was_asked_for(self):
        self.ask(3.0)
        self.assertAlmostEqual(self.book.find(self.load, NOW + 1).left(NOW + 1), 2.0)
        self.assertIsNotNone(self.book.find(self.load, NOW + 2.99))
        self.assertIsNone(self.book.find(self.load, NOW + 3))

    def test_rest_grows_and_never_shrinks(self):
        self.ask(3.0)
        self.ask(1.0, NOW + 0.1)
        self.assertAlmostEqual(self.book.find(self.load, NOW).until, NOW + 3)
        self.ask(4.0, NOW + 0.2)
        self.assertAlmostEqual(self.book.find(self.load, NOW).until, NOW + 4.2)

    def test_zero_asks_for_nothing(self):
        self.ask(0.0)
        self.assertIsNone(self.book.find(self.load, NOW))

    def test_unreadable_rest_changes_nothing_and_is_logged_once(self):
        self.ask(3.0)
        with self.assertLogs('resting', 'WARNING') as logs:
            for _ in range(3):
                self.book.told(self.load, MALFORMED_REST, AnswerKind.REFUSAL, NOW, NOW)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.book.events['malformed'], 3)
        self.assertIsNotNone(self.book.find(self.load, NOW + 2))


if __name__ == '__main__':
    unittest.main()

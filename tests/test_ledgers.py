"""Tests for the comparison of callers' outcomes with ledgers."""

import unittest

from standins.ledgers import Run, Sending, find_lies


class LedgerTest(unittest.TestCase):
    """The comparison finds each kind of contradiction."""

    def test_truth_is_no_lie(self):
        sendings = [
            Sending('a', outcome='right', answered_id='a'),
            Sending('b', repeatable=False, outcome='not_run'),
            Sending('k-1', 'k', False, 'not_run'),
            Sending('k-2', 'k', False, 'cut'),
            Sending('k-3', 'k', False, 'right', 'k-2'),
        ]
        runs = [Run('a'), Run('a'), Run('k-2', 'k')]
        self.assertEqual(find_lies(sendings, runs), [])

    def test_each_lie_is_found(self):
        told = Sending('k-1', 'k', False, 'unknown')
        lies = {
            'got no outcome': ([Sending('a')], []),
            'wrong answer': ([Sending('a', outcome='wrong')], [Run('a')]),
            'not run, a ran': ([Sending('a', outcome='not_run')], [Run('a')]),
            'not run, k-1 ran': (
                [told, Sending('k-2', 'k', False, 'not_run')],
                [Run('k-1', 'k')],
            ),
            "answer of 'b'": (
                [Sending('a', outcome='right', answered_id='b')],
                [Run('a'), Run('b')],
            ),
            'in no ledger': ([Sending('a', outcome='right', answered_id='a')], []),
            'a ran 2 times': (
                [Sending('a', repeatable=False, outcome='unknown')],
                [Run('a'), Run('a')],
            ),
            'k ran 2 times': ([told], [Run('k-1', 'k'), Run('k-2', 'k')]),
        }
        for lie, (sendings, runs) in lies.items():
            with self.subTest(lie):
                found = find_lies(sendings, runs)
                self.assertEqual(len(found), 1, found)
                self.assertIn(lie, found[0])

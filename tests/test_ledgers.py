"""Tests for the comparison of callers' outcomes with ledgers."""

import unittest

from standins.ledgers import Run, SentRequest, find_contradictions


class LedgerTest(unittest.TestCase):
    """The comparison finds each kind of contradiction."""

    def test_true_outcomes_have_no_contradictions(self):
        sent_requests = [
            SentRequest('a', outcome='right', answered_id='a'),
            SentRequest('b', repeatable=False, outcome='not_run'),
            SentRequest('k-1', 'k', False, 'not_run'),
            SentRequest('k-2', 'k', False, 'cut'),
            SentRequest('k-3', 'k', False, 'right', 'k-2'),
        ]
        runs = [Run('a'), Run('a'), Run('k-2', 'k')]
        self.assertEqual(find_contradictions(sent_requests, runs), [])

    def test_each_contradiction_is_found(self):
        unknown = SentRequest('k-1', 'k', False, 'unknown')
        contradictions = {
            'got no outcome': ([SentRequest('a')], []),
            'wrong answer': ([SentRequest('a', outcome='wrong')], [Run('a')]),
            'not run, a ran': ([SentRequest('a', outcome='not_run')], [Run('a')]),
            'not run, k-1 ran': (
                [unknown, SentRequest('k-2', 'k', False, 'not_run')],
                [Run('k-1', 'k')],
            ),
            "answer of 'b'": (
                [SentRequest('a', outcome='right', answered_id='b')],
                [Run('a'), Run('b')],
            ),
            'in no ledger': ([SentRequest('a', outcome='right', answered_id='a')], []),
            'a ran 2 times': (
                [SentRequest('a', repeatable=False, outcome='unknown')],
                [Run('a'), Run('a')],
            ),
            'k ran 2 times': ([unknown], [Run('k-1', 'k'), Run('k-2', 'k')]),
        }
        for contradiction, (sent_requests, runs) in contradictions.items():
            with self.subTest(contradiction):
                found = find_contradictions(sent_requests, runs)
                self.assertEqual(len(found), 1, found)
                self.assertIn(contradiction, found[0])

"""Tests of the checks of workspaces in a document, and of what operators are shown."""

import json
import unittest

from catkinslip.config.checks import parse_document, read_document
from catkinslip.config.documents import Workspace, digest_of, to_plain
from catkinslip.workspaces.fingerprints import hide_keys
from tests.builders import document_of, document_plain
from tests.workspace_builders import ACME, BIRCH, KEY, NEW_KEY, OTHER_KEY

PLACE = f'rules.workspaces.{ACME}'


def document(**workspaces: object) -> dict:
    """Return a document with workspaces as plain data."""
    plain = document_plain({'limits-1': '127.0.0.1:80'})
    plain['rules']['workspaces'] = workspaces
    return plain


class ChecksTest(unittest.TestCase):
    """Mistakes in workspaces, with their places and without keys."""

    def reasons(self, plain: dict) -> dict[str, str]:
        """Return the mistakes of a document by place."""
        mistakes = read_document(plain).failure().mistakes
        for mistake in mistakes:
            for key in (KEY, OTHER_KEY, NEW_KEY):
                self.assertNotIn(key, f'{mistake.place} {mistake.reason}')
        return {each.place: each.reason for each in mistakes}

    def test_good_workspaces(self):
        plain = document(
            acme={'api_keys': [KEY, NEW_KEY], 'priority': 0, 'requests_per_second': 2},
            birch={'api_keys': ['!~' * 128], 'burst': 0.5},
            cedar={},
        )
        found = document_of(plain).rules.workspaces
        self.assertEqual(found[ACME], Workspace((KEY, NEW_KEY), 0, 2, 0.0))
        self.assertEqual(found['cedar'], Workspace())

    def test_key_in_two_workspaces_names_both_places(self):
        plain = document(acme={'api_keys': [KEY]}, birch={'api_keys': [OTHER_KEY, KEY]})
        place = f'rules.workspaces.{BIRCH}.api_keys[1]'
        reason = f'is the same key as {PLACE}.api_keys[0]'
        self.assertEqual(self.reasons(plain), {place: reason})

    def test_malformed_keys(self):
        bad = ('', 'a b', 'k\n', 'k\x7f', 'ké', 'x' * 257)
        plain = document(acme={'api_keys': list(bad)})
        places = [f'{PLACE}.api_keys[{index}]' for index in range(len(bad))]
        self.assertEqual(list(self.reasons(plain)), places)

    def test_wrong_types_show_no_value(self):
        """Guards against a key in the mistake that a wrong type causes."""
        for wrong in (KEY, [KEY, 7], {'key': KEY}, [[KEY]]):
            with self.subTest(type(wrong)):
                self.reasons(document(acme={'api_keys': wrong}))
        for wrong in (KEY, [KEY], 7):
            self.reasons(document(acme=wrong))
            plain = document()
            plain['rules']['workspaces'] = wrong
            self.assertEqual(list(self.reasons(plain)), ['rules.workspaces'])
        self.reasons(document(acme={'burst': KEY, 'priority': KEY}))

    def test_malformed_numbers_and_names(self):
        for field in ('requests_per_second', 'burst'):
            for value in (-1, True, '5', float('inf'), float('nan'), 10**9):
                with self.subTest(field=field, value=value):
                    plain = document(acme={field: value})
                    self.assertEqual(list(self.reasons(plain)), [f'{PLACE}.{field}'])
        for value in (-1, 0.5, True, 1001):
            plain = document(acme={'priority': value})
            self.assertEqual(list(self.reasons(plain)), [f'{PLACE}.priority'])
        plain = document(**{'a b': {}})
        self.assertEqual(list(self.reasons(plain)), ['rules.workspaces.a b'])

    def test_document_with_fingerprints_cannot_be_applied(self):
        """Guards against an outage after an edit of what `read --from` printed."""
        shown = hide_keys(document(acme={'api_keys': [KEY]}))
        self.assertIn('no spaces', self.reasons(shown)[f'{PLACE}.api_keys[0]'])

    def test_document_without_workspaces_is_as_before(self):
        """Guards against another digest of documents that have no workspaces."""
        plain = document_plain({'limits-1': '127.0.0.1:80'})
        again = to_plain(document_of(plain))
        self.assertNotIn('workspaces', again['rules'])
        text = json.dumps(again).encode()
        self.assertEqual(
            digest_of(to_plain(parse_document(text).unwrap())), digest_of(again)
        )


if __name__ == '__main__':
    unittest.main()

"""Tests of the index of keys, of wrong keys, signatures and fingerprints."""

import unittest
from unittest import mock

from catkinslip.config.documents import Workspace
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.workspaces import index as index_module
from catkinslip.workspaces.checker import MAX_LINES_PER_SECOND, KeyChecker
from catkinslip.workspaces.fingerprints import fingerprint_of, hide_keys
from catkinslip.workspaces.index import KeyIndex
from catkinslip.workspaces.keys import MAX_KEY_BYTES, KeyFault, read_key
from catkinslip.workspaces.signatures import make_signatures, verify_signature
from tests.test_metrics_requests import FixedClock
from tests.workspace_builders import (
    ACME,
    BIRCH,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    many_workspaces,
)

PARTS = (b'POST', b'/claim', b'r1', b'ck1.key')


class IndexTest(unittest.TestCase):
    """The workspace of a key, and when the index is built."""

    def test_each_key_of_many_leads_to_its_workspace(self):
        workspaces = many_workspaces(500, 4)
        index = KeyIndex()
        index.update(workspaces)
        for name, workspace in workspaces.items():
            for key in workspace.api_keys:
                self.assertEqual(index.find(key.encode()), name)
        self.assertIsNone(index.find(b'key-1-0'))

    def test_index_is_built_once_while_only_servers_change(self):
        """Guards against a rebuild of 20,000 digests at each change of a server.

        The document is built anew at each such change, with the same map.
        """
        index, workspaces = KeyIndex(), many_workspaces(3, 2)
        with mock.patch.object(
            index_module, 'blake2b', wraps=index_module.blake2b
        ) as hashed:
            self.assertTrue(index.update(workspaces))
            self.assertFalse(index.update(workspaces))
            self.assertFalse(index.update(dict(workspaces)))
        self.assertEqual(hashed.call_count, 6)

    def test_moved_key_leads_only_to_its_new_workspace(self):
        index = KeyIndex()
        index.update({ACME: Workspace((KEY, NEW_KEY)), BIRCH: Workspace()})
        index.update({ACME: Workspace((NEW_KEY,)), BIRCH: Workspace((KEY,))})
        self.assertEqual(index.find(KEY.encode()), BIRCH)
        self.assertEqual(index.find(NEW_KEY.encode()), ACME)

    def test_each_look_up_hashes_the_whole_key_once(self):
        """Guards against a look-up whose time depends on how much of a key is right.

        Texts are never compared: the only input of the look-up is a salted digest.
        """
        index = KeyIndex()
        index.update({ACME: Workspace((KEY,))})
        self.assertTrue(all(type(each) is bytes for each in index.name_by_digest))
        self.assertNotIn(KEY.encode(), index.name_by_digest)
        other = KeyIndex()
        other.update({ACME: Workspace((KEY,))})
        self.assertNotEqual(set(index.name_by_digest), set(other.name_by_digest))

    def test_text_form_contains_no_key(self):
        index = KeyIndex()
        index.update({ACME: Workspace((KEY,))})
        self.assertNotIn(KEY, repr(index))


class KeyTest(unittest.TestCase):
    """Key headers that are rejected without a look-up."""

    def test_wrong_headers(self):
        for values, fault in (
            ([], KeyFault.MISSING),
            ([KEY.encode()] * 2, KeyFault.REPEATED),
            ([b''], KeyFault.EMPTY),
            ([b'x' * (MAX_KEY_BYTES + 1)], KeyFault.TOO_LONG),
            ([b'\xff\xfe'], KeyFault.NOT_TEXT),
            ([b'a\tb'], KeyFault.NOT_TEXT),
        ):
            with self.subTest(fault):
                self.assertIs(read_key(values), fault)
        self.assertEqual(read_key([KEY.encode()]), KEY.encode())


class CheckerTest(unittest.TestCase):
    """Decision and log line of a key."""

    def setUp(self):
        self.clock = FixedClock()
        self.checker = KeyChecker(self.clock)
        self.checker.update({ACME: Workspace((KEY,))}, '1.1')

    def check(self, *values: bytes):
        return self.checker.check(values, 'r1', lambda: 'route=r2 config=1.1')

    def test_line_names_the_inputs_and_a_fingerprint(self):
        with self.assertLogs('workspaces', 'INFO') as logs:
            refusal = self.check(NEW_KEY.encode())
        self.assertIs(refusal.reason, Reason.KEY_REJECTED)
        (line,) = logs.output
        for part in ('request=r1', 'cause=unknown', 'route=r2', 'config=1.1'):
            self.assertIn(part, line)
        self.assertIn(f'fingerprint={fingerprint_of(NEW_KEY.encode())} ', line)
        self.assertNotIn(NEW_KEY, line + str(refusal) + refusal.detail)

    def test_lines_of_a_flood_are_limited_and_counted(self):
        """Guards against a log filled by one caller that sends wrong keys quickly."""
        with self.assertLogs('workspaces', 'INFO') as logs:
            for _ in range(500):
                self.assertIsInstance(self.check(b'wrong'), NotRun)
            self.clock.now = 1.5
            self.check(b'wrong')
        self.assertEqual(len(logs.output), MAX_LINES_PER_SECOND + 1)
        self.assertIn(f'omitted={500 - MAX_LINES_PER_SECOND}', logs.output[-1])


class SignatureTest(unittest.TestCase):
    """Signatures of the workspace of a request that another instance passed on."""

    def setUp(self):
        self.workspace = Workspace((KEY, NEW_KEY))
        self.value = make_signatures(ACME, self.workspace, PARTS)

    def check(self, value: str, *keys: str, parts=PARTS) -> str | None:
        workspaces = {ACME: Workspace(keys), BIRCH: Workspace((OTHER_KEY,))}
        return verify_signature(value, workspaces, parts)

    def test_proof_holds_while_one_key_is_common(self):
        """Guards against refusals while two instances have different keys.

        A new key is in force at one instance seconds before it is at the other.
        """
        self.assertEqual(self.check(self.value, KEY, NEW_KEY), ACME)
        self.assertEqual(self.check(self.value, 'older', NEW_KEY), ACME)
        self.assertIsNone(self.check(self.value, 'older'))

    def test_nobody_else_can_name_a_workspace(self):
        """Guards against callers that send the header of another instance."""
        signatures = self.value.partition(' ')[2]
        forged = make_signatures(ACME, Workspace((OTHER_KEY,)), PARTS)
        moved = f'{BIRCH} {signatures}'
        for value in (ACME, f'{ACME} ', moved, forged, '', 'x y \xff'):
            with self.subTest(value):
                self.assertIsNone(self.check(value, KEY, NEW_KEY))
        other = (b'POST', b'/claim', b'r2', b'ck1.key')
        self.assertIsNone(self.check(self.value, KEY, NEW_KEY, parts=other))

    def test_value_contains_no_key(self):
        self.assertNotIn(KEY, self.value)


class HiddenKeysTest(unittest.TestCase):
    """Documents with fingerprints in place of keys."""

    def test_document_and_patch_show_fingerprints(self):
        shown = f'fingerprint {fingerprint_of(KEY.encode())}'
        plain = {'rules': {'workspaces': {ACME: {'api_keys': [KEY], 'burst': 3}}}}
        hidden = hide_keys(plain)['rules']['workspaces'][ACME]
        self.assertEqual(hidden, {'api_keys': [shown], 'burst': 3})
        self.assertEqual(
            plain['rules']['workspaces'][ACME]['api_keys'], [KEY], 'not changed'
        )

    def test_odd_documents_are_shown_without_keys(self):
        for workspaces in ({ACME: None}, {ACME: {'api_keys': KEY}}, None, [KEY]):
            with self.subTest(workspaces=workspaces):
                shown = hide_keys({'rules': {'workspaces': workspaces}})
                if workspaces != [KEY]:
                    self.assertNotIn(KEY, str(shown))
        for plain in (None, {}, {'rules': None}, {'register': {}}):
            self.assertEqual(hide_keys(plain), plain)


if __name__ == '__main__':
    unittest.main()

"""Tests of workspaces over processes: requests, the tool, logs and control pages."""

import json
import tempfile
import unittest
from pathlib import Path

import httpx

from catkinslip.status import ExitStatus
from catkinslip.workspaces.fingerprints import fingerprint_of
from standins.processes import ProcessGroup, wait_until
from standins.tool import ToolResult, run_tool
from tests.builders import document_plain
from tests.workspace_builders import ACME, BIRCH, KEY, NEW_KEY, OTHER_KEY

KEYS = (KEY, OTHER_KEY, NEW_KEY)
ADDRESSES_PATH = '/.well-known/catkinslip/addresses/claims'


def document(address: str) -> dict:
    """Return a document with one backend server and two workspaces."""
    plain = document_plain({'claims-1': address}, 'claims')
    plain['rules']['workspaces'] = {
        ACME: {'api_keys': [KEY], 'priority': 1, 'requests_per_second': 50},
        BIRCH: {'api_keys': [OTHER_KEY]},
    }
    return plain


class WorkspacesTest(unittest.TestCase):
    """Two daemons with workspaces, and what operators are shown of them."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.group = ProcessGroup(cls.folder)
        cls.addClassCleanup(cls.group.stop_all)
        cls.platform = f'http://{cls.group.start_platform().address}'
        cls.backend = cls.group.start_backend('claims-1').address
        cls.path = cls.folder / 'document.json'
        cls.apply(document(cls.backend))
        cls.daemons = [
            cls.group.start_daemon(
                name, 'zone-a', platform_url=cls.platform, peer_interval=0.1
            )
            for name in ('entry-1', 'entry-2')
        ]
        for daemon in cls.daemons:
            wait_until(lambda d=daemon: cls.send(d, KEY).status_code == 200)
            wait_until(lambda d=daemon: len(cls.prefixes(d)) == 2)

    @classmethod
    def apply(cls, plain: dict) -> ToolResult:
        cls.path.write_text(json.dumps(plain))
        return cls.tool('apply', str(cls.path))

    @classmethod
    def tool(cls, *arguments: str) -> ToolResult:
        return run_tool(*arguments, '--platform-url', cls.platform)

    @classmethod
    def ask(cls, *arguments: str) -> ToolResult:
        return run_tool(*arguments, '--control', cls.daemons[0].control_address)

    @classmethod
    def send(cls, daemon, key: str = '', **headers: str) -> httpx.Response:
        headers = {'Host': 'claims', **headers}
        if key:
            headers['Catkinslip-Api-Key'] = key
        url = f'http://{daemon.address}/claim'
        method = 'POST' if 'Idempotency-Key' in headers else 'GET'
        return httpx.request(method, url, headers=headers, timeout=10)

    @classmethod
    def prefixes(cls, daemon) -> dict[str, str]:
        url = f'http://{daemon.address}{ADDRESSES_PATH}'
        answer = httpx.get(url, headers={'Host': 'claims'}, timeout=10)
        return answer.json().get('key_prefix_by_address', {})

    def assert_secret(self, text: str) -> None:
        for key in KEYS:
            self.assertNotIn(key, text)

    def test_rejected_request_is_a_problem_without_the_key(self):
        answer = self.send(self.daemons[0], NEW_KEY)
        self.assertEqual(answer.status_code, 401)
        self.assertEqual(answer.json()['type'], 'urn:catkinslip:problem:key-rejected')
        self.assertEqual(answer.json()['detail'], 'unknown')
        self.assertEqual(answer.headers['catkinslip-outcome'], 'not-run')
        self.assert_secret(answer.text)
        self.assertEqual(self.send(self.daemons[0]).json()['detail'], 'missing')

    def test_request_passed_to_its_home_keeps_its_workspace(self):
        """Guards against a 401 of the home, which gets no key."""
        first, second = self.daemons
        ticket = f'{self.prefixes(second)[first.address]}.passed'
        answer = self.send(second, KEY, **{'Idempotency-Key': ticket})
        self.assertEqual(answer.status_code, 200, answer.text)
        again = self.send(first, KEY, **{'Idempotency-Key': ticket})
        self.assertIn('catkinslip-replayed', again.headers)
        other = self.send(first, OTHER_KEY, **{'Idempotency-Key': ticket})
        self.assertEqual(other.status_code, 422, other.text)

    def test_command_shows_limits_fingerprints_and_requests(self):
        self.send(self.daemons[0], KEY)
        result = self.ask('workspaces')
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.stderr)
        self.assertRegex(result.stdout, rf'\n{ACME} +1 +50 +- +1 +[1-9]\d* +0 +0 +0\n')
        self.assertIn(f'{BIRCH}: {fingerprint_of(OTHER_KEY.encode())}', result.stdout)
        self.assert_secret(result.stdout)
        plain = self.ask('workspaces', '--json').json
        self.assertEqual(plain[ACME]['fingerprints'], [fingerprint_of(KEY.encode())])
        self.assertGreaterEqual(plain[ACME]['requests']['served'], 1)

    def test_command_without_an_instance_is_unreachable(self):
        result = run_tool('workspaces', '--control', '127.0.0.1:9')
        self.assertEqual(result.status, ExitStatus.UNREACHABLE)

    def test_only_the_document_for_editing_shows_keys(self):
        """Guards against keys on the screens and in the files of operators."""
        control = self.daemons[0].control_address
        changed = document(self.backend)
        changed['rules']['workspaces'][ACME]['api_keys'].append(NEW_KEY)
        path = self.folder / 'changed.json'
        path.write_text(json.dumps(changed))
        shown = (
            self.tool('read'),
            self.tool('read', '--from', control),
            self.tool('read', '--from', control, '--document'),
            self.tool('diff', str(path)),
            self.tool('changes', '--patches'),
            self.tool('changes', '--json'),
        )
        for result in shown:
            self.assertEqual(result.status, ExitStatus.SUCCESS, result.stderr)
            self.assertIn('fingerprint ', result.stdout)
            self.assert_secret(result.stdout)
        document_text = self.tool('read', '--document').stdout
        self.assertIn(KEY, document_text)

    def test_control_pages_logs_and_traces_contain_no_key(self):
        daemon = self.daemons[0]
        request_id = 'traced-1'
        self.send(daemon, KEY, **{'Catkinslip-Request-Id': request_id})
        rejected = self.send(daemon, NEW_KEY, **{'Catkinslip-Request-Id': 'rejected-1'})
        self.assertEqual(rejected.headers['catkinslip-request-id'], 'rejected-1')
        log_path = daemon.log_path
        wait_until(lambda: 'rejected-1 claims ended' in log_path.read_text())
        text = log_path.read_text()
        self.assertIn('cause=unknown', text)
        self.assert_secret(text)
        for name in ('status', 'config', 'metrics', f'requests/{request_id}'):
            page = httpx.get(f'http://{daemon.control_address}/v1/{name}')
            self.assertEqual(page.status_code, 200)
            self.assert_secret(page.text)
        page = httpx.get(f'http://{daemon.control_address}/metrics').text
        self.assertIn('catkinslip_rejected_keys_total{cause="unknown"}', page)
        self.assert_secret(page)
        for arguments in (('explain', request_id), ('explain', 'rejected-1')):
            result = self.ask(*arguments)
            self.assertEqual(result.status, ExitStatus.SUCCESS, result.stderr)
            self.assert_secret(result.stdout)

    def test_shared_key_is_refused_without_it(self):
        plain = document(self.backend)
        plain['rules']['workspaces'][BIRCH]['api_keys'].append(KEY)
        result = self.apply(plain)
        self.assertEqual(result.status, ExitStatus.REJECTED)
        self.assertIn(f'rules.workspaces.{BIRCH}.api_keys[1]', result.stderr)
        self.assertIn(f'rules.workspaces.{ACME}.api_keys[0]', result.stderr)
        self.assert_secret(result.stderr + result.stdout)


if __name__ == '__main__':
    unittest.main()

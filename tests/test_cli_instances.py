"""Tests of status, metrics and traces that the tool prints from daemons."""

import tempfile
import unittest
from pathlib import Path

import httpx
import orjson

from catkinslip.status import ExitStatus
from standins.processes import ProcessGroup, wait_until
from standins.tool import run_tool
from tests.builders import document_plain

SECRET = 'swordfish'
SECRET_VARIABLE = {'CATKINSLIP_SHARED_SECRET': SECRET}


class InstancesTest(unittest.TestCase):
    """Output of the tool for two daemons, one of which received a request."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        group = ProcessGroup(cls.folder)
        cls.addClassCleanup(group.stop_all)
        platform_url = f'http://{group.start_platform().address}'
        backends = [group.start_backend(f'limits-{n}') for n in (1, 2)]
        path = cls.folder / 'document.json'
        path.write_bytes(plain_bytes({each.name: each.address for each in backends}))
        run_tool('apply', str(path), '--platform-url', platform_url)
        secret_path = cls.folder / 'secret'
        secret_path.write_text(SECRET)
        cls.daemons = [
            group.start_daemon(
                f'entry-{n}',
                'zone-a',
                platform_url=platform_url,
                peer_interval=0.1,
                shared_secret_file=secret_path,
            )
            for n in (1, 2)
        ]
        cls.request_id = wait_until(cls.send_request)
        wait_until(lambda: len(cls.run_json('instances')) == 2)

    @classmethod
    def send_request(cls) -> str | None:
        url = f'http://{cls.daemons[0].address}/limits/7'
        answer = httpx.get(url, headers={'Host': 'limits'})
        return answer.headers['catkinslip-request-id'] if answer.is_success else None

    @classmethod
    def run_command(cls, *arguments: str):
        control = cls.daemons[1].control_address
        return run_tool(*arguments, '--control', control, variables=SECRET_VARIABLE)

    @classmethod
    def run_json(cls, *arguments: str):
        return cls.run_command(*arguments, '--json').json

    def test_explain_finds_a_request_that_another_instance_received(self):
        result = self.run_command('explain', self.request_id)
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.stderr)
        self.assertIn(
            'entry-1 took GET /limits/7 for limits, repeatable.', result.stdout
        )
        self.assertRegex(
            result.stdout, r'Attempt 1 went to limits-\d, one of 2 servers: '
        )
        self.assertIn('the caller received: answered with 200.', result.stdout)

    def test_explain_reads_a_log_file_once_lines_are_flushed(self):
        log_path = self.daemons[0].log_path
        wait_until(lambda: self.request_id in log_path.read_text())
        result = run_tool('explain', self.request_id, '--log', str(log_path))
        self.assertEqual(result.status, ExitStatus.SUCCESS)
        self.assertIn(f'routing: {self.request_id} limits goes to', result.stdout)

    def test_explain_reports_an_unknown_request(self):
        result = self.run_command('explain', 'no-such-request')
        self.assertEqual(result.status, ExitStatus.NOT_FOUND)
        self.assertIn('2 of 2 instances', result.stderr)

    def test_metrics_as_table_and_for_prometheus(self):
        control = self.daemons[0].control_address
        result = run_tool('metrics', '--control', control, variables=SECRET_VARIABLE)
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.stderr)
        self.assertRegex(result.stdout, r'\nlimits +\d+ +\d+ +0 +0 ')
        text = httpx.get(
            f'http://{control}/metrics', headers={'Authorization': f'Bearer {SECRET}'}
        ).text
        self.assertRegex(
            text,
            r'catkinslip_service_outcomes_total\{outcome="answered-2xx",'
            r'service="limits"\} [1-9]',
        )
        for name in (
            'catkinslip_config_version{epoch="0"} 1.0',
            'catkinslip_log_lines_total{state="lost"} 0.0',
            'catkinslip_loop_lag_seconds_count',
            'catkinslip_platform_calls_total{operation="watch",outcome="answered"}',
        ):
            self.assertIn(name, text)

    def test_status_shows_the_version_in_force(self):
        result = self.run_command('status')
        self.assertIn('Configuration version 0.1 is in force.', result.stdout)
        statuses = [each['status'] for each in self.run_json('instances')]
        versions = {each['config_version']['number'] for each in statuses}
        self.assertEqual(versions, {1})

    def test_wrong_secret_is_reported_with_a_remedy(self):
        control = self.daemons[0].control_address
        result = run_tool('status', '--control', control)
        self.assertEqual(result.status, ExitStatus.UNREACHABLE)
        self.assertIn('Set CATKINSLIP_SHARED_SECRET', result.stderr)


def plain_bytes(address_by_backend: dict[str, str]) -> bytes:
    return orjson.dumps(document_plain(address_by_backend))

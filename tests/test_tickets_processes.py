"""Tests of at-most-once over processes: outcomes compared with the ledger of runs."""

import json
import signal
import socket
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx

from catkinslip.cli.application import run
from standins.processes import ProcessGroup, wait_until
from tests.builders import document_plain

ADDRESSES_PATH = '/.well-known/catkinslip/addresses/claims'
LATE = {'Catkinslip-Timeout': '0'}
RECORDED = {
    'service': 'claims',
    'path': '/recorded/*',
    'methods': ['POST'],
    'repeatable': False,
    'record': 'platform',
}


class AtMostOnceProcessesTest(unittest.TestCase):
    """At-most-once over two instances, one backend server and the platform."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.group = ProcessGroup(Path(folder.name))
        cls.addClassCleanup(cls.group.stop_all)
        cls.platform = cls.group.start_platform().address
        cls.backend = cls.group.start_backend('claims-1', slots=50).address
        cls.apply(Path(folder.name) / 'document.json')
        for name in ('entry-1', 'entry-2'):
            cls.start_daemon(name)
        for name in ('entry-1', 'entry-2'):
            wait_until(lambda n=name: len(cls.prefixes(n)) == 2)
            wait_until(lambda n=name: cls.get(n, '/ready').status_code == 200)

    @classmethod
    def apply(cls, path: Path):
        plain = document_plain({'claims-1': cls.backend}, 'claims')
        plain['rules']['requests'] = [RECORDED]
        path.write_text(json.dumps(plain))
        platform = ['--platform-url', f'http://{cls.platform}']
        assert run(['apply', str(path), *platform, '--quiet']) == 0

    @classmethod
    def start_daemon(cls, name: str):
        url = f'http://{cls.platform}'
        cls.group.start_daemon(name, 'zone-a', platform_url=url, peer_interval=0.1)

    @classmethod
    def address(cls, name: str) -> str:
        return cls.group.process_by_name[name].address

    @classmethod
    def get(cls, name: str, path: str) -> httpx.Response:
        url = f'http://{cls.address(name)}{path}'
        return httpx.get(url, headers={'Host': 'claims'}, timeout=10)

    @classmethod
    def prefixes(cls, name: str) -> dict[str, str]:
        return cls.get(name, ADDRESSES_PATH).json()['key_prefix_by_address']

    def key(self, home: str) -> str:
        prefix = self.prefixes('entry-2')[self.address(home)]
        return f'{prefix}.{self._testMethodName}'

    def post(self, name: str, key: str, request_id: str, path='/claim', timeout=10):
        headers = {'Catkinslip-Timeout': str(timeout)}
        return self.send(name, key, request_id, path, headers)

    def send(self, name: str, key: str, request_id: str, path: str, headers: dict):
        headers = {
            'Host': 'claims',
            'Idempotency-Key': key,
            'Catkinslip-Request-Id': request_id,
            **headers,
        }
        url = f'http://{self.address(name)}{path}'
        return httpx.post(url, headers=headers, content=b'claim', timeout=20)

    def set_behaviour(self, **behaviour):
        url = f'http://{self.backend}/standin/behaviour'
        httpx.post(url, json=behaviour, timeout=10)

    def set_faults(self, **faults):
        url = f'http://{self.platform}/standin/faults'
        httpx.post(url, json=faults, timeout=10)

    def run_count(self, key: str) -> int:
        return self.ledger()['by_key'].get(key, 0)

    def ledger(self) -> dict:
        return httpx.get(f'http://{self.backend}/standin/ledger', timeout=10).json()

    def assert_outcome(self, answer: httpx.Response, outcome: str, problem: str):
        self.assertEqual(answer.headers.get('catkinslip-outcome'), outcome, answer.text)
        self.assertEqual(answer.json()['type'], f'urn:catkinslip:problem:{problem}')

    def test_killed_home_loses_the_answer_but_never_runs_twice(self):
        key = self.key('entry-1')
        self.set_behaviour(service_time=1.0)
        self.addCleanup(self.set_behaviour, service_time=0.0)
        with ThreadPoolExecutor() as threads:
            first = threads.submit(self.post, 'entry-1', key, 'kill-1')
            wait_until(lambda: self.run_count(key) == 1)
            self.group.process_by_name['entry-1'].kill()
            self.assertIsInstance(first.exception(), httpx.TransportError)
        answers = [self.post('entry-2', key, 'kill-2')]
        self.start_daemon('entry-1')
        wait_until(lambda: self.get('entry-1', '/ready').status_code == 200)
        answers.append(self.post('entry-1', key, 'kill-3'))
        wait_until(lambda: self.address('entry-1') in self.prefixes('entry-2'))
        answers.append(self.post('entry-2', key, 'kill-4'))
        self.assertEqual(self.run_count(key), 1)
        problems = ('home-unreachable', 'home-gone', 'home-gone')
        for answer, problem in zip(answers, problems, strict=True):
            self.assert_outcome(answer, 'unknown', problem)

    def test_frozen_home_does_not_run_a_request_late(self):
        key = self.key('entry-1')
        home = self.group.process_by_name['entry-1']
        home.send_signal(signal.SIGSTOP)
        try:
            first = self.post('entry-2', key, 'frozen-1', timeout=0.5)
            self.assert_outcome(first, 'unknown', 'deadline')
        finally:
            home.send_signal(signal.SIGCONT)
        wait_until(lambda: 'frozen-1' in home.log_path.read_text())
        again = self.post('entry-2', key, 'frozen-2')
        by_request = self.ledger()['by_request']
        self.assertNotIn('frozen-1', by_request)
        self.assertEqual(again.status_code, 200, again.text)
        self.assertEqual(self.run_count(key), 1)

    def test_one_key_through_two_instances_at_once(self):
        key = self.key('entry-1')
        self.set_behaviour(service_time=0.3)
        self.addCleanup(self.set_behaviour, service_time=0.0)
        with ThreadPoolExecutor(8) as threads:
            names = ('entry-1', 'entry-2') * 4
            posts = [
                threads.submit(self.post, name, key, f'at-once-{number}')
                for number, name in enumerate(names)
            ]
            answers = [post.result() for post in posts]
        self.assertEqual(self.run_count(key), 1)
        answers.append(self.post('entry-2', key, 'at-once-again'))
        right = [answer for answer in answers if answer.status_code == 200]
        replayed = [each for each in right if 'catkinslip-replayed' in each.headers]
        self.assertEqual(len(right) - len(replayed), 1)
        self.assertIn(answers[-1], replayed)
        self.assertEqual(len({answer.text for answer in right}), 1)
        for answer in answers:
            if answer not in right:
                self.assert_outcome(answer, 'unknown', 'already-sent')
        self.assertEqual(self.run_count(key), 1)

    def test_key_of_the_caller_is_refused_without_a_rule(self):
        first = self.post('entry-1', 'own-key', 'own-1')
        self.assert_outcome(first, 'not-run', 'key-not-accepted')
        self.assertEqual(self.run_count('own-key'), 0)

    def test_recorded_key_runs_once_through_two_instances(self):
        with ThreadPoolExecutor(2) as threads:
            posts = [
                threads.submit(self.post, name, 'both', f'both-{name}', '/recorded/1')
                for name in ('entry-1', 'entry-2')
            ]
            statuses = sorted(post.result().status_code for post in posts)
        self.assertEqual(statuses, [200, 409])
        self.assertEqual(self.run_count('both'), 1)

    def test_recorded_key_with_a_lost_answer_runs_once(self):
        self.set_faults(lose_answers=1)
        answer = self.post('entry-1', 'lost', 'lost-1', '/recorded/2')
        self.assertEqual(answer.status_code, 200, answer.text)
        again = self.post('entry-2', 'lost', 'lost-2', '/recorded/2')
        self.assert_outcome(again, 'unknown', 'already-sent')
        self.assertEqual(self.run_count('lost'), 1)

    def test_recorded_key_is_not_sent_while_the_platform_is_down(self):
        self.set_faults(down=True)
        self.addCleanup(self.set_faults, down=False)
        first = self.post('entry-1', 'down', 'down-1', '/recorded/3')
        self.assert_outcome(first, 'unknown', 'record-unavailable')
        self.assertIn('retry-after', first.headers)
        self.assertEqual(self.run_count('down'), 0)
        self.set_faults(down=False)
        again = self.post('entry-2', 'down', 'down-2', '/recorded/3')
        self.assertEqual(again.status_code, 200, again.text)

    def test_late_resend_of_an_answered_request_is_not_answered_as_not_run(self):
        # Guards against a refusal by deadline before the records of the key are read.
        late_headers = (
            {'Catkinslip-Timeout': '0'},
            {'Catkinslip-Timeout': '0.001'},
            {'Catkinslip-Deadline': str(int(time.time()) - 60)},
        )
        keys = ((self.key('entry-1'), '/claim'), ('late', '/recorded/5'))
        for key, path in keys:
            first = self.post('entry-1', key, f'{path}-first', path)
            self.assertEqual(first.status_code, 200, first.text)
            for name in ('entry-1', 'entry-2'):
                for headers in late_headers:
                    with self.subTest(path=path, instance=name, headers=headers):
                        again = self.send(name, key, f'{path}-again', path, headers)
                        outcome = again.headers.get('catkinslip-outcome')
                        self.assertNotEqual(outcome, 'not-run', again.text)
                        is_replay = 'catkinslip-replayed' in again.headers
                        self.assertTrue(outcome == 'unknown' or is_replay)
            self.assertEqual(self.run_count(key), 1)

    def test_request_read_after_its_caller_left_does_not_run(self):
        # Guards against a run after a resend of the same key was answered as not run:
        # the home is stopped, the first sending waits unread, and its caller leaves.
        key = self.key('entry-1')
        home = self.group.process_by_name['entry-1']
        home.send_signal(signal.SIGSTOP)
        try:
            host, _, port = self.address('entry-1').rpartition(':')
            with socket.create_connection((host, int(port))) as connection:
                request = (
                    'POST /claim HTTP/1.1',
                    'Host: claims',
                    f'Idempotency-Key: {key}',
                    'Catkinslip-Request-Id: left-1',
                    'Content-Length: 5',
                )
                head = '\r\n'.join(request)
                connection.sendall(f'{head}\r\n\r\nclaim'.encode())
        finally:
            home.send_signal(signal.SIGCONT)
        wait_until(lambda: 'left-1' in home.log_path.read_text())
        late = self.send('entry-1', key, 'left-2', '/claim', LATE)
        self.assert_outcome(late, 'not-run', 'too-late')
        self.assertEqual(self.run_count(key), 0)
        again = self.post('entry-1', key, 'left-3')
        self.assertEqual(again.status_code, 200, again.text)
        self.assertEqual(self.run_count(key), 1)

    def test_same_key_runs_after_not_run(self):
        for key, path in (('shed', '/recorded/4'), (self.key('entry-1'), '/claim')):
            self.set_behaviour(slots=1, queue=-1)
            first = self.post('entry-1', key, f'{path}-1', path)
            self.set_behaviour(slots=50, queue=1000)
            self.assertEqual(first.headers['catkinslip-outcome'], 'not-run', first.text)
            self.assertEqual(self.run_count(key), 0)
            again = self.post('entry-2', key, f'{path}-2', path)
            self.assertEqual(again.status_code, 200, again.text)
            self.assertEqual(self.run_count(key), 1)

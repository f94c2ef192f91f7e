"""Tests of killed or paused instances, as processes under load."""

import signal
import unittest

import httpx
import trio

from standins.processes import wait_until
from tests.small_fleet import (
    fetch_addresses,
    load_during_failure,
    new_process_group,
    start_small_fleet,
)

INTERVAL_SECONDS = 0.1
LIFETIME_SECONDS = 0.6
SECRET = 'between us'


class FailedInstanceTest(unittest.TestCase):
    """Failures of instances among three in three zones."""

    def setUp(self):
        self.group = new_process_group(self)
        self.daemons = start_small_fleet(
            self.group,
            ('zone-a', 'zone-b', 'zone-c'),
            peer_interval=INTERVAL_SECONDS,
            address_lifetime=LIFETIME_SECONDS,
            shared_secret=SECRET,
        )

    def wait_for_answers_of(self, others, count: int) -> None:
        for daemon in others:
            wait_until(lambda each=daemon: len(fetch_addresses(each)) == count)

    def test_paused_and_killed_instances_are_left_out(self):
        first, second, third = self.daemons

        def pause_then_kill():
            first.send_signal(signal.SIGSTOP)
            self.wait_for_answers_of((second, third), 2)
            first.send_signal(signal.SIGCONT)
            self.wait_for_answers_of(self.daemons, 3)
            second.kill()
            self.wait_for_answers_of((first, third), 2)

        tally = trio.run(
            load_during_failure, self.daemons, pause_then_kill, LIFETIME_SECONDS
        )
        self.assertEqual(tally.wrong, 0)
        self.assertGreater(tally.right, 0)
        self.assertNotIn(second.address, fetch_addresses(third))

    def test_control_api_refuses_invalid_messages(self):
        daemon = self.daemons[0]
        url = f'http://{daemon.control_address}/v1/exchange'
        good = {'Catkinslip-Secret': SECRET}
        empty = httpx.post(url, json={'sender': 'x'}, headers=good)
        self.assertEqual(empty.status_code, 200)
        self.assertEqual(httpx.post(url, json={'sender': 'x'}).status_code, 403)
        for body in (b'', b'{', b'[]', b'null', b'{"sender":"x","words":[7]}', b'\xff'):
            with self.subTest(body=body):
                answer = httpx.post(url, content=body, headers=good)
                self.assertEqual(answer.status_code, 400)
        huge = httpx.post(url, content=b'x' * (9 << 20), headers=good)
        self.assertEqual(huge.status_code, 413)
        for path in ('/v1/exchange', '/v1/status', '/v1/probe'):
            reached = httpx.get(f'http://{daemon.address}{path}', headers=good)
            self.assertEqual(reached.json()['status'], reached.status_code)
        self.assertEqual(len(fetch_addresses(daemon)), 3)
        self.assertIsNone(daemon.popen.poll())
        self.assertNotIn(SECRET, daemon.log_path.read_text())
        self.assertNotIn('asks for no secret', daemon.log_path.read_text())

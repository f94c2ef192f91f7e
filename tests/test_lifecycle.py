"""Tests of the graceful shutdown of an instance."""

import json
import signal
import socket
import unittest
from http.client import HTTPConnection

import httpx
import trio

from standins.load import Tally
from standins.processes import Process, ProcessGroup, wait_until
from tests.small_fleet import (
    fetch_addresses,
    load_during_failure,
    new_process_group,
    start_small_fleet,
)

LIFETIME_SECONDS = 0.6


class ShutdownUnderLoadTest(unittest.TestCase):
    """One of two instances stops while callers send requests."""

    def setUp(self):
        self.group = new_process_group(self)

    def start(self) -> list[Process]:
        return start_small_fleet(
            self.group,
            ('zone-a', 'zone-b'),
            backend={'service_time': 0.05, 'slots': 8},
            peer_interval=0.1,
            address_lifetime=LIFETIME_SECONDS,
        )

    def check(self, tally: Tally, daemons: list[Process]) -> None:
        self.assertEqual((tally.cut, tally.wrong, tally.unknown), (0, 0, 0))
        self.assertEqual(daemons[0].popen.returncode, 0)
        self.assertEqual(fetch_addresses(daemons[1]), [daemons[1].address])
        self.assertIn('asks for no secret', daemons[0].log_path.read_text())

    def test_no_request_is_cut_by_a_stop(self):
        daemons = self.start()

        def stop():
            daemons[0].send_signal(signal.SIGTERM)
            # Both instances omit it from their answers while it still serves.
            for daemon in daemons:
                wait_until(lambda d=daemon: len(fetch_addresses(d)) == 1)
            self.assertIsNone(daemons[0].popen.poll())
            daemons[0].wait()

        self.check(
            trio.run(load_during_failure, daemons, stop, LIFETIME_SECONDS), daemons
        )

    def test_second_signal_ends_sooner_and_cuts_no_request(self):
        daemons = self.start()

        def stop():
            daemons[0].send_signal(signal.SIGTERM)
            wait_until(lambda: len(fetch_addresses(daemons[0])) == 1)
            daemons[0].send_signal(signal.SIGTERM)
            daemons[0].wait()

        tally = trio.run(load_during_failure, daemons, stop, LIFETIME_SECONDS)
        self.assertEqual((tally.wrong, tally.unknown), (0, 0))
        self.assertEqual(daemons[0].popen.returncode, 0)
        # Refused connections are allowed; a request that ran must be answered.
        cut = tally.ids_with_outcome('cut')
        self.assertEqual(cut & requests_run(self.group), set())


class SlowRequestTest(unittest.TestCase):
    """An instance is stopped while a slow request is in flight."""

    def test_request_in_flight_ends_and_idle_connections_close(self):
        group = new_process_group(self)
        (daemon,) = start_small_fleet(
            group, ('zone-a',), backend={'service_time': 1.5}, drain_timeout=20
        )
        host, _, port = daemon.address.rpartition(':')
        idle = socket.create_connection((host, int(port)))
        self.addCleanup(idle.close)
        busy = HTTPConnection(daemon.address, timeout=20)
        self.addCleanup(busy.close)
        headers = {'Host': 'limits', 'Catkinslip-Request-Id': 'slow'}
        busy.request('GET', '/slow', headers=headers)
        wait_until(lambda: 'slow' in requests_run(group))
        daemon.send_signal(signal.SIGINT)
        answer = busy.getresponse()
        self.assertEqual(
            (answer.status, answer.getheader('connection')), (200, 'close')
        )
        self.assertEqual(json.loads(answer.read())['path'], '/slow')
        self.assertEqual(idle.recv(1), b'')
        self.assertEqual(daemon.wait(), 0)
        self.assertNotIn('cut at the drain timeout', daemon.log_path.read_text())


def requests_run(group: ProcessGroup) -> set[str]:
    """Return the IDs of the requests that the backend servers ran."""
    run = set()
    for name in ('limits-1', 'limits-2'):
        address = group.process_by_name[name].address
        ledger = httpx.get(f'http://{address}/standin/ledger').json()
        run.update(ledger['by_request'])
    return run

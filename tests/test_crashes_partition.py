"""Crashes that an instance concludes while its own paths are cut."""

import socket
import unittest

import trio

from catkinslip.clock import SystemClock
from catkinslip.crashes.guard import CrashGuard
from catkinslip.models import Address
from tests.builders import plain_call


def closed_port() -> Address:
    """Return an address that refuses connections."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return Address(*sock.getsockname())


class PartitionTest(unittest.TestCase):
    """A server whose connection broke and whose port refuses connections."""

    def detect(self, witness: Address | None) -> bool:
        """Return whether a crash is concluded and check that it is recorded then."""
        guard = CrashGuard(SystemClock())
        call = plain_call('limits')

        async def run() -> bool:
            return await guard.detect_crash(call, 'i-1', closed_port(), witness=witness)

        has_crashed = trio.run(run)
        self.assertEqual(bool(guard.registry.suspect_by_key), has_crashed)
        return has_crashed

    def test_partitioned_instance_recorded_requests_as_crashing_servers(self):
        # Where connections are reset and new ones refused, every request under way
        # looked as if it had ended its server, and peers were told.
        self.assertFalse(self.detect(closed_port()))

    def test_crash_is_recorded_where_another_server_accepts_connections(self):
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            sock.listen()
            self.assertTrue(self.detect(Address(*sock.getsockname())))

    def test_crash_is_recorded_without_another_server(self):
        self.assertTrue(self.detect(None))

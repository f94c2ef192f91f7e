"""The ports that tests give to the instances that they start.

An instance also receives datagrams. Two test runs on one machine failed as the port of
an instance was free for TCP while another process had bound it for UDP.
"""

import socket
import unittest

from tests.small_platform import is_free


class PortTest(unittest.TestCase):
    """The search for free ports."""

    def test_port_in_use_for_datagrams_is_not_free(self):
        self._assert_taken(socket.SOCK_DGRAM)

    def test_port_in_use_for_connections_is_not_free(self):
        self._assert_taken(socket.SOCK_STREAM)

    def _assert_taken(self, kind: socket.SocketKind) -> None:
        with socket.socket(type=kind) as sock:
            sock.bind(('127.0.0.1', 0))
            self.assertFalse(is_free(sock.getsockname()[1]))

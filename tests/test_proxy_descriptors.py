"""Tests of an instance that has no descriptor left for a connection."""

import errno
import unittest
from unittest import mock

import trio

from catkinslip.crashes.guard import refuses_connection
from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.platform.settings import read_settings
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool
from tests.platform_builders import settings_text

ADDRESS = Address('127.0.0.1', 1)
NO_DESCRIPTOR = OSError(errno.EMFILE, 'Too many open files')


class NoDescriptorTest(unittest.TestCase):
    """A lack of descriptors is an outcome, and no fault of the server."""

    def run_without_descriptors(self, function, *arguments) -> object:
        """Return the result of an async function that can open no socket."""

        async def run():
            with mock.patch.object(trio.socket, 'socket', side_effect=NO_DESCRIPTOR):
                return await function(*arguments)

        return trio.run(run)

    def test_connection_without_a_descriptor_does_not_end_the_instance(self):
        # The error passed the clients of the store and of peers and ended the process.
        pool = BackendPool()
        with self.assertLogs('pool', 'WARNING'):
            result = self.run_without_descriptors(pool.acquire, ADDRESS)
        self.assertIsInstance(result, NotRun)
        self.assertIs(result.reason, Reason.CONNECTION_LIMIT)
        self.assertEqual(pool.connections_by_address[ADDRESS].in_use, 0)

    def test_page_request_without_a_descriptor_is_not_run(self):
        # The same, as the followers of the store see it.
        with self.assertLogs('pool', 'WARNING'):
            result = self.run_without_descriptors(PageClient().send, ADDRESS, '/', 1.0)
        self.assertIsInstance(result, NotRun)

    def test_no_crash_is_concluded_without_a_descriptor(self):
        # A server is not asked, so nothing is known of it.
        self.assertFalse(self.run_without_descriptors(refuses_connection, ADDRESS))

    def test_callers_leave_descriptors_for_servers_and_the_store(self):
        # The limit was 4,096 whatever the platform allowed.
        for descriptors in (300, 1000, 4100):
            text = settings_text() + f'[limits]\nmax_fds = {descriptors}\n'
            settings = read_settings(text).unwrap()
            with self.subTest(descriptors=descriptors):
                self.assertLess(settings.max_callers, descriptors - 200)
                self.assertGreater(settings.max_callers, 0)

"""Tests of the platform's program as a process: signals, settings and shutdown."""

import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from standins.processes import ROOT, wait_until
from tests.platform_builders import settings_text
from tests.small_platform import free_ports

MODULE = 'catkinslip.platform'
END_SECONDS = 20.0
#: Runs the program with a stub of its main function that returns 0 if SIGHUP is
#: ignored.
START_WITH_STUB = """
import runpy, signal, sys, types
program = types.ModuleType('catkinslip.platform.program')
program.main = lambda: int(signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN)
sys.modules['catkinslip.platform.program'] = program
runpy.run_module('catkinslip.platform', run_name='__main__')
"""


class ProcessTest(unittest.TestCase):
    """One process of an instance whose store is unreachable."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'settings.toml')
        names = ('front', 'ready', 'peer', 'directory', 'store', 'report')
        self.ports = dict(zip(names, free_ports(6), strict=True))
        self.path.write_text(settings_text(**self.ports))

    def variables(self) -> dict[str, str]:
        """Return the environment variables of the process."""
        return {
            **os.environ,
            'CATKINSLIP_NODE_FILE': str(self.path),
            'CATKINSLIP_METRICS_PORT': '0',
        }

    def start(self) -> subprocess.Popen:
        """Start the process and wait until it serves the readiness page."""
        process = self.launch()
        wait_until(lambda: self.ready_status() is not None)
        return process

    def launch(self) -> subprocess.Popen:
        """Start the process without waiting for it."""
        process = subprocess.Popen(
            [sys.executable, '-m', MODULE],
            cwd=ROOT,
            env=self.variables(),
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        return process

    def ready_status(self) -> int | None:
        """Return the status of the readiness page; None if it cannot be reached."""
        url = f'http://127.0.0.1:{self.ports["ready"]}/catkinslip/readyz'
        try:
            return httpx.get(url, timeout=5).status_code
        except httpx.HTTPError:
            return None

    def test_without_a_configuration_it_is_not_ready(self):
        self.start()
        self.assertEqual(self.ready_status(), 503)
        url = f'http://127.0.0.1:{self.ports["front"]}/a/'
        self.assertEqual(httpx.get(url, headers={'Host': 'a'}).status_code, 503)

    def test_hangup_reloads_and_does_not_end_it(self):
        process = self.start()
        process.send_signal(signal.SIGHUP)
        self.path.write_text('node =')
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertIsNone(process.poll())
        self.assertEqual(self.ready_status(), 503)

    def test_address_that_a_connection_holds_is_waited_for(self):
        with socket.create_server(('127.0.0.1', 0)) as server:
            holder = socket.create_connection(
                server.getsockname(), source_address=('127.0.0.1', self.ports['ready'])
            )
            process = self.launch()
            while 'address in use' not in (line := process.stdout.readline()):
                self.assertTrue(line, 'the process ended')
            # A reset avoids TIME_WAIT, which would keep the address in use for longer.
            linger = struct.pack('ii', 1, 0)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            holder.close()
            wait_until(lambda: self.ready_status() is not None)

    def test_hangup_is_ignored_before_the_program_is_imported(self):
        done = subprocess.run(
            [sys.executable, '-c', START_WITH_STUB], cwd=ROOT, timeout=END_SECONDS
        )
        self.assertEqual(done.returncode, 0)

    def test_termination_ends_it_well_before_it_is_killed(self):
        process = self.start()
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=END_SECONDS)
        self.assertEqual(process.returncode, 0)
        self.assertLess(time.monotonic() - began, 6.0)
        self.assertIn('lifecycle: stopped.', output)

    def test_wrong_settings_are_reported_and_refused(self):
        self.path.write_text('node = "edge-1"\n')
        done = subprocess.run(
            [sys.executable, '-m', MODULE],
            cwd=ROOT,
            env=self.variables(),
            capture_output=True,
            text=True,
            timeout=END_SECONDS,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn('settings: listen.front: is missing.', done.stdout)


if __name__ == '__main__':
    unittest.main()

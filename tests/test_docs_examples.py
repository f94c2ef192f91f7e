"""The examples of the README, run as they stand there."""

import contextlib
import os
import re
import signal
import socket
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BLOCK = re.compile(r'^```sh run\n(.*?)^```$', re.DOTALL | re.MULTILINE)
PORT = re.compile(r'\b7[0-3]0\d\b')
ACTIVATE = '. .venv/bin/activate\n'
PRELUDE = """set -e
catkinslip() { python -m catkinslip "$@"; }
catkinslipd() { exec python -m catkinslip.daemon "$@"; }
"""
SECONDS = 40


class ReadmeTest(unittest.TestCase):
    """Each block ends well and shows what the text says."""

    def test_examples_run_as_written(self):
        output = run_script(PRELUDE + ''.join(blocks(ROOT / 'README.md')))
        for expected in (
            'Accepted as version 1.',
            r'entry-1 +zone-a .* live +1\n',
            r'entry-2 +zone-b .* live +1\n',
            'Configuration version 1 is in force.',
            '"addresses":',
            'HTTP/1.1 200',
            r"200 [0-9a-f]+ \{'backend': 'limits-\d'",
            'entry-1 took GET /limits/7 for limits, repeatable.',
            r'\nlimits +\d+ +\d+ ',
            r'catkinslip_service_outcomes_total\{outcome="answered-2xx"',
            'Accepted as version 2.',
        ):
            self.assertRegex(output, expected)


def blocks(path: Path) -> list[str]:
    """Return the runnable blocks of a page, on ports that are free here."""
    text = path.read_text()
    return with_free_ports(BLOCK.findall(text))


def with_free_ports(found: list[str]) -> list[str]:
    ports = sorted({port for block in found for port in PORT.findall(block)})
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in ports]
    free = [str(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    port_by_written = dict(zip(ports, free, strict=True))
    return [
        PORT.sub(lambda match: port_by_written[match[0]], block).replace(ACTIVATE, '')
        for block in found
    ]


def run_script(script: str) -> str:
    """Run a script in a folder of its own; end all that it started."""
    with tempfile.TemporaryDirectory() as folder:
        output_path = Path(folder) / 'output.log'
        with output_path.open('w') as output:
            popen = subprocess.Popen(
                ['bash', '-c', script],
                cwd=folder,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        try:
            status = popen.wait(SECONDS)
        except subprocess.TimeoutExpired:
            status = None
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(popen.pid, signal.SIGKILL)
            popen.wait()
        if status != 0:
            logs = ''.join(path.read_text() for path in Path(folder).glob('*.log'))
            raise AssertionError(f'exit status {status}:\n{logs}')
        return output_path.read_text()

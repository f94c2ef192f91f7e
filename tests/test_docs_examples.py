"""Runs the examples of README.md and docs/OPERATING.md as written."""

import contextlib
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

from attrs import fields

from catkinslip.config.documents import Backend, RequestRule, Service, Workspace
from catkinslip.proxy.outcomes import Reason

ROOT = Path(__file__).resolve().parent.parent
BLOCK = re.compile(r'^```sh run\n(.*?)^```$', re.DOTALL | re.MULTILINE)
SERIES = re.compile(r'\bcatkinslip_[a-z_]+[a-z]\b')
PORT = re.compile(r'\b7[0-3]0\d\b')
ACTIVATE = '. .venv/bin/activate\n'
PRELUDE = """set -e
catkinslip() { python -m catkinslip "$@"; }
catkinslipd() { python -m catkinslip.daemon "$@"; }
"""
SECONDS = 120
FIRST_KERNEL_PORT = 32_768


class ExamplesTest(unittest.TestCase):
    """Each block succeeds and prints the documented output."""

    def test_examples_run_as_written(self):
        *first, last = blocks(ROOT / 'README.md')
        operating = blocks(ROOT / 'docs' / 'OPERATING.md')
        found = with_free_ports([*first, *operating, last])
        output = run_script(PRELUDE + ''.join(found))
        for expected in (
            'Good: 1 services, 2 backend servers.',
            'Accepted as version 0.1, change [0-9a-f]+.',
            'Version 0.1 is in force on all 2 instances.',
            r'entry-1 +zone-a .* live +0\.1\n',
            r'entry-2 +zone-b .* live +0\.1\n',
            'Configuration version 0.1 is in force.',
            '"addresses":',
            'HTTP/1.1 200',
            r"200 [0-9a-f]+ \{'backend': 'limits-\d'",
            'entry-1 took GET /limits/7 for limits, repeatable.',
            r'\nlimits +\d+ +\d+ ',
            r'catkinslip_service_outcomes_total\{outcome="answered-2xx"',
            'Version 0.2 is in force on all 2 instances.',
            'The settings are right.',
            r'--platform-timeout \(CATKINSLIP_PLATFORM_TIMEOUT\): .900. is wrong',
            '--sed is not a flag. Did you mean --seeds?',
            '4  Another operator changed the configuration first',
            r'entry-2 took GET /limits/9 for limits',
            r'INFO routing: second limits goes to limits-\d',
            'Version 0.3 is in force on all 2 instances.',
        ):
            self.assertRegex(output, expected)


class PagesTest(unittest.TestCase):
    """The pages document each refusal reason, document field and metric series."""

    def test_each_refusal_is_in_the_operators_page(self):
        text = (ROOT / 'docs' / 'OPERATING.md').read_text()
        missing = [each.slug for each in Reason if f'`{each.slug}`' not in text]
        self.assertEqual(missing, [])

    def test_each_refusal_has_its_status_there(self):
        rows = (ROOT / 'docs' / 'OPERATING.md').read_text().splitlines()
        for each in Reason:
            (row,) = (
                row for row in rows if row.startswith('|') and each.slug in slugs(row)
            )
            cells = [cell.strip() for cell in row.split('|')]
            statuses = cells[2].split(', ')
            expected = statuses[slugs(row).index(each.slug) % len(statuses)]
            self.assertEqual(str(each.status), expected, row)

    def test_each_field_of_the_document_is_in_its_page(self):
        text = (ROOT / 'docs' / 'CONFIGURATION.md').read_text()
        names = {
            field.name
            for kind in (Service, Backend, RequestRule, Workspace)
            for field in fields(kind)
        }
        self.assertEqual([name for name in names if f'| `.{name}` |' not in text], [])

    def test_each_series_that_a_page_names_is_exported(self):
        code = ''.join(path.read_text() for path in ROOT.glob('catkinslip/**/*.py'))
        for page in ROOT.glob('docs/*.md'):
            for name in SERIES.findall(page.read_text()):
                label = re.sub('_(service|backend)_', '_{label}_', name)
                self.assertTrue(name in code or label in code, (page.name, name))


def slugs(row: str) -> list[str]:
    """Return the names in code formatting in the first cell of a table row."""
    return re.findall('`([a-z-]+)`', row.split('|')[1])


def blocks(path: Path) -> list[str]:
    """Return the runnable code blocks of a page."""
    return BLOCK.findall(path.read_text())


def with_free_ports(found: list[str]) -> list[str]:
    """Replace the ports by free ones below the kernel's ephemeral range."""
    ports = sorted({port for block in found for port in PORT.findall(block)})
    port_by_written = dict(zip(ports, free_ports(), strict=False))
    return [
        PORT.sub(lambda match: port_by_written[match[0]], block).replace(ACTIVATE, '')
        for block in found
    ]


def free_ports() -> Iterator[str]:
    first = 10_000 + os.getpid() % 1000 * 20
    for port in range(first, FIRST_KERNEL_PORT):
        with contextlib.suppress(OSError), socket.create_server(('127.0.0.1', port)):
            yield str(port)


def search_path() -> str:
    """Return a search path on which `python` is the interpreter of the tests."""
    return f'{Path(sys.executable).parent}{os.pathsep}{os.environ["PATH"]}'


def run_script(script: str) -> str:
    """Run a script in a temporary folder, kill its processes and return its output."""
    with tempfile.TemporaryDirectory() as folder:
        output_path = Path(folder) / 'output.log'
        with output_path.open('w') as output:
            popen = subprocess.Popen(
                ['bash', '-c', script],
                cwd=folder,
                env={**os.environ, 'PYTHONPATH': str(ROOT), 'PATH': search_path()},
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

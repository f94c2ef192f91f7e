"""Processes of a small system: start, signals and stop."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from attrs import Factory, define

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 30.0
STOP_SECONDS = 20.0


@define
class Process:
    """One started process and the ready message that it printed."""

    name: str
    popen: subprocess.Popen
    ready: dict
    log_path: Path

    @property
    def address(self) -> str:
        """Return the address that the process listens on."""
        return self.ready['address']

    @property
    def control_address(self) -> str:
        """Return the address of the process's control API."""
        return self.ready['control_address']

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.popen.kill()
        self.popen.wait()

    def request_stop(self) -> None:
        """Signal the process to stop soon, even while callers keep connections open."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.send_signal(signal.SIGTERM)
            self.popen.send_signal(signal.SIGINT)

    def stop(self) -> int:
        """Stop the process and return its exit status."""
        self.request_stop()
        return self.wait()

    def wait(self) -> int:
        """Wait for the process to end and return its exit status."""
        try:
            # A process with more output than the pipe holds ends only when it is read.
            self.popen.communicate(timeout=STOP_SECONDS)
            return self.popen.returncode
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


@define
class ProcessGroup:
    """All processes of one system, which are stopped together."""

    folder: Path
    process_by_name: dict[str, Process] = Factory(dict)

    def __enter__(self) -> 'ProcessGroup':
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()

    def stop_all(self) -> None:
        """Stop all processes that still run."""
        processes = list(reversed(self.process_by_name.values()))
        for process in processes:
            process.request_stop()
        for process in processes:
            process.wait()

    def start(
        self, name: str, module: str, *arguments: str, has_stdin: bool = False
    ) -> Process:
        """Start a Python module as a process and wait until it is ready."""
        log_path = self.folder / f'{name}.log'
        environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
        with log_path.open('ab') as log:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.PIPE if has_stdin else subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        line = popen.stdout.readline()
        if not line:
            popen.kill()
            raise RuntimeError(f'{name} did not start: {log_path.read_text()}')
        process = Process(name, popen, json.loads(line), log_path)
        self.process_by_name[name] = process
        return process

    def start_platform(self) -> Process:
        """Start a stand-in platform process."""
        return self.start('platform', 'standins.platform')

    def start_backend(self, name: str, **behaviour: object) -> Process:
        """Start a stand-in backend server process."""
        flags = as_flags(behaviour)
        return self.start(name, 'standins.backend', '--name', name, *flags)

    def start_daemon(self, name: str, zone: str, **settings: object) -> Process:
        """Start a daemon process, one instance in a zone."""
        flags = as_flags({'instance_id': name, 'zone': zone, **settings})
        return self.start(name, 'catkinslip.daemon', *flags)


def as_flags(value_by_name: dict[str, object]) -> list[str]:
    """Return command-line flags for a mapping of names to values."""
    flags = []
    for name, value in value_by_name.items():
        flag = '--' + name.replace('_', '-')
        if isinstance(value, bool):
            flags.append(flag if value else '--no-' + flag.removeprefix('--'))
        else:
            flags.extend((flag, str(value)))
    return flags


def wait_until(condition, seconds: float = READY_SECONDS, pause: float = 0.02):
    """Return the first true value of a condition; raise TimeoutError if none."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise TimeoutError(f'{condition} was not true within {seconds} s')

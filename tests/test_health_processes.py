"""Draining and the probe budget, with instances and servers as processes."""

import unittest

import httpx

from benchmarks.drain import LOADED_PATHS, STAYING, TERMS, DrainSystem, ask, status
from standins.processes import Process, wait_until
from tests.small_fleet import new_process_group

REQUESTS = 12


class DrainProcessesTest(unittest.TestCase):
    """Three instances under load, with one server leaving by each kind of signal."""

    def setUp(self):
        self.group = new_process_group(self)
        self.system = DrainSystem(self.group, load_seconds=3.5)
        self.system.start()

    def wait_for_leaving(self, *names: str) -> None:
        for daemon in self.system.daemons:
            wait_until(
                lambda d=daemon: set(names) <= set(status(d)['leaving_backends'])
            )

    def runs(self, name: str) -> int:
        return sum(self.system.ledger(name)['by_request'].values())

    def ask_all(self) -> list[httpx.Response]:
        daemons = self.system.daemons
        return [ask(daemon) for _ in range(REQUESTS) for daemon in daemons]

    def test_leaving_and_returning(self):
        system = self.system
        system.run_load()
        self.assertGreater(system.tally.right, 0)
        self.assertEqual((system.tally.cut, system.tally.unknown), (0, 0))
        left = [f'limits-{path}' for path in LOADED_PATHS]
        self.wait_for_leaving(*left)
        left.remove('limits-stop')
        runs = {name: self.runs(name) for name in left}
        self.assertEqual({each.status_code for each in self.ask_all()}, {200})
        self.assertEqual({name: self.runs(name) for name in left}, runs)

        system.measure_peers()
        self.wait_for_leaving('limits-peers')
        before = self.runs('limits-peers')
        self.ask_all()
        self.assertEqual(self.runs('limits-peers'), before)

        system.measure_frozen()
        before = self.runs('limits-frozen')
        self.ask_all()
        self.assertEqual(self.runs('limits-frozen'), before)

        system.behave(STAYING, draining=True)
        wait_until(lambda: ask(system.daemons[0]).status_code == 503)
        self.wait_for_leaving(STAYING)
        runs[STAYING] = self.runs(STAYING)
        for answer in self.ask_all():
            self.assertEqual(answer.status_code, 503)
            self.assertEqual(answer.headers['catkinslip-outcome'], 'not-run')
        self.assertEqual(self.runs(STAYING), runs[STAYING])

        system.behave('limits-own', draining=False)
        for daemon in system.daemons:
            wait_until(lambda d=daemon: ask(d).status_code == 200, seconds=60)
        probes = sum(system.ledger(name)['probes'] for name in (*left, STAYING))
        calls = sum(status(each)['health']['calls'] for each in system.daemons)
        self.assertGreater(probes, 0)
        self.assertLessEqual(probes, calls / TERMS['calls_per_probe'])


def leaving(daemon: Process) -> set[str]:
    return set(status(daemon)['leaving_backends'])

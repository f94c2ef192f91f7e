"""A short seeded run of the soak, and the checks against planted faults."""

import unittest
from functools import partial
from random import Random

import trio

from soak.__main__ import soak
from soak.callers import Callers, Request, Told
from soak.checks import find_broken, find_unrecovered
from soak.links import Link
from soak.needs import Need, NeedPlayer
from soak.rests import RestPlayer
from soak.world import World as SoakWorld
from soak.zones import Evacuation, ZonePlayer
from standins.processes import ROOT
from standins.workers import RefusedRequest, Worker

#: The second refused everything for ever once probes were answered late.
SEEDS = (1, 996292712)
SECONDS = 3.0
#: One evacuation at least is longer than the time within which it must be obeyed.
ZONE_SEED = 932196027
ZONE_SECONDS = 8.0
NEED_SEED = 1
NEED_SECONDS = 14.0
REST_SEED = 850407095
REST_SECONDS = 10.0
KEPT_LOGS = ROOT / 'build' / 'soak'


class World:
    """A world in which each request ran as often as is planted."""

    def __init__(self, runs: int) -> None:
        self.planted = runs

    def runs(self, request_id: str) -> int:
        return self.planted


def callers_with(told: Told, is_idempotent: bool = False) -> Callers:
    """Return callers with one request that ended in a way."""
    callers = Callers(None, Random(1))
    request = Request('r1', is_idempotent, 'edge-0', 1.0, told, ended_at=2.0)
    callers.requests.append(request)
    return callers


class ChecksTest(unittest.TestCase):
    """Each broken promise is found."""

    def broken(self, runs: int, told: Told, is_idempotent: bool = False) -> list[str]:
        return list(find_broken(World(runs), callers_with(told, is_idempotent)))

    def test_second_run(self):
        self.assertTrue(self.broken(2, Told.ANSWERED))
        self.assertFalse(self.broken(2, Told.ANSWERED, is_idempotent=True))

    def test_untrue_refusal(self):
        self.assertTrue(self.broken(1, Told.NOT_RUN))
        self.assertFalse(self.broken(0, Told.NOT_RUN))

    def test_answer_from_nowhere(self):
        self.assertTrue(self.broken(0, Told.ANSWERED))

    def test_system_that_does_not_recover(self):
        self.assertTrue(list(find_unrecovered(callers_with(Told.FAILED), 0.0)))
        self.assertFalse(list(find_unrecovered(callers_with(Told.ANSWERED), 0.0)))


class ZoneChecksTest(unittest.TestCase):
    """Broken promises about zones and cold servers are found."""

    def player(self, arrived_at: list[float], cold: list[float]) -> ZonePlayer:
        world = SoakWorld(None, None, Random(1), has_zones=True)
        worker = Worker('i-1', arrived_at=arrived_at, cold_arrivals=cold)
        world.worker_by_id['i-1'] = worker
        return ZonePlayer(world, Random(1), [Evacuation(10.0, 18.0)])

    def test_request_at_an_evacuated_zone(self):
        self.assertTrue(list(self.player([15.5], []).broken()))
        self.assertFalse(list(self.player([9.0, 14.5, 18.5], []).broken()))

    def test_disturbance_excuses_what_is_late(self):
        player = self.player([15.5], [])
        player.world.disturbances.append((12.0, 13.0))
        self.assertFalse(list(player.broken()))

    def test_too_much_for_a_cold_server(self):
        bound = int(self.player([], []).world.cold_bound)
        self.assertTrue(list(self.player([], [1.0] * (bound + 1)).broken()))
        self.assertFalse(list(self.player([], [1.0] * bound).broken()))


class NeedChecksTest(unittest.TestCase):
    """Too much for a server in need is found."""

    def player(self, arrived_at: list[float]) -> NeedPlayer:
        world = SoakWorld(None, None, Random(1))
        world.worker_by_id['i-1'] = Worker('i-1', arrived_at=arrived_at)
        return NeedPlayer(world, Random(1), [Need('i-1', 10.0, 20.0, 1.0)])

    def test_more_than_the_bound(self):
        self.assertTrue(list(self.player([14.0] * 12).broken()))
        self.assertFalse(list(self.player([14.0] * 11 + [18.1] * 11).broken()))

    def test_what_came_before_all_were_told_or_after_the_need(self):
        self.assertFalse(list(self.player([12.9] * 12 + [20.1] * 12).broken()))

    def test_restart_excuses_what_came_then(self):
        player = self.player([14.0] * 12)
        player.world.restarts.append((13.0, 15.0))
        self.assertFalse(list(player.broken()))


class RestTest(unittest.TestCase):
    """What breaks a rest, and what excuses it."""

    def player(self, *came_at: float) -> RestPlayer:
        """Return a player of one server that asked for 3 s of rest at 10."""
        callers = Callers(None, Random(1))
        callers.requests = [
            Request(f'r{at}', False, 'edge-0', at) for at in (10.0, *came_at)
        ]
        world = SoakWorld(None, None, Random(1))
        worker = Worker('i-0')
        worker.refused_requests.append(RefusedRequest(10.0, 'r10.0', 3.0))
        worker.arrivals.extend((at, f'r{at}') for at in (10.0, *came_at))
        world.worker_by_id['i-0'] = worker
        world.link_by_worker['i-0'] = Link(0)
        return RestPlayer(world, Random(1), callers)

    def test_more_than_two_in_the_rest(self):
        self.assertTrue(list(self.player(10.6, 11.0, 12.9).broken()))
        self.assertFalse(list(self.player(10.4, 10.6, 12.9, 13.1).broken()))

    def test_restart_and_broken_link_excuse(self):
        for field in ('restarts', 'spans'):
            player = self.player(10.6, 11.0, 12.9)
            link = player.world.link_by_worker['i-0']
            spans = player.world.restarts if field == 'restarts' else link.spans
            spans.append((11.0, 11.5))
            self.assertFalse(list(player.broken()))


class SoakTest(unittest.TestCase):
    """Seeds that hold."""

    def test_seeds_hold(self):
        for seed in SEEDS:
            with self.subTest(seed):
                result = trio.run(soak, seed, SECONDS, KEPT_LOGS)
                self.assertEqual(result.broken, (), f'logs in {KEPT_LOGS}')
                self.assertGreater(result.requests, 100)

    def test_servers_in_need_get_no_more_than_their_bounds(self):
        run = partial(soak, has_needs=True)
        result = trio.run(run, NEED_SEED, NEED_SECONDS, KEPT_LOGS)
        self.assertEqual(result.broken, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_servers_rest_and_the_store_comes_back_from_copies(self):
        run = partial(soak, has_rests=True, has_restores=True)
        result = trio.run(run, REST_SEED, REST_SECONDS, KEPT_LOGS)
        self.assertEqual(result.broken, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_zones_are_emptied_and_servers_warmed(self):
        run = partial(soak, has_zones=True)
        result = trio.run(run, ZONE_SEED, ZONE_SECONDS, KEPT_LOGS)
        self.assertEqual(result.broken, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)


if __name__ == '__main__':
    unittest.main()

"""Short seeded runs of the soak test, and its checks against planted violations."""

import unittest
from functools import partial
from random import Random

import trio

from soak.__main__ import soak
from soak.callers import Callers, Outcome, Request
from soak.checks import find_unrecovered, find_violations
from soak.links import Link
from soak.needs import ThrottledSpan, ThrottlePlayer
from soak.partitions import Partition, PartitionPlayer
from soak.rests import RestPlayer
from soak.stops import Stop, find_lost
from soak.world import World as SoakWorld
from soak.zones import Evacuation, ZonePlayer
from standins.processes import ROOT
from standins.workers import RefusedRequest, Worker

#: With the second seed, instances once refused all requests for ever after late answers
#: to probes.
SEEDS = (1, 996292712)
SECONDS = 3.0
#: At least one evacuation lasts longer than the time within which it must be obeyed.
ZONE_SEED = 932196027
ZONE_SECONDS = 8.0
THROTTLE_SEED = 1
THROTTLE_SECONDS = 14.0
REST_SEED = 850407095
REST_SECONDS = 10.0
PARTITION_SEED = 1
PARTITION_SECONDS = 5.0
ENTRIES_SEED = 1
ENTRIES_SECONDS = 6.0
#: Stops of 6 s in series, which overlap; as many instances and callers as CI bears.
STOP_SEEDS = (1, 2)
STOP_SECONDS = 10.0
LARGE_STOP_SEED = 3
LARGE_INSTANCES = 6
LARGE_CALLERS = 24
KEPT_LOGS = ROOT / 'build' / 'soak'


class World:
    """A world in which every request ran a given number of times."""

    def __init__(self, runs: int) -> None:
        self.planted = runs

    def runs(self, request_id: str) -> int:
        return self.planted


def callers_with(outcome: Outcome, is_idempotent: bool = False) -> Callers:
    """Return callers with one request that has the given outcome."""
    callers = Callers(None, Random(1))
    request = Request('r1', is_idempotent, 'edge-0', 1.0, outcome, ended_at=2.0)
    callers.requests.append(request)
    return callers


class ChecksTest(unittest.TestCase):
    """The checks of single requests find each violation."""

    def violations(
        self, runs: int, outcome: Outcome, is_idempotent: bool = False
    ) -> list[str]:
        return list(find_violations(World(runs), callers_with(outcome, is_idempotent)))

    def test_second_run(self):
        self.assertTrue(self.violations(2, Outcome.ANSWERED))
        self.assertFalse(self.violations(2, Outcome.ANSWERED, is_idempotent=True))

    def test_false_refusal(self):
        self.assertTrue(self.violations(1, Outcome.NOT_RUN))
        self.assertFalse(self.violations(0, Outcome.NOT_RUN))

    def test_answer_without_a_run(self):
        self.assertTrue(self.violations(0, Outcome.ANSWERED))

    def test_system_that_does_not_recover(self):
        self.assertTrue(list(find_unrecovered(callers_with(Outcome.FAILED), 0.0)))
        self.assertFalse(list(find_unrecovered(callers_with(Outcome.ANSWERED), 0.0)))


class ZoneChecksTest(unittest.TestCase):
    """The checks of zones and cold servers find each violation."""

    def player(self, arrived_at: list[float], cold: list[float]) -> ZonePlayer:
        world = SoakWorld(None, None, Random(1), has_zones=True)
        worker = Worker('i-1', arrived_at=arrived_at, cold_arrivals=cold)
        world.worker_by_id['i-1'] = worker
        return ZonePlayer(world, Random(1), [Evacuation(10.0, 18.0)])

    def test_request_at_an_evacuated_zone(self):
        self.assertTrue(list(self.player([15.5], []).violations()))
        self.assertFalse(list(self.player([9.0, 14.5, 18.5], []).violations()))

    def test_disturbance_excuses_late_requests(self):
        player = self.player([15.5], [])
        player.world.disturbances.append((12.0, 13.0))
        self.assertFalse(list(player.violations()))

    def test_too_much_for_a_cold_server(self):
        bound = int(self.player([], []).world.cold_bound)
        self.assertTrue(list(self.player([], [1.0] * (bound + 1)).violations()))
        self.assertFalse(list(self.player([], [1.0] * bound).violations()))


class PartitionChecksTest(unittest.TestCase):
    """The check of partitioned instances compares them with the others."""

    def violations(self, inside: Outcome, outside: Outcome, at: float) -> list[str]:
        """Return the violations of a partition with some requests at each instance."""
        callers = Callers(None, Random(1))
        callers.requests += [
            Request(f'r{number}', True, name, at, outcome)
            for name, outcome in (('edge-0', inside), ('edge-1', outside))
            for number in range(10)
        ]
        world = SoakWorld(None, None, Random(1))
        partition = Partition(frozenset({'edge-0'}), 10.0, 16.0)
        player = PartitionPlayer(world, Random(1), callers, [partition])
        return list(player.violations())

    def test_callers_of_partitioned_instances_are_refused(self):
        refused, answered = Outcome.NOT_RUN, Outcome.ANSWERED
        self.assertTrue(self.violations(refused, answered, 13.5))
        self.assertFalse(self.violations(refused, refused, 13.5))
        self.assertFalse(self.violations(answered, answered, 13.5))

    def test_first_seconds_and_the_time_after_do_not_count(self):
        refused, answered = Outcome.NOT_RUN, Outcome.ANSWERED
        self.assertFalse(self.violations(refused, answered, 12.5))
        self.assertFalse(self.violations(refused, answered, 16.5))


class StopChecksTest(unittest.TestCase):
    """The check of stops finds requests that are cut or left without an answer."""

    def lost(
        self,
        runs: int,
        outcome: Outcome,
        sent: float,
        ended: float,
        *,
        is_read: bool = True,
    ) -> list[str]:
        """Return the violations of one request; the instance got SIGTERM at 10 s."""
        callers = Callers(World(runs), Random(1))
        request = Request('r1', False, 'edge-0', sent, outcome, ended_at=ended)
        request.deadline = 3.0
        callers.requests.append(request)
        read_ids = {'r1'} if is_read else set()
        return list(find_lost(callers, [Stop('edge-0', 10.0)], read_ids))

    def test_request_that_was_passed_on_late_and_cut(self):
        for outcome in (Outcome.NOTHING, Outcome.FAILED):
            self.assertTrue(self.lost(1, outcome, 14.0, 15.0))
            self.assertTrue(self.lost(1, outcome, 12.0, 13.0))
        self.assertFalse(self.lost(1, Outcome.ANSWERED, 14.0, 15.0))

    def test_early_request_that_lasts_into_the_last_sixth(self):
        self.assertFalse(self.lost(1, Outcome.NOTHING, 12.9, 15.1))
        self.assertFalse(self.lost(1, Outcome.NOTHING, 13.5, 15.1))
        self.assertTrue(self.lost(1, Outcome.NOTHING, 13.9, 15.1))

    def test_request_that_is_held_and_not_answered(self):
        self.assertTrue(self.lost(0, Outcome.NOTHING, 14.0, 14.3))
        self.assertFalse(self.lost(0, Outcome.NOTHING, 14.0, 14.1))
        self.assertFalse(self.lost(0, Outcome.NOT_RUN, 14.0, 14.3))

    def test_request_that_no_instance_has_read_is_not_held(self):
        self.assertFalse(self.lost(0, Outcome.NOTHING, 14.0, 14.3, is_read=False))


class ThrottleChecksTest(unittest.TestCase):
    """The checks of throttled servers find requests beyond the bound."""

    def player(self, arrived_at: list[float]) -> ThrottlePlayer:
        world = SoakWorld(None, None, Random(1))
        world.worker_by_id['i-1'] = Worker('i-1', arrived_at=arrived_at)
        return ThrottlePlayer(world, Random(1), [ThrottledSpan('i-1', 10.0, 20.0, 1.0)])

    def test_more_than_the_bound(self):
        self.assertTrue(list(self.player([14.0] * 12).violations()))
        self.assertFalse(list(self.player([14.0] * 11 + [18.1] * 11).violations()))

    def test_requests_before_all_apply_the_rate_or_after_its_end(self):
        self.assertFalse(list(self.player([12.9] * 12 + [20.1] * 12).violations()))

    def test_restart_excuses_requests_of_that_time(self):
        player = self.player([14.0] * 12)
        player.world.restarts.append((13.0, 15.0))
        self.assertFalse(list(player.violations()))


class RestTest(unittest.TestCase):
    """The checks of rest periods find violations and accept excuses."""

    def player(self, *arrived_at: float) -> RestPlayer:
        """Return a player with one server that asked for a 3 s rest period at 10 s."""
        callers = Callers(None, Random(1))
        callers.requests = [
            Request(f'r{at}', False, 'edge-0', at) for at in (10.0, *arrived_at)
        ]
        world = SoakWorld(None, None, Random(1))
        worker = Worker('i-0')
        worker.refused_requests.append(RefusedRequest(10.0, 'r10.0', 3.0))
        worker.arrivals.extend((at, f'r{at}') for at in (10.0, *arrived_at))
        world.worker_by_id['i-0'] = worker
        world.link_by_worker['i-0'] = Link(0)
        return RestPlayer(world, Random(1), callers)

    def test_more_than_two_in_the_rest(self):
        self.assertTrue(list(self.player(10.6, 11.0, 12.9).violations()))
        self.assertFalse(list(self.player(10.4, 10.6, 12.9, 13.1).violations()))

    def test_restart_and_broken_link_excuse(self):
        for field in ('restarts', 'spans'):
            player = self.player(10.6, 11.0, 12.9)
            link = player.world.link_by_worker['i-0']
            spans = player.world.restarts if field == 'restarts' else link.fault_spans
            spans.append((11.0, 11.5))
            self.assertFalse(list(player.violations()))


class SoakTest(unittest.TestCase):
    """Runs of the soak test that must pass."""

    def test_seeds_hold(self):
        for seed in SEEDS:
            with self.subTest(seed):
                result = trio.run(soak, seed, SECONDS, KEPT_LOGS)
                self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
                self.assertGreater(result.requests, 100)

    def test_throttled_servers_get_no_more_than_their_bounds(self):
        run = partial(soak, has_needs=True)
        result = trio.run(run, THROTTLE_SEED, THROTTLE_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_rest_periods_and_restored_backups(self):
        run = partial(soak, has_rests=True, has_restores=True)
        result = trio.run(run, REST_SEED, REST_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_partitioned_instances_serve_their_callers(self):
        run = partial(soak, has_partitions=True)
        result = trio.run(run, PARTITION_SEED, PARTITION_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_entries_of_another_writer_hide_no_server(self):
        # One value that cannot be read took whole answers of the store with it.
        run = partial(soak, has_entries=True)
        result = trio.run(run, ENTRIES_SEED, ENTRIES_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_stops_in_series_cut_no_request(self):
        # Requests that were read late in a stop were cut.
        run = partial(soak, has_stops=True)
        for seed in STOP_SEEDS:
            with self.subTest(seed):
                result = trio.run(run, seed, STOP_SECONDS, KEPT_LOGS)
                self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
                self.assertGreater(result.requests, 100)

    def test_stops_of_many_instances_cut_no_request(self):
        # The same, with more processes and callers.
        run = partial(
            soak,
            has_stops=True,
            instances=LARGE_INSTANCES,
            callers=LARGE_CALLERS,
        )
        result = trio.run(run, LARGE_STOP_SEED, STOP_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)

    def test_evacuated_zones_and_cold_servers(self):
        run = partial(soak, has_zones=True)
        result = trio.run(run, ZONE_SEED, ZONE_SECONDS, KEPT_LOGS)
        self.assertEqual(result.violations, (), f'logs in {KEPT_LOGS}')
        self.assertGreater(result.requests, 100)


if __name__ == '__main__':
    unittest.main()

"""Servers that ask for a rest period under load, replayed on the virtual clock."""

import unittest

from attrs import evolve

from benchmarks.overload_load import Load, named_load
from benchmarks.overload_world import Mechanisms, World, build_world
from catkinslip.admission.waiting import AdmissionSettings

REST_SECONDS = 3.0
#: Seconds in which requests that were in transit as the server asked do not count.
TRANSIT_SECONDS = 0.5
MAX_IN_REST = 2
#: Difference in the share of requests below which two runs count as equal.
NOISE = 0.03
SEEDS = (1, 2)
#: Spans in which a tenth, a third and all of the servers turn requests away.
SPANS = ((3.0, 12.0), (16.0, 25.0), (30.0, 39.0))
#: Numbers of instances that the load is played with, each with its seconds, as larger
#: fleets take longer.
SIZES = ((118, 12.0), (313, 8.0))


def play(seed: int, load: Load | None = None, **mechanisms: object) -> World:
    """Play the load once."""
    world = build_world(
        load or named_load('rest'),
        seed,
        AdmissionSettings(),
        mechanisms=Mechanisms(**mechanisms),
    )
    world.run()
    return world


def sized(instances: int, seconds: float) -> Load:
    """Return the load with so many instances, cut after some seconds."""
    load = named_load('rest')
    each = instances // len(load.zones)
    zones = [evolve(zone, instances=each) for zone in load.zones]
    zones[0] = evolve(zones[0], instances=each + instances % len(load.zones))
    return evolve(load, zones=tuple(zones), seconds=seconds)


def most_in_rest(world: World) -> int:
    """Return the most requests of one instance that a server got in a rest period."""
    most = 0
    for server in world.server_by_id.values():
        for came_at in server.turned_away_by_instance.values():
            for at in came_at:
                since, until = at + TRANSIT_SECONDS, at + REST_SECONDS
                most = max(most, sum(since <= other < until for other in came_at))
    return most


def in_time(world: World, since: float, until: float) -> float:
    """Return the share of a span's requests that were answered in time."""
    asked = [
        each
        for each in world.requests
        if since <= each.asked_at < until and each.kind.service == 'tracking'
    ]
    return sum(each.is_in_time for each in asked) / len(asked)


class RestTest(unittest.TestCase):
    """The requests that resting servers get, and the outcomes for callers."""

    def test_no_instance_sends_to_a_server_that_asked_it_for_rest(self):
        for seed in SEEDS:
            self.assertEqual(most_in_rest(play(seed)), 0)

    def test_without_rest_periods_servers_get_more_than_allowed(self):
        self.assertGreater(most_in_rest(play(SEEDS[0], rests=False)), MAX_IN_REST)

    def test_larger_fleets_send_nothing_to_resting_servers(self):
        for instances, seconds in SIZES:
            world = play(SEEDS[0], sized(instances, seconds))
            self.assertEqual(most_in_rest(world), 0)

    def test_others_handle_the_load_and_service_recovers_afterwards(self):
        for seed in SEEDS:
            world, without = play(seed), play(seed, rests=False)
            for span in SPANS:
                least = in_time(without, *span) - NOISE
                self.assertGreater(in_time(world, *span), least)
            for _, ended in SPANS:
                back = ended + REST_SECONDS
                self.assertGreater(in_time(world, back, back + 1.0), 0.95)


if __name__ == '__main__':
    unittest.main()

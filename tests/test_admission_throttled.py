"""A tenth, half and all servers throttled under load, on the virtual clock."""

import unittest
from unittest.mock import patch

from benchmarks.overload_load import named_load
from benchmarks.overload_world import Mechanisms, World, build_world
from catkinslip.admission import restricted
from catkinslip.admission.waiting import AdmissionSettings
from standins.workers import max_within

PER_SECOND = 1.2
WINDOW_SECONDS = 4.0
BOUND = 1.5 * PER_SECOND * WINDOW_SECONDS + 5
#: Seconds after the first advertised rate from which the bound holds.
GOSSIP_SECONDS = 3.0
SEEDS = (1, 2)
#: Spans in which a tenth, half and all of the servers are throttled.
SPANS = ((3.0, 11.0), (16.0, 24.0), (30.0, 38.0))


def play(seed: int, **mechanisms: object) -> World:
    """Play the load once."""
    world = build_world(
        named_load('need'),
        seed,
        AdmissionSettings(),
        mechanisms=Mechanisms(**mechanisms),
    )
    world.run()
    return world


def in_time(world: World, span: tuple[float, float]) -> float:
    """Return the share of a span's requests that were answered in time."""
    asked = [
        each
        for each in world.requests
        if span[0] <= each.asked_at < span[1] and each.kind.service == 'tracking'
    ]
    return sum(each.is_in_time for each in asked) / len(asked)


class ThrottledServersTest(unittest.TestCase):
    """The requests that throttled servers get, and the outcomes for callers."""

    def test_each_gets_about_its_rate_and_never_exceeds_its_bound(self):
        for seed in SEEDS:
            world = play(seed)
            for began, ended in SPANS:
                for server in world.server_by_id.values():
                    arrived = [at for at in server.came_in_need if began <= at < ended]
                    if not arrived:
                        continue
                    after_gossip = [
                        at for at in arrived if at >= began + GOSSIP_SECONDS
                    ]
                    self.assertLessEqual(
                        max_within(WINDOW_SECONDS, after_gossip), BOUND
                    )
                    self.assertGreater(len(arrived), PER_SECOND * (ended - began) / 2)

    def test_without_throttling_servers_get_more_than_their_bound(self):
        world = play(SEEDS[0], throttles=False)
        arrived = [max_within(4, it.came_in_need) for it in world.server_by_id.values()]
        self.assertGreater(max(arrived), BOUND)

    def test_others_handle_the_load_while_half_are_throttled(self):
        for seed in SEEDS:
            world = play(seed)
            self.assertGreater(in_time(world, SPANS[0]), 0.97)
            self.assertGreater(in_time(world, SPANS[1]), 0.9)
            # After the throttling the service is as before.
            self.assertGreater(in_time(world, (39.0, 46.0)), 0.98)

    def test_callers_that_come_back_at_once_are_in_time_more_often(self):
        later = {'EARLY_RETRY_SECONDS': 1.0, 'MAX_EARLY_RETRY_SECONDS': 1.5}
        for seed in SEEDS:
            usual = in_time(play(seed), SPANS[2])
            with patch.multiple(restricted, **later):
                self.assertGreater(usual, in_time(play(seed), SPANS[2]) + 0.05)


if __name__ == '__main__':
    unittest.main()

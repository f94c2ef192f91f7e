"""Servers that refuse part of their requests although they have free slots."""

import unittest
from random import Random
from statistics import mean

from attrs import evolve

from benchmarks.overload import share_of_worth
from benchmarks.overload_load import Event, named_load
from benchmarks.overload_world import Mechanisms, build_world
from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.routing.base import (
    GOOD_DELAY,
    AttemptResult,
    BackendLoad,
    LoadReport,
    ResultKind,
)
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.evidence import MIN_SHED_SHARE, shed_share

NOW = 100.0
IDLE = LoadReport(0.0, 1.0)
SEED = 3


def end_request(policy: ExpectedDelay, load: BackendLoad, kind: ResultKind, now: float):
    """End a request with a report of an idle server."""
    policy.finished(load, AttemptResult(kind, 0.01, IDLE), now)
    policy.reported(load, IDLE, now)
    load.report, load.reported_at = IDLE, now


class ShedShareTest(unittest.TestCase):
    """Estimate of the share that one server sheds."""

    def setUp(self):
        self.policy = ExpectedDelay(Random(1))
        self.loads = [BackendLoad(name, 'zone-a', 3) for name in ('good', 'grey')]

    def simulate(self, seconds: float) -> float:
        """Let one server shed every second request, and return the end time."""
        good, grey = self.loads
        now = NOW
        while now < NOW + seconds:
            now += 0.05
            for number, load in enumerate((good, grey)):
                sheds = number and round(now / 0.05) % 2
                kind = ResultKind.SHED if sheds else ResultKind.ANSWERED
                end_request(self.policy, load, kind, now)
        return now

    def test_server_that_sheds_looks_slower_than_one_that_does_not(self):
        now = self.simulate(2.0) + 0.2
        good, grey = self.policy.rank(self.loads, now)
        self.assertEqual(good.load.backend_id, 'good')
        # The server accepts one of two requests; on average three of four are accepted.
        self.assertGreater(grey.delay, 1.2 * good.delay)
        self.assertLess(grey.delay, 3 * good.delay)

    def test_it_is_forgotten_with_time_and_with_answers(self):
        now = self.simulate(2.0)
        grey = self.loads[1]
        self.assertGreater(shed_share(grey, now), 0.25)
        self.assertLess(shed_share(grey, now + 20), MIN_SHED_SHARE)
        for step in range(10):
            end_request(self.policy, grey, ResultKind.ANSWERED, now + step / 100)
        self.assertLess(shed_share(grey, now + 0.1), MIN_SHED_SHARE)

    def test_where_all_shed_alike_no_call_looks_late(self):
        now = NOW
        for step in range(400):
            now = NOW + step / 20
            for load in self.loads:
                kind = ResultKind.SHED if step % 2 else ResultKind.ANSWERED
                end_request(self.policy, load, kind, now)
        best, _ = self.policy.rank(self.loads, now + 1.5)
        self.assertLess(best.delay, GOOD_DELAY)

    def test_failures_and_given_up_requests_are_no_sheds(self):
        grey = self.loads[1]
        for kind in (ResultKind.FAILED, ResultKind.CANCELLED):
            end_request(self.policy, grey, kind, NOW)
        self.assertEqual(shed_share(grey, NOW), 0.0)


class GreyHalfTest(unittest.TestCase):
    """Half of the servers refuse half of their requests."""

    def worth(self, *, weighs_sheds: bool, returns: bool, seed: int = SEED) -> float:
        grey = Event('grey', at=0.5, for_s=5.5, share=0.5, x=0.55, service='register')
        load = named_load('shifted')
        load = evolve(load, seconds=6.0, events=(grey,))
        if not returns:
            kinds = tuple(evolve(kind, retries=0) for kind in load.kinds)
            load = evolve(load, kinds=kinds)
        mechanisms = Mechanisms(weighs_sheds=weighs_sheds)
        world = build_world(load, seed, AdmissionSettings(), mechanisms=mechanisms)
        return share_of_worth([each for each in world.run() if each.asked_at > 1.5])

    def test_callers_are_served_by_the_other_half(self):
        # Callers that return at once are served by it in the end, so these do not.
        with_estimate, without_estimate = (
            self.worth(weighs_sheds=weighs_sheds, returns=False)
            for weighs_sheds in (True, False)
        )
        self.assertGreater(with_estimate, without_estimate + 0.05)

    def test_callers_that_return_early_lose_nothing(self):
        with_estimate, without_estimate = (
            mean(
                self.worth(weighs_sheds=weighs_sheds, returns=True, seed=seed)
                for seed in range(1, 9)
            )
            for weighs_sheds in (True, False)
        )
        self.assertGreater(with_estimate, without_estimate - 0.01)


if __name__ == '__main__':
    unittest.main()

"""The arms of the policy bench: baselines, oracles and the daemon's policies."""

from collections.abc import Callable, Sequence
from random import Random

from attrs import define

from benchmarks.policy_world import World
from catkinslip.routing.base import BackendLoad, Choice, Policy
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.policies import (
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)


@define
class Oracle(Policy):
    """Choose by every worker's true requests in flight, and by its true speed."""

    random: Random
    world: World
    knows_speed: bool

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        least, chosen = float('inf'), candidates[0]
        start = self.random.randrange(len(candidates))
        for candidate in (*candidates[start:], *candidates[:start]):
            worker = self.world.worker_by_id[candidate.backend_id]
            score = worker.in_flight + 0.5
            if self.knows_speed:
                score /= worker.speed
            if score < least:
                least, chosen = score, candidate
        return Choice(chosen.backend_id, 'oracle')


MakePolicy = Callable[[Random, World], Policy]

ARM_BY_NAME: dict[str, MakePolicy] = {
    'random': lambda random, world: RandomChoice(random),
    'round robin': lambda random, world: RoundRobin(random),
    'least in flight': lambda random, world: LeastInFlight(random),
    'two choices': lambda random, world: TwoChoices(random),
    'delay without speed': lambda random, world: ExpectedDelay(
        random, weigh_speed=False
    ),
    'delay': lambda random, world: ExpectedDelay(random, world.next_zone()),
    'in-flight oracle': lambda random, world: Oracle(random, world, False),
    'speed oracle': lambda random, world: Oracle(random, world, True),
}

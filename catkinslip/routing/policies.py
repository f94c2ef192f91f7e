"""Selection policies that use no load reports."""

from collections.abc import Sequence
from random import Random

from attrs import define

from catkinslip.routing.base import BackendLoad, Choice, Policy


@define
class RandomChoice(Policy):
    """Policy that selects a server at random."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice of a random candidate."""
        return Choice(self.random.choice(candidates).backend_id, 'at random')


@define
class RoundRobin(Policy):
    """Policy that selects one server after another."""

    random: Random
    position: int = -1

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice of the candidate next in turn."""
        if self.position < 0:
            self.position = self.random.randrange(len(candidates))
        self.position = (self.position + 1) % len(candidates)
        return Choice(candidates[self.position].backend_id, 'next in turn')


@define
class TwoChoices(Policy):
    """Policy that draws two servers and selects that with fewer local requests."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice of the less loaded of two random candidates."""
        chosen = self.random.choice(candidates)
        other = self.random.choice(candidates)
        if other.in_flight < chosen.in_flight:
            chosen = other
        return Choice(chosen.backend_id, f'fewer in flight of two: {chosen.in_flight}')


@define
class LeastInFlight(Policy):
    """Policy that selects a server with the fewest local requests in flight."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice of the least loaded candidate; break ties at random."""
        least = min(candidate.in_flight for candidate in candidates)
        ties = [each for each in candidates if each.in_flight == least]
        chosen = self.random.choice(ties)
        return Choice(chosen.backend_id, f'least in flight: {least}')

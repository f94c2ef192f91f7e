"""Policies of choice that use no load report."""

from collections.abc import Sequence
from random import Random

from attrs import define

from catkinslip.routing.base import BackendLoad, Choice, Policy


@define
class RandomChoice(Policy):
    """Choose at random."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        return Choice(self.random.choice(candidates).backend_id, 'at random')


@define
class RoundRobin(Policy):
    """Choose one after another."""

    random: Random
    position: int = -1

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        if self.position < 0:
            self.position = self.random.randrange(len(candidates))
        self.position = (self.position + 1) % len(candidates)
        return Choice(candidates[self.position].backend_id, 'next in turn')


@define
class TwoChoices(Policy):
    """Choose the fewer own requests in flight of two at random."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        chosen = self.random.choice(candidates)
        other = self.random.choice(candidates)
        if other.in_flight < chosen.in_flight:
            chosen = other
        return Choice(chosen.backend_id, f'fewer in flight of two: {chosen.in_flight}')


@define
class LeastInFlight(Policy):
    """Choose the fewest own requests in flight; break ties at random."""

    random: Random

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        least = min(candidate.in_flight for candidate in candidates)
        ties = [each for each in candidates if each.in_flight == least]
        chosen = self.random.choice(ties)
        return Choice(chosen.backend_id, f'least in flight: {least}')

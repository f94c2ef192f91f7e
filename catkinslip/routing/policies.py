"""Policies of choice."""

from collections.abc import Sequence
from random import Random

from attrs import define

from catkinslip.routing.base import BackendLoad, Choice, Policy


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

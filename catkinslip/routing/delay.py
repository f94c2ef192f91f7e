"""The policy that chooses the shortest expected delay.

A report in an answer is old when the next request comes. So its requests in
flight decay to the mean of all reports, and its speed to the mean of the same
server, while own picks since the report count in full.
"""

from collections.abc import Sequence
from math import exp
from random import Random

from attrs import Factory, define, frozen

from catkinslip.routing.base import AttemptResult, BackendLoad, Choice, Policy
from catkinslip.routing.learning import InFlightMean, SpeedMean

REPORT_MEMORY_SECONDS = 0.03
SPEED_FORGET_SECONDS = 5.0
IDLE_SHARE = 0.05


@frozen
class DelayReason:
    """Why a server has the shortest expected delay; delays in service times."""

    delay: float
    in_flight: float
    next_id: str
    next_delay: float

    def __str__(self) -> str:
        reason = f'expected delay {self.delay:.2f} with {self.in_flight:.1f} in flight'
        if not self.next_id:
            return reason
        return f'{reason}, next {self.next_id} {self.next_delay:.2f}'


@define
class ExpectedDelay(Policy):
    """Choose the shortest expected delay: queue ahead over slots, over speed."""

    random: Random
    report_memory: float = REPORT_MEMORY_SECONDS
    weigh_speed: bool = True
    in_flight: InFlightMean = Factory(InFlightMean)
    speed: SpeedMean = Factory(SpeedMean)

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        start = self.random.randrange(len(candidates))
        chosen = following = None
        least = next_least = float('inf')
        chosen_in_flight = 0.0
        report_rate = 1 / self.report_memory
        speed_rate = 1 / self.speed.persistence
        mean_in_flight = self.in_flight.value
        mean_speed = self.speed.value
        # One pass without calls: it runs for each request over all candidates.
        for load in (*candidates[start:], *candidates[:start]):
            age = now - load.reported_at
            decay = exp(-age * report_rate)
            in_flight = (
                mean_in_flight + (load.reported_in_flight - mean_in_flight) * decay
            )
            in_flight += load.picks_since_report
            if in_flight < load.in_flight:
                in_flight = load.in_flight
            delay = 1 + IDLE_SHARE * in_flight
            ahead = in_flight + 1 - load.slots
            if ahead > 0:
                delay += ahead / load.slots
            if self.weigh_speed:
                own = mean_speed + (load.mean_speed - mean_speed) * exp(
                    -age / SPEED_FORGET_SECONDS
                )
                delay /= own + (load.speed - own) * exp(-age * speed_rate)
            if delay < least:
                following, next_least = chosen, least
                chosen, least, chosen_in_flight = load, delay, in_flight
            elif delay < next_least:
                following, next_least = load, delay
        next_id = following.backend_id if following else ''
        reason = DelayReason(least, chosen_in_flight, next_id, next_least)
        return Choice(chosen.backend_id, reason)

    def finished(self, load: BackendLoad, result: AttemptResult, now: float) -> None:
        """Learn from the load report of an answer."""
        report = result.report
        if report is None:
            return
        self.in_flight.learn(load, report)
        load.reported_in_flight = report.in_flight
        if report.speed is not None:
            self.speed.learn(load, report.speed, now)

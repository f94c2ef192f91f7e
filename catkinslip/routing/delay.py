"""The policy that chooses the shortest expected delay.

A report in an answer is old when the next request comes. So its requests in
flight decay to the mean of all reports, and its speed to the mean of the same
server, while own picks since the report count in full.
"""

from collections.abc import Sequence
from heapq import nsmallest
from math import exp, inf, sqrt
from operator import attrgetter
from random import Random

from attrs import Factory, define, frozen

from catkinslip.routing.base import (
    AttemptResult,
    BackendLoad,
    Choice,
    Estimate,
    LoadReport,
    Policy,
    ResultKind,
)
from catkinslip.routing.evidence import (
    HIGHEST_UNDERREPORT_SHARE,
    LEAST_SHED_SHARE,
    ReportTrust,
    ServiceTime,
    ShedShares,
    count_failure,
    shed_share,
)
from catkinslip.routing.report_means import (
    SPEED_FORGET_SECONDS,
    InFlightMean,
    SpeedMean,
)

ZONE_HOP_SECONDS = 0.001
REPORT_MEMORY_SECONDS = 0.03
#: A hop weighs more where more servers than this are near, up to so many times.
FEW_NEAR_SERVERS = 12
MOST_HOP_FACTOR = 4.0
MOST_INFERRED_SLOWNESS = 1.2
IDLE_SHARE = 0.05
PAUSED_DELAY = 20.0


@frozen
class DelayReason:
    """Why a server has the shortest expected delay; delays in service times."""

    delay: float
    in_flight: float
    next_id: str
    next_delay: float
    speed: float = 1.0
    report_age: float = 0.0

    def __str__(self) -> str:
        reason = (
            f'delay={self.delay:.2f} in_flight={self.in_flight:.1f} '
            f'speed={self.speed:.2f} age_ms={self.report_age * 1e3:.0f}'
        )
        if not self.next_id:
            return reason
        return f'{reason} next={self.next_id} next_delay={self.next_delay:.2f}'


by_delay = attrgetter('delay')


def choose_estimate(chosen: Estimate, following: Estimate | None, now: float) -> Choice:
    """Choose a candidate, with the next best one as the reason."""
    chosen.load.expected_in_flight = chosen.in_flight
    reason = DelayReason(
        chosen.delay,
        chosen.in_flight,
        following.load.backend_id if following else '',
        following.delay if following else inf,
        chosen.load.speed,
        now - chosen.load.reported_at,
    )
    return Choice(chosen.load.backend_id, reason, chosen.delay)


@define
class ExpectedDelay(Policy):
    """Choose the shortest expected delay: queue ahead over slots, over speed."""

    random: Random
    zone: str = ''
    zone_hop: float = ZONE_HOP_SECONDS
    report_memory: float = REPORT_MEMORY_SECONDS
    weigh_speed: bool = True
    #: Whether the share counts that a server sheds.
    weigh_sheds: bool = True
    #: A server of which more than this share is in use takes so much longer.
    nearly_full_share: float = 1.0
    nearly_full_slowness: float = 1.0
    in_flight: InFlightMean = Factory(InFlightMean)
    speed: SpeedMean = Factory(SpeedMean)
    trust: ReportTrust = Factory(ReportTrust)
    service_time: ServiceTime = Factory(ServiceTime)
    sheds: ShedShares = Factory(ShedShares)

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Choose one of at least one candidate."""
        # Ties go to any of them: the estimates begin at a random candidate.
        first, *others = nsmallest(2, self._estimates(candidates, now), key=by_delay)
        return choose_estimate(first, others[0] if others else None, now)

    def choice_of(self, estimate: Estimate, now: float) -> Choice:
        """Return a ranked candidate as a choice."""
        return choose_estimate(estimate, None, now)

    def rank(self, candidates: Sequence[BackendLoad], now: float) -> list[Estimate]:
        """Return what is expected at each candidate, the best first."""
        return sorted(self._estimates(candidates, now), key=by_delay)

    def _estimates(
        self, candidates: Sequence[BackendLoad], now: float
    ) -> list[Estimate]:
        """Return the estimate of each candidate, beginning at a random one."""
        start = self.random.randrange(len(candidates))
        report_rate = -1 / self.report_memory
        speed_rate = -1 / self.speed.persistence
        mean_in_flight = self.in_flight.value
        mean_speed = self.speed.value
        zone = self.zone or candidates[0].zone
        far_delay = self._far_delay(candidates) if self.zone else 0.0
        estimates = []
        # One pass almost without calls: it runs for each request.
        for load in (*candidates[start:], *candidates[:start]):
            age = now - load.reported_at
            excess = load.reported_in_flight - mean_in_flight
            in_flight = mean_in_flight + excess * exp(age * report_rate)
            in_flight += load.selections_since_report
            if load.underreport_share:
                in_flight = self._discounted_in_flight(load, in_flight)
            if in_flight < load.in_flight:
                in_flight = load.in_flight
            delay = self._delay_in_use(in_flight, load.slots)
            speed = load.mean_speed if age < SPEED_FORGET_SECONDS else mean_speed
            delay /= speed + (load.speed - speed) * exp(age * speed_rate)
            if load.zone != zone:
                delay += far_delay
            if load.is_irregular:
                delay = irregular_delay(load, delay, now, self.sheds)
            estimates.append(Estimate(load, delay, in_flight))
        return estimates

    def _far_delay(self, candidates: Sequence[BackendLoad]) -> float:
        """Return what a server of another zone must be better by.

        The more servers there are near, the sooner one of them is as good.
        """
        near = sum(load.zone == self.zone for load in candidates)
        if not near:
            # What all have in common would only make each call look late.
            return 0.0
        factor = min(max(near / FEW_NEAR_SERVERS, 1.0), MOST_HOP_FACTOR)
        return self.zone_hop * factor / self.service_time.mean

    def _delay_in_use(self, in_flight: float, slots: int) -> float:
        """Return the delay at a server of usual speed with requests in flight."""
        delay = 1 + IDLE_SHARE * in_flight
        if in_flight + 1 > slots:
            delay += (in_flight + 1 - slots) / slots
        if in_flight + 1 > slots * self.nearly_full_share:
            delay *= self.nearly_full_slowness
        return delay

    def _discounted_in_flight(self, load: BackendLoad, in_flight: float) -> float:
        trust = max(0.0, 1 - load.underreport_share / HIGHEST_UNDERREPORT_SHARE)
        local_estimate = load.in_flight * self.trust.scale(self.in_flight.value)
        return local_estimate + (in_flight - local_estimate) * trust

    def started(self, load: BackendLoad, now: float) -> None:
        """Remember what was expected when a request was sent."""
        load.expected_by_selection.append(load.expected_in_flight)

    def finished(self, load: BackendLoad, result: AttemptResult, now: float) -> None:
        """Learn from an answer, its latency and its load report."""
        expected = (
            load.expected_by_selection.popleft() if load.expected_by_selection else 0.0
        )
        if result.kind is ResultKind.CANCELLED:
            return
        count_failure(load, result.kind, now)
        if self.weigh_sheds:
            self.sheds.record(load, result.kind, now)
        if result.kind is ResultKind.ANSWERED:
            self.trust.record(load, result.report)
            self.service_time.record(load, result, expected, now)

    def reported(self, load: BackendLoad, report: LoadReport, at: float) -> None:
        """Learn from a load report, before it replaces the last."""
        self.in_flight.record(load, report)
        load.reported_in_flight = report.in_flight
        if not self.weigh_speed:
            return
        if report.speed is not None:
            self.speed.record(load, report.speed, at)
        elif load.slowness == 1:
            slowness = min(sqrt(load.inferred_slowness), MOST_INFERRED_SLOWNESS)
            load.speed = load.mean_speed = self.speed.value / slowness


def irregular_delay(
    load: BackendLoad, delay: float, now: float, sheds: ShedShares
) -> float:
    """Return the delay at a server that failed, shed or contradicts its reports."""
    if now - load.answered_at > SPEED_FORGET_SECONDS:
        load.slowness = 1.0
    delay *= load.slowness
    if load.is_silent or now < load.paused_until:
        return delay + PAUSED_DELAY
    share = shed_share(load, now)
    load.is_irregular = load.slowness != 1 or share > LEAST_SHED_SHARE
    return delay * sheds.factor(share)

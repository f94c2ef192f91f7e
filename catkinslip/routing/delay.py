"""Selection policy that minimizes the expected delay.

A load report is out of date when the next request arrives. The reported requests in
flight therefore decay towards the mean over all reports, and the reported speed towards
the mean of the same server. Requests that this instance sent since the report count in
full.
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
    MAX_UNDERREPORT_SHARE,
    MIN_SHED_SHARE,
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
#: With more servers than this in the local zone, the delay of a hop to another zone
#: weighs more, up to MAX_HOP_FACTOR times.
FEW_NEAR_SERVERS = 12
MAX_HOP_FACTOR = 4.0
MAX_INFERRED_SLOWNESS = 1.2
IDLE_SHARE = 0.05
PAUSED_DELAY = 20.0


@frozen
class DelayReason:
    """Estimates of a chosen server and the next best; delays are in service times."""

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
    """Return the choice of a candidate; its reason compares it to the next best."""
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
    """Policy that selects the server with the shortest expected delay.

    The delay is the queue length divided by the number of slots and by the speed.
    """

    random: Random
    zone: str = ''
    zone_hop: float = ZONE_HOP_SECONDS
    report_memory: float = REPORT_MEMORY_SECONDS
    weigh_speed: bool = True
    #: Whether a server's shed share increases its expected delay.
    weigh_sheds: bool = True
    #: Share of slots in use above which the expected delay of a server is multiplied by
    #: nearly_full_slowness.
    nearly_full_share: float = 1.0
    nearly_full_slowness: float = 1.0
    in_flight: InFlightMean = Factory(InFlightMean)
    speed: SpeedMean = Factory(SpeedMean)
    trust: ReportTrust = Factory(ReportTrust)
    service_time: ServiceTime = Factory(ServiceTime)
    sheds: ShedShares = Factory(ShedShares)

    def choose(self, candidates: Sequence[BackendLoad], now: float) -> Choice:
        """Return the choice with the shortest expected delay."""
        # The estimates begin at a random candidate, so ties are broken at random.
        first, *others = nsmallest(2, self._estimates(candidates, now), key=by_delay)
        return choose_estimate(first, others[0] if others else None, now)

    def choice_of(self, estimate: Estimate, now: float) -> Choice:
        """Return the choice of a ranked candidate."""
        return choose_estimate(estimate, None, now)

    def usual_delay(self, slots: int) -> float:
        """Return the expected delay at a server of which nothing is known."""
        return self._delay_in_use(self.in_flight.value, slots) / self.speed.value

    def rank(self, candidates: Sequence[BackendLoad], now: float) -> list[Estimate]:
        """Return the estimates of the candidates, the shortest delay first."""
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
        # One pass almost without function calls, as it runs for each request.
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
        """Return the delay added to servers of other zones, in service times.

        The more servers the local zone has, the sooner one of them is as good.
        """
        near = sum(load.zone == self.zone for load in candidates)
        if not near:
            # A delay that all candidates share would only make every call look late.
            return 0.0
        factor = min(max(near / FEW_NEAR_SERVERS, 1.0), MAX_HOP_FACTOR)
        return self.zone_hop * factor / self.service_time.mean

    def _delay_in_use(self, in_flight: float, slots: int) -> float:
        """Return the delay at a server of usual speed with some requests in flight."""
        delay = 1 + IDLE_SHARE * in_flight
        if in_flight + 1 > slots:
            delay += (in_flight + 1 - slots) / slots
        if in_flight + 1 > slots * self.nearly_full_share:
            delay *= self.nearly_full_slowness
        return delay

    def _discounted_in_flight(self, load: BackendLoad, in_flight: float) -> float:
        trust = max(0.0, 1 - load.underreport_share / MAX_UNDERREPORT_SHARE)
        local_estimate = load.in_flight * self.trust.scale(self.in_flight.value)
        return local_estimate + (in_flight - local_estimate) * trust

    def started(self, load: BackendLoad, now: float) -> None:
        """Record the requests in flight expected when a request was sent."""
        load.expected_by_selection.append(load.expected_in_flight)

    def finished(self, load: BackendLoad, result: AttemptResult, now: float) -> None:
        """Record an answer, its latency and its load report."""
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
        """Record a load report of a server, before it replaces the previous one."""
        self.in_flight.record(load, report)
        load.reported_in_flight = report.in_flight
        if not self.weigh_speed:
            return
        if report.speed is not None:
            self.speed.record(load, report.speed, at)
        elif load.slowness == 1:
            slowness = min(sqrt(load.inferred_slowness), MAX_INFERRED_SLOWNESS)
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
    load.is_irregular = load.slowness != 1 or share > MIN_SHED_SHARE
    return delay * sheds.factor(share)

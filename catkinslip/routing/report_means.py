"""Means over successive load reports."""

from math import exp, log

from attrs import define

from catkinslip.routing.base import BackendLoad, LoadReport

REPORT_WEIGHT = 0.02
PERSISTENCE_WEIGHT = 0.005
MAX_REPORT_PER_SLOT = 4.0
MAX_GAP_SECONDS = 0.2
SHORTEST_PERSISTENCE_SECONDS = 0.002
MAX_PERSISTENCE_SECONDS = 1.0
MIN_CORRELATION = 0.02
MAX_CORRELATION = 0.98
SPEED_MEMORY_SECONDS = 1.0
SPEED_FORGET_SECONDS = 5.0
MAX_STEP_SECONDS = 0.1


@define
class InFlightMean:
    """Mean of the reported requests in flight over all backend servers."""

    value: float = 0.0

    def record(self, load: BackendLoad, report: LoadReport) -> None:
        """Record a load report, limited so that one server cannot distort the mean."""
        highest = self.value + MAX_REPORT_PER_SLOT * load.slots
        value = min(report.in_flight, highest)
        self.value += REPORT_WEIGHT * (value - self.value)


@define
class SpeedMean:
    """Mean of the reported speeds, and for how many seconds a speed persists.

    The autocorrelation of successive reports of one server, over the gap between them,
    gives the time constant: persistence = -gap / log(correlation).
    """

    value: float = 1.0
    is_known: bool = False
    persistence: float = 0.03
    covariance: float = 0.0
    variance: float = 0.0
    gap: float = 0.03

    def record(self, load: BackendLoad, speed: float, now: float) -> None:
        """Record the reported speed of a server."""
        gap = now - load.reported_at
        weight = REPORT_WEIGHT if self.is_known else 1.0
        self.is_known = True
        self.value += weight * (speed - self.value)
        if gap > SPEED_FORGET_SECONDS:
            load.mean_speed = self.value
        if gap < MAX_GAP_SECONDS:
            self._record_persistence(load, speed, gap)
        step = min(gap, MAX_STEP_SECONDS) / SPEED_MEMORY_SECONDS
        load.mean_speed += (speed - load.mean_speed) * (1 - exp(-step))
        load.speed = speed

    def _record_persistence(self, load: BackendLoad, speed: float, gap: float) -> None:
        before = load.speed - load.mean_speed
        after = speed - load.mean_speed
        self.covariance += PERSISTENCE_WEIGHT * (before * after - self.covariance)
        self.variance += PERSISTENCE_WEIGHT * (before * before - self.variance)
        self.gap += PERSISTENCE_WEIGHT * (gap - self.gap)
        if self.variance == 0:
            return
        correlation = self.covariance / self.variance
        correlation = min(max(correlation, MIN_CORRELATION), MAX_CORRELATION)
        seconds = -self.gap / log(correlation)
        self.persistence = min(
            max(seconds, SHORTEST_PERSISTENCE_SECONDS), MAX_PERSISTENCE_SECONDS
        )

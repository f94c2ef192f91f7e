"""Durations of recent requests in bounded memory.

HdrHistogram stores a fixed array of counts. The size of the array depends on the
range and on the number of exact digits: see docs/OPERATING.md.
"""

from attrs import Factory, define, field, frozen
from hdrh.histogram import HdrHistogram

from catkinslip.metrics.base import SummarySample

WINDOW_SECONDS = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS = 1_000_000


@frozen
class Precision:
    """Range in microseconds and number of exact digits of a histogram."""

    lowest: int
    highest: int
    digits: int

    def new_histogram(self) -> HdrHistogram:
        """Return an empty histogram."""
        return HdrHistogram(self.lowest, self.highest, self.digits)


#: Resolution of 1 %, for services, which are few.
FINE = Precision(1, 60 * MICROSECONDS, 2)
#: Resolution of 10 % from 0.1 ms on, for backend servers, which are many.
COARSE = Precision(100, 60 * MICROSECONDS, 1)


@define
class Durations:
    """Count and sum of durations, and a histogram of the last one to two windows."""

    precision: Precision
    count: int = 0
    sum: float = 0.0
    window_end: float = 0.0
    current: HdrHistogram = field(
        default=Factory(lambda self: self.precision.new_histogram(), takes_self=True)
    )
    previous: HdrHistogram | None = None

    def record(self, seconds: float, now: float) -> None:
        """Record one duration in seconds at a monotonic time in seconds."""
        if now >= self.window_end:
            self._start_window(now)
        self.count += 1
        self.sum += seconds
        microseconds = int(seconds * MICROSECONDS)
        self.current.record_value(min(microseconds, self.precision.highest))

    def summarize(self, now: float, *labels: str) -> SummarySample:
        """Return count and sum since the start and recent quantiles, in seconds."""
        if now >= self.window_end:
            self._start_window(now)
        merged = self.current
        if self.previous is not None and self.previous.total_count:
            merged = self.precision.new_histogram()
            merged.add(self.current)
            merged.add(self.previous)
        value_by_quantile = {}
        if merged.total_count:
            percentiles = [quantile * 100 for quantile in QUANTILES]
            found = merged.get_percentile_to_value_dict(percentiles)
            value_by_quantile = {
                str(quantile): found[quantile * 100] / MICROSECONDS
                for quantile in QUANTILES
            }
        return SummarySample(labels, self.count, self.sum, value_by_quantile)

    def _start_window(self, now: float) -> None:
        """Start a new window; creating a histogram is cheaper than resetting one."""
        is_recent = now < self.window_end + WINDOW_SECONDS
        used = self.current.total_count > 0
        self.previous = self.current if is_recent and used else None
        if used:
            self.current = self.precision.new_histogram()
        self.window_end = now + WINDOW_SECONDS

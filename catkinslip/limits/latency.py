"""The latency of a service, which determines when hedges start."""

from attrs import Factory, define
from hdrh.histogram import HdrHistogram

MAX_MICROSECONDS = 60_000_000
DIGITS = 1
WINDOW_SECONDS = 5.0
REFRESH_SECONDS = 0.25
MIN_SAMPLES = 100


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_MICROSECONDS, DIGITS)


@define
class LatencyWindow:
    """The latencies of about the last two windows, and one percentile of them."""

    percentile: float
    current: HdrHistogram = Factory(new_histogram)
    previous: HdrHistogram = Factory(new_histogram)
    rotated_at: float = 0.0
    refreshed_at: float = 0.0
    value: float | None = None

    def record(self, seconds: float) -> None:
        """Record one latency."""
        micros = min(MAX_MICROSECONDS, max(1, int(seconds * 1e6)))
        self.current.record_value(micros)

    def read(self, now: float) -> float | None:
        """Return the percentile in seconds; None until enough latencies exist."""
        if now - self.refreshed_at >= REFRESH_SECONDS:
            self.refreshed_at = now
            self._refresh(now)
        return self.value

    def _refresh(self, now: float) -> None:
        if now - self.rotated_at >= WINDOW_SECONDS:
            self.rotated_at = now
            self.current, self.previous = self.previous, self.current
            self.current.reset()
        larger = max(self.current, self.previous, key=HdrHistogram.get_total_count)
        if larger.get_total_count() < MIN_SAMPLES:
            self.value = None
            return
        self.value = larger.get_value_at_percentile(self.percentile) / 1e6

"""Counts of recent calls, and of those of them to which something applies."""

from math import exp

from attrs import define


@define
class Tally:
    """Recent calls and how many of them are marked, with exponential decay."""

    #: Seconds after which a call counts 1/e.
    memory_seconds: float
    calls: float = 0.0
    marked: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the counts decay until now."""
        factor = exp(min(0.0, self.at - now) / self.memory_seconds)
        self.calls *= factor
        self.marked *= factor
        self.at = now

    def record(self, is_marked: bool, now: float) -> None:
        """Count a call."""
        self.decay(now)
        self.calls += 1
        self.marked += is_marked

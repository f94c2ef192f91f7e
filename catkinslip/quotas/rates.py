"""A rate over the last seconds, in constant memory."""

from math import exp

from attrs import define


@define
class RecentRate:
    """Events per second, where an event's weight falls with its age."""

    #: Age in seconds at which the weight of an event is 1/e.
    time_constant: float
    #: Start of the count in monotonic seconds.
    began: float
    _weight: float = 0.0
    _at: float = 0.0

    def add(self, count: float, now: float) -> None:
        """Count some events."""
        self._decay(now)
        self._weight += count

    def per_second(self, now: float) -> float:
        """Return the recent rate, corrected for the time before the count began."""
        self._decay(now)
        age = max(now - self.began, self.time_constant / 4)
        return self._weight / (
            self.time_constant * (1 - exp(-age / self.time_constant))
        )

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._weight *= exp((self._at - now) / self.time_constant)
            self._at = now

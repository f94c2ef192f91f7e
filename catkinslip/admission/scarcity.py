"""Whether the servers of a service lately had no room for some of its calls.

Load: a burst or slow servers leave no room for a while. Rules of fairness apply only
then, so that no call is refused for fairness while servers have room.
"""

from math import exp

from attrs import define

#: Seconds after which a call counts 1/e.
MEMORY_SECONDS = 3.0
#: Share of recent calls without room from which capacity is scarce.
SCARCE_SHARE = 0.1
#: Minimum weight of the calls without room, in calls, so that a single call of a quiet
#: service does not make its capacity scarce.
MIN_CALLS = 0.8


@define
class Scarcity:
    """Recent calls of a service, and those that found no room, with decay."""

    calls: float = 0.0
    without_room: float = 0.0
    at: float = 0.0

    def record(self, has_room: bool, now: float) -> None:
        """Count the first decision on a call."""
        self._decay(now)
        self.calls += 1
        self.without_room += not has_room

    def is_scarce(self, now: float) -> bool:
        """Return whether calls found no room lately."""
        self._decay(now)
        return self.without_room >= max(MIN_CALLS, SCARCE_SHARE * self.calls)

    def _decay(self, now: float) -> None:
        factor = exp(min(0.0, self.at - now) / MEMORY_SECONDS)
        self.calls *= factor
        self.without_room *= factor
        self.at = now

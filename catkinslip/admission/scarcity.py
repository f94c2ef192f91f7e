"""Whether the servers of a service lately had no room for some of its calls.

Load: a burst or slow servers leave no room for a while. Rules of fairness apply only
then, so that no call is refused for fairness while servers have room.
"""

from attrs import Factory, define

from catkinslip.admission.tally import Tally

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

    #: Marked calls found no room.
    tally: Tally = Factory(lambda: Tally(MEMORY_SECONDS))

    def record(self, has_room: bool, now: float) -> None:
        """Count the first decision on a call."""
        self.tally.record(not has_room, now)

    def is_scarce(self, now: float) -> bool:
        """Return whether calls found no room lately."""
        self.tally.decay(now)
        return self.tally.marked >= max(MIN_CALLS, SCARCE_SHARE * self.tally.calls)

"""The decision which calls take the retries of a budget that is not enough for all.

Load: the servers of a service refuse half of their requests for 8 seconds although they
are idle. The budget of extra requests allows a fraction of the retries that the calls
would need. A first retry counts more than a second one, an urgent call more than a less
urgent one, and a call that can still be in time more than one that is late, so each
lower rank leaves a part of the saved tokens to those above it.
"""

from random import Random

from attrs import frozen

from catkinslip.admission.restricted import (
    EARLY_RETRY_SECONDS,
    MAX_EARLY_RETRY_SECONDS,
)
from catkinslip.admission.waiting import WaitingCall

#: Share of the reserve that a call leaves to the others, for each step of priority.
SHARE_PER_PRIORITY = 0.15
#: Steps of priority that count, so that the least urgent kinds keep some retries.
MAX_STEPS = 2
#: The same for a second retry, and for a call whose answer will be late.
SECOND_RETRY_SHARE = 0.3
LATE_SHARE = 0.3


@frozen
class Urgency:
    """How much the retries of a call count; priority 0 is the most urgent."""

    priority: int = 0
    is_late: bool = False
    #: Whether the call leaves tokens to others at all.
    is_ranked: bool = True

    def reserved_share(self, retries: int) -> float:
        """Return the share of the reserve that a retry must leave to other calls."""
        if not self.is_ranked:
            return 0.0
        share = SHARE_PER_PRIORITY * min(self.priority, MAX_STEPS)
        if retries:
            share += SECOND_RETRY_SHARE
        if self.is_late:
            share += LATE_SHARE
        return share


MOST_URGENT = Urgency(is_ranked=False)


def refused_retry_after(waiting: WaitingCall, random: Random, now: float) -> float:
    """Return the seconds after which a call may return that servers refused.

    Idle servers may accept it in a moment, so a call that can still be in time returns
    early. The others return when the callers that can be in time have been served.
    """
    if waiting.spent or waiting.is_late:
        return waiting.late_retry_after(now, random)
    return random.uniform(EARLY_RETRY_SECONDS, MAX_EARLY_RETRY_SECONDS)

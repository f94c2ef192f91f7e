"""When callers come back that found only servers which may get nothing now.

Load: all servers of a service name rates far below what callers ask, have just started,
or asked for rest. A call that can still be in time comes back at once where another
instance may have room: each has turns of its own, and each is asked for rest by itself.
Who came back already, or is late, comes back when the need may be over.
"""

from random import Random

from catkinslip.admission.waiting import WaitingCall
from catkinslip.routing.gates import Closure, RestrictionReason

#: Short beside the time within which an answer is worth most.
SOON_SECONDS = 0.05
MOST_SOON_SECONDS = 0.06
#: What a cold server bears is counted in seconds; half of one is left on average.
COLD_RETRY_SECONDS = 0.5
#: Refused together, callers must not come back together.
MOST_SPREAD = 1.3


def guarded_retry(
    closure: Closure, waiting: WaitingCall, random: Random, now: float
) -> float:
    """Return the seconds after which a refused call may come back."""
    if closure.reason is RestrictionReason.COLD:
        return COLD_RETRY_SECONDS
    wait = closure.wait_seconds
    if wait > 0 and now + wait * MOST_SPREAD < waiting.best_until:
        return max(SOON_SECONDS, wait * random.uniform(1.0, MOST_SPREAD))
    if waiting.spent or waiting.is_late:
        return waiting.late_retry(now, random)
    return random.uniform(SOON_SECONDS, MOST_SOON_SECONDS)

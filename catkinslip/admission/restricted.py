"""The retry delay for callers when all servers of a service are restricted.

Load: all servers of a service advertise rates far below the load of the callers, have
just started, or asked for a rest period. A call that can still be in time should be
retried at once where another instance may have room: each instance has turns of its
own, and servers ask each instance for rest separately. A caller that has retried
already, or is late, should retry when the restriction may be over.
"""

from random import Random

from catkinslip.admission.waiting import WaitingCall
from catkinslip.routing.gates import Closure, RestrictionReason

#: Minimum and maximum seconds before an early retry; short beside the time within which
#: an answer has the most value.
EARLY_RETRY_SECONDS = 0.05
MAX_EARLY_RETRY_SECONDS = 0.06
#: Seconds after which a call for cold servers may be retried: the requests that a cold
#: server handles are counted per second, and on average half of a second remains.
COLD_RETRY_SECONDS = 0.5
#: Maximum factor by which retry delays vary, so that callers that are refused together
#: do not retry together.
MAX_JITTER = 1.3


def restricted_retry_after(
    closure: Closure, waiting: WaitingCall, random: Random, now: float
) -> float:
    """Return the seconds after which a refused call may be retried."""
    if closure.reason is RestrictionReason.COLD:
        return COLD_RETRY_SECONDS
    wait = closure.wait_seconds
    if wait > 0 and now + wait * MAX_JITTER < waiting.best_until:
        return max(EARLY_RETRY_SECONDS, wait * random.uniform(1.0, MAX_JITTER))
    if waiting.spent or waiting.is_late:
        return waiting.late_retry_after(now, random)
    return random.uniform(EARLY_RETRY_SECONDS, MAX_EARLY_RETRY_SECONDS)

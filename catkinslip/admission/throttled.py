"""When callers come back that found only servers in need, at their rates.

Load: all servers of a service name rates that are far below what callers ask. Every
turn is taken, and a caller meets an instance that has one by chance. So a call that can
still be in time comes back at once, to meet another instance; who came back already, or
is late, comes back when the need may be over.
"""

from random import Random

from catkinslip.admission.waiting import WaitingCall

#: Short beside the time within which an answer is worth most.
SOON_SECONDS = 0.05
MOST_SOON_SECONDS = 0.06


def throttled_retry(waiting: WaitingCall, random: Random, now: float) -> float:
    """Return the seconds after which a call that found no turn may come back."""
    if waiting.spent or waiting.is_late:
        return waiting.late_retry(now, random)
    return random.uniform(SOON_SECONDS, MOST_SOON_SECONDS)

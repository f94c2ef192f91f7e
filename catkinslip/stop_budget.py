"""The budget of a graceful shutdown: what still fits into the grace period."""

from catkinslip.lifecycle import ANSWER_MARGIN_SECONDS
from catkinslip.proxy.stopping import StopTimes

#: Time that a process takes to end on a busy machine, before it is killed.
EXIT_SECONDS = 0.25
#: Share of the grace period before which nothing in flight is cut. In the last sixth a
#: request may be left unfinished.
MIN_CUT_SHARE = 5 / 6
#: Time from a stop signal to its handling on a busy machine.
SIGNAL_SECONDS = 0.25


def plan_stop(
    began: float, grace: float, unsure: float, address_lifetime: float
) -> StopTimes:
    """Return the moments of a stop that began at a monotonic time, in seconds.

    After the `grace` period the process is killed. For `unsure` seconds requests may be
    left unfinished at its end. Callers whose address answers are older than
    `address_lifetime` hold other addresses and are not waited for.
    """
    cut_at = began + max(grace - EXIT_SECONDS, grace * MIN_CUT_SHARE)
    unsure_until = min(began + max(0.0, unsure - SIGNAL_SECONDS), cut_at)
    answers_expire = began + address_lifetime + ANSWER_MARGIN_SECONDS
    last_request = min(max(unsure_until, answers_expire), cut_at)
    return StopTimes(unsure_until, last_request, cut_at)

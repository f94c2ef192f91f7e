"""The budget of a graceful shutdown: what still fits into the grace period."""

from catkinslip.proxy.stopping import StopTimes

#: Time that a process takes to end on a busy machine, before it is killed.
EXIT_SECONDS = 0.5
#: Share of the grace period before which nothing in flight is cut. In the last sixth a
#: request may be left unfinished.
MIN_CUT_SHARE = 5 / 6
#: Time from a stop signal to its handling on a busy machine.
SIGNAL_SECONDS = 0.25


def plan_stop(
    began: float, grace: float, unsure: float, shortest_timeout: float
) -> StopTimes:
    """Return the moments of a stop that began at a monotonic time, in seconds.

    After the `grace` period the process is killed. For `unsure` seconds requests may be
    left unfinished at its end. No request takes longer than its route's timeout, the
    least of which is `shortest_timeout`.
    """
    cut_at = began + max(grace - EXIT_SECONDS, grace * MIN_CUT_SHARE)
    unsure_until = began + max(0.0, unsure - SIGNAL_SECONDS)
    times = StopTimes(min(unsure_until, cut_at), cut_at, cut_at)
    last_request = max(times.unsure_until, times.last_end - shortest_timeout)
    return StopTimes(times.unsure_until, last_request, cut_at)

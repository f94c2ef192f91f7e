"""The bound of a workspace over all instances, and the rates and caps that keep it.

Load: a workspace sends several times its limit at all instances, which spend in one
window what they generate in it and everything that was in stock before. docs/QUOTAS.md
has the arithmetic.
"""

from math import isfinite

from attrs import frozen

#: Seconds after which a holder drops permits that it got and did not use.
PERMIT_SECONDS = 0.3
#: Seconds from the use of a permit until the request is sent that the caps allow for;
#: a call waits for a server for up to 0.28 s (a sixth of a target latency of 1.7 s).
SEND_SECONDS = 0.3
#: Permits by which a full bucket exceeds the burst, where the bound has room. They
#: absorb the bursts of independent callers of a small workspace.
SPARE_PERMITS = 10.0
#: Permits with which an empty bucket starts, as a part of the slack, and how many such
#: starts a window may have: a restart takes at least 2 s until it gets them
#: (`leases.py`). Without them, a workspace of one request in 5 s would be refused for
#: its first seconds after each restart of the fleet. Larger ones have a permit
#: within 0.2 s anyway.
START_PART = 0.1
START_MAX_PER_SECOND = 5.0
STARTS_IN_WINDOW = 4
#: Smallest bucket in seconds of the rate. Holders take permits in batches of 0.1 s.
MIN_BUCKET_SECONDS = 0.05


@frozen
class WorkspaceLimit:
    """The rate and the bucket of a workspace over all pools together."""

    #: Limit in requests per second, as configured.
    requests_per_second: float
    #: Permits per second that are generated.
    rate: float
    #: Permits in the buckets of all pools together.
    cap: float
    #: Permits with which the buckets of all pools together start.
    start_level: float = 0.0


@frozen
class QuotaBounds:
    """Bound: in a window, (window x rate + burst) x (1 + excess) + slack requests."""

    window_seconds: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def largest(self, requests_per_second: float, burst: float) -> float:
        """Return the largest number of requests that may run in one window."""
        nominal = self.window_seconds * requests_per_second + burst
        return nominal * (1 + self.excess) + self.slack

    def limit(self, requests_per_second: float, burst: float) -> WorkspaceLimit:
        """Return the rate and the cap with which the bound holds.

        Permits that leave a pool up to PERMIT_SECONDS + SEND_SECONDS before a window
        are used in it, so that cap + rate x (window + both) must stay in the bound less
        the permits of starts.
        """
        is_small = requests_per_second <= START_MAX_PER_SECOND
        start_level = START_PART * self.slack if is_small else 0.0
        allowed = self.largest(requests_per_second, burst)
        allowed -= STARTS_IN_WINDOW * start_level
        seconds = self.window_seconds + PERMIT_SECONDS + SEND_SECONDS
        rate = requests_per_second
        cap = min(allowed - rate * seconds, burst + SPARE_PERMITS)
        smallest = min(allowed, max(1.0, MIN_BUCKET_SECONDS * rate))
        if cap < smallest:
            cap = smallest
            rate = min(rate, (allowed - cap) / seconds)
        return WorkspaceLimit(requests_per_second, rate, cap, start_level)


def check_bounds(bounds: QuotaBounds) -> str | None:
    """Return what is wrong with bounds, with the name of the setting; None if valid."""
    window = bounds.window_seconds
    if not (isfinite(window) and 0.1 <= window <= 3600):
        return f'quota_window_s must be 0.1 to 3600 seconds, not {window:g}'
    for name, value in (('excess', bounds.excess), ('slack', bounds.slack)):
        if not (isfinite(value) and value >= 0):
            return f'quota_{name} must be a finite number of at least 0, not {value:g}'
    return None

"""Shares of a budget of calls for instances that do not coordinate with each other.

Every instance divides the budget of the whole system by the maximum number of instances
that may run, or by the number that it sees if that is greater. So the sum stays within
the budget while views differ, while members cannot reach each other and while instances
restart: a bucket starts empty. Over any period the calls of all instances are at most
the budget for that period plus one call of each instance.
"""

from attrs import define

#: Maximum number of calls that one instance sends at once.
BURST_CALLS = 1.0


def share_of(budget: float, max_instances: int, visible_instances: int) -> float:
    """Return one instance's share of a budget."""
    return budget / max(1, max_instances, visible_instances)


@define
class TokenBucket:
    """Token bucket that allows calls at a rate; times are passed in, in seconds."""

    #: Calls per second.
    rate: float
    #: Number of calls that may be sent now.
    tokens: float = 0.0
    #: Time of the last refill, in seconds; None before the first one.
    filled_at: float | None = None
    #: Maximum number of tokens.
    burst: float = BURST_CALLS

    def set_rate(self, rate: float, now: float) -> None:
        """Refill the bucket at the old rate and change the rate."""
        self._refill(now)
        self.rate = rate

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        self._refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        since = now if self.filled_at is None else self.filled_at
        self.filled_at = max(now, since)
        gained = max(0.0, now - since) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)

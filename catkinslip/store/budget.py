"""Share a budget of calls between instances that do not ask each other.

Every instance divides the budget of the whole system by the greatest number of
instances that may run, or by the number it sees if that is more. So the sum stays
within the budget while views differ, while members are cut off from each other and
while instances restart: a bucket starts empty. Over any time the calls of all are at
most the budget for that time and one call of each instance.
"""

from attrs import define

#: Calls of one instance that may come at once.
BURST_CALLS = 1.0


def share_of(budget: float, most_instances: int, seen_instances: int) -> float:
    """Return one instance's share of a budget."""
    return budget / max(1, most_instances, seen_instances)


@define
class TokenBucket:
    """Allow calls at a rate, in calls per second; time comes in as seconds."""

    rate: float
    tokens: float = 0.0
    filled_at: float | None = None
    #: Calls that may be saved up.
    burst: float = BURST_CALLS

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._fill(now)
        self.rate = rate

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        self._fill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate

    def _fill(self, now: float) -> None:
        since = now if self.filled_at is None else self.filled_at
        self.filled_at = max(now, since)
        gained = max(0.0, now - since) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)

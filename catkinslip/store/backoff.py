"""Exponential backoff with full jitter after failures.

https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/
"""

from random import Random

from attrs import define


@define
class Backoff:
    """Random delays in seconds whose upper bound doubles with each failure."""

    #: Upper bound of the first delay, in seconds.
    initial_bound: float = 0.2
    #: Maximum upper bound, in seconds.
    max_bound: float = 10.0
    #: Number of failures since the last success.
    failures: int = 0

    def next_delay(self, random: Random) -> float:
        """Count a failure and return the delay until the next attempt."""
        bound = min(self.max_bound, self.initial_bound * 2 ** min(self.failures, 32))
        self.failures += 1
        return random.uniform(0, bound)

    def reset(self) -> None:
        """Reset the number of failures after a success."""
        self.failures = 0

"""Wait longer after each failure, with full jitter.

https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/
"""

from random import Random

from attrs import define


@define
class Backoff:
    """Choose delays in seconds that double up to a bound."""

    first: float = 0.2
    longest: float = 10.0
    failures: int = 0

    def next_delay(self, random: Random) -> float:
        """Count a failure and return the delay after it."""
        bound = min(self.longest, self.first * 2 ** min(self.failures, 32))
        self.failures += 1
        return random.uniform(0, bound)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0

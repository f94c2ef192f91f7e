"""Backend servers that refuse connections, and when to try them again."""

from random import Random

from attrs import Factory, define

from catkinslip.models import BackendKey

#: Pause after the first refused connection; each further one in a row doubles it.
FIRST_PAUSE_SECONDS = 0.5
#: Upper bound of a pause.
MAX_PAUSE_SECONDS = 10.0
#: Largest share by which a pause is shortened at random.
JITTER = 0.5


@define
class Pause:
    """Failures in a row and the earliest time of the next trial; monotonic seconds."""

    failures: int
    until: float


@define
class Reachability:
    """Servers to avoid because they refuse connections, except for one trial."""

    random: Random
    pause_by_key: dict[BackendKey, Pause] = Factory(dict)

    def record_refusal(self, key: BackendKey, now: float) -> float:
        """Record a refused connection; return the seconds until the next trial."""
        pause = self.pause_by_key.get(key)
        failures = pause.failures + 1 if pause else 1
        longest = min(FIRST_PAUSE_SECONDS * 2 ** (failures - 1), MAX_PAUSE_SECONDS)
        seconds = longest * (1 - JITTER * self.random.random())
        self.pause_by_key[key] = Pause(failures, now + seconds)
        return seconds

    def record_connection(self, key: BackendKey) -> bool:
        """Record an accepted connection; return whether the last one was refused."""
        return self.pause_by_key.pop(key, None) is not None

    def is_avoided(self, key: BackendKey, now: float) -> bool:
        """Return whether a server must not be tried yet."""
        pause = self.pause_by_key.get(key)
        return pause is not None and now < pause.until

    def avoided_ids(self, now: float) -> list[str]:
        """Return the backend IDs of servers that must not be tried yet."""
        if not self.pause_by_key:
            return []
        return [
            key.backend_id for key in self.pause_by_key if self.is_avoided(key, now)
        ]

    def start_trial(self, key: BackendKey, now: float) -> None:
        """Extend the pause so that no second trial starts while one runs."""
        pause = self.pause_by_key.get(key)
        if pause is not None:
            pause.until = max(pause.until, now + FIRST_PAUSE_SECONDS)

    def forget(self, key: BackendKey) -> None:
        """Forget a server removed from the register."""
        self.pause_by_key.pop(key, None)

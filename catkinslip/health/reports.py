"""The newest load report on each backend server, from any source."""

import heapq

from attrs import Factory, define, frozen

from catkinslip.models import BackendKey
from catkinslip.routing.base import LoadReport

#: Older reports say nothing more; they are told to no peer.
MAX_AGE_SECONDS = 5.0
#: Some 85 bytes each, in every exchange of a node with a few KB a second for all.
MAX_REPORTS_PER_MESSAGE = 8


@frozen
class KnownReport:
    """A load report and when it was observed, in monotonic seconds."""

    report: LoadReport
    observed_at: float


@define
class ReportTable:
    """Keep the youngest report on each server."""

    known_by_key: dict[BackendKey, KnownReport] = Factory(dict)
    answered_at_by_key: dict[BackendKey, float] = Factory(dict)
    #: Reports taken over so far.
    version: int = 0

    def learn(self, key: BackendKey, known: KnownReport) -> bool:
        """Take a report over if it is younger; tell whether it was."""
        self.answered(key, known.observed_at)
        held = self.known_by_key.get(key)
        if held is not None and held.observed_at >= known.observed_at:
            return False
        self.known_by_key[key] = known
        self.version += 1
        return True

    def answered(self, key: BackendKey, at: float) -> None:
        """Take the time of an answer, with or without a report."""
        self.answered_at_by_key[key] = max(at, self.answered_at_by_key.get(key, at))

    def silent_for(self, key: BackendKey, now: float) -> float:
        """Return the seconds since the last known answer."""
        return now - self.answered_at_by_key.get(key, now)

    def youngest(self, now: float) -> list[tuple[BackendKey, KnownReport]]:
        """Return the youngest reports that are worth telling."""
        fresh = [
            (key, known)
            for key, known in self.known_by_key.items()
            if now - known.observed_at < MAX_AGE_SECONDS
        ]
        return heapq.nlargest(
            MAX_REPORTS_PER_MESSAGE, fresh, key=lambda pair: pair[1].observed_at
        )

    def expect(self, key: BackendKey, now: float) -> None:
        """Wait for answers of a new server."""
        self.answered_at_by_key.setdefault(key, now)

    def forget(self, key: BackendKey) -> None:
        """Forget a server that left the register."""
        self.answered_at_by_key.pop(key, None)
        self.known_by_key.pop(key, None)

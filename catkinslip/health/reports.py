"""The newest load report of each backend server, from any source."""

import heapq

from attrs import Factory, define, frozen

from catkinslip.models import BackendKey
from catkinslip.routing.base import LoadReport

#: Reports older than this are no longer useful and are not sent to peers.
MAX_AGE_SECONDS = 5.0
#: Each takes about 85 bytes in every exchange, on a node with a few KB a second for
#: all exchanges.
MAX_REPORTS_PER_MESSAGE = 8


@frozen
class ObservedReport:
    """A load report and when it was observed, in monotonic seconds."""

    report: LoadReport
    observed_at: float


@define
class ReportTable:
    """The newest report and the time of the last answer of each server."""

    known_by_key: dict[BackendKey, ObservedReport] = Factory(dict)
    answered_at_by_key: dict[BackendKey, float] = Factory(dict)
    #: Number of reports applied so far.
    version: int = 0

    def apply(self, key: BackendKey, known: ObservedReport) -> bool:
        """Apply a report if newer than the known one; return whether it was newer."""
        self.record_answer(key, known.observed_at)
        held = self.known_by_key.get(key)
        if held is not None and held.observed_at >= known.observed_at:
            return False
        self.known_by_key[key] = known
        self.version += 1
        return True

    def record_answer(self, key: BackendKey, at: float) -> None:
        """Record the time of an answer, with or without a report."""
        self.answered_at_by_key[key] = max(at, self.answered_at_by_key.get(key, at))

    def silent_for(self, key: BackendKey, now: float) -> float:
        """Return the seconds since the last known answer; 0 for an unknown server."""
        return now - self.answered_at_by_key.get(key, now)

    def newest(self, now: float) -> list[tuple[BackendKey, ObservedReport]]:
        """Return the newest reports, at most `MAX_REPORTS_PER_MESSAGE`, for peers."""
        fresh = [
            (key, known)
            for key, known in self.known_by_key.items()
            if now - known.observed_at < MAX_AGE_SECONDS
        ]
        return heapq.nlargest(
            MAX_REPORTS_PER_MESSAGE, fresh, key=lambda pair: pair[1].observed_at
        )

    def expect_answers(self, key: BackendKey, now: float) -> None:
        """Start to count the silence of a new server from now."""
        self.answered_at_by_key.setdefault(key, now)

    def forget(self, key: BackendKey) -> None:
        """Forget a server removed from the register."""
        self.answered_at_by_key.pop(key, None)
        self.known_by_key.pop(key, None)

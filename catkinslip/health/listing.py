"""History of one server in successive reads of the platform's list, which lags."""

from attrs import define


@define
class ListView:
    """The period in which every read showed a server as live; monotonic seconds."""

    clear_since: float | None = None
    clear_until: float | None = None

    def read(self, leaving: bool, now: float) -> None:
        """Record one read of the list; a read that shows leaving clears the period."""
        if leaving:
            self.clear_since = self.clear_until = None
            return
        if self.clear_since is None:
            self.clear_since = now
        self.clear_until = now

    def clear_for(self) -> float:
        """Return for how many seconds every read has shown the server as live."""
        if self.clear_since is None or self.clear_until is None:
            return 0.0
        return self.clear_until - self.clear_since

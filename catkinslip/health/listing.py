"""History of one server in successive reads of the platform's list, which lags."""

from attrs import define


@define
class ListView:
    """The period in which every read showed a server as live; monotonic seconds."""

    live_since: float | None = None
    live_until: float | None = None

    def record_read(self, leaving: bool, now: float) -> None:
        """Record one read of the list; a read that shows leaving clears the period."""
        if leaving:
            self.live_since = self.live_until = None
            return
        if self.live_since is None:
            self.live_since = now
        self.live_until = now

    def live_seconds(self) -> float:
        """Return for how many seconds every read has shown the server as live."""
        if self.live_since is None or self.live_until is None:
            return 0.0
        return self.live_until - self.live_since

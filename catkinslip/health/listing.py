"""What successive reads of the platform's lagging list say of one server."""

from attrs import define


@define
class ListView:
    """Hold since when and until when every read said live; monotonic seconds."""

    clear_since: float | None = None
    clear_until: float | None = None

    def read(self, leaving: bool, now: float) -> None:
        """Take one read of the list."""
        if leaving:
            self.clear_since = self.clear_until = None
            return
        if self.clear_since is None:
            self.clear_since = now
        self.clear_until = now

    def clear_for(self) -> float:
        """Return the seconds over which every read said live."""
        if self.clear_since is None or self.clear_until is None:
            return 0.0
        return self.clear_until - self.clear_since

"""Workspaces under a load: what all instances together count, and their limits."""

from collections import defaultdict

from attrs import Factory, define

from catkinslip.quotas.base import WorkspaceUsage

#: Seconds over which the use of a workspace is counted.
USAGE_SECONDS = 3.0
#: Seconds after which every instance has read a new count.
USAGE_PERIOD_SECONDS = 0.5
#: Seconds of a workspace's limit that it may save up.
BURST_SECONDS = 1.0


@define
class Counts:
    """The recent requests of one workspace, and the permits that it has left."""

    asked: list[float] = Factory(list)
    refused: list[float] = Factory(list)
    permits: float = 0.0
    filled_at: float = 0.0
    usage: WorkspaceUsage | None = None
    read_at: float = -USAGE_PERIOD_SECONDS


@define
class WorkspaceCounts:
    """The use and the permits of all workspaces, summed over all instances."""

    limit_by_name: dict[str, float] = Factory(dict)
    counts_by_name: defaultdict[str, Counts] = Factory(lambda: defaultdict(Counts))

    def acquire(self, name: str, now: float) -> bool:
        """Count a request; return whether it is within the limit."""
        if not name:
            return True
        counts = self.counts_by_name[name]
        counts.asked.append(now)
        limit = self.limit_by_name[name]
        if not limit:
            return True
        filled = counts.permits + limit * (now - counts.filled_at)
        counts.permits = min(max(1.0, limit * BURST_SECONDS), filled)
        counts.filled_at = now
        if counts.permits < 1:
            counts.refused.append(now)
            return False
        counts.permits -= 1
        return True

    def record_refused(self, name: str, now: float) -> None:
        """Count a request that got no answer from a server."""
        if name:
            self.counts_by_name[name].refused.append(now)

    def usage(self, name: str, now: float) -> WorkspaceUsage | None:
        """Return the use of a workspace as it was a moment ago."""
        if not name:
            return None
        counts = self.counts_by_name[name]
        if now - counts.read_at >= USAGE_PERIOD_SECONDS:
            counts.read_at = now
            since = now - USAGE_SECONDS
            counts.asked = [at for at in counts.asked if at > since]
            counts.refused = [at for at in counts.refused if at > since]
            counts.usage = WorkspaceUsage(
                len(counts.asked) / USAGE_SECONDS,
                self.limit_by_name[name],
                len(counts.refused) / max(1, len(counts.asked)),
            )
        return counts.usage

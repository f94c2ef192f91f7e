"""The decision which workspaces give way while capacity is scarce.

Load: one workspace sends 4 to 7.5 times its usual rate, up to its limit, and the
servers have no room for all. Shares are max-min by the share of the limit that a
workspace uses, not by its requests: limits are agreed in proportion to the usual rate,
so a large workspace at its usual rate would else give way to a small one in a burst.

The share of the limit is compared with the median of the workspaces that this instance
saw lately, so that nobody gives way where all use the same share. The use comes from
all instances and needs no samples here; three calls a second are enough.
"""

from math import inf

from attrs import Factory, define, frozen

from catkinslip.admission.bounded import put_newest
from catkinslip.admission.served import ServedShares
from catkinslip.quotas.base import WorkspaceUsage

#: Seconds for which a workspace counts for the median after its last call.
SEEN_SECONDS = 10.0
#: Maximum number of workspaces; the one that was seen longest ago is removed.
MAX_WORKSPACES = 256
#: Seconds between two computations of the median, which sorts up to 256 numbers.
REFERENCE_SECONDS = 0.25
#: Minimum served share that others are compared with, in place of 0.
MIN_SERVED_SHARE = 0.01
#: Difference between the share of the limit in use and the median from which a
#: workspace gives way in full; limits are about 1.6 times the usual rate, so that a
#: burst to the limit is 0.37 above.
FULL_EXCESS = 0.3
#: Differences below this are noise: counts of a few seconds of small workspaces.
MIN_EXCESS = 0.1
#: Served share, relative to that of all calls, at which a workspace stops to give way.
#: The guaranteed minimum is 0.25; the counts are noisy and late.
FLOOR_SHARE = 0.5
#: Share of the limit from which a workspace is not put forward, however many of its
#: calls are refused: those beyond the limit are refused for its own excess.
NEAR_LIMIT_SHARE = 0.9


@frozen
class WorkspaceStanding:
    """How far one workspace gives way, from 0 to 1, or whether it is put forward."""

    gives_way: float = 0.0
    is_forward: bool = False
    #: Whether others use much more of their limits.
    is_ahead: bool = False


NEUTRAL = WorkspaceStanding()


@define
class SeenUsage:
    """The last known use of a workspace; times are monotonic seconds."""

    usage: WorkspaceUsage
    #: Share of the limit in use; None without a limit.
    share: float | None
    #: Time at which this use was first seen, and of the last call.
    changed_at: float
    seen_at: float


@frozen
class Reference:
    """What the workspaces that were seen lately use of their limits and are served."""

    usual_share: float = 1.0
    highest_share: float = 1.0
    usual_served: float = 0.0
    computed_at: float = -inf


@define
class WorkspaceShares:
    """The use of the workspaces that one instance saw lately in one service."""

    seen_by_name: dict[str, SeenUsage] = Factory(dict)
    served: ServedShares = Factory(ServedShares)
    reference: Reference = Reference()

    def record(self, name: str, usage: WorkspaceUsage, now: float) -> SeenUsage:
        """Record the use of a workspace whose call has arrived."""
        seen = self.seen_by_name.get(name)
        if seen is None or seen.usage != usage:
            seen = SeenUsage(usage, share_of_limit(usage), now, now)
        seen.seen_at = now
        put_newest(self.seen_by_name, name, seen, MAX_WORKSPACES)
        return seen

    def assess(self, name: str, seen: SeenUsage, now: float) -> WorkspaceStanding:
        """Return the standing of a workspace while capacity is scarce."""
        if seen.share is None:
            return NEUTRAL
        self._update_reference(now)
        relative = self.served.relative(name, now)
        if self._is_starved(seen, relative):
            return WorkspaceStanding(is_forward=True)
        excess = seen.share - self.reference.usual_share
        if excess < MIN_EXCESS:
            ahead = self.reference.highest_share - seen.share
            return WorkspaceStanding(is_ahead=ahead > FULL_EXCESS)
        # Ends gradually, as a threshold would serve the workspace in turns.
        above_floor = (relative - FLOOR_SHARE) / (1 - FLOOR_SHARE)
        gives_way = min(1.0, excess / FULL_EXCESS) * min(1.0, max(0.0, above_floor))
        return WorkspaceStanding(gives_way)

    def _is_starved(self, seen: SeenUsage, relative: float) -> bool:
        if seen.share >= NEAR_LIMIT_SHARE:
            return False
        usual = max(self.reference.usual_served, MIN_SERVED_SHARE)
        return min(relative, served_share(seen.usage) / usual) < FLOOR_SHARE

    def _update_reference(self, now: float) -> None:
        if now - self.reference.computed_at < REFERENCE_SECONDS:
            return
        lately = [
            seen
            for seen in self.seen_by_name.values()
            if seen.share is not None and now - seen.seen_at <= SEEN_SECONDS
        ]
        shares = sorted(seen.share for seen in lately)
        served = sorted(served_share(seen.usage) for seen in lately)
        self.reference = Reference(
            # The lower middle of the shares in use, and the upper one of those served.
            shares[(len(shares) - 1) // 2],
            shares[-1],
            served[len(served) // 2],
            now,
        )


def share_of_limit(usage: WorkspaceUsage) -> float | None:
    """Return the share of its limit that a workspace uses; None without a limit."""
    if not usage.limit_per_second:
        return None
    return min(1.0, usage.requests_per_second / usage.limit_per_second)


def served_share(usage: WorkspaceUsage) -> float:
    """Return the share of a workspace's requests that a server answered."""
    return 1.0 - min(1.0, max(0.0, usage.refused_share))

"""The share of recent calls that were served, of each workspace or kind of a service.

Load: capacity is scarce, and a rule that prefers some calls to others must not serve
any group of calls much less often than all. One instance may see three calls a second
of a group, so the share of a group starts at that of all calls.
"""

from attrs import Factory, define

from catkinslip.admission.bounded import put_newest
from catkinslip.admission.tally import Tally

#: Seconds after which a call counts 1/e in the shares.
MEMORY_SECONDS = 5.0
#: Maximum number of groups; the one that was seen longest ago is removed.
MAX_GROUPS = 256
#: Weight of the share of all calls in that of a group, in calls.
PRIOR_CALLS = 4.0


@define
class ServedShares:
    """The share of recent calls that were served, for all calls and each group."""

    total: Tally = Factory(lambda: Tally(MEMORY_SECONDS))
    tally_by_group: dict[str, Tally] = Factory(dict)

    def record(self, group: str, is_served: bool, now: float) -> None:
        """Count a call of a group whose outcome is known."""
        self.total.record(is_served, now)
        tally = self.tally_by_group.get(group)
        if tally is None:
            tally = Tally(MEMORY_SECONDS, at=now)
        put_newest(self.tally_by_group, group, tally, MAX_GROUPS)
        tally.record(is_served, now)

    def share(self, group: str, now: float) -> float:
        """Return the share of a group's calls that were served; 1.0 without calls."""
        self.total.decay(now)
        if not self.total.calls:
            return 1.0
        overall = self.total.marked / self.total.calls
        tally = self.tally_by_group.get(group)
        if tally is None:
            return overall
        tally.decay(now)
        served = tally.marked + PRIOR_CALLS * overall
        return served / (tally.calls + PRIOR_CALLS)

    def relative(self, group: str, now: float) -> float:
        """Return the share of a group divided by that of all calls; 1.0 if unknown."""
        self.total.decay(now)
        if not self.total.marked:
            return 1.0
        overall = self.total.marked / self.total.calls
        return self.share(group, now) / overall

"""What the sharing of scarce capacity requires of one call."""

from math import inf

from attrs import frozen

from catkinslip.quotas.base import WorkspaceUsage


@frozen
class Standing:
    """What the rules of admission require of one call beyond the usual."""

    #: Share of the target that the call must leave free in addition.
    spare_share: float = 0.0
    #: Share of the target for which the call is held; None for the usual one.
    hold_share: float | None = None
    #: Delay, in multiples of the work, up to which the call is sent while it can wait.
    max_delay: float = inf
    #: Whether others give way to the call, which then leaves no share free by its
    #: priority.
    is_forward: bool = False
    #: Whether the caller returned before the retry delay of its last refusal.
    is_repeated: bool = False
    #: Whether the call is refused rather than sent beyond `max_delay`.
    is_strict: bool = False
    #: Factor of the seconds between two searches for a server.
    recheck_factor: float = 1.0
    #: Whether others use much more of their limits.
    is_ahead: bool = False
    #: How far the call gives way to others, from 0 to 1.
    gives_way: float = 0.0
    #: Use of the workspace over all instances; None if it is not known.
    usage: WorkspaceUsage | None = None
    #: Time at which this instance first saw that use, in monotonic seconds.
    usage_changed_at: float = 0.0

    def describe(self, now: float) -> str:
        """Return the inputs as text for the log."""
        text = f'gives_way={self.gives_way:.2f}'
        if self.is_forward:
            text += ' forward'
        if self.is_repeated:
            text += ' repeated'
        if self.usage is None:
            return text
        age = (now - self.usage_changed_at) * 1e3
        return (
            f'{text} use={self.usage.requests_per_second:.1f} '
            f'limit={self.usage.limit_per_second:.1f} '
            f'refused={self.usage.refused_share:.2f} use_age_ms={age:.0f}'
        )


USUAL = Standing()

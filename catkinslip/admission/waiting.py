"""The decision whether a call is sent, held or refused while servers have no room.

Load: all servers are full or slow, and callers that were refused return among fresh
ones. A call whose answer can still be in time is sent where it will be, and held a
moment for such a server. A late call, whose target has passed or cannot be met any
more, should still get an answer before its deadline, but must not take the place of one
that can be in time: it gets a free server, or an idle slow one at which a fresh call
would be late. Otherwise it is refused at once, and its caller should return when the
rush may be over.
"""

from collections.abc import Sequence
from enum import Enum, auto, unique
from math import inf
from random import Random

from attrs import define, frozen

from catkinslip.admission.standing import USUAL, Standing
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.routing.base import GOOD_DELAY, Estimate

#: Seconds between two searches for a server, and what each step of priority adds:
#: urgent calls search more often.
RECHECK_SECONDS = 0.015
RECHECK_SECONDS_PER_PRIORITY = 0.005
#: Maximum estimate of requests in flight that counts as none; the estimate decays to
#: the mean of all servers.
IDLE_IN_FLIGHT = 0.25
#: Maximum factor by which retry delays vary; together with `late_retry_share` the
#: delays stay within a third of the caller's time, which is the longest that callers
#: wait.
MAX_JITTER = 4 / 3
#: Minimum retry delay in seconds for callers that may return.
MIN_RETRY_SECONDS = 0.1


@frozen
class AdmissionSettings:
    """How long calls wait, and which servers late calls get; shares are of call times.

    docs/CAPACITY.md gives the loss without each mechanism.
    """

    #: Share of its target for which a call that can be in time is held: a server often
    #: has room a moment later, and after a longer wait refused callers return too late.
    hold_share: float = 0.16
    #: Share of its target that a less urgent call must leave free, for each step of
    #: priority. The time goes to the most urgent calls.
    spare_share_per_priority: float = 0.1
    #: Whether the time that a caller had waited before its request arrived counts.
    counts_spent: bool = True
    #: Whether late calls may use idle servers at which a fresh one would be late.
    uses_slow: bool = True
    #: Share of the remaining time within which an answer of a slow server must be
    #: expected, as the server's speed may fall further.
    slow_time_share: float = 0.5
    #: Share of the time that a late caller still waits after which the caller returns,
    #: when the rush may be over.
    late_retry_share: float = 0.25
    #: Whether workspaces that use much of their limit give way to others.
    shares_workspaces: bool = True
    #: Whether delay-tolerant kinds wait for room, and kinds give way to urgent ones.
    shares_kinds: bool = True
    #: Whether retries go to urgent calls first, and calls that return too early are
    #: late.
    ranks_retries: bool = True


@unique
class Decision(Enum):
    """The decision on a call at one time."""

    SEND = auto()
    HOLD = auto()
    REFUSE = auto()


@define
class WaitingCall:
    """One call that waits for a server; times are monotonic seconds."""

    settings: AdmissionSettings
    began: float
    #: Time until which an answer is in time.
    best_until: float
    #: Time at which this instance gives up the call, and at which its caller stops
    #: waiting.
    deadline: float
    caller_deadline: float
    #: Seconds from the caller's first attempt within which an answer is in time.
    target: float
    #: Priority of the call; 0 is the most urgent.
    priority: int = 0
    #: Seconds that the caller had waited before, as far as known.
    spent: float = 0.0
    #: Whether its answer cannot be in time any more.
    is_late: bool = False
    #: What the sharing of scarce capacity requires of the call.
    standing: Standing = USUAL

    def decide(
        self,
        delay: float,
        work: float,
        now: float,
        *,
        is_known: bool = True,
    ) -> Decision:
        """Return the decision on the call.

        The delay is that of the best server, in multiples of the work; the work is the
        seconds that the call takes on an idle server. If no server answers probes, the
        delay is not known (`is_known`) and the call is sent: a refusal could persist
        for ever, kept up by probes that arrive late.
        """
        self.update_lateness(work, now)
        if delay <= GOOD_DELAY:
            return Decision.SEND
        if not self.is_late:
            if self._is_in_time(delay * work, now) and self._may_use(delay, now):
                return Decision.SEND
            if now < self.hold_until:
                return Decision.HOLD
            self.is_late = True
        return Decision.REFUSE if is_known else Decision.SEND

    def update_lateness(self, work: float, now: float) -> None:
        """Mark a returning call as late if a request of the given work would be late.

        Only a call whose caller has waited before is marked: if the estimate of the
        work is too long, or the work takes longer than the target, all calls would be
        late.
        """
        if self.spent and now + work > self.best_until:
            self.is_late = True
        if self.standing.is_repeated and self.target < inf:
            self.is_late = True

    def _is_in_time(self, seconds: float, now: float) -> bool:
        """Return whether an answer after some seconds leaves the required time free."""
        share = self.standing.spare_share
        if not self.standing.is_forward:
            share += self.settings.spare_share_per_priority * self.priority
        return now + seconds + share * self.target <= self.best_until

    def _may_use(self, delay: float, now: float) -> bool:
        """Return whether the call may use a server while it can still wait."""
        if delay <= self.standing.max_delay:
            return True
        return now >= self.hold_until and not self.standing.is_strict

    def find_slow(
        self, ranked: Sequence[Estimate], work: float, now: float
    ) -> Estimate | None:
        """Return the best idle server at which a fresh call would be late, if any."""
        if not self.settings.uses_slow:
            return None
        latest = self.settings.slow_time_share * (self.deadline - now)
        for each in ranked:
            expected = each.delay * work
            if expected > latest:
                return None
            if expected > self.target and each.in_flight <= IDLE_IN_FLIGHT:
                return each
        return None

    @property
    def hold_until(self) -> float:
        """Return the time until which the call may be held."""
        share = self.standing.hold_share
        if share is None:
            share = self.settings.hold_share
        return self.began + share * self.target

    def recheck_seconds(self, now: float) -> float:
        """Return the seconds until the next search for a server."""
        usual = RECHECK_SECONDS + RECHECK_SECONDS_PER_PRIORITY * self.priority
        usual *= self.standing.recheck_factor
        return max(0.0, min(usual, self.hold_until - now))

    def refuse(self, expected: float, now: float, random: Random) -> NotRun:
        """Return the refusal of a call whose answer is expected after some seconds.

        The caller's next attempt will be late too, so the caller should return when the
        others have finished.
        """
        late = now + expected - self.best_until
        detail = f'expected {expected * 1e3:.0f} ms, late by {late * 1e3:.0f} ms'
        retry_after = self.late_retry_after(now, random)
        return NotRun(Reason.DEADLINE_UNMET, detail, retry_after=retry_after)

    def late_retry_after(self, now: float, random: Random) -> float:
        """Return the seconds after which a call that will be late may be retried."""
        remaining = max(0.0, self.caller_deadline - now)
        retry_after = max(MIN_RETRY_SECONDS, self.settings.late_retry_share * remaining)
        # Callers that are refused together must not retry together.
        return retry_after * random.uniform(1.0, MAX_JITTER)

"""Decide whether a call is sent, held or refused while servers have no room.

Load: all servers are full or slow, and callers that were refused come back among fresh
ones. A call whose answer can still be in time is sent where it will be, and held a
moment for such a server. A late one, whose target has passed or cannot be met any more,
is still owed an answer before its deadline, but must not take the place of one that can
be in time: it gets a free server, or an idle slow one at which a fresh call would be
late. Else it is refused at once, and comes back when the rush may be over.
"""

from collections.abc import Sequence
from enum import Enum, auto, unique
from random import Random

from attrs import define, frozen

from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.routing.base import GOOD_DELAY, Estimate

#: Between two looks for a server; urgent calls look more often.
LOOK_SECONDS = 0.015
LOOK_SECONDS_PER_PRIORITY = 0.005
#: An estimate of requests in flight that means none; it decays to the mean of all.
IDLE_IN_FLIGHT = 0.25
#: Times to come back differ by up to this factor; with the share below they stay
#: within a third of the caller's time, which is the most that callers wait.
MOST_SPREAD = 4 / 3
#: No caller that may come back is told to come sooner.
MIN_RETRY_SECONDS = 0.1


@frozen
class AdmissionSettings:
    """How long calls wait and what late ones get; shares are of a call's times.

    Figures are what the overload benchmark loses of its total, from 0 to 1, without the
    mechanism: three loads, six seeds each.
    """

    #: A call that can be in time is held for this share of its target: 0.023 to 0.047.
    hold_share: float = 0.16
    #: A less urgent call must leave this share of its target free for each priority.
    #: Without it the least urgent kind is refused half as often, but the most urgent
    #: one twice as often (ten replayed days); the benchmark gains 0.010 to 0.038.
    spare_share_per_priority: float = 0.1
    #: Whether the time counts that a caller had waited before its request came.
    counts_spent: bool = True
    #: Whether late calls may use idle servers at which a fresh one would be late: 0.003
    #: to 0.023, each within its noise.
    uses_slow: bool = True
    #: An answer of a slow server must be expected in this share of the time left, as
    #: its speed may fall further.
    slow_time_share: float = 0.5
    #: A late caller comes back after this share of the time that it still waits: 0.005
    #: to 0.010, and 0.024 of the two worst windows after the loss of all instances.
    late_retry_share: float = 0.25


@unique
class Verdict(Enum):
    """What to do with a call now."""

    SEND = auto()
    HOLD = auto()
    REFUSE = auto()


@define
class WaitingCall:
    """One call that looks for a server; times are monotonic seconds."""

    settings: AdmissionSettings
    began: float
    #: When an answer ceases to be in time.
    best_until: float
    #: When the call is given up here, and when its caller ceases to wait.
    deadline: float
    caller_leaves: float
    #: Seconds from the caller's first attempt within which an answer is in time.
    target: float
    #: 0 is the most urgent.
    priority: int = 0
    #: Seconds that the caller had waited before, as far as known.
    spent: float = 0.0
    #: Whether its answer cannot be in time any more.
    is_late: bool = False

    def judge(
        self,
        delay: float,
        work: float,
        now: float,
        *,
        is_known: bool = True,
    ) -> Verdict:
        """Return what to do with the call.

        The delay is the best server's, in times of work; the work is the seconds that
        the call takes on an idle server. Where no server answers probes nothing is
        known, and a refusal could stand for ever: probes that come late would keep it
        up.
        """
        self.note_time(work, now)
        if delay <= GOOD_DELAY:
            return Verdict.SEND
        if not self.is_late:
            spare = self.settings.spare_share_per_priority * self.priority * self.target
            if now + delay * work + spare <= self.best_until:
                return Verdict.SEND
            if now < self.hold_until:
                return Verdict.HOLD
            self.is_late = True
        return Verdict.REFUSE if is_known else Verdict.SEND

    def note_time(self, work: float, now: float) -> None:
        """Take note of what the time leaves for a request of so many seconds.

        Only who comes back is late by that: where the work was learned too long, or
        takes longer than the target, all would be.
        """
        if self.spent and now + work > self.best_until:
            self.is_late = True

    def find_slow(
        self, ranked: Sequence[Estimate], work: float, now: float
    ) -> Estimate | None:
        """Return an idle server at which a fresh call would be late, best first."""
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
        """Return until when the call may be held."""
        return self.began + self.settings.hold_share * self.target

    def look_seconds(self, now: float) -> float:
        """Return the time until the next look for a server."""
        usual = LOOK_SECONDS + LOOK_SECONDS_PER_PRIORITY * self.priority
        return max(0.0, min(usual, self.hold_until - now))

    def refuse(self, expected: float, now: float, random: Random) -> NotRun:
        """Return the refusal of a call whose answer is expected in so many seconds.

        Its next attempt will be late too, so it comes back when others have gone.
        """
        late = now + expected - self.best_until
        detail = f'expected {expected * 1e3:.0f} ms, late by {late * 1e3:.0f} ms'
        retry_after = self.late_retry(now, random)
        return NotRun(Reason.DEADLINE_UNMET, detail, retry_after=retry_after)

    def late_retry(self, now: float, random: Random) -> float:
        """Return the seconds after which a call that will be late may come back."""
        left = max(0.0, self.caller_leaves - now)
        retry_after = max(MIN_RETRY_SECONDS, self.settings.late_retry_share * left)
        # Refused together, callers must not come back together.
        return retry_after * random.uniform(1.0, MOST_SPREAD)

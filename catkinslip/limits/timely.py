"""Send a call only where its answer is expected in time; else hold or refuse it.

A call that is sent to a full server takes the place of one that could be in time, and
its own answer comes late. So a call waits here for a moment, and is then refused while
its caller can still come back.
"""

from enum import Enum, auto, unique
from random import Random

from attrs import Factory, define

from catkinslip.proxy.outcomes import NotRun, Reason

#: A call may be held for this share of its target; later refusals cost the caller.
HOLD_SHARE = 0.16
#: Between two looks for a server; urgent calls look more often.
LOOK_SECONDS = 0.015
LOOK_SECONDS_PER_PRIORITY = 0.005
#: A less urgent call must leave this share of its target free for each priority.
SPARE_SHARE_PER_PRIORITY = 0.1
WORK_WEIGHT = 0.05
#: Share of a route's target that its work is taken for at first.
FIRST_WORK_SHARE = 0.4
#: One answer counts as at most so many times of the work known.
MOST_GROWTH = 3.0
#: A free slot at usual speed; no other server could be worth waiting for.
GOOD_DELAY = 1.3
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.4


@unique
class Verdict(Enum):
    """What to do with a call now."""

    SEND = auto()
    HOLD = auto()
    REFUSE = auto()


@define
class WorkTime:
    """The time that one route's requests take on an idle server, in seconds."""

    seconds: float
    samples: int = 1


@define
class WorkTimes:
    """How long the requests of each route take on an idle server."""

    time_by_route: dict[str, WorkTime] = Factory(dict)

    def expect(self, route: str, delay: float, target: float) -> float:
        """Return the seconds until an answer; the delay is in times of work."""
        known = self.time_by_route.get(route)
        seconds = FIRST_WORK_SHARE * target if known is None else known.seconds
        return delay * seconds

    def learn(self, route: str, latency: float, delay: float, target: float) -> None:
        """Take an answer to a request that was sent with an expected delay."""
        known = self.time_by_route.get(route)
        if known is None:
            known = WorkTime(FIRST_WORK_SHARE * target)
            self.time_by_route[route] = known
        # A server that slowed down meanwhile says little of the route's work.
        sample = min(latency / max(1.0, delay), known.seconds * MOST_GROWTH)
        known.samples += 1
        weight = max(1 / known.samples, WORK_WEIGHT)
        known.seconds += (sample - known.seconds) * weight


@define
class Patience:
    """How long one call may still wait for a server; monotonic seconds."""

    began: float
    best_until: float
    priority: int = 0

    def judge(
        self, expected: float, delay: float, now: float, *, is_known: bool = True
    ) -> Verdict:
        """Return what to do with the call when its answer is expected so late.

        Where no server answers probes nothing is known, and a refusal could stand for
        ever: probes that come late would keep it up.
        """
        if delay <= GOOD_DELAY:
            return Verdict.SEND
        target = self.best_until - self.began
        left = self.best_until - now
        spare = SPARE_SHARE_PER_PRIORITY * self.priority * target
        if expected + spare <= left:
            return Verdict.SEND
        if now < self.hold_until:
            return Verdict.HOLD
        return Verdict.REFUSE if is_known else Verdict.SEND

    def look_seconds(self, now: float) -> float:
        """Return the time until the next look for a server."""
        usual = LOOK_SECONDS + LOOK_SECONDS_PER_PRIORITY * self.priority
        return max(0.0, min(usual, self.hold_until - now))

    @property
    def hold_until(self) -> float:
        """Return until when the call may be held."""
        return self.began + HOLD_SHARE * (self.best_until - self.began)

    def refusal(self, expected: float, now: float, random: Random) -> NotRun:
        """Return the refusal of a call whose answer would come late."""
        late = expected - (self.best_until - now)
        retry_after = min(max(late, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        detail = f'expected {expected * 1e3:.0f} ms, late by {late * 1e3:.0f} ms'
        # Refused together, callers must not come back together.
        spread = random.uniform(1.0, 1.5)
        return NotRun(Reason.DEADLINE_UNMET, detail, retry_after=retry_after * spread)

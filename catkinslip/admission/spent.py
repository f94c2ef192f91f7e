"""Estimates of how long a caller has waited before its request arrived.

Load: a crowd of callers that were refused, or found no instance, returns among fresh
ones. Answers to the returning callers can no longer be in time, since the target counts
from the first attempt. A request states only how long its caller still waits, and a
caller that retries has less time than one on its first attempt. Callers differ in their
patience, so only a caller with less time than the least patient fresh one has certainly
made an attempt before.

docs/CAPACITY.md has the loss without these estimates.
"""

from bisect import bisect_left, insort
from collections import deque

from attrs import Factory, define

#: Number of requests of a route that are remembered; some seconds of a busy route.
WINDOW = 64
#: Minimum number of requests of a route before its callers' patience is estimated.
MIN_SAMPLES = 3
#: Share of the requests that is ignored at either end, so that a few callers with
#: extreme times change nothing.
OUTLIER_SHARE = 0.05
#: Maximum number of routes; beyond it the oldest is removed. Routes come from the
#: rules.
MAX_ROUTES = 4096
#: Factor by which fresh callers differ more than the requests without outliers do;
#: without it one fresh caller in eleven was counted as a returning one, with it 2 of
#: 8,000.
SPREAD_MARGIN = 1.2
#: Initial difference between the patience of fresh callers, as a share of the target.
INITIAL_SPREAD_SHARE = 1.2
#: Seconds after which callers that were turned away have returned or given up.
RETURN_SECONDS = 2.0
#: Weight of a new sample of the spread while no callers return.
SPREAD_WEIGHT = 0.05
#: Weight of a new sample at any other time. Without it, callers that are new to a route
#: and have less time than its others would count as late for as long as any caller is
#: turned away.
CROWDED_SPREAD_WEIGHT = 0.0003


@define
class RoutePatience:
    """The times that callers of one route stated lately, in seconds."""

    spread: float
    stated: deque[float] = Factory(deque)
    ordered: list[float] = Factory(list)

    def add(self, seconds: float) -> None:
        """Add a time, and drop the oldest beyond the window."""
        if len(self.stated) == WINDOW:
            del self.ordered[bisect_left(self.ordered, self.stated.popleft())]
        self.stated.append(seconds)
        insort(self.ordered, seconds)

    def quantile(self, share: float) -> float:
        """Return the time below which a share of the requests lies."""
        return self.ordered[round(share * (len(self.ordered) - 1))]

    def update_spread(self, weight: float) -> None:
        """Update the spread between fresh callers from the times in the window."""
        inner_range = self.quantile(1 - OUTLIER_SHARE) - self.quantile(OUTLIER_SHARE)
        self.spread += weight * (SPREAD_MARGIN * inner_range - self.spread)

    def spent(self, seconds: float) -> float:
        """Return the seconds that a caller with so much remaining time has used up.

        The result is 0 if the caller may be a fresh one, else the seconds that a caller
        of medium patience would have used up.
        """
        most = self.quantile(1 - OUTLIER_SHARE)
        if seconds >= most - self.spread:
            return 0.0
        return most - self.spread / 2 - seconds


@define
class SpentTimes:
    """How long callers of each route had waited when their requests arrived."""

    #: Time at which a caller that may return was last turned away. Its first value is
    #: the start, as this instance has no record of callers that were turned away
    #: before.
    last_unanswered_at: float
    patience_by_route: dict[str, RoutePatience] = Factory(dict)

    def record_unanswered(self, now: float) -> None:
        """Record that a caller got no answer and may return."""
        self.last_unanswered_at = now

    def observe(self, route: str, stated: float, target: float, now: float) -> float:
        """Record a caller's remaining time and return what the caller has used up.

        The result is in seconds, and 0 if it is unknown.
        """
        patience = self.patience_by_route.get(route)
        if patience is None:
            patience = self._add_route(route, target)
        patience.add(stated)
        if len(patience.stated) < MIN_SAMPLES:
            return 0.0
        are_all_fresh = now - self.last_unanswered_at > RETURN_SECONDS
        patience.update_spread(
            SPREAD_WEIGHT if are_all_fresh else CROWDED_SPREAD_WEIGHT
        )
        return patience.spent(stated)

    def _add_route(self, route: str, target: float) -> RoutePatience:
        if len(self.patience_by_route) >= MAX_ROUTES:
            del self.patience_by_route[next(iter(self.patience_by_route))]
        patience = RoutePatience(INITIAL_SPREAD_SHARE * target)
        self.patience_by_route[route] = patience
        return patience

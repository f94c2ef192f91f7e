"""Estimate how long a caller has been waiting before its request came here.

Load: a crowd of callers that were refused, or found no instance, comes back among
fresh ones. Its answers can no longer be in time, since the target counts from the
first attempt. A request tells how long its caller still waits, and no more; a caller
that asks again has less time than one that asks for the first time. Callers differ in
their patience, so only one with less time than the least patient fresh one is known to
have asked before.

While more is asked than servers can answer this is worth 0.029 of what the overload
benchmark weighs, and 0.011 after the loss of all instances (6 seeds each).
"""

from bisect import bisect_left, insort
from collections import deque

from attrs import Factory, define

#: Requests of a route that are remembered; some seconds of a busy route.
WINDOW = 64
#: Before so many requests of a route nothing is known of its callers' patience.
LEAST_SAMPLES = 3
#: At either end this share of the requests is left out, so that a few callers with
#: absurd times change nothing.
OUTLIER_SHARE = 0.05
#: Routes come from the rules; of more than this the one known longest is forgotten.
MAX_ROUTES = 4096
#: Fresh callers differ by so much more than what is left of them; without it one
#: fresh caller in eleven was taken for one that asked before, with it 2 of 8,000.
WIDER = 1.2
#: Until the patience of fresh callers is known it is taken to differ by this share of
#: the target.
FIRST_SPREAD_SHARE = 1.2
#: Callers that were turned away are back or gone after so long.
CALM_SECONDS = 2.0
#: What a calm moment tells of the spread replaces so much of what was known.
SPREAD_WEIGHT = 0.05
#: And any moment so much: else callers that are new to a route, and have less time than
#: its others, would count as late for as long as anybody is turned away.
CROWD_WEIGHT = 0.0003


@define
class RoutePatience:
    """The times that callers of one route lately gave, in seconds."""

    spread: float
    given: deque[float] = Factory(deque)
    ordered: list[float] = Factory(list)

    def add(self, seconds: float) -> None:
        """Remember a time, and forget the oldest."""
        if len(self.given) == WINDOW:
            del self.ordered[bisect_left(self.ordered, self.given.popleft())]
        self.given.append(seconds)
        insort(self.ordered, seconds)

    def quantile(self, share: float) -> float:
        """Return the time below which a share of the requests lies."""
        return self.ordered[round(share * (len(self.ordered) - 1))]

    def learn_spread(self, weight: float) -> None:
        """Take the differences between callers as those between fresh ones."""
        middle = self.quantile(1 - OUTLIER_SHARE) - self.quantile(OUTLIER_SHARE)
        self.spread += weight * (WIDER * middle - self.spread)

    def spent(self, seconds: float) -> float:
        """Return the seconds that a caller with so much time has used up.

        0 if it may be a fresh one; else as a caller of middling patience would have.
        """
        most = self.quantile(1 - OUTLIER_SHARE)
        if seconds >= most - self.spread:
            return 0.0
        return most - self.spread / 2 - seconds


@define
class SpentTimes:
    """How long callers of each route had been waiting when their request came."""

    #: When somebody was last turned away who may come back; at first the start, as
    #: nobody here knows who was turned away before.
    turned_away_at: float
    patience_by_route: dict[str, RoutePatience] = Factory(dict)

    def turned_away(self, now: float) -> None:
        """Note that a caller got no answer and may come back."""
        self.turned_away_at = now

    def observe(self, route: str, given: float, target: float, now: float) -> float:
        """Take a caller's time; return what it has used up, 0 if that is unknown."""
        patience = self.patience_by_route.get(route)
        if patience is None:
            patience = self._begin(route, target)
        patience.add(given)
        if len(patience.given) < LEAST_SAMPLES:
            return 0.0
        is_calm = now - self.turned_away_at > CALM_SECONDS
        patience.learn_spread(SPREAD_WEIGHT if is_calm else CROWD_WEIGHT)
        return patience.spent(given)

    def _begin(self, route: str, target: float) -> RoutePatience:
        if len(self.patience_by_route) >= MAX_ROUTES:
            del self.patience_by_route[next(iter(self.patience_by_route))]
        patience = RoutePatience(FIRST_SPREAD_SHARE * target)
        self.patience_by_route[route] = patience
        return patience

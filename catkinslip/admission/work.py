"""Estimates of how long the requests of each route take on an idle server.

Load: kinds of request with very different work share the servers of a service, and
whether an answer can be in time depends on the work of its own kind.
"""

from attrs import Factory, define

#: Weight of one answer in the estimate; some 20 answers replace an earlier estimate.
WORK_WEIGHT = 0.05
#: Initial estimate of a route's work, as a share of its target.
INITIAL_WORK_SHARE = 0.4
#: Maximum sample that one answer counts as, as a multiple of the estimate.
MAX_GROWTH = 3.0


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
        """Return the seconds until an answer; the delay is in multiples of the work."""
        known = self.time_by_route.get(route)
        seconds = INITIAL_WORK_SHARE * target if known is None else known.seconds
        return delay * seconds

    def record(self, route: str, latency: float, delay: float, target: float) -> None:
        """Update the estimate from an answer to a request with an expected delay."""
        known = self.time_by_route.get(route)
        if known is None:
            known = WorkTime(INITIAL_WORK_SHARE * target)
            self.time_by_route[route] = known
        # A server that slowed down meanwhile indicates little about the route's work.
        sample = min(latency / max(1.0, delay), known.seconds * MAX_GROWTH)
        known.samples += 1
        weight = max(1 / known.samples, WORK_WEIGHT)
        known.seconds += (sample - known.seconds) * weight

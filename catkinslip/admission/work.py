"""Learn how long the requests of each route take on an idle server.

Load: kinds of very different work share the servers of a service, and whether an answer
can be in time follows from the work of its own kind.
"""

from attrs import Factory, define

#: One answer replaces so much of what was known; some 20 answers tell a new work.
WORK_WEIGHT = 0.05
#: Share of a route's target that its work is taken for at first.
FIRST_WORK_SHARE = 0.4
#: One answer counts as at most so many times of the work known.
MOST_GROWTH = 3.0


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

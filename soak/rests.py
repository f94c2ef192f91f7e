"""Servers that reject all requests and ask for rest periods, beside other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import define

from soak.callers import Callers
from soak.world import World
from standins.workers import Fault, RefusedRequest

RESTS = (b'1', b'2', b'3.5')
SPAN_SECONDS = (2.0, 5.0)
PAUSE_SECONDS = (0.3, 1.5)
#: Seconds after the start of a rest period in which requests do not count, because
#: they were in flight when the server asked for it.
IN_FLIGHT_SECONDS = 0.5
MAX_IN_REST = 2


@define
class RestPlayer:
    """Player that lets servers in turn reject all requests and ask for rest."""

    world: World
    random: Random
    callers: Callers

    async def run(self, seconds: float) -> None:
        """Play rest periods for some seconds; no server rests afterwards."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            worker = self.random.choice(list(self.world.worker_by_id.values()))
            worker.fault, worker.rest = Fault.SHED, self.random.choice(RESTS)
            await trio.sleep(self.random.uniform(*SPAN_SECONDS))
            worker.fault, worker.rest = Fault.NONE, None

    def violations(self) -> Iterator[str]:
        """Yield a violation for each rest period in which an instance sent too much."""
        instance_by_id = {it.request_id: it.instance for it in self.callers.requests}
        for server_id, worker in self.world.worker_by_id.items():
            arrivals = [(at, instance_by_id.get(name)) for at, name in worker.arrivals]
            for rejection in worker.refused_requests:
                if self._is_excused(server_id, rejection):
                    continue
                instance = instance_by_id.get(rejection.request_id)
                since, until = (
                    rejection.at + IN_FLIGHT_SECONDS,
                    rejection.at + rejection.seconds,
                )
                count = sum(
                    since < at < until and it == instance for at, it in arrivals
                )
                if count > MAX_IN_REST:
                    yield f'{server_id}: {count} requests in a rest from {instance}'

    def _is_excused(self, server_id: str, rejection: RefusedRequest) -> bool:
        """Return whether a lost answer or a restarted instance excuses requests."""
        link = self.world.link_by_worker[server_id]
        until = rejection.at + rejection.seconds
        return link.was_faulty(rejection.at, until) or any(
            began < until and rejection.at < ended
            for began, ended in self.world.restarts
        )

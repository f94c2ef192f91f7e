"""Servers that turn all away and ask for rest, beside all other faults."""

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
#: What was on its way as a server asked does not count.
ON_THE_WAY_SECONDS = 0.5
MOST_IN_REST = 2


@define
class RestPlayer:
    """Let one server after the other turn all away for a while, and ask for rest."""

    world: World
    random: Random
    callers: Callers

    async def run(self, seconds: float) -> None:
        """Play for some seconds; all servers take requests again then."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            worker = self.random.choice(list(self.world.worker_by_id.values()))
            worker.fault, worker.rest = Fault.SHED, self.random.choice(RESTS)
            await trio.sleep(self.random.uniform(*SPAN_SECONDS))
            worker.fault, worker.rest = Fault.NONE, None

    def broken(self) -> Iterator[str]:
        """Yield what servers got from instances that they had asked for rest."""
        instance_by_id = {it.request_id: it.instance for it in self.callers.requests}
        for server_id, worker in self.world.worker_by_id.items():
            came = [(at, instance_by_id.get(name)) for at, name in worker.arrivals]
            for asked in worker.refused_requests:
                if self._is_excused(server_id, asked):
                    continue
                instance = instance_by_id.get(asked.request_id)
                since, until = asked.at + ON_THE_WAY_SECONDS, asked.at + asked.seconds
                most = sum(since < at < until and it == instance for at, it in came)
                if most > MOST_IN_REST:
                    yield f'{server_id} got {most} requests in a rest from {instance}'

    def _is_excused(self, server_id: str, asked: RefusedRequest) -> bool:
        """Tell whether the instance may not have been told, or started since."""
        link = self.world.link_by_worker[server_id]
        until = asked.at + asked.seconds
        return link.was_faulty(asked.at, until) or any(
            began < until and asked.at < ended for began, ended in self.world.restarts
        )

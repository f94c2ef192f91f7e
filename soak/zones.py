"""Zones that are emptied and servers that turn cold, beside all other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import Factory, define, frozen

from soak.world import World

ZONE = 'zone-b'
#: Later than this after it was written an evacuation must be obeyed.
BOUND_SECONDS = 5.0
EVACUATED_SECONDS = (6.0, 9.0)
PAUSE_SECONDS = (0.3, 1.5)
COLD_SECONDS = 3.0
#: A paused instance or a store that is away excuses for so long after it, too.
STABLE_SECONDS = 3.0


@frozen
class Evacuation:
    """A zone that was emptied for a while; times are those of the loop."""

    began: float
    ended: float


@define
class ZonePlayer:
    """Empty a zone, take it back cold, and turn single servers cold."""

    world: World
    random: Random
    evacuations: list[Evacuation] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Play for some seconds, and leave no zone empty."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            self._chill(self.random.sample(sorted(self.world.worker_by_id), 1))
            began = trio.current_time()
            self.world.store.put('evacuations', ZONE, {})
            await trio.sleep(self.random.uniform(*EVACUATED_SECONDS))
            self._chill(self.world.zone_workers(ZONE))
            self.world.store.remove('evacuations', ZONE)
            self.evacuations.append(Evacuation(began, trio.current_time()))

    def _chill(self, names: list[str]) -> None:
        for name in names:
            self.world.worker_by_id[name].turn_cold(COLD_SECONDS)

    def broken(self) -> Iterator[str]:
        """Yield what servers got that they must not get."""
        for name, worker in self.world.worker_by_id.items():
            most = worker.max_cold_arrivals()
            if most > self.world.cold_bound:
                yield f'{name} got {most} requests in a second while it was cold'
        for evacuation in self.evacuations:
            since = evacuation.began + BOUND_SECONDS
            if self.world.was_disturbed(evacuation.began, evacuation.ended):
                continue
            for name in self.world.zone_workers(ZONE):
                came = self.world.worker_by_id[name].arrived_at
                late = sum(since < at < evacuation.ended for at in came)
                if late:
                    yield f'{name} got {late} requests while {ZONE} was evacuated'

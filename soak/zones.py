"""Zones that are evacuated and servers that turn cold, beside other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import Factory, define, frozen

from soak.world import World

ZONE = 'zone-b'
#: Seconds after an evacuation was written from which instances must obey it.
BOUND_SECONDS = 5.0
EVACUATED_SECONDS = (6.0, 9.0)
PAUSE_SECONDS = (0.3, 1.5)
COLD_SECONDS = 3.0
#: Seconds for which a disturbance still excuses instances after it has ended.
STABLE_SECONDS = 3.0


@frozen
class Evacuation:
    """The start and end of one zone evacuation; times are those of the trio clock."""

    began: float
    ended: float


@define
class ZonePlayer:
    """Player that evacuates a zone, brings its servers back cold, and cools others."""

    world: World
    random: Random
    evacuations: list[Evacuation] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Evacuate the zone repeatedly for some seconds; leave it in use."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            self._turn_cold(self.random.sample(sorted(self.world.worker_by_id), 1))
            began = trio.current_time()
            self.world.store.put('evacuations', ZONE, {})
            await trio.sleep(self.random.uniform(*EVACUATED_SECONDS))
            self._turn_cold(self.world.zone_workers(ZONE))
            self.world.store.remove('evacuations', ZONE)
            self.evacuations.append(Evacuation(began, trio.current_time()))

    def _turn_cold(self, names: list[str]) -> None:
        for name in names:
            self.world.worker_by_id[name].turn_cold(COLD_SECONDS)

    def violations(self) -> Iterator[str]:
        """Yield a violation for each server that got requests beyond the limits."""
        for name, worker in self.world.worker_by_id.items():
            count = worker.max_cold_arrivals()
            if count > self.world.cold_bound:
                yield f'{name} got {count} requests in a second while it was cold'
        for evacuation in self.evacuations:
            since = evacuation.began + BOUND_SECONDS
            if self.world.was_disturbed(evacuation.began, evacuation.ended):
                continue
            for name in self.world.zone_workers(ZONE):
                arrivals = self.world.worker_by_id[name].arrived_at
                late = sum(since < at < evacuation.ended for at in arrivals)
                if late:
                    yield f'{name} got {late} requests while {ZONE} was evacuated'

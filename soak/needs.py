"""Servers that name the rate that they take, beside all other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import Factory, define, frozen

from soak.world import World
from standins.workers import max_within

WINDOW_SECONDS = 4.0
#: From so long after the first naming the bound holds.
STABLE_SECONDS = 3.0
NEED_SECONDS = (6.0, 12.0)
PAUSE_SECONDS = (0.3, 1.5)
RATES = (b'0.1', b'0.5', b'1', b'1.2', b'3')
#: In need at the same time.
MOST_IN_NEED = 3


@frozen
class Need:
    """A span in which a server named rates; times are those of the loop."""

    server_id: str
    began: float
    ended: float
    most_per_second: float

    @property
    def bound(self) -> float:
        """Return the requests that the server gets in any window."""
        return 1.5 * self.most_per_second * WINDOW_SECONDS + 5


@define
class NeedPlayer:
    """Let some servers name rates, change them, and end their need."""

    world: World
    random: Random
    needs: list[Need] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Play for some seconds; all needs end then."""
        async with trio.open_nursery() as nursery:
            for _ in range(MOST_IN_NEED):
                nursery.start_soon(self._play, trio.current_time() + seconds)

    async def _play(self, end: float) -> None:
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            workers = self.world.worker_by_id
            free = [name for name, it in workers.items() if it.advertised_rate is None]
            await self._need(self.random.choice(free))

    async def _need(self, server_id: str) -> None:
        worker = self.world.worker_by_id[server_id]
        worker.is_rate_in_all_answers = self.random.random() < 0.5
        rates = self.random.sample(RATES, 2)
        began = trio.current_time()
        for rate in rates:
            worker.advertised_rate = rate
            await trio.sleep(self.random.uniform(*NEED_SECONDS) / 2)
        worker.advertised_rate = None
        most = max(map(float, rates))
        self.needs.append(Need(server_id, began, trio.current_time(), most))

    def broken(self) -> Iterator[str]:
        """Yield which servers got more than their bound."""
        for need in self.needs:
            worker = self.world.worker_by_id[need.server_id]
            since = need.began + STABLE_SECONDS
            came = [at for at in worker.arrived_at if since <= at < need.ended]
            # What an instance sends that started or woke just then is excused.
            came = [at for at in came if not self.world.was_restarted(at)]
            most = max_within(WINDOW_SECONDS, came)
            if most > need.bound:
                yield (
                    f'{need.server_id} got {most} requests in {WINDOW_SECONDS:g} s '
                    f'while it named {need.most_per_second:g} a second at most'
                )

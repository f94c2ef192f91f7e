"""Servers that advertise the request rate that they accept, beside other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import Factory, define, frozen

from soak.world import World
from standins.workers import max_within

WINDOW_SECONDS = 4.0
#: Seconds after the first advertised rate from which the bound holds.
STABLE_SECONDS = 3.0
THROTTLED_SECONDS = (6.0, 12.0)
PAUSE_SECONDS = (0.3, 1.5)
RATES = (b'0.1', b'0.5', b'1', b'1.2', b'3')
#: Number of servers that are throttled at the same time.
MAX_THROTTLED = 3


@frozen
class ThrottledSpan:
    """A span in which a server advertised rates; times are those of the trio clock."""

    server_id: str
    began: float
    ended: float
    most_per_second: float

    @property
    def bound(self) -> float:
        """Return the maximum number of requests for the server in any window."""
        return 1.5 * self.most_per_second * WINDOW_SECONDS + 5


@define
class ThrottlePlayer:
    """Player that lets some servers advertise rates, change them and withdraw them."""

    world: World
    random: Random
    throttled_spans: list[ThrottledSpan] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Throttle servers for some seconds, then withdraw all advertised rates."""
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_THROTTLED):
                nursery.start_soon(self._play, trio.current_time() + seconds)

    async def _play(self, end: float) -> None:
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            workers = self.world.worker_by_id
            free = [name for name, it in workers.items() if it.advertised_rate is None]
            await self._throttle(self.random.choice(free))

    async def _throttle(self, server_id: str) -> None:
        worker = self.world.worker_by_id[server_id]
        worker.is_rate_in_all_answers = self.random.random() < 0.5
        rates = self.random.sample(RATES, 2)
        began = trio.current_time()
        for rate in rates:
            worker.advertised_rate = rate
            await trio.sleep(self.random.uniform(*THROTTLED_SECONDS) / 2)
        worker.advertised_rate = None
        most = max(map(float, rates))
        self.throttled_spans.append(
            ThrottledSpan(server_id, began, trio.current_time(), most)
        )

    def violations(self) -> Iterator[str]:
        """Yield a violation for each server that got more requests than its bound."""
        for span in self.throttled_spans:
            worker = self.world.worker_by_id[span.server_id]
            since = span.began + STABLE_SECONDS
            arrivals = [at for at in worker.arrived_at if since <= at < span.ended]
            # Requests from an instance that has just started or resumed are excused.
            arrivals = [at for at in arrivals if not self.world.was_restarted(at)]
            most = max_within(WINDOW_SECONDS, arrivals)
            if most > span.bound:
                yield (
                    f'{span.server_id} got {most} requests in {WINDOW_SECONDS:g} s '
                    f'while it advertised at most {span.most_per_second:g} a second'
                )

"""Start hedges when their time has come, without a task for each call."""

from abc import ABC, abstractmethod
from heapq import heappop, heappush
from itertools import count
from math import inf

import trio
from attrs import Factory, define, field

# A hedge may start so much late; most calls end before their hedge is due, and
# waking for each of them would cost more than the call's other timers together.
TICK_SECONDS = 0.002


class Hedge(ABC):
    """A second attempt that may start beside the first."""

    is_over: bool = False

    @abstractmethod
    async def run(self) -> None:
        """Start the second attempt, or ask for another time."""


@define
class HedgeTimer:
    """Run each hedge after its delay, or a tick later, unless its call ended before."""

    heap: list[tuple[float, int, Hedge]] = Factory(list)
    numbers: count = Factory(count)
    earlier: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)
    wakes_at: float = inf

    def add(self, delay: float, hedge: Hedge) -> None:
        """Run a hedge after some seconds."""
        due = trio.current_time() + delay
        heappush(self.heap, (due, next(self.numbers), hedge))
        if due + TICK_SECONDS < self.wakes_at:
            self.earlier.unpark_all()

    async def run(self) -> None:
        """Run hedges until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait()
                now = trio.current_time()
                while self.heap and self.heap[0][0] <= now:
                    hedge = heappop(self.heap)[2]
                    if not hedge.is_over:
                        nursery.start_soon(hedge.run)

    async def _wait(self) -> None:
        self.wakes_at = inf
        if self.heap:
            self.wakes_at = max(self.heap[0][0], trio.current_time() + TICK_SECONDS)
        with trio.move_on_at(self.wakes_at):
            await self.earlier.park()

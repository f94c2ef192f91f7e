"""A timer that starts hedges when they are due, without a task for each call."""

from abc import ABC, abstractmethod
from heapq import heappop, heappush
from itertools import count
from math import inf

import trio
from attrs import Factory, define, field

# The most that a hedge may start late. Most calls end before their hedge is due, and
# a wake-up for each of them would cost more than the call's other timers together.
TICK_SECONDS = 0.002


class Hedge(ABC):
    """A second attempt that may start while the first is running."""

    is_over: bool = False

    @abstractmethod
    async def run(self) -> None:
        """Start the second attempt, or reschedule the hedge."""


@define
class HedgeTimer:
    """A timer that runs each due hedge within a tick, unless its call is over."""

    heap: list[tuple[float, int, Hedge]] = Factory(list)
    numbers: count = Factory(count)
    earlier_due: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)
    wakes_at: float = inf

    def add(self, delay: float, hedge: Hedge) -> None:
        """Schedule a hedge after a delay in seconds."""
        due = trio.current_time() + delay
        heappush(self.heap, (due, next(self.numbers), hedge))
        if due + TICK_SECONDS < self.wakes_at:
            self.earlier_due.unpark_all()

    async def run(self) -> None:
        """Run the hedges that are due, until cancelled."""
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
            await self.earlier_due.park()

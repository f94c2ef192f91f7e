"""Start hedges when their time has come, without a task for each call."""

from abc import ABC, abstractmethod
from heapq import heappop, heappush
from itertools import count

import trio
from attrs import Factory, define, field


class Hedge(ABC):
    """A second attempt that may start beside the first."""

    is_over: bool = False

    @abstractmethod
    async def run(self) -> None:
        """Start the second attempt, or ask for another time."""


@define
class HedgeTimer:
    """Run each hedge after its delay unless its call ended before."""

    heap: list[tuple[float, int, Hedge]] = Factory(list)
    numbers: count = Factory(count)
    earlier: trio.lowlevel.ParkingLot = field(factory=trio.lowlevel.ParkingLot)

    def add(self, delay: float, hedge: Hedge) -> None:
        """Run a hedge after some seconds."""
        entry = (trio.current_time() + delay, next(self.numbers), hedge)
        heappush(self.heap, entry)
        if self.heap[0] is entry:
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
        due = self.heap[0][0] if self.heap else float('inf')
        with trio.move_on_at(due):
            await self.earlier.park()

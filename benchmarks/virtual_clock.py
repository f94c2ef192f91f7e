"""A clock that jumps from event to event."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

from attrs import Factory, define


@define(eq=False, kw_only=True)
class VirtualClock:
    """Run actions in the order of their times, in seconds."""

    now: float = 0.0
    heap: list[tuple[float, int, Callable, Any]] = Factory(list)
    order: count = Factory(count)

    def after(self, delay: float, action: Callable[[Any], None], subject: Any) -> None:
        """Run an action later."""
        heappush(self.heap, (self.now + delay, next(self.order), action, subject))

    def run_all(self) -> None:
        """Run every action, those too that are ordered meanwhile."""
        while self.heap:
            self.now, _, action, subject = heappop(self.heap)
            action(subject)

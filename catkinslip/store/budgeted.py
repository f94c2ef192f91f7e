"""An object store that keeps its calls within a budget."""

from collections.abc import Callable

import trio
from attrs import define
from returns.result import Failure, Result

from catkinslip.clock import Clock
from catkinslip.store.base import OverBudget, PlatformError
from catkinslip.store.budget import TokenBucket, share_of
from catkinslip.store.wrapped import Answer, Send, WrappedStore

#: Time that a call waits for its turn before it is given up.
MAX_WAIT_SECONDS = 2.0


@define
class BudgetedStore(WrappedStore):
    """Let calls through as the budget allows; a waiting watch is one call."""

    clock: Clock
    #: Calls per second of the whole system.
    budget: float
    #: Instances that may run at once.
    most_instances: int
    count_instances: Callable[[], int]
    bucket: TokenBucket

    async def _call(
        self, operation: str, send: Send[Answer]
    ) -> Result[Answer, PlatformError]:
        end = self.clock.monotonic() + MAX_WAIT_SECONDS
        while True:
            delay = self._take()
            if delay == 0.0:
                return await send()
            if self.clock.monotonic() + delay > end:
                return Failure(OverBudget(delay))
            await trio.sleep(delay)

    def _take(self) -> float:
        now = self.clock.monotonic()
        share = share_of(self.budget, self.most_instances, self.count_instances())
        self.bucket.set_rate(share, now)
        return self.bucket.take(now)

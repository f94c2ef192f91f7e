"""Object store that keeps its calls within a budget."""

from collections.abc import Callable

import trio
from attrs import define
from returns.result import Failure, Result

from catkinslip.clock import Clock
from catkinslip.store.base import OverBudget, PlatformError
from catkinslip.store.budget import TokenBucket, share_of
from catkinslip.store.wrapped import Answer, Send, WrappedStore

#: Maximum number of seconds for which a call waits for the budget.
MAX_WAIT_SECONDS = 2.0


@define
class BudgetedStore(WrappedStore):
    """Object store that sends calls within a budget; a watch counts as one call."""

    clock: Clock
    #: Budget of the whole system, in calls per second.
    budget: float
    #: Maximum number of instances that may run at once.
    max_instances: int
    #: Returns the number of instances that this instance sees.
    count_instances: Callable[[], int]
    bucket: TokenBucket

    async def _call(
        self, operation: str, send: Send[Answer]
    ) -> Result[Answer, PlatformError]:
        end = self.clock.monotonic() + MAX_WAIT_SECONDS
        while True:
            delay = self._take_token()
            if delay == 0.0:
                return await send()
            if self.clock.monotonic() + delay > end:
                return Failure(OverBudget(delay))
            await trio.sleep(delay)

    def _take_token(self) -> float:
        now = self.clock.monotonic()
        share = share_of(self.budget, self.max_instances, self.count_instances())
        self.bucket.set_rate(share, now)
        return self.bucket.take(now)

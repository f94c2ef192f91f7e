"""An object store that keeps its calls within a budget."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
from attrs import define
from returns.result import Failure, Result

from catkinslip.clock import Clock
from catkinslip.platform.base import (
    ListedInstance,
    ObjectKey,
    ObjectStore,
    OverBudget,
    PlatformError,
    StoredObject,
)
from catkinslip.platform.budget import TokenBucket, share_of

#: Time that a call waits for its turn before it is given up.
MAX_WAIT_SECONDS = 2.0

Answer = TypeVar('Answer')


@define
class BudgetedStore(ObjectStore):
    """Let calls through as the budget allows; a waiting watch is one call."""

    store: ObjectStore
    clock: Clock
    #: Calls per second of the whole system.
    budget: float
    #: Instances that may run at once.
    most_instances: int
    count_instances: Callable[[], int]
    bucket: TokenBucket

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Read an object; None when there is none."""
        return await self._call(lambda: self.store.read(key))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if it has the version; 0 means there is none."""
        return await self._call(lambda: self.store.write(key, value, expected_version))

    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""
        return await self._call(lambda: self.store.delete(key))

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once it has another version, or after `wait` seconds."""
        return await self._call(
            lambda: self.store.wait_for_change(key, known_version, wait)
        )

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the lagging list of live and leaving instances."""
        return await self._call(self.store.list_instances)

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Put this instance on the list, or mark it as leaving."""
        return await self._call(lambda: self.store.announce(instance))

    async def _call(
        self, send: Callable[[], Awaitable[Result[Answer, PlatformError]]]
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

"""Count the calls of the platform, a waiting watch as one."""

from collections.abc import Awaitable, Iterable
from typing import Any, TypeVar

from attrs import Factory, define
from returns.result import Failure, Result

from catkinslip.metrics.base import Family, MetricSource, counter
from catkinslip.platform.base import (
    ListedInstance,
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
)

Value = TypeVar('Value')

ANSWERED = 'answered'


@define
class CountedStore(ObjectStore, MetricSource):
    """Pass calls on to a store and count them by operation and outcome."""

    store: ObjectStore
    count_by_call: dict[tuple[str, str], int] = Factory(dict)

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Read an object; None when there is none."""
        return await self._count('read', self.store.read(key))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if it has the version; 0 means there is none."""
        call = self.store.write(key, value, expected_version)
        return await self._count('write', call)

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once it has another version, or after `wait` seconds."""
        call = self.store.wait_for_change(key, known_version, wait)
        return await self._count('watch', call)

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the lagging list of live and leaving instances."""
        return await self._count('list', self.store.list_instances())

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Put this instance on the list, or mark it as leaving."""
        return await self._count('announce', self.store.announce(instance))

    def families(self) -> Iterable[Family]:
        """Return the measured values of now."""
        family = counter(
            'catkinslip_platform_calls_total',
            'Calls of the platform; over-budget ones were not sent.',
            'operation',
            'outcome',
        )
        for (operation, outcome), count in sorted(self.count_by_call.items()):
            family.add(count, operation, outcome)
        yield family

    async def _count(
        self, operation: str, call: Awaitable[Result[Value, PlatformError]]
    ) -> Result[Value, PlatformError]:
        result = await call
        outcome = ANSWERED
        if isinstance(result, Failure):
            outcome = type(result.failure()).__name__
        counted = (operation, outcome)
        self.count_by_call[counted] = self.count_by_call.get(counted, 0) + 1
        return result

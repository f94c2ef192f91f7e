"""Object store that passes each call on to another one."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from attrs import define
from returns.result import Result

from catkinslip.store.base import (
    ListedInstance,
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
)

#: Type of the value that an operation returns.
Answer = TypeVar('Answer')
#: Function that sends one call to the wrapped store.
Send = Callable[[], Awaitable[Result[Answer, PlatformError]]]


@define
class WrappedStore(ObjectStore):
    """Object store that passes calls on; subclasses add to each call in `_call`."""

    store: ObjectStore

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if there is none."""
        return await self._call('read', lambda: self.store.read(key))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if its version is the expected one; 0 means none exists."""
        return await self._call(
            'write', lambda: self.store.write(key, value, expected_version)
        )

    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""
        return await self._call('delete', lambda: self.store.delete(key))

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once its version changes, or None after `wait` seconds."""
        return await self._call(
            'watch', lambda: self.store.wait_for_change(key, known_version, wait)
        )

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the platform's lagging list of live and leaving instances."""
        return await self._call('list', self.store.list_instances)

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Add this instance to the platform's list, or mark it as leaving."""
        return await self._call('announce', lambda: self.store.announce(instance))

    @abstractmethod
    async def _call(
        self, operation: str, send: Send[Answer]
    ) -> Result[Answer, PlatformError]:
        """Send one call of a named operation and return its result."""

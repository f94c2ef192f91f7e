"""Object store inside one process, for a daemon without a platform."""

from typing import Any

import trio
from attrs import Factory, define
from returns.result import Failure, Result, Success

from catkinslip.store.base import (
    Conflict,
    ListedInstance,
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
)


@define
class EmbeddedStore(ObjectStore):
    """Object store that holds its objects in memory."""

    object_by_key: dict[ObjectKey, StoredObject] = Factory(dict)
    instance_by_name: dict[str, ListedInstance] = Factory(dict)
    #: Set at the next change of any object, and then replaced.
    changed: trio.Event = Factory(trio.Event)

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if there is none."""
        return Success(self.object_by_key.get(key))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if its version is the expected one; 0 means none exists."""
        found = self.object_by_key.get(key)
        version = found.version if found else 0
        if version != expected_version:
            return Failure(Conflict(version))
        stored = StoredObject(key, version + 1, value)
        self.object_by_key[key] = stored
        self._notify_watchers()
        return Success(stored)

    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""
        self.object_by_key.pop(key, None)
        return Success(None)

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once its version changes, or None after `wait` seconds."""
        with trio.move_on_after(wait):
            while True:
                found = self.object_by_key.get(key)
                if found and found.version != known_version:
                    return Success(found)
                await self.changed.wait()
        return Success(None)

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the platform's lagging list of live and leaving instances."""
        return Success(list(self.instance_by_name.values()))

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Add this instance to the platform's list, or mark it as leaving."""
        self.instance_by_name[instance.name] = instance
        return Success(None)

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

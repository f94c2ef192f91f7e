"""An object store in which a replay triggers the effects and answers of writes."""

from typing import Any

import trio
from attrs import Factory, define
from returns.result import Failure, Result

from catkinslip.store.base import (
    AnswerLost,
    ObjectKey,
    PlatformError,
    StoredObject,
    Unavailable,
)
from catkinslip.store.embedded import EmbeddedStore


@define(eq=False)
class PendingWrite:
    """A write in flight, which may take effect late, twice or never."""

    key: ObjectKey
    value: Any
    expected_version: int
    answered: trio.Event = Factory(trio.Event)


@define(eq=False)
class SteppedStore(EmbeddedStore):
    """A store that holds back writes of one kind of object and loses their answers."""

    held_kind: str = ''
    is_down: bool = False
    pending: list[PendingWrite] = Factory(list)

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        if self.is_down:
            return Failure(Unavailable('down'))
        return await EmbeddedStore.read(self, key)

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object, or hold the write back until the replay applies it."""
        if key.kind != self.held_kind:
            return await EmbeddedStore.write(self, key, value, expected_version)
        write = PendingWrite(key, value, expected_version)
        self.pending.append(write)
        await write.answered.wait()
        return Failure(AnswerLost('held back'))

    async def apply(self, write: PendingWrite) -> None:
        """Apply a held-back write to the store."""
        await EmbeddedStore.write(self, write.key, write.value, write.expected_version)

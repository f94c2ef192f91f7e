"""What the system asks of the platform."""

from abc import ABC, abstractmethod
from typing import Any

from attrs import frozen
from returns.result import Result


@frozen
class ObjectKey:
    """Kind and name of an object."""

    kind: str
    name: str


@frozen
class StoredObject:
    """An object as the platform holds it."""

    key: ObjectKey
    version: int
    value: Any


@frozen
class Conflict:
    """The object had another version, so nothing was written."""

    version: int


@frozen
class Unavailable:
    """The platform did not take the call."""

    reason: str


@frozen
class AnswerLost:
    """No answer came, so a write may or may not have taken effect."""

    reason: str


@frozen
class OverBudget:
    """The call was not sent because the budget of calls is spent."""

    retry_after: float


PlatformError = Conflict | Unavailable | AnswerLost | OverBudget


@frozen
class ListedInstance:
    """One line of the platform's lagging list of instances."""

    name: str
    zone: str
    address: str
    control_address: str
    leaving: bool


class ObjectStore(ABC):
    """Read, write and watch versioned objects."""

    @abstractmethod
    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Read an object; None when there is none."""

    @abstractmethod
    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if it has the version; 0 means there is none."""

    @abstractmethod
    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""

    @abstractmethod
    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once it has another version, or after `wait` seconds."""

    @abstractmethod
    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the lagging list of live and leaving instances."""

    @abstractmethod
    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Put this instance on the list, or mark it as leaving."""

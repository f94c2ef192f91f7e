"""Interface to the platform's object store and list of instances."""

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
    """Object as the platform holds it."""

    key: ObjectKey
    version: int
    value: Any


@frozen
class Conflict:
    """Error of a write that was not done because the object had another version."""

    #: Version that the store holds; 0 if it is not known or no object exists.
    version: int


@frozen
class Unavailable:
    """Error of a call that the platform did not accept or could not answer."""

    reason: str


@frozen
class AnswerLost:
    """Error of a call without an answer: a write may or may not have taken effect."""

    reason: str


@frozen
class OverBudget:
    """Error of a call that was refused or not sent as the budget of calls is spent."""

    #: Seconds until the call may be sent.
    retry_after: float


PlatformError = Conflict | Unavailable | AnswerLost | OverBudget


@frozen
class ListedInstance:
    """Entry of the platform's lagging list of instances."""

    name: str
    zone: str
    address: str
    control_address: str
    leaving: bool


class ObjectStore(ABC):
    """Store of versioned objects that can be read, written and watched."""

    @abstractmethod
    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if there is none."""

    @abstractmethod
    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if its version is the expected one; 0 means none exists."""

    @abstractmethod
    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""

    @abstractmethod
    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once its version changes, or None after `wait` seconds."""

    @abstractmethod
    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the platform's lagging list of live and leaving instances."""

    @abstractmethod
    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Add this instance to the platform's list, or mark it as leaving."""

"""What is kept of requests under which servers ended, and where."""

from abc import ABC, abstractmethod

from attrs import Factory, frozen
from returns.result import Result

from catkinslip.crashes.identity import RequestKey
from catkinslip.store.base import PlatformError


@frozen
class CrashRecord:
    """The servers that ended under one request, as all instances share it."""

    key: RequestKey
    #: Which query each of them ran, by the start of the server.
    query_by_server: dict[str, str] = Factory(dict)
    #: How often the request was let through again after a verdict.
    trials: int = 0
    #: The store's revision of it; 0 where it is not stored yet.
    revision: int = 0


class CrashStore(ABC):
    """Keep records for all instances, also for those that start later."""

    @abstractmethod
    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Read a record; None when there is none."""

    @abstractmethod
    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a record if the store holds the revision that it names."""

    @abstractmethod
    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a record if the store holds the revision that it names, or none."""

"""Records of requests during which servers crashed, and their store."""

from abc import ABC, abstractmethod

from attrs import Factory, frozen
from returns.result import Result

from catkinslip.crashes.identity import RequestKey
from catkinslip.store.base import PlatformError


@frozen
class CrashRecord:
    """Servers that crashed during one request, as shared by all instances."""

    key: RequestKey
    #: Hash of the query that each crashed server ran, by the name of its incarnation.
    query_by_server: dict[str, str] = Factory(dict)
    #: Number of times that the request was sent again after a verdict.
    trials: int = 0
    #: Revision of the record in the store; 0 if it is not stored yet.
    revision: int = 0


class CrashStore(ABC):
    """Store of crash records for all instances, including those that start later."""

    @abstractmethod
    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Return the record of a request, or None if there is none."""

    @abstractmethod
    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a record if the store holds the revision that the record names."""

    @abstractmethod
    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a record if the store holds the revision that it names, or none."""

"""What the outside store tells, and how it is asked."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from attrs import Factory, frozen
from returns.result import Result

from catkinslip.config.documents import Route, Service
from catkinslip.store.base import PlatformError


@frozen
class BackendEntry:
    """One backend server that registered itself; durations are in seconds."""

    backend_id: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    is_draining: bool = False
    #: How much longer the server stays slow after its start; None if not told yet.
    cold_seconds: float | None = None
    #: Differs at each start of the server under the same ID; 0 where it is not told.
    incarnation: int = 0


@frozen
class InstanceEntry:
    """One instance of catkinslip and its addresses, each host:port."""

    instance_id: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    #: Where it takes datagrams with load reports.
    report_address: str
    #: Processor cores that it may use.
    cores: float = 1.0


@frozen
class RuleSet:
    """The operators' newest configuration; versions only grow."""

    version: int
    services: dict[str, Service] = Factory(dict)
    routes: dict[str, Route] = Factory(dict)


@frozen
class ZoneEvacuation:
    """An operator's order that a zone's servers get nothing until it is removed."""

    zone: str


Value = TypeVar('Value')


@frozen
class Listing(Generic[Value]):
    """Every value of one kind by name, as it was at a revision of the store.

    Revisions only grow, also where the store came back from a copy (`revisions.py`).
    """

    value_by_name: dict[str, Value]
    revision: int


@frozen
class News(Generic[Value]):
    """Changes of one kind up to a revision, in order; None stands for a removal."""

    changes: tuple[tuple[str, Value | None], ...]
    revision: int


@frozen
class HistoryGone:
    """The store no longer holds the changes after a revision."""

    reason: str


class Source(ABC, Generic[Value]):
    """Read one kind of value from the outside store."""

    @abstractmethod
    async def read_all(
        self, *, may_be_stale: bool = False
    ) -> Result[Listing[Value], PlatformError]:
        """Read every value; a stale answer is cheaper and seconds old."""

    @abstractmethod
    async def wait_for_news(
        self, revision: int, wait: float
    ) -> Result[News[Value], PlatformError | HistoryGone]:
        """Return the changes after a revision, at the latest after `wait` seconds."""


class InstanceBook(ABC):
    """Where instances put themselves for the others to find."""

    @abstractmethod
    async def announce(self, entry: InstanceEntry) -> Result[None, PlatformError]:
        """Put this instance there, or replace its earlier entry."""

    @abstractmethod
    async def withdraw(self, instance_id: str) -> Result[None, PlatformError]:
        """Take an instance away."""

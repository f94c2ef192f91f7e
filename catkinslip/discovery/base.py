"""Values that the outside store holds, and the interfaces that read and write them."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from attrs import Factory, evolve, frozen
from returns.result import Result

from catkinslip.config.documents import Route, Service, Workspace
from catkinslip.store.base import PlatformError


@frozen
class BackendEntry:
    """A backend server that registered itself; durations are in seconds."""

    backend_id: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    is_draining: bool = False
    #: Remaining seconds in which the server is slow after its start; None while it has
    #: not reported them.
    cold_seconds: float | None = None
    #: Number that differs at each start of the server under the same ID; 0 if it is not
    #: reported.
    incarnation: int = 0
    #: Number of the server's report, which rises within an incarnation; 0 if it is not
    #: reported.
    sequence: int = 0


@frozen
class InstanceEntry:
    """An instance of catkinslip and its addresses, each host:port."""

    instance_id: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    #: Address to which peers send datagrams with load reports.
    report_address: str
    #: Number of processor cores that the instance may use.
    cores: float = 1.0


@frozen
class RuleSet:
    """The newest rules of the operators; versions only rise."""

    version: int
    services: dict[str, Service] = Factory(dict)
    routes: dict[str, Route] = Factory(dict)
    #: Workspaces by name; None if unknown, as an earlier program sent the rules.
    workspaces: dict[str, Workspace] | None = None

    def is_newer_than(self, other: 'RuleSet | None') -> bool:
        """Return whether these rules replace others.

        Rules of the same version replace others whose workspaces are unknown.
        """
        if other is None or self.version != other.version:
            return self.version > (other.version if other else 0)
        return other.workspaces is None and self.workspaces is not None

    def keeping_workspaces(self, other: 'RuleSet | None') -> 'RuleSet':
        """Return these rules, with the workspaces of others if these are unknown.

        Without them, all callers could send requests without a key until the store
        is read.
        """
        if self.workspaces is not None or other is None or not other.workspaces:
            return self
        return evolve(self, workspaces=other.workspaces)


@frozen
class ZoneEvacuation:
    """An operator's order to send no new requests to a zone until it is removed."""

    zone: str


Value = TypeVar('Value')


@frozen
class Listing(Generic[Value]):
    """All values of one kind by name, as they were at a revision of the store.

    Revisions only rise, also where the store was restored from a backup
    (`revisions.py`).
    """

    value_by_name: dict[str, Value]
    revision: int


@frozen
class Changes(Generic[Value]):
    """Changes of one kind up to a revision, in order; the value None is a removal."""

    changes: tuple[tuple[str, Value | None], ...]
    revision: int


@frozen
class HistoryRemoved:
    """A failure: the store no longer holds the changes after a revision."""

    reason: str


class Source(ABC, Generic[Value]):
    """A reader of one kind of value in the outside store."""

    @abstractmethod
    async def read_all(
        self, *, may_be_stale: bool = False
    ) -> Result[Listing[Value], PlatformError]:
        """Read all values; a stale answer costs less and may be some seconds old."""

    @abstractmethod
    async def wait_for_changes(
        self, revision: int, wait: float
    ) -> Result[Changes[Value], PlatformError | HistoryRemoved]:
        """Wait up to `wait` seconds for changes after a revision, and return them."""


class InstanceRegistry(ABC):
    """The registry in which instances list themselves so that others can find them."""

    @abstractmethod
    async def announce(self, entry: InstanceEntry) -> Result[None, PlatformError]:
        """Write the entry of an instance, or replace its earlier one."""

    @abstractmethod
    async def withdraw(self, instance_id: str) -> Result[None, PlatformError]:
        """Remove the entry of an instance."""

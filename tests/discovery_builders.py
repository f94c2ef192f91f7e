"""Builders of values in an outside store, and a scripted store."""

from collections.abc import Sequence

import trio
from attrs import Factory, define
from returns.result import Failure, Result, Success

from catkinslip.config.documents import Route, Service, SplitPart
from catkinslip.discovery.base import (
    BackendEntry,
    Changes,
    HistoryRemoved,
    InstanceEntry,
    Listing,
    RuleSet,
    Source,
)
from catkinslip.discovery.kinds import SharedKinds, shared_kinds
from catkinslip.store.base import Unavailable

OUTAGE = Failure(Unavailable('test'))
HISTORY_REMOVED = Failure(HistoryRemoved('test'))


def backend_entry(
    backend_id: str, service: str = 'limits', port: int = 80, **fields: object
) -> BackendEntry:
    """Return a backend server at a fixed host and the given port."""
    return BackendEntry(backend_id, service, 'zone-a', '10.0.0.1', port, 2, **fields)


def rule_set(version: int, services: Sequence[str] = ('limits',)) -> RuleSet:
    """Return rules with one route to the first service."""
    route = Route('a.example', '/a/', (SplitPart(services[0]),))
    return RuleSet(version, {name: Service() for name in services}, {'a': route})


def instance_entry(instance_id: str, zone: str = 'zone-a') -> InstanceEntry:
    """Return an instance whose addresses follow from its ID."""
    return InstanceEntry(
        instance_id,
        zone,
        'region-1',
        f'{instance_id}:80',
        f'{instance_id}:90',
        f'{instance_id}:91',
    )


def listing(revision: int, *entries: BackendEntry) -> Listing[BackendEntry]:
    """Return a listing of backend servers."""
    return Listing({each.backend_id: each for each in entries}, revision)


def changes_at(revision: int, *changes: tuple[str, BackendEntry | None]) -> Changes:
    """Return changes of backend servers up to a revision."""
    return Changes(changes, revision)


@define
class ScriptedSource(Source):
    """A source that answers as scripted and then waits forever."""

    listings: list[Result] = Factory(list)
    waits: list[Result] = Factory(list)
    calls: list[str] = Factory(list)
    waits_seconds: list[float] = Factory(list)
    ended: trio.Event = Factory(trio.Event)

    async def read_all(self, *, may_be_stale: bool = False) -> Result:
        self.calls.append('read')
        return await self._next(self.listings)

    async def wait_for_changes(self, revision: int, wait: float) -> Result:
        self.calls.append(f'wait {revision}')
        self.waits_seconds.append(wait)
        return await self._next(self.waits)

    async def _next(self, script: list[Result]) -> Result:
        await trio.lowlevel.checkpoint()
        if not script:
            self.ended.set()
            await trio.sleep_forever()
        answer = script.pop(0)
        return answer if isinstance(answer, Failure) else Success(answer)


def no_kinds() -> SharedKinds:
    """Return an empty registry of shared kinds."""
    return shared_kinds()

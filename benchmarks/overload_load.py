"""Loads of the overload bench: what a file may say, and its mistakes."""

import tomllib
from pathlib import Path

import cattrs
from attrs import frozen
from returns.result import Failure, Result, Success


@frozen
class Kind:
    """Requests of one kind; durations in seconds."""

    name: str
    service: str
    rate: float
    work: float
    target: float
    deadline: float
    worth: float = 1.0
    #: Servers that one attempt of a caller may be sent to.
    max_attempts: int = 2
    late_worth: float = 0.1
    priority: int = 0
    retries: int = 2
    timeout: float = 60.0
    repeatable: bool = True
    opens_connection: bool = True


@frozen
class ServerGroup:
    """The servers of one service."""

    name: str
    count: int
    slots: int = 2
    queue: int = 4
    full_share: float = 0.8
    full_slowness: float = 1.7
    noise_share: float = 0.25
    noise_slowness: float = 4.0
    noise_seconds: float = 0.3


@frozen
class Zone:
    """Callers and instances of one availability zone."""

    name: str
    instances: int
    share: float = 1.0


@frozen
class Event:
    """What happens to callers, servers or instances for some seconds."""

    kind: str
    at: float
    for_s: float = 0.0
    share: float = 0.0
    x: float = 1.0
    service: str = ''
    #: Kind or workspace that a burst is limited to; empty for all.
    requests: str = ''
    workspace: str = ''


@frozen
class WorkspaceLoad:
    """The share of the callers of one workspace, and its limit; 0 for no limit."""

    name: str
    share: float
    limit: float = 0.0


@frozen
class Load:
    """One load: who asks for what, of which servers, and what happens."""

    name: str
    seconds: float
    zones: tuple[Zone, ...]
    services: tuple[ServerGroup, ...]
    kinds: tuple[Kind, ...]
    events: tuple[Event, ...] = ()
    probes_per_second: float = 60.0
    #: Callers wait for a time that differs by up to this share.
    patience_spread: float = 0.15
    workspaces: tuple[WorkspaceLoad, ...] = ()
    #: Share of callers that return at once and three times as often.
    repeating_share: float = 0.0

    @property
    def groups(self) -> dict[str, ServerGroup]:
        """Return the servers by service."""
        return {group.name: group for group in self.services}


EVENT_KINDS = (
    'away',
    'burst',
    'dark',
    'grey',
    'leave',
    'need',
    'outage',
    'rest',
    'slow',
)
LOADS = Path(__file__).with_name('loads')

converter = cattrs.Converter(forbid_extra_keys=True)


def read_load(path: Path) -> Result[Load, list[str]]:
    """Read a load from a file, or return every mistake with its place."""
    try:
        load = converter.structure(tomllib.loads(path.read_text()), Load)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Failure([f'{path.name}: {error}'])
    except cattrs.BaseValidationError as error:
        return Failure(
            [f'{path.name}: {each}' for each in cattrs.transform_error(error)]
        )
    mistakes = [f'{path.name}: {each}' for each in find_mistakes(load)]
    return Failure(mistakes) if mistakes else Success(load)


def find_mistakes(load: Load) -> list[str]:
    """Return what a load says that cannot be."""
    mistakes = []
    for number, kind in enumerate(load.kinds):
        if kind.service not in load.groups:
            mistakes.append(f'no service {kind.service!r} @ $.kinds[{number}].service')
        if min(kind.rate, kind.work, kind.target, kind.deadline) <= 0:
            mistakes.append(f'rate and times must be above 0 @ $.kinds[{number}]')
    for number, event in enumerate(load.events):
        if event.kind not in EVENT_KINDS:
            known = ', '.join(EVENT_KINDS)
            mistakes.append(
                f'no kind {event.kind!r}, only {known} @ $.events[{number}].kind'
            )
        if event.service not in ('', *load.groups):
            where = f'$.events[{number}].service'
            mistakes.append(f'no service {event.service!r} @ {where}')
    return mistakes


def named_load(name: str) -> Load:
    """Return a load of this folder."""
    return read_load(LOADS / f'{name}.toml').unwrap()

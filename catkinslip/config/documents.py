"""The configuration document: the asset register and the rules."""

from enum import Enum, unique
from fnmatch import fnmatchcase
from functools import cached_property
from typing import Any

import cattrs
import orjson
import xxhash
from attrs import Factory, evolve, field, frozen
from cattrs.gen import make_dict_unstructure_fn, override

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


@frozen
class Range:
    """Minimum and maximum of a field's value, both allowed, and their unit."""

    low: float
    high: float
    unit: str


def ranged(default: Any, low: float, high: float, unit: str) -> Any:
    """Return an attrs field with a default and a range.

    `check_shape` reads the range from the metadata of the field.
    """
    return field(default=default, metadata={'range': Range(low, high, unit)})


@frozen
class Service:
    """One service of the register; durations are in seconds."""

    slots: int = ranged(1, 1, 10_000, 'requests at once')
    max_connections: int = ranged(200, 1, 100_000, 'connections')
    timeout: float = ranged(10.0, 0.05, 3600, 'seconds')
    health_path: str = '/health'
    #: Maximum number of probes of one backend server per second, from all instances
    #: together; 0 turns probes off.
    probes_per_second: float = ranged(1.0, 0, 1000, 'probes a second')
    #: Number of calls that an instance must receive for each probe that it sends.
    calls_per_probe: int = ranged(100, 1, 1_000_000, 'calls')
    #: Time for which a server is slow after its start, in seconds.
    cold_seconds: float = ranged(0.0, 0, 86_400, 'seconds')
    #: Requests per second that a cold server can handle; 0 where it can handle as many
    #: as a warm one.
    cold_requests_per_second: float = ranged(0.0, 0, 1_000_000, 'requests a second')


@frozen
class Backend:
    """One backend server of the register."""

    service: str
    zone: str
    host: str
    port: int = field(metadata={'range': Range(1, 65535, '(a TCP port)')})
    draining: bool = False
    #: Number of requests at once; None for the value of the service.
    slots: int | None = ranged(None, 1, 10_000, 'requests at once')
    #: Number that differs at each start of the server under the same ID; 0 if unknown.
    incarnation: int = ranged(0, 0, 2**53, '(any number)')
    #: Time for which the server stays cold after this entry was written, in seconds;
    #: None if unknown.
    cold_seconds: float | None = ranged(None, 0, 86_400, 'seconds')


@frozen
class Register:
    """The asset register: the services, and the backend servers with zone and address.

    Each backend server names the service that it runs.
    """

    services: dict[str, Service] = Factory(dict)
    backends: dict[str, Backend] = Factory(dict)


@unique
class RecordPlace(Enum):
    """Storage of idempotency keys that lack the prefix of an address answer."""

    HOME = 'home'
    PLATFORM = 'platform'


@frozen
class RequestRule:
    """Rule that marks requests of some methods and a path as repeatable or not."""

    service: str
    path: str
    methods: tuple[str, ...]
    repeatable: bool
    record: RecordPlace = RecordPlace.HOME


@frozen
class SplitPart:
    """One service of a route, and the weight of its share of the route's requests."""

    service: str
    weight: int = ranged(1, 0, 1_000_000, 'shares')


@frozen
class Route:
    """A route for the requests of one host below one path; durations are in seconds."""

    host: str
    path_prefix: str
    parts: tuple[SplitPart, ...]
    repeatable: bool = False
    timeout: float = ranged(10.0, 0.001, 3600, 'seconds')
    #: Time after which an answer has little value for the caller, in seconds.
    target_latency: float = ranged(10.0, 0.001, 3600, 'seconds')
    #: Priority of the requests; 0 is the most urgent.
    priority: int = ranged(0, 0, 1000, '(0 is the most urgent)')
    #: Maximum number of backend servers that one request is sent to.
    max_attempts: int = ranged(3, 1, 100, 'attempts')
    #: Regions in which the requests may run; empty for any region.
    regions: tuple[str, ...] = ()
    #: Whether callers need no API key.
    public: bool = False


@frozen
class Workspace:
    """A customer whose callers share API keys, a priority and a quota."""

    #: Left out of the text form, as keys are secrets.
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    #: Priority of the requests, before that of their routes; None for the routes' own.
    priority: int | None = ranged(None, 0, 1000, '(0 is the most urgent)')
    #: Requests per second from all instances together; 0 for no limit.
    requests_per_second: float = ranged(0.0, 0, 1_000_000, 'requests a second')
    #: Number of requests that may exceed the rate for a moment.
    burst: float = ranged(0.0, 0, 1_000_000, 'requests')


@frozen
class ServiceOverride:
    """Values that replace fields of a service; None keeps the value of the register."""

    slots: int | None = ranged(None, 1, 10_000, 'requests at once')
    max_connections: int | None = ranged(None, 1, 100_000, 'connections')
    timeout: float | None = ranged(None, 0.05, 3600, 'seconds')
    health_path: str | None = None
    probes_per_second: float | None = ranged(None, 0, 1000, 'probes a second')
    calls_per_probe: int | None = ranged(None, 1, 1_000_000, 'calls')
    cold_seconds: float | None = ranged(None, 0, 86_400, 'seconds')
    cold_requests_per_second: float | None = ranged(
        None, 0, 1_000_000, 'requests a second'
    )


@frozen
class Rules:
    """Rules that operators set in addition to the register."""

    requests: tuple[RequestRule, ...] = ()
    services: dict[str, ServiceOverride] = Factory(dict)
    #: Routes by name; of the routes of a request's host, the one with the longest
    #: matching path prefix applies.
    routes: dict[str, Route] = Factory(dict)
    #: Availability zones whose backend servers get no new requests.
    evacuated_zones: tuple[str, ...] = ()
    #: Workspaces by name; while there are any, requests need an API key.
    workspaces: dict[str, Workspace] = field(factory=dict, metadata={'secret': True})


@frozen
class Document:
    """A complete configuration document: the register and the rules."""

    register: Register = Factory(Register)
    rules: Rules = Factory(Rules)

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Return whether a request may run more than once."""
        rule = self.find_rule(service, method, path)
        return method in SAFE_METHODS if rule is None else rule.repeatable

    def find_rule(self, service: str, method: str, path: str) -> RequestRule | None:
        """Return the first request rule that matches a request; None if none does."""
        for rule in self.rules.requests:
            if rule.service not in (service, '*') or method not in rule.methods:
                continue
            if fnmatchcase(path, rule.path):
                return rule
        return None

    def effective_services(self) -> dict[str, Service]:
        """Return the services by name, with the overrides of the rules applied."""
        services = dict(self.register.services)
        for name, fields in self.rules.services.items():
            if name in services:
                changes = to_plain(fields)
                services[name] = evolve(services[name], **changes)
        return services


@frozen(order=True)
class ConfigVersion:
    """Position of a configuration in the order of accepted changes."""

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f'{self.epoch}.{self.number}'

    @classmethod
    def parse(cls, text: str) -> 'ConfigVersion':
        """Parse a version such as `0.17`; raise ValueError if the text is not one."""
        epoch, separator, number = text.partition('.')
        if not separator:
            raise ValueError(f'{text!r} is not a version as epoch.number, such as 0.17')
        return cls(int(epoch), int(number))


@frozen
class AcceptedConfig:
    """A configuration that the platform has accepted."""

    version: ConfigVersion = ConfigVersion()
    change_id: str = ''
    author: str = ''
    document: Document = Factory(Document)
    #: The document as it was written, including fields of a newer program that
    #: `document` does not have.
    plain: dict = field(
        default=Factory(lambda self: to_plain(self.document), takes_self=True),
        eq=False,
        repr=False,
    )

    @cached_property
    def digest(self) -> str:
        """Return the digest of the document as it was written."""
        return digest_of(self.plain)


#: Converter between classes and plain data. It ignores unknown fields, because an
#: accepted document may have been written by a newer program.
converter = cattrs.Converter()
converter.register_unstructure_hook(
    ServiceOverride,
    make_dict_unstructure_fn(ServiceOverride, converter, _cattrs_omit_if_default=True),
)
# A merge patch cannot set null, so a field without a value is omitted.
converter.register_unstructure_hook(
    Backend,
    make_dict_unstructure_fn(
        Backend,
        converter,
        slots=override(omit_if_default=True),
        incarnation=override(omit_if_default=True),
        cold_seconds=override(omit_if_default=True),
    ),
)
# The defaults of these fields are omitted, so that documents that do not use them
# are equal to those that an earlier program wrote.
converter.register_unstructure_hook(
    Route,
    make_dict_unstructure_fn(
        Route,
        converter,
        regions=override(omit_if_default=True),
        public=override(omit_if_default=True),
    ),
)
converter.register_unstructure_hook(
    Workspace,
    make_dict_unstructure_fn(
        Workspace, converter, priority=override(omit_if_default=True)
    ),
)
converter.register_unstructure_hook(
    Rules,
    make_dict_unstructure_fn(
        Rules,
        converter,
        evacuated_zones=override(omit_if_default=True),
        workspaces=override(omit_if_default=True),
    ),
)


def to_plain(value: object) -> Any:
    """Return a value as plain data: maps, lists and scalars."""
    return converter.unstructure(value)


def describe_error(error: Exception) -> str:
    """Return a text for an error of the conversion that contains no value.

    The text of the error itself may hold an API key.
    """
    if isinstance(error, cattrs.BaseValidationError):
        return '; '.join(cattrs.transform_error(error))
    return type(error).__name__


def canonical_json(plain: object) -> bytes:
    """Return plain data encoded as JSON with sorted keys."""
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def digest_of(plain: dict) -> str:
    """Return the digest of a plain document.

    The digest detects damage, but does not protect against malicious changes.
    """
    return xxhash.xxh3_128_hexdigest(canonical_json(plain))

"""The configuration document: the asset register and the rules."""

from fnmatch import fnmatchcase

import cattrs
from attrs import Factory, frozen

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


@frozen
class Service:
    """One service of the register; durations are in seconds."""

    slots: int = 1
    max_connections: int = 200
    timeout: float = 10.0
    health_path: str = '/health'
    #: Most probes of one backend server, from all instances; 0 turns probes off.
    probes_per_second: float = 1.0
    #: Calls that an instance must receive for each probe it sends.
    calls_per_probe: int = 100


@frozen
class Backend:
    """One backend server of the register."""

    service: str
    zone: str
    host: str
    port: int
    draining: bool = False


@frozen
class Register:
    """What servers exist, where they stand and which service they carry."""

    services: dict[str, Service] = Factory(dict)
    backends: dict[str, Backend] = Factory(dict)


@frozen
class RequestRule:
    """Say whether requests of a method and a path pattern are repeatable."""

    service: str
    path: str
    methods: tuple[str, ...]
    repeatable: bool


@frozen
class Rules:
    """What operators add to the register."""

    requests: tuple[RequestRule, ...] = ()
    #: Most instances that run at once; the budget of probes is divided by it.
    max_instances: int = 20


@frozen
class Document:
    """A whole configuration."""

    register: Register = Factory(Register)
    rules: Rules = Factory(Rules)

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Tell whether a request may run more than once."""
        for rule in self.rules.requests:
            if rule.service not in (service, '*') or method not in rule.methods:
                continue
            if fnmatchcase(path, rule.path):
                return rule.repeatable
        return method in SAFE_METHODS


@frozen(order=True)
class ConfigVersion:
    """Place of a configuration in the order of accepted changes."""

    epoch: int = 0
    number: int = 0


@frozen
class AcceptedConfig:
    """A configuration that the platform has accepted."""

    version: ConfigVersion = ConfigVersion()
    change_id: str = ''
    author: str = ''
    document: Document = Factory(Document)


converter = cattrs.Converter(forbid_extra_keys=True)


def to_plain(value: object) -> object:
    """Return the value as maps, lists and scalars."""
    return converter.unstructure(value)

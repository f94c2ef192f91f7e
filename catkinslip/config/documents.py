"""The configuration document: the asset register and the rules."""

from enum import Enum, unique
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


@unique
class RecordPlace(Enum):
    """Where keys that no address answer began are recorded."""

    HOME = 'home'
    PLATFORM = 'platform'


@frozen
class RequestRule:
    """Say whether requests of a method and a path pattern are repeatable."""

    service: str
    path: str
    methods: tuple[str, ...]
    repeatable: bool
    record: RecordPlace = RecordPlace.HOME


@frozen
class Rules:
    """What operators add to the register."""

    requests: tuple[RequestRule, ...] = ()


@frozen
class Document:
    """A whole configuration."""

    register: Register = Factory(Register)
    rules: Rules = Factory(Rules)

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Tell whether a request may run more than once."""
        rule = self.find_rule(service, method, path)
        return method in SAFE_METHODS if rule is None else rule.repeatable

    def find_rule(self, service: str, method: str, path: str) -> RequestRule | None:
        """Return the first rule that matches a request."""
        for rule in self.rules.requests:
            if rule.service not in (service, '*') or method not in rule.methods:
                continue
            if fnmatchcase(path, rule.path):
                return rule
        return None


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

"""The settings file that the platform writes for a process."""

import tomllib
from collections.abc import Callable, Mapping
from math import isfinite
from pathlib import Path
from reprlib import repr as shorten
from typing import Any

from attrs import Factory, define, frozen
from returns.result import Failure, Result, Success

from catkinslip.models import Address
from catkinslip.quotas.bounds import QuotaBounds, check_bounds

FILE_VARIABLE = 'CATKINSLIP_NODE_FILE'
DEFAULT_DESCRIPTORS = 4100
#: Errors of a field that cannot be converted.
CONVERSION_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
#: Descriptors of a process that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Share of the others for callers; servers, the store and peers take the rest.
CALLERS_SHARE = 0.75


@frozen
class PlatformSettings:
    """Settings of one process from the platform; durations are in seconds."""

    instance_id: str
    zone: str
    region: str
    caller_address: Address
    #: The address of the readiness page, which the platform requests.
    ready_address: Address
    #: The address of the page with the addresses that callers should use.
    directory_address: Address
    peer_address: Address
    #: The address for datagrams with load reports from other instances.
    report_address: Address
    seeds: tuple[Address, ...]
    region_by_zone: dict[str, str]
    store_address: Address
    #: Processor cores that the process may use.
    cores: float
    #: Limit of callers' connections.
    max_callers: int
    #: Time between SIGTERM and SIGKILL.
    stop_seconds: float
    #: The longest allowed lifetime of an address answer.
    max_address_seconds: float
    #: Probes of one backend server per second, from all instances together.
    probes_per_second: float
    #: Repeated sends of all instances: this share of a service's requests ...
    resend_share: float
    #: ... plus this number in a window.
    resend_slack: float
    #: Requests per second to a cold server: this multiple of what it handles ...
    cold_excess: float | None
    #: ... plus this number.
    cold_slack: float
    #: Bound of the quotas of workspaces; its defaults apply where bounds are missing.
    quota_bounds: QuotaBounds
    #: Whether instances of a large fleet use subsets of the servers.
    uses_subsets: bool


@define
class SettingsReader:
    """Reader of the file's fields that records every mistake with its location."""

    document: Mapping[str, Any]
    mistakes: list[str] = Factory(list)

    def read(self, location: str, convert: Callable[[Any], Any], default: Any) -> Any:
        """Return a converted field, or the default and record a mistake.

        A missing field and one that cannot be converted are mistakes.
        """
        value = self._find(location)
        if value is None:
            self.mistakes.append(f'{location}: is missing.')
            return default
        try:
            return convert(value)
        except CONVERSION_ERRORS as error:
            self.mistakes.append(f'{location}: {shorten(value)} is wrong, {error}.')
            return default

    def read_number(self, location: str, default: float) -> float:
        """Return an optional number, or the default if the field is missing."""
        if self._find(location) is None:
            return default
        return self.read(location, finite, default)

    def read_switch(self, location: str, *, default: bool) -> bool:
        """Return an optional true or false, or the default if the field is missing."""
        value = self._find(location)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        self.mistakes.append(f'{location}: {value!r} is wrong, allowed: true, false.')
        return default

    def _find(self, location: str) -> Any | None:
        value: Any = self.document
        for name in location.split('.'):
            if not isinstance(value, Mapping) or name not in value:
                return None
            value = value[name]
        return value

    def read_bounds(self) -> dict[str, float]:
        """Return the numbers of the `bounds` field by name."""
        bound_by_name: dict[str, float] = {}
        for text in self.read('bounds', list, []):
            name, separator, number = str(text).partition('=')
            try:
                bound_by_name[name.strip()] = float(number)
            except ValueError:
                # Some bounds are true or false; none of those is used here.
                if not separator or number.strip() not in ('true', 'false'):
                    self.mistakes.append(f'bounds: {text!r} is not name=value.')
        return bound_by_name

    def read_bound(self, bound_by_name: dict[str, float], name: str) -> float:
        """Return one of the bounds, or 1 and record a mistake if it is missing."""
        bound = self.read_optional_bound(bound_by_name, name)
        if bound is None:
            self.mistakes.append(f'bounds: {name} is missing.')
        return 1.0 if bound is None else bound

    def read_optional_bound(
        self, bound_by_name: dict[str, float], name: str
    ) -> float | None:
        """Return one of the bounds, None if it is missing; record one not finite."""
        bound = bound_by_name.get(name)
        if bound is not None and not isfinite(bound):
            self.mistakes.append(f'bounds: {name} must be finite, not {bound:g}.')
        return bound


def finite(value: Any) -> float:
    """Return a value as a number; raise ValueError if it is NaN or infinite."""
    number = float(value)
    if not isfinite(number):
        raise ValueError('a number must be finite')
    return number


def read_quota_bounds(
    reader: SettingsReader, bound_by_name: dict[str, float]
) -> QuotaBounds:
    """Return the bounds of quotas, with defaults for those that are missing."""
    defaults = QuotaBounds()
    bounds = QuotaBounds(
        bound_by_name.get('quota_window_s', defaults.window_seconds),
        bound_by_name.get('quota_excess', defaults.excess),
        bound_by_name.get('quota_slack', defaults.slack),
    )
    mistake = check_bounds(bounds)
    if mistake is not None:
        reader.mistakes.append(f'bounds: {mistake}.')
    return bounds


def read_max_callers(reader: SettingsReader) -> int:
    """Return how many of the process's descriptors callers' connections may take."""
    descriptors = reader.read_number('limits.max_fds', DEFAULT_DESCRIPTORS)
    return max(1, int((descriptors - FILE_DESCRIPTORS) * CALLERS_SHARE))


def read_settings(text: str) -> Result[PlatformSettings, tuple[str, ...]]:
    """Parse the settings, or return every mistake with its location."""
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Failure((f'the settings file is not TOML, {error}.',))
    reader = SettingsReader(document)
    unset_address = Address('0.0.0.0', 0)
    bound_by_name = reader.read_bounds()
    settings = PlatformSettings(
        instance_id=reader.read('node', str, ''),
        zone=reader.read('zone', str, ''),
        region=reader.read('region', str, ''),
        caller_address=reader.read('listen.front', Address.parse, unset_address),
        ready_address=reader.read('listen.ready', Address.parse, unset_address),
        directory_address=reader.read('listen.directory', Address.parse, unset_address),
        peer_address=reader.read('listen.control', Address.parse, unset_address),
        report_address=Address(
            reader.read('ip', str, ''),
            reader.read('internal_port_range', lambda ports: int(ports[0]), 0),
        ),
        seeds=reader.read('seeds', parse_addresses, ()),
        region_by_zone=reader.read('zones', dict, {}),
        store_address=reader.read('platform.addr', Address.parse, unset_address),
        # The process gets a share of one core, which is as fast as `cpus` cores.
        cores=reader.read_number('limits.cpu_share', 1.0)
        * reader.read_number('limits.cpus', 1.0),
        max_callers=read_max_callers(reader),
        stop_seconds=reader.read_bound(bound_by_name, 'grace_s'),
        max_address_seconds=reader.read_bound(bound_by_name, 'ttl_max_s'),
        probes_per_second=reader.read_bound(bound_by_name, 'probes_per_s'),
        resend_share=reader.read_bound(bound_by_name, 'retry_budget_ratio'),
        resend_slack=reader.read_bound(bound_by_name, 'retry_budget_slack'),
        # Platforms without limits for cold servers omit these bounds.
        cold_excess=reader.read_optional_bound(bound_by_name, 'cold_excess'),
        cold_slack=reader.read_optional_bound(bound_by_name, 'cold_slack') or 0.0,
        quota_bounds=read_quota_bounds(reader, bound_by_name),
        uses_subsets=reader.read_switch('server_subsets', default=True),
    )
    return Failure(tuple(reader.mistakes)) if reader.mistakes else Success(settings)


def read_settings_file(
    variables: Mapping[str, str],
) -> Result[PlatformSettings, tuple[str, ...]]:
    """Read the settings file whose path is in the environment variable."""
    path = variables.get(FILE_VARIABLE)
    if not path:
        return Failure((f'the variable {FILE_VARIABLE} names no settings file.',))
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'the settings file {path} cannot be read, {error}.',))
    return read_settings(text)


def parse_addresses(texts: list[str]) -> tuple[Address, ...]:
    """Parse a list of addresses, each host:port."""
    return tuple(Address.parse(each) for each in texts)

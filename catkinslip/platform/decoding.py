"""Decoders from the platform's objects to the product's own values.

Any writer may put objects into the store, so each field is checked: a server with port
0 or with a time that is not a number could otherwise be chosen for requests.
"""

import re
from collections.abc import Mapping
from reprlib import repr as shorten
from typing import Any

from catkinslip.config.documents import Route, Service, SplitPart
from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.objects import record_from_plain
from catkinslip.discovery.base import (
    BackendEntry,
    InstanceEntry,
    RuleSet,
    ZoneEvacuation,
)
from catkinslip.models import Address
from catkinslip.platform.fields import (
    read_boolean,
    read_integer,
    read_name,
    read_number,
    read_text,
    rows_of,
)
from catkinslip.platform.workspaces import decode_workspaces

#: Exceptions that a decoder raises for an unreadable object.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
READY = 'ready'
DRAINING = 'draining'
IDEMPOTENT = 'idempotent'
MAX_SLOTS = 10_000
#: Milliseconds since 1970 stay below this limit for some 280,000 years.
MAX_MILLISECONDS = 2**53
#: No server reports as often.
MAX_SEQUENCE = 2**53
#: A longer time, over a day, cannot be that of a cold start.
MAX_COLD_SECONDS = 86_400.0
MAX_CORES = 10_000.0
#: Eight digits, and room for more in a whole number of 64 bits.
VERSION_FORM = re.compile(r'[0-9a-fA-F]{1,15}\Z')
#: What a request line can hold.
PATH_FORM = re.compile(r'/[!-~]*\Z')
MAX_CONNECTIONS = 10_000_000
MAX_REQUEST_SECONDS = 86_400.0
MAX_PRIORITY = 1_000_000
MAX_ATTEMPTS = 1_000
MAX_WEIGHT = 1e9
MAX_COLD_REQUESTS_PER_SECOND = 1_000_000.0


def decode_backend(name: str, item: Mapping[str, Any]) -> BackendEntry:
    """Decode a registered server; raise one of DECODE_ERRORS for another object."""
    spec = item['spec']
    info = spec['info']
    # A server writes its status in a second call, so the status may be missing.
    status = spec.get('status') or item.get('status') or {}
    incarnation = max(map(read_incarnation, (spec, status, item)))
    if read_incarnation(status) not in (0, incarnation):
        # The status is that of an earlier start of the server.
        status = {}
    state = status.get('state', READY)
    if state not in (READY, DRAINING):
        raise ValueError(
            f'the state {shorten(state)} is neither {READY!r} nor {DRAINING!r}'
        )
    address = read_address(spec['addr'])
    return BackendEntry(
        backend_id=read_name(name),
        service=read_name(info['service']),
        zone=read_name(info['zone']),
        host=address.host,
        port=address.port,
        slots=read_integer(info['slots'], 1, MAX_SLOTS),
        is_draining=state == DRAINING,
        cold_seconds=read_cold_seconds(status.get('cold_left_s')),
        incarnation=incarnation,
        sequence=read_integer(status.get('seq', 0), 0, MAX_SEQUENCE),
    )


def read_incarnation(fields: Mapping[str, Any]) -> int:
    """Return the start time of a server in milliseconds since 1970; 0 if missing."""
    return read_integer(fields['born'], 0, MAX_MILLISECONDS) if 'born' in fields else 0


def read_cold_seconds(value: Any) -> float | None:
    """Return the seconds that a server stays cold; None if it has not sent them."""
    return None if value is None else read_number(value, 0.0, MAX_COLD_SECONDS)


def read_address(value: Any) -> Address:
    """Parse an IPv4 address with a port that can be connected to.

    Raises TypeError or ValueError for any other value.
    """
    return Address.parse_numeric(read_text(value))


def decode_rules(name: str, item: Mapping[str, Any]) -> RuleSet:
    """Decode the operators' configuration of services and routes.

    Raises one of DECODE_ERRORS if any part is invalid, so that the last valid
    configuration stays in force.
    """
    spec = item['spec']
    services = {
        read_name(row['name']): decode_service(row) for row in rows_of(spec['services'])
    }
    routes = {
        read_text(row['name']): decode_route(row) for row in rows_of(spec['routes'])
    }
    workspaces = decode_workspaces(spec.get('tenants'))
    return RuleSet(read_version(spec['version']), services, routes, workspaces)


def read_version(value: Any) -> int:
    """Return a version, which is written in hexadecimal digits."""
    if VERSION_FORM.match(read_text(value)) is None:
        raise ValueError(f'the version {shorten(value)} is not a hexadecimal number')
    return int(value, 16)


def decode_service(row: Mapping[str, Any]) -> Service:
    """Decode one service of the configuration."""
    return Service(
        max_connections=read_integer(row['max_conns'], 1, MAX_CONNECTIONS),
        health_path=read_request_path(row['health_path']),
        cold_seconds=read_number(row.get('cold_s', 0), 0.0, MAX_COLD_SECONDS),
        cold_requests_per_second=read_number(
            row.get('cold_per_s', 0), 0.0, MAX_COLD_REQUESTS_PER_SECOND
        ),
    )


def decode_route(row: Mapping[str, Any]) -> Route:
    """Decode one route, which names one service or several with weights."""
    split = row.get('split') or [{'service': row['service'], 'weight': 1}]
    return Route(
        host=read_text(row['host']),
        path_prefix=read_text(row['path_prefix']),
        parts=tuple(map(decode_part, split)),
        repeatable=read_text(row['kind']) == IDEMPOTENT,
        timeout=read_number(row['timeout_s'], 0.0, MAX_REQUEST_SECONDS),
        target_latency=read_number(row['target_latency_s'], 0.0, MAX_REQUEST_SECONDS),
        priority=read_integer(row['priority'], 0, MAX_PRIORITY),
        max_attempts=read_integer(row['max_attempts'], 1, MAX_ATTEMPTS),
        regions=tuple(map(read_text, row.get('allowed_regions') or ())),
        public=read_boolean(row.get('public', False)),
    )


def decode_part(part: Mapping[str, Any]) -> SplitPart:
    """Decode one service of a route, with its weight."""
    weight = part['weight']
    read_number(weight, 0.0, MAX_WEIGHT)
    return SplitPart(read_text(part['service']), weight)


def read_request_path(value: Any) -> str:
    """Return a path that a request can have; raise ValueError for any other text."""
    if PATH_FORM.match(read_text(value)) is None:
        raise ValueError(f'{shorten(value)} is not a path')
    return value


def decode_instance(name: str, item: Mapping[str, Any]) -> InstanceEntry:
    """Decode the entry of one catkinslip instance."""
    spec = item['spec']
    return InstanceEntry(
        instance_id=read_text(spec['instance_id']),
        zone=read_text(spec['zone']),
        region=read_text(spec['region']),
        caller_address=str(read_address(spec['caller_address'])),
        peer_address=str(read_address(spec['peer_address'])),
        report_address=str(read_address(spec['report_address'])),
        cores=read_number(spec['cores'], 0.0, MAX_CORES),
    )


def decode_evacuation(name: str, item: Mapping[str, Any]) -> ZoneEvacuation:
    """Decode an operator's evacuation order, whose object name is the zone."""
    return ZoneEvacuation(read_text(name))


def decode_crash(name: str, item: Mapping[str, Any]) -> CrashRecord:
    """Decode the crash record of a request."""
    return record_from_plain(item['spec'], item['metadata']['revision'])

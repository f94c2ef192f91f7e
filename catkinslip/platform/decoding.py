"""Decode the platform's objects into the product's own values."""

from collections.abc import Mapping, Sequence
from typing import Any

from catkinslip.config.documents import Route, Service, SplitPart
from catkinslip.discovery.base import BackendEntry, InstanceEntry, RuleSet
from catkinslip.models import Address

#: What a decoder raises for an object that it cannot read.
DECODE_ERRORS = (AttributeError, IndexError, KeyError, TypeError, ValueError)
DRAINING = 'draining'
IDEMPOTENT = 'idempotent'


def decode_backend(name: str, item: Mapping[str, Any]) -> BackendEntry:
    """Decode one registered server."""
    spec = item['spec']
    info = spec['info']
    # A server writes its status in a second call, so at first there is none.
    status = spec.get('status') or item.get('status') or {}
    address = Address.parse(spec['addr'])
    return BackendEntry(
        backend_id=name,
        service=info['service'],
        zone=info['zone'],
        host=address.host,
        port=address.port,
        slots=int(info['slots']),
        is_draining=status.get('state') == DRAINING,
        cold_seconds=float(status.get('cold_left_s') or 0.0),
    )


def decode_rules(name: str, item: Mapping[str, Any]) -> RuleSet:
    """Decode the operators' configuration."""
    spec = item['spec']
    services = {row['name']: decode_service(row) for row in rows_of(spec['services'])}
    routes = {row['name']: decode_route(row) for row in rows_of(spec['routes'])}
    # Eight hexadecimal digits; versions grow in uneven steps.
    return RuleSet(int(spec['version'], 16), services, routes)


def decode_service(row: Mapping[str, Any]) -> Service:
    """Decode one service."""
    return Service(
        max_connections=int(row['max_conns']), health_path=row['health_path']
    )


def decode_route(row: Mapping[str, Any]) -> Route:
    """Decode one route; it names one service, or several with weights."""
    split = row.get('split') or [{'service': row['service'], 'weight': 1}]
    return Route(
        host=row['host'],
        path_prefix=row['path_prefix'],
        parts=tuple(SplitPart(part['service'], part['weight']) for part in split),
        repeatable=row['kind'] == IDEMPOTENT,
        timeout=float(row['timeout_s']),
        target_latency=float(row['target_latency_s']),
        priority=int(row['priority']),
        max_attempts=int(row['max_attempts']),
    )


def rows_of(table: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return a table's rows by column name; null means that a field is left out."""
    columns: Sequence[str] = table['columns']
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table['rows']
    ]


def decode_instance(name: str, item: Mapping[str, Any]) -> InstanceEntry:
    """Decode the entry of one of our own instances."""
    return InstanceEntry(**item['spec'])

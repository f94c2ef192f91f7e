"""Builders of test data."""

import json

import httpx

from catkinslip.cli.application import run as run_tool
from catkinslip.models import Address
from standins.processes import Process, ProcessGroup, wait_until


def backend_plain(service: str, address: str, zone: str = 'zone-a') -> dict:
    """Return a backend server of the register as plain data."""
    parsed = Address.parse(address)
    return {
        'service': service,
        'zone': zone,
        'host': parsed.host,
        'port': parsed.port,
    }


def document_plain(
    address_by_backend: dict[str, str], service: str = 'limits', **fields: object
) -> dict:
    """Return a document with one service as plain data."""
    backends = {
        name: backend_plain(service, address)
        for name, address in address_by_backend.items()
    }
    register = {'services': {service: dict(fields)}, 'backends': backends}
    return {'register': register, 'rules': {'requests': []}}


def start_small_fleet(
    group: ProcessGroup, zones: tuple[str, ...], backend=(), **settings: object
) -> list[Process]:
    """Start a platform, two backend servers and one daemon a zone; wait for all."""
    platform_url = f'http://{group.start_platform().address}'
    backends = [group.start_backend(f'limits-{n}', **dict(backend)) for n in (1, 2)]
    apply_document(
        group, document_plain({each.name: each.address for each in backends})
    )
    daemons = [
        group.start_daemon(f'entry-{n}', zone, platform_url=platform_url, **settings)
        for n, zone in enumerate(zones)
    ]
    for daemon in daemons:
        wait_until(lambda each=daemon: len(asked_addresses(each)) == len(daemons))
        wait_until(lambda each=daemon: is_serving(each))
    return daemons


def apply_document(group: ProcessGroup, plain: dict) -> None:
    """Apply a document with the operators' tool."""
    path = group.folder / 'document.json'
    path.write_text(json.dumps(plain))
    platform_url = f'http://{group.process_by_name["platform"].address}'
    status = run_tool(['apply', str(path), '--platform-url', platform_url, '--quiet'])
    if status != 0:
        raise RuntimeError(f'apply ended with {status}')


def asked_addresses(daemon: Process, service: str = 'limits') -> list[str]:
    """Return the addresses that a daemon answers for a service."""
    url = f'http://{daemon.address}/.well-known/catkinslip/addresses/{service}'
    return httpx.get(url, timeout=10).json().get('addresses', [])


def is_serving(daemon: Process) -> bool:
    """Tell whether a daemon forwards requests."""
    url = f'http://{daemon.address}/'
    return httpx.get(url, headers={'Host': 'limits'}, timeout=10).status_code == 200

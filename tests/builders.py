"""Builders of test data."""

from catkinslip.models import Address
from catkinslip.proxy.exchange import Call


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


def call(service: str, request_id: str = 'r', deadline: float = 1e9) -> Call:
    """Return a repeatable call without a body."""
    return Call(
        request_id=request_id,
        service=service,
        method=b'GET',
        target=b'/',
        headers=[],
        body=b'',
        repeatable=True,
        deadline=deadline,
    )

"""Builders of test data."""

from catkinslip.config.checks import read_document
from catkinslip.config.documents import Document
from catkinslip.models import Address


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


def document(address_by_backend: dict[str, str], **fields: object) -> Document:
    """Return a checked document with one service."""
    return read_document(document_plain(address_by_backend, **fields)).unwrap()

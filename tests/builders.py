"""Builders of test data."""

from catkinslip.models import Address
from catkinslip.tickets.keys import MARK, TicketKey


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


def ticket_key(
    name: str = 'a', expiry: int = 100, incarnation: int = 7, member_id: str = 'entry-1'
) -> TicketKey:
    """Return a key whose home is an instance."""
    text = f'{MARK}.{member_id}.{incarnation}.{expiry}.{name}'
    return TicketKey(text, member_id, incarnation, expiry)

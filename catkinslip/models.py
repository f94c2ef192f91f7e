"""Data types that several packages share."""

import socket
from reprlib import repr as shorten

from attrs import frozen

MAX_PORT = 65_535


@frozen
class Address:
    """A TCP address: an IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address of the form host:port; raise ValueError for any other."""
        host, separator, port = text.rpartition(':')
        if not separator or not host:
            raise ValueError(f'{text!r} is not host:port')
        return cls(host, int(port))

    @classmethod
    def parse_numeric(cls, text: str) -> 'Address':
        """Parse an IPv4 address with a port that can be sent to; raise ValueError."""
        address = cls.parse(text)
        try:
            socket.inet_pton(socket.AF_INET, address.host)
        except (OSError, ValueError):
            raise ValueError(f'{shorten(text)} has no IPv4 address') from None
        if not 0 < address.port <= MAX_PORT:
            raise ValueError(f'{shorten(text)} has no port from 1 to {MAX_PORT}')
        return address

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@frozen(cache_hash=True)
class BackendKey:
    """Identity of one start of a backend server at an address.

    Another start, or another address, counts as another server.
    """

    backend_id: str
    address: str
    incarnation: int = 0

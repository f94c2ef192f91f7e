"""Data types that several packages share."""

from attrs import frozen


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

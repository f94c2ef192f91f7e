"""Data shared by several slices."""

from attrs import frozen


@frozen
class Address:
    """A TCP address by IP number."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse `host:port`; raise ValueError for any other form."""
        host, separator, port = text.rpartition(':')
        if not separator or not host:
            raise ValueError(f'{text!r} is not host:port')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@frozen(cache_hash=True)
class BackendKey:
    """One start of a backend server at an address; any other is another server."""

    backend_id: str
    address: str
    incarnation: int = 0

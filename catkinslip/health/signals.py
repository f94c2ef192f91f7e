"""Signals of leaving in the answers of a backend server."""

from collections.abc import Iterable

from attrs import Factory, define

from catkinslip.models import BackendKey
from catkinslip.proxy.headers import find

DRAIN_HEADER = b'catkinslip-drain'
DRAIN_VALUE = b'true'
#: Number of answers in a row that close their connection before this is a signal.
CLOSES_IN_A_ROW = 3


def has_drain_header(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether an answer carries the drain header with the value `true`."""
    value = find(headers, DRAIN_HEADER)
    return value is not None and value.strip().lower() == DRAIN_VALUE


def closes_connection(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether an answer closes its connection."""
    value = find(headers, b'connection')
    return value is not None and b'close' in value.lower()


@define
class CloseCounter:
    """Detector of servers that begin to close connections that they kept before."""

    closes_by_key: dict[BackendKey, int] = Factory(dict)

    def count_answer(self, key: BackendKey, closes: bool) -> bool:
        """Count an answer; return whether the closes in a row are a signal."""
        if not closes:
            self.closes_by_key[key] = 0
            return False
        if key not in self.closes_by_key:
            return False
        self.closes_by_key[key] += 1
        return self.closes_by_key[key] >= CLOSES_IN_A_ROW

    def forget(self, key: BackendKey) -> None:
        """Forget a server: it has to keep a connection before closes count again."""
        self.closes_by_key.pop(key, None)

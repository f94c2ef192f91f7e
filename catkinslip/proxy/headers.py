"""Header names and the headers that do not pass a proxy.

Hop-by-hop headers: https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1
"""

from collections.abc import Iterable

Header = tuple[bytes, bytes]

SERVICE = b'catkinslip-service'
REQUEST_ID = b'catkinslip-request-id'
DEADLINE = b'catkinslip-deadline'
TIMEOUT = b'catkinslip-timeout'
ATTEMPT = b'catkinslip-attempt'
OUTCOME = b'catkinslip-outcome'
NOT_RUN = b'not-run'
KEY = b'idempotency-key'
PASSED_BY = b'catkinslip-passed-by'
REPLAYED = b'catkinslip-replayed'

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
OWN = frozenset({SERVICE, REQUEST_ID, DEADLINE, TIMEOUT, ATTEMPT, PASSED_BY})


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, its name in lower case."""
    for each, value in headers:
        if each == name:
            return value
    return None


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that pass on to the next hop."""
    headers = list(headers)
    named = find(headers, b'connection')
    if named is None:
        return [each for each in headers if each[0] not in HOP_BY_HOP]
    dropped = HOP_BY_HOP | {name.strip().lower() for name in named.split(b',')}
    return [each for each in headers if each[0] not in dropped]

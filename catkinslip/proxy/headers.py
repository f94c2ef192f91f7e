"""Header names, and the selection of headers that a proxy forwards.

Hop-by-hop headers: https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1
"""

import re
from collections.abc import Iterable

from attrs import field, frozen
from h11._headers import Headers

Header = tuple[bytes, bytes]

SERVICE = b'catkinslip-service'
REQUEST_ID = b'catkinslip-request-id'
DEADLINE = b'catkinslip-deadline'
TIMEOUT = b'catkinslip-timeout'
ATTEMPT = b'catkinslip-attempt'
OUTCOME = b'catkinslip-outcome'
NOT_RUN = b'not-run'
REQUEST_ID_FORM = re.compile(rb'[\x21-\x7e]{1,128}\Z')
IDEMPOTENCY_KEY = b'idempotency-key'
PASSED_BY = b'catkinslip-passed-by'
#: The workspace of a request that another instance passed on, with signatures.
PASSED_WORKSPACE = b'catkinslip-passed-workspace'
API_KEY = b'catkinslip-api-key'
WORKSPACE = b'catkinslip-workspace'
#: On each answer 401, https://www.rfc-editor.org/rfc/rfc9110#section-11.6.1
AUTHENTICATE = (b'www-authenticate', b'ApiKey')
REPLAYED = b'catkinslip-replayed'
#: Of a request that one instance relays to another, and of its answer.
RELAYED = b'catkinslip-relayed'
#: On an answer to a relayed request, which only its receiver may send: the server's ID.
RELAYED_SERVER = b'catkinslip-relayed-server'

FORWARDED_FOR = b'x-forwarded-for'
VIA = b'via'
VIA_ENTRY = b'1.1 catkinslip'

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        RELAYED,
        RELAYED_SERVER,
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
# The caller's values are dropped; this instance sets its own on each request.
REPLACED_IN_REQUESTS = HOP_BY_HOP | {
    SERVICE,
    REQUEST_ID,
    DEADLINE,
    TIMEOUT,
    ATTEMPT,
    PASSED_BY,
    FORWARDED_FOR,
    VIA,
    b'content-length',
    b'expect',
}
# Only this instance states the outcome of a request, so a server's value is dropped.
REPLACED_IN_ANSWERS = HOP_BY_HOP | {REQUEST_ID, OUTCOME}


@frozen
class RequestHead:
    """The head of a request; its header names are in lower case."""

    method: bytes
    target: bytes
    http_version: bytes
    #: Left out of the text form, as a header may hold an API key.
    headers: list[Header] = field(repr=False)


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, given its name in lower case."""
    for each, value in headers:
        if each == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header, given its name in lower case."""
    return [value for each, value in headers if each == name]


def without(headers: Iterable[Header], dropped: frozenset[bytes]) -> list[Header]:
    """Return the headers without those of some names.

    An underscore counts as a dash, as some servers do not distinguish them.
    """
    return [each for each in headers if each[0].replace(b'_', b'-') not in dropped]


def end_to_end(headers: Iterable[Header], replaced: frozenset[bytes]) -> list[Header]:
    """Return the headers to forward, without those in `replaced`.

    Headers that the connection header names are dropped too, except content-length
    and host.
    """
    headers = list(headers)
    named = find(headers, b'connection')
    if named is not None:
        dropped = {name.strip().lower() for name in named.split(b',')}
        replaced = replaced | (dropped - {b'content-length', b'host'})
    return [each for each in headers if each[0] not in replaced]


def request_headers(headers: list[Header], peer: str) -> list[Header]:
    """Return the headers to forward to a backend server, without the call headers."""
    passed = end_to_end(headers, REPLACED_IN_REQUESTS)
    if peer:
        hops = [*find_all(headers, FORWARDED_FOR), peer.encode()]
        passed.append((FORWARDED_FOR, b', '.join(hops)))
    passed.append((VIA, b', '.join([*find_all(headers, VIA), VIA_ENTRY])))
    return passed


def answer_headers(headers: Iterable[Header], request_id: str) -> list[Header]:
    """Return the headers of an answer to forward to its caller."""
    passed = end_to_end(headers, REPLACED_IN_ANSWERS)
    passed.append((REQUEST_ID, request_id.encode()))
    return passed


def checked(headers: Iterable[Header]) -> Headers:
    """Return headers in the form that the codec accepts without validation.

    Only for headers that the codec parsed, with names in lower case, or that this
    instance created.
    """
    return Headers([(name, name, value) for name, value in headers])

"""Reports of crashed servers between instances, as plain data for JSON."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from attrs import frozen

from catkinslip.crashes.identity import RequestKey

#: Errors raised when malformed reports are read.
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


@frozen
class ToldEnds:
    """Servers that crashed during one request, and the query that each of them ran."""

    key: RequestKey
    query_by_server: Mapping[str, str]


def ends_to_plain(told: Iterable[ToldEnds]) -> list[Any]:
    """Return crash reports as plain data."""
    return [[each.key.target, each.key.content, each.query_by_server] for each in told]


def ends_from_plain(plain: Any) -> Iterator[ToldEnds]:
    """Yield crash reports from plain data; raise one of MALFORMED for other data."""
    for target, content, query_by_server in plain:
        ends = {str(k): str(v) for k, v in query_by_server.items()}
        yield ToldEnds(RequestKey(str(target), str(content)), ends)

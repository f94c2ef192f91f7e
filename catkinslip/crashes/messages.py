"""Reports of crashed servers between instances, as plain data for JSON."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from attrs import frozen

from catkinslip.crashes.identity import RequestKey

#: Errors raised when malformed reports are read.
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


@frozen
class CrashReport:
    """Servers that crashed during one request, and the query that each of them ran."""

    key: RequestKey
    query_by_server: Mapping[str, str]


def reports_to_plain(reports: Iterable[CrashReport]) -> list[Any]:
    """Return crash reports as plain data."""
    return [
        [each.key.target, each.key.content, each.query_by_server] for each in reports
    ]


def reports_from_plain(plain: Any) -> Iterator[CrashReport]:
    """Yield crash reports from plain data; raise one of MALFORMED for other data."""
    for target, content, query_by_server in plain:
        crashes = {str(k): str(v) for k, v in query_by_server.items()}
        yield CrashReport(RequestKey(str(target), str(content)), crashes)

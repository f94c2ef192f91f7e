"""What instances tell each other of servers that ended, as plain data for JSON."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from attrs import frozen

from catkinslip.crashes.identity import RequestKey

#: What reading something else raises.
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


@frozen
class ToldEnds:
    """Servers that ended under one request, and the query that each of them ran."""

    key: RequestKey
    query_by_server: Mapping[str, str]


def ends_to_plain(told: Iterable[ToldEnds]) -> list[Any]:
    """Return ends as plain data."""
    return [[each.key.target, each.key.content, each.query_by_server] for each in told]


def ends_from_plain(plain: Any) -> Iterator[ToldEnds]:
    """Read ends; raise one of MALFORMED for anything else."""
    for target, content, query_by_server in plain:
        ends = {str(k): str(v) for k, v in query_by_server.items()}
        yield ToldEnds(RequestKey(str(target), str(content)), ends)

"""Messages between instances about servers that advertise a rate, as plain data."""

from collections.abc import Iterable, Iterator
from math import inf
from typing import Any

from attrs import frozen

MAX_AGE_SECONDS = 86_400.0


@frozen
class RateReport:
    """A report from one instance about the rate of one server; ages in seconds."""

    backend_id: str
    #: Tag that distinguishes one start of the server from another.
    start: int
    per_second: float
    #: Age of the newest answer that advertises the rate.
    advertised_seconds: float
    #: Age of the newest request whose answer advertises no rate; None if there is none.
    cleared_seconds: float | None
    #: Whether answers to probes advertise the rate too.
    is_in_probes: bool = False
    by: str = ''


@frozen
class RateQuery:
    """A query about a server whose rate is stale at an instance; age in seconds."""

    backend_id: str
    start: int
    advertised_seconds: float


def rates_to_plain(rates: Iterable[RateReport]) -> list[Any]:
    """Return rates as plain data; ages in milliseconds."""
    return [
        [
            each.backend_id,
            each.start,
            each.per_second,
            to_ms(each.advertised_seconds),
            None if each.cleared_seconds is None else to_ms(each.cleared_seconds),
            int(each.is_in_probes),
        ]
        for each in rates
    ]


def rates_from_plain(plain: Any, by: str) -> Iterator[RateReport]:
    """Read rates from plain data.

    Raises KeyError, TypeError or ValueError for anything else.
    """
    for backend_id, start, per_second, advertised_ms, cleared_ms, is_in_probes in plain:
        yield RateReport(
            str(backend_id),
            int(start),
            to_non_negative(per_second),
            to_non_negative(advertised_ms) / 1e3,
            None if cleared_ms is None else to_non_negative(cleared_ms) / 1e3,
            bool(is_in_probes),
            by,
        )


def queries_to_plain(queries: Iterable[RateQuery]) -> list[Any]:
    """Return queries as plain data; ages in milliseconds."""
    return [[it.backend_id, it.start, to_ms(it.advertised_seconds)] for it in queries]


def queries_from_plain(plain: Any) -> Iterator[RateQuery]:
    """Read queries from plain data.

    Raises KeyError, TypeError or ValueError for anything else.
    """
    for backend_id, start, advertised_ms in plain:
        yield RateQuery(
            str(backend_id), int(start), to_non_negative(advertised_ms) / 1e3
        )


def to_ms(seconds: float) -> int:
    """Return an age in whole milliseconds, limited to the range from zero to one day.

    An event that never occurred has the age of one day.
    """
    return round(min(max(0.0, seconds), MAX_AGE_SECONDS) * 1e3)


def to_non_negative(value: Any) -> float:
    """Return a number that is finite and not negative; raise ValueError for others."""
    amount = float(value)
    if not 0 <= amount < inf:
        raise ValueError(f'rate or age {value!r} is not a finite number >= 0')
    return amount

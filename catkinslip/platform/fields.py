"""Readers of the fields of the platform's objects, which any writer may have filled.

Errors show values with `reprlib`, as the full text of nested lists exceeds the depth of
recursion.
"""

import re
from collections.abc import Mapping, Sequence
from reprlib import repr as shorten
from sys import float_info
from typing import Any

MAX_NUMBER = float_info.max
#: No control characters, and spaces only between others.
NAME_FORM = re.compile(r'[^\x00-\x20\x7f]+( +[^\x00-\x20\x7f]+)*\Z')
MAX_NAME_LENGTH = 256
#: Characters of an error in log lines.
MAX_ERROR_LENGTH = 200


def describe(error: Exception) -> str:
    """Return type and text of an error for a log line, shortened."""
    return f'{type(error).__name__}: {error}'[:MAX_ERROR_LENGTH]


def read_text(value: Any) -> str:
    """Return a value that is a non-empty text; raise TypeError for any other."""
    if not isinstance(value, str) or not value:
        raise TypeError(f'{shorten(value)} is not a non-empty text')
    return value


def read_name(value: Any) -> str:
    """Return a name that a header can hold; raise ValueError for any other text."""
    if NAME_FORM.match(read_text(value)) is None or len(value) > MAX_NAME_LENGTH:
        raise ValueError(f'{shorten(value)} is too long, or no header can hold it')
    return value


def read_integer(value: Any, minimum: int, maximum: int) -> int:
    """Return a whole number within a range; raise ValueError for any other value.

    True and false are not numbers here.
    """
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(
            f'{shorten(value)} is not a whole number from {minimum} to {maximum}'
        )
    return value


def read_number(value: Any, minimum: float, maximum: float) -> float:
    """Return a finite number within a range; raise ValueError for any other value.

    True and false are not numbers here.
    """
    # A comparison, as `isfinite` raises OverflowError for a whole number of 400 digits.
    if type(value) not in (int, float) or not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f'{shorten(value)} is not a finite number')
    if not minimum <= value <= maximum:
        raise ValueError(f'{shorten(value)} is not from {minimum} to {maximum}')
    return float(value)


def read_boolean(value: Any) -> bool:
    """Return a value that is true or false; raise TypeError for any other."""
    if not isinstance(value, bool):
        raise TypeError(f'{shorten(value)} is neither true nor false')
    return value


def rows_of(table: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the rows of a table as dictionaries by column name, without nulls."""
    columns: Sequence[str] = table['columns']
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table['rows']
    ]

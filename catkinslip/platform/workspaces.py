"""Decoder of the workspaces in the platform's configuration.

A mistake makes the whole configuration invalid, so that the last valid one stays in
force. Its text is logged: it names rows, columns and workspaces, and contains no value,
since a row with shifted columns has keys in any of them.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from catkinslip.config.documents import Workspace
from catkinslip.platform.fields import read_integer, read_number, rows_of

#: A name goes into a header and into log lines.
NAME_FORM = re.compile(r'[!-~]([ -~]{0,126}[!-~])?\Z')
MAX_PRIORITY = 1000
#: The largest limit in requests per second, and the largest burst.
MAX_REQUESTS = 1_000_000
MISTAKES = (AttributeError, IndexError, KeyError, TypeError, ValueError)


def decode_workspaces(table: Mapping[str, Any] | None) -> dict[str, Workspace]:
    """Decode the table of workspaces by name; raise ValueError for a mistake in it.

    A configuration without the table has no workspaces.
    """
    if table is None:
        return {}
    workspace_by_name: dict[str, Workspace] = {}
    for index, row in enumerate(read_rows(table)):
        name = row.get('name')
        if not isinstance(name, str) or NAME_FORM.match(name) is None:
            raise ValueError(
                f'tenants row {index}: the name must be 1 to 128 visible characters'
            )
        if name in workspace_by_name:
            raise ValueError(f'tenants row {index}: the name is that of an earlier row')
        workspace_by_name[name] = decode_workspace(index, row)
    check_keys(workspace_by_name)
    return workspace_by_name


def read_rows(table: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the rows of the table; raise ValueError if it is malformed."""
    try:
        return rows_of(table)
    except MISTAKES as error:
        reason = type(error).__name__
        raise ValueError(f'tenants is no table of columns and rows: {reason}') from None


def decode_workspace(index: int, row: Mapping[str, Any]) -> Workspace:
    """Decode the workspace of one row."""
    priority = row.get('priority')
    return Workspace(
        api_keys=read_keys(index, row.get('api_keys', ())),
        priority=None
        if priority is None
        else read_column(index, 'priority', read_integer, priority, MAX_PRIORITY),
        requests_per_second=read_rate(index, row, 'rate_per_s'),
        burst=read_rate(index, row, 'burst'),
    )


def read_rate(index: int, row: Mapping[str, Any], column: str) -> float:
    """Return the number in a column; 0 if there is none."""
    return read_column(index, column, read_number, row.get(column, 0), MAX_REQUESTS)


def read_column(index: int, column: str, read: Any, value: Any, maximum: float) -> Any:
    """Return the value of a column; raise ValueError without the value."""
    try:
        return read(value, 0, maximum)
    except MISTAKES:
        wanted = f'a number from 0 to {maximum}'
        if read is read_integer:
            wanted = f'a whole number from 0 to {maximum}'
        raise ValueError(f'tenants row {index}: {column} must be {wanted}') from None


def read_keys(index: int, value: Any) -> tuple[str, ...]:
    """Return the keys of a row; raise ValueError if they are no list of texts."""
    is_list = isinstance(value, list | tuple)
    if not is_list or not all(is_key(each) for each in value):
        raise ValueError(
            f'tenants row {index}: api_keys must be a list of non-empty texts'
        )
    return tuple(value)


def is_key(value: Any) -> bool:
    """Return whether a value is a non-empty text that a header can hold."""
    if not isinstance(value, str) or not value:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        # Half of a surrogate pair has no bytes that a caller could send.
        return False
    return True


def check_keys(workspace_by_name: Mapping[str, Workspace]) -> None:
    """Raise ValueError if a key belongs to two workspaces."""
    for first, second in find_shared(workspace_by_name):
        raise ValueError(f'tenants {first!r} and {second!r} have a key in common')


def find_shared(
    workspace_by_name: Mapping[str, Workspace],
) -> Iterable[tuple[str, str]]:
    """Yield the names of two workspaces for each key that both have."""
    name_by_key: dict[str, str] = {}
    for name, workspace in workspace_by_name.items():
        for key in workspace.api_keys:
            first = name_by_key.setdefault(key, name)
            if first != name:
                yield first, name

"""Maps in bounded memory, ordered by the last use of their entries."""

from typing import TypeVar

Value = TypeVar('Value')


def put_newest(
    value_by_key: dict[str, Value], key: str, value: Value, max_entries: int
) -> None:
    """Put an entry at the end of a map, and remove the first of a full one."""
    value_by_key.pop(key, None)
    if len(value_by_key) >= max_entries:
        del value_by_key[next(iter(value_by_key))]
    value_by_key[key] = value

"""The key that a request carries, and why it may be no key.

Answers requests whose key header is missing, repeated, empty, too long or not text:
they are rejected before the key is hashed.
"""

from collections.abc import Sequence
from enum import Enum, unique

#: The platform allows keys of any length; no head of a request holds a longer header.
MAX_KEY_BYTES = 16 << 10


@unique
class KeyFault(Enum):
    """Why a request is rejected for its key."""

    MISSING = 'missing'
    REPEATED = 'repeated'
    EMPTY = 'empty'
    TOO_LONG = 'too-long'
    NOT_TEXT = 'not-text'
    UNKNOWN = 'unknown'


def read_key(values: Sequence[bytes]) -> bytes | KeyFault:
    """Return the key in the values of the key header, or why there is none."""
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.REPEATED
    key = values[0]
    if not key:
        return KeyFault.EMPTY
    if len(key) > MAX_KEY_BYTES:
        return KeyFault.TOO_LONG
    return key if is_text(key) else KeyFault.NOT_TEXT


def is_text(key: bytes) -> bool:
    """Return whether a key is text without control characters."""
    try:
        return key.decode().isprintable()
    except UnicodeDecodeError:
        return False

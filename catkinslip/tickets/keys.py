"""Keys of requests that must not run twice.

A key names its home: the only instance, in one incarnation, that may run the request.
"""

from attrs import define, frozen

from catkinslip.clock import Clock
from catkinslip.membership.members import Member

#: First field of keys that an instance issued; sets them apart from keys that callers
#: generate themselves.
KEY_SCHEME = 'ck1'
#: Maximum length of a key, in characters.
MAX_KEY_LENGTH = 255


@frozen
class TicketKey:
    """A key with a prefix from an address answer; `expiry` is in Unix seconds."""

    text: str
    member_id: str
    incarnation: int
    expiry: int


def key_prefix(member: Member, expiry: int) -> str:
    """Return the prefix of a key, to which a caller adds `.` and a random part."""
    return f'{KEY_SCHEME}.{member.member_id}.{member.incarnation}.{expiry}'


def parse_key(text: str) -> TicketKey | None:
    """Parse a key; return None if its prefix is not from an address answer."""
    scheme, _, rest = text.partition('.')
    fields = rest.rsplit('.', 3)
    if scheme != KEY_SCHEME or len(fields) != 4 or len(text) > MAX_KEY_LENGTH:
        return None
    member_id, incarnation, expiry, random = fields
    if not (member_id and random and is_decimal(incarnation) and is_decimal(expiry)):
        return None
    return TicketKey(text, member_id, int(incarnation), int(expiry))


def is_decimal(text: str) -> bool:
    """Return whether a text is a whole number in ASCII digits."""
    return text.isascii() and text.isdecimal()


class AnchoredClock:
    """A clock of Unix seconds that never go back within one process.

    The wall clock is read once, at the start; the monotonic clock advances the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()

    def now(self) -> float:
        """Return the current time in Unix seconds."""
        return self._clock.monotonic() + self._offset


@define
class KeyIssuer:
    """The issuer of key prefixes for callers; the lifetime is in seconds."""

    clock: AnchoredClock
    lifetime: float

    def prefix(self, member: Member) -> str:
        """Return a key prefix whose home is the given member."""
        return key_prefix(member, int(self.clock.now() + self.lifetime))

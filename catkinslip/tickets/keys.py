"""Keys of requests that must not run twice.

A key names its home: the one instance, in one incarnation, that may run it.
"""

from attrs import define, frozen

from catkinslip.clock import Clock
from catkinslip.membership.members import Member

#: Sets our keys apart from those that callers make up themselves.
KEY_SCHEME = 'ck1'
MAX_KEY_LENGTH = 255


@frozen
class TicketKey:
    """A key that an address answer began; `expiry` is in Unix seconds."""

    text: str
    member_id: str
    incarnation: int
    expiry: int


def key_prefix(member: Member, expiry: int) -> str:
    """Return the prefix that a caller completes with `.` and a random part."""
    return f'{KEY_SCHEME}.{member.member_id}.{member.incarnation}.{expiry}'


def parse_key(text: str) -> TicketKey | None:
    """Parse a key; None for one that no address answer began."""
    scheme, _, rest = text.partition('.')
    fields = rest.rsplit('.', 3)
    if scheme != KEY_SCHEME or len(fields) != 4 or len(text) > MAX_KEY_LENGTH:
        return None
    member_id, incarnation, expiry, random = fields
    if not (member_id and random and is_decimal(incarnation) and is_decimal(expiry)):
        return None
    return TicketKey(text, member_id, int(incarnation), int(expiry))


def is_decimal(text: str) -> bool:
    """Tell whether a text is a whole number in ASCII digits."""
    return text.isascii() and text.isdecimal()


class AnchoredClock:
    """Tell Unix seconds that never go back within one process.

    The wall clock is read once, at the start; the monotonic clock moves it on.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()

    def now(self) -> float:
        """Return Unix seconds."""
        return self._clock.monotonic() + self._offset


@define
class KeyIssuer:
    """Begin keys for callers; the lifetime is in seconds."""

    clock: AnchoredClock
    lifetime: float

    def prefix(self, member: Member) -> str:
        """Return the prefix of keys whose home is a member."""
        return key_prefix(member, int(self.clock.now() + self.lifetime))

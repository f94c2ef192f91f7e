"""Whether this instance may send to cold servers, whichever peers it can reach.

Each instance decides this by itself, from the list of instances in the store. At most
SENDERS_PER_ZONE instances of a zone send at a time, although lists may be old and
instances partitioned: each sender has read a list recently, and has been in the list
for longer than the greatest age of any list in use. So the list of each sender contains
all other senders, and their order is the same in all lists.
"""

from math import inf

from attrs import define, frozen

from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender

#: Seconds for which a list is used; it is read every 6 s at the slowest.
LIST_SECONDS = 8.0
#: Greatest age, in seconds, of a list when it arrives from the store.
STALE_LIST_SECONDS = 7.0
#: Seconds for which an instance must have been listed.
LISTED_SECONDS = LIST_SECONDS + STALE_LIST_SECONDS


@frozen
class SenderPosition:
    """This instance's position among the senders of its zone."""

    sender: Sender
    #: Whether the position is from a recent list; other instances may have been added
    #: since an older one.
    is_recent: bool


@define
class SenderLease:
    """This instance's presence in the instance list; times are monotonic seconds."""

    #: Time of the last request for a list that was answered by the store itself.
    read_at: float = -inf
    #: Time since which each of these lists has contained this instance.
    listed_since: float = inf
    has_left: bool = False

    def record_list(self, asked_at: float, now: float, *, is_listed: bool) -> None:
        """Record a list that the store returned, requested at a given time."""
        self.read_at = asked_at
        if not is_listed:
            self.listed_since = inf
        elif self.listed_since == inf:
            self.listed_since = now

    def leave(self) -> None:
        """Stop sending for good, as other instances may now take this position."""
        self.has_left = True

    def sender(self, zone: str, rank: int, now: float) -> Sender | None:
        """Return the sender position for a rank in a zone, or None if there is none."""
        is_read = now - self.read_at <= LIST_SECONDS
        is_listed = now - self.listed_since >= LISTED_SECONDS
        if self.has_left or not (is_read and is_listed) or rank >= SENDERS_PER_ZONE:
            return None
        return Sender(zone, rank)

    def position(self, zone: str, rank: int, now: float) -> SenderPosition | None:
        """Return the current position, or else the one from the last list.

        An instance that had a position when it last read a list keeps it while it
        cannot read one. All such instances were in each other's lists, so at most
        SENDERS_PER_ZONE of a zone have one.
        """
        sender = self.sender(zone, rank, now)
        if sender is not None:
            return SenderPosition(sender, is_recent=True)
        had_position = self.read_at - self.listed_since >= LISTED_SECONDS
        if self.has_left or not had_position or rank >= SENDERS_PER_ZONE:
            return None
        return SenderPosition(Sender(zone, rank), is_recent=False)

"""Whether this instance may send to cold servers, whoever else it can reach.

Each instance decides it alone, from the list of instances in the store. No more than
SENDERS_PER_ZONE of a zone do at a time, though lists are old and instances are parted:
whoever sends has read a list lately, and has been in the list for longer than any list
that is still used may be old. So of any that send, each one's list names all others,
and their order is the same in all lists.
"""

from math import inf

from attrs import define, frozen

from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender

#: The list is read each 6 s at the slowest.
LIST_SECONDS = 8.0
#: A list from the store may be so old when it comes.
STALE_LIST_SECONDS = 7.0
#: Time for which an instance must have been listed.
LISTED_SECONDS = LIST_SECONDS + STALE_LIST_SECONDS


@frozen
class SenderPosition:
    """What an instance knows of its own place among the senders of its zone."""

    sender: Sender
    #: Whether it rests on a list of late; others may have come since an older one.
    is_recent: bool


@define
class SenderLease:
    """What this instance knows of its own place in the list; monotonic seconds."""

    #: When it last asked for a list that it got from the store itself.
    read_at: float = -inf
    #: Since when each of these lists named it.
    listed_since: float = inf
    has_left: bool = False

    def record_list(self, asked_at: float, now: float, *, is_listed: bool) -> None:
        """Take a list that the store told, which was asked for at a time."""
        self.read_at = asked_at
        if not is_listed:
            self.listed_since = inf
        elif self.listed_since == inf:
            self.listed_since = now

    def leave(self) -> None:
        """Stop to send for good: others may take this instance's place from now on."""
        self.has_left = True

    def sender(self, zone: str, rank: int, now: float) -> Sender | None:
        """Return the place of the instance with a rank in its zone; None if none."""
        is_read = now - self.read_at <= LIST_SECONDS
        is_listed = now - self.listed_since >= LISTED_SECONDS
        if self.has_left or not (is_read and is_listed) or rank >= SENDERS_PER_ZONE:
            return None
        return Sender(zone, rank)

    def position(self, zone: str, rank: int, now: float) -> SenderPosition | None:
        """Return the place, also the one that the instance had in the last list.

        Who had it when it last read a list keeps it where it reads none: all such
        read of each other, so no more than SENDERS_PER_ZONE of a zone do.
        """
        sender = self.sender(zone, rank, now)
        if sender is not None:
            return SenderPosition(sender, is_recent=True)
        had_position = self.read_at - self.listed_since >= LISTED_SECONDS
        if self.has_left or not had_position or rank >= SENDERS_PER_ZONE:
            return None
        return SenderPosition(Sender(zone, rank), is_recent=False)

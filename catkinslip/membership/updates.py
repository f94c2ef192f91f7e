"""The queue of member updates to gossip, each a bounded number of times."""

import math

from attrs import Factory, define

#: An update is sent this many times the binary logarithm of the number of members:
#: https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf
TRANSMISSION_FACTOR = 3


@define
class UpdateQueue:
    """The queued updates, with the number of times that each was sent."""

    sent_by_id: dict[str, int] = Factory(dict)

    def add(self, member_id: str) -> None:
        """Queue a new update of a member in place of an earlier one."""
        self.sent_by_id[member_id] = 0

    def take(self, limit: int, member_count: int) -> list[str]:
        """Return the ids of members whose updates are sent next, the least sent first.

        Counts the updates as sent and removes those sent often enough.
        """
        chosen = sorted(self.sent_by_id, key=self.sent_by_id.__getitem__)[:limit]
        for member_id in chosen:
            self.sent_by_id[member_id] += 1
            if self.sent_by_id[member_id] >= transmissions(member_count):
                del self.sent_by_id[member_id]
        return chosen


def transmissions(member_count: int) -> int:
    """Return the number of times that one member sends an update."""
    return TRANSMISSION_FACTOR * math.ceil(math.log2(member_count + 1))

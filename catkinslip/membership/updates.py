"""The updates that messages carry along, each a bounded number of times."""

import math

from attrs import Factory, define

#: An update is sent this many times the logarithm of the number of members:
#: https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf
TRANSMISSION_FACTOR = 3


@define
class UpdateQueue:
    """Count how often the update on each member was sent."""

    sent_by_id: dict[str, int] = Factory(dict)

    def add(self, member_id: str) -> None:
        """Queue a new update; it replaces the earlier one on the member."""
        self.sent_by_id[member_id] = 0

    def take(self, limit: int, member_count: int) -> list[str]:
        """Return the members to write of, the least sent first."""
        chosen = sorted(self.sent_by_id, key=self.sent_by_id.__getitem__)[:limit]
        for member_id in chosen:
            self.sent_by_id[member_id] += 1
            if self.sent_by_id[member_id] >= transmissions(member_count):
                del self.sent_by_id[member_id]
        return chosen


def transmissions(member_count: int) -> int:
    """Return how often one update is sent by one member."""
    return TRANSMISSION_FACTOR * math.ceil(math.log2(member_count + 1))

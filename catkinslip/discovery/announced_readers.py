"""Readers of last resort that announced themselves to a leader of their zone.

The load that this answers: the store refuses all leaders of a zone and serves others.
The leaders poll those few, so that what they read reaches the whole zone.
"""

from attrs import Factory, define

from catkinslip.discovery.readers import READERS

#: Time for which a reader of last resort is polled after it announced itself, three
#: times the interval of its announcements.
ANNOUNCED_SECONDS = 1.5


@define
class AnnouncedReaders:
    """At most READERS instances, each for some time after its last announcement."""

    #: End of each announcement on the monotonic clock.
    until_by_id: dict[str, float] = Factory(dict)

    def add(self, instance_id: str, now: float) -> bool:
        """Add or renew an announcement; return whether the instance is new."""
        known = self.ids(now)
        is_new = instance_id not in known
        if is_new and len(known) >= READERS:
            return False
        self.until_by_id[instance_id] = now + ANNOUNCED_SECONDS
        return is_new

    def ids(self, now: float) -> list[str]:
        """Return the IDs of the instances whose announcements have not expired."""
        for instance_id, until in list(self.until_by_id.items()):
            if now >= until:
                del self.until_by_id[instance_id]
        return list(self.until_by_id)

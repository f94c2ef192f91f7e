"""The view of each zone: its members, their hash and the last contact."""

from collections.abc import Iterable

import xxhash
from attrs import Factory, define

from catkinslip.membership.members import Member, MemberTable

#: Seconds after a change during which a view is not repaired, because gossip still
#: carries the change.
SETTLED_SECONDS = 10.0
#: Seconds without contact, direct or through peers, after which a zone is left out of
#: address answers.
SILENT_SECONDS = 30.0
GATEWAYS_PER_ZONE = 3


def hash_of_members(members: Iterable[Member]) -> str:
    """Return a short hash of member records that does not depend on their order."""
    total = 0
    for each in members:
        total ^= hash_of(
            each.member_id, each.incarnation, each.leaving, each.precedence
        )
    return f'{total & 0xFFFFFFFF:08x}'


def hash_of(*parts: object) -> int:
    """Return a 64-bit hash of the text of several values."""
    return xxhash.xxh3_64_intdigest('\0'.join(map(str, parts)).encode())


def gateways(members: Iterable[Member]) -> list[Member]:
    """Return the members of one zone that exchange with other zones."""
    ranked = sorted(
        (each for each in members if each.is_usable),
        key=lambda each: hash_of('gateway', each.member_id),
        reverse=True,
    )
    return ranked[:GATEWAYS_PER_ZONE]


@define
class ZoneViews:
    """The views of all zones, derived from the member table."""

    table: MemberTable
    contact_at_by_zone: dict[str, float] = Factory(dict)
    members_by_zone: dict[str, list[Member]] = Factory(dict)
    _hash_by_zone: dict[str, str] = Factory(dict)
    _changed_at_by_zone: dict[str, float] = Factory(dict)
    _version: int = -1

    def refresh(self, now: float) -> None:
        """Rebuild the views of all zones if the member table changed."""
        if self._version == self.table.version:
            return
        self._version = self.table.version
        self.members_by_zone = {}
        for member in self.table.live():
            self.members_by_zone.setdefault(member.zone, []).append(member)
        for zone, members in self.members_by_zone.items():
            value = hash_of_members(members)
            if self._hash_by_zone.get(zone) != value:
                self._changed_at_by_zone[zone] = now
            self._hash_by_zone[zone] = value
            self.contact_at_by_zone.setdefault(zone, now)

    def hash_by_zone(self, now: float) -> dict[str, str]:
        """Return the hash of each zone, empty if its view changed recently."""
        self.refresh(now)
        return {
            zone: self._hash_by_zone[zone] if self._is_settled(zone, now) else ''
            for zone in self.members_by_zone
        }

    def age_by_zone(self, now: float) -> dict[str, float]:
        """Return the seconds since the last contact with each zone, rounded up."""
        self.refresh(now)
        ages = {
            zone: round(now - contact_at + 0.05, 1)
            for zone, contact_at in self.contact_at_by_zone.items()
            if zone in self.members_by_zone
        }
        ages[self.table.own.zone] = 0.0
        return ages

    def record_contact(self, zone: str, now: float, age: float = 0.0) -> None:
        """Record contact with a zone `age` seconds ago, direct or through peers."""
        self.contact_at_by_zone[zone] = max(
            self.contact_at_by_zone.get(zone, 0.0), now - age
        )

    def shift(self, seconds: float) -> None:
        """Move all contact times forward by a pause of this process, in seconds."""
        for zone in self.contact_at_by_zone:
            self.contact_at_by_zone[zone] += seconds

    def silent(self, now: float) -> frozenset[str]:
        """Return the zones without contact for more than SILENT_SECONDS."""
        ages = self.age_by_zone(now)
        return frozenset(zone for zone, age in ages.items() if age > SILENT_SECONDS)

    def zones_to_repair(self, hash_by_zone: dict[str, str], now: float) -> list[str]:
        """Return the zones that a peer's view lacks or has with another hash."""
        own = self.hash_by_zone(now)
        return [
            zone
            for zone in own
            if zone not in hash_by_zone
            or (own[zone] and hash_by_zone[zone] and own[zone] != hash_by_zone[zone])
        ]

    def _is_settled(self, zone: str, now: float) -> bool:
        return now - self._changed_at_by_zone[zone] >= SETTLED_SECONDS

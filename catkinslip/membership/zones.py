"""What an instance knows of each zone: a hash of its members, and how old it is."""

from collections.abc import Iterable

import xxhash
from attrs import Factory, define

from catkinslip.membership.members import Member, MemberTable

#: A view that changed so recently is still spreading, so it is not repaired yet.
SETTLED_SECONDS = 10.0
#: A zone that no side heard of for so long is left out of address answers.
SILENT_SECONDS = 30.0
GATEWAYS_PER_ZONE = 3


def hash_of_members(members: Iterable[Member]) -> str:
    """Return a short hash of words, whatever their order."""
    total = 0
    for each in members:
        total ^= hash_of(
            each.member_id, each.incarnation, each.leaving, each.precedence
        )
    return f'{total & 0xFFFFFFFF:08x}'


def hash_of(*parts: object) -> int:
    """Return a 64-bit hash of some parts."""
    return xxhash.xxh3_64_intdigest('\0'.join(map(str, parts)).encode())


def gateways(members: Iterable[Member]) -> list[Member]:
    """Return the members of one zone that talk to other zones."""
    ranked = sorted(
        (each for each in members if each.is_usable),
        key=lambda each: hash_of('gateway', each.member_id),
        reverse=True,
    )
    return ranked[:GATEWAYS_PER_ZONE]


@define
class ZoneViews:
    """Derive the views of all zones from the member table."""

    table: MemberTable
    contact_at_by_zone: dict[str, float] = Factory(dict)
    members_by_zone: dict[str, list[Member]] = Factory(dict)
    _hash_by_zone: dict[str, str] = Factory(dict)
    _changed_at_by_zone: dict[str, float] = Factory(dict)
    _version: int = -1

    def refresh(self, now: float) -> None:
        """Derive the views again if the table changed."""
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
        """Return the hash of each zone, empty while its view is spreading."""
        self.refresh(now)
        return {
            zone: self._hash_by_zone[zone] if self._is_settled(zone, now) else ''
            for zone in self.members_by_zone
        }

    def age_by_zone(self, now: float) -> dict[str, float]:
        """Return the seconds since each zone was heard of, rounded up."""
        self.refresh(now)
        ages = {
            zone: round(now - contact_at + 0.05, 1)
            for zone, contact_at in self.contact_at_by_zone.items()
            if zone in self.members_by_zone
        }
        ages[self.table.own.zone] = 0.0
        return ages

    def record_contact(self, zone: str, now: float, age: float = 0.0) -> None:
        """Take note that a zone was heard of some seconds ago."""
        self.contact_at_by_zone[zone] = max(
            self.contact_at_by_zone.get(zone, 0.0), now - age
        )

    def shift(self, seconds: float) -> None:
        """Leave out a time in which this process did not run."""
        for zone in self.contact_at_by_zone:
            self.contact_at_by_zone[zone] += seconds

    def silent(self, now: float) -> frozenset[str]:
        """Return the zones that were not heard of for long."""
        ages = self.age_by_zone(now)
        return frozenset(zone for zone, age in ages.items() if age > SILENT_SECONDS)

    def zones_to_repair(self, hash_by_zone: dict[str, str], now: float) -> list[str]:
        """Return the zones on which a peer's view lacks or contradicts this one."""
        own = self.hash_by_zone(now)
        return [
            zone
            for zone in own
            if zone not in hash_by_zone
            or (own[zone] and hash_by_zone[zone] and own[zone] != hash_by_zone[zone])
        ]

    def _is_settled(self, zone: str, now: float) -> bool:
        return now - self._changed_at_by_zone[zone] >= SETTLED_SECONDS

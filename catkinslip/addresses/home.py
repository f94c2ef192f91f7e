"""Choose the home set: the few instances that serve one service in one region.

Rendezvous hashing, so that little moves when instances come and go.
"""

import math
from collections.abc import Iterable

from attrs import frozen

from catkinslip.addresses.rendezvous import weight
from catkinslip.config.documents import Service
from catkinslip.membership.members import Member

#: What one instance serves with half of a core.
CALLS_PER_SECOND_PER_INSTANCE = 1000.0
#: The register has no service times; shorter ones call for a greater minimum.
ASSUMED_SERVICE_SECONDS = 0.02
SPARE_INSTANCES = 2


@frozen
class HomeSetLimits:
    """Least and greatest number of instances of one home set."""

    minimum: int = 3
    maximum: int = 5


def home_set_size(service: Service, backends: int, limits: HomeSetLimits) -> int:
    """Return how many instances the load of a service needs, and some to lose."""
    slots = backends * service.slots
    calls_per_second = slots / ASSUMED_SERVICE_SECONDS
    needed = math.ceil(calls_per_second / CALLS_PER_SECOND_PER_INSTANCE)
    return max(limits.minimum, min(limits.maximum, needed + SPARE_INSTANCES))


def choose_home_set(
    service: str, region: str, members: Iterable[Member], size: int
) -> list[Member]:
    """Return the home set of a service in a region.

    No zone holds all of it while others have members. Members of other regions
    fill it up when the region has too few.
    """
    ranked = sorted(
        members,
        key=lambda each: (each.region == region, weight(service, each.member_id)),
        reverse=True,
    )
    max_per_zone = size // 2 + 1
    chosen: list[Member] = []
    spare: list[Member] = []
    count_by_zone: dict[str, int] = {}
    for member in ranked:
        count = count_by_zone.get(member.zone, 0)
        is_kept = member.region == region and count < max_per_zone
        (chosen if is_kept else spare).append(member)
        count_by_zone[member.zone] = count + 1
    return [*chosen, *spare][:size]


def zone_first(members: Iterable[Member], zone: str) -> list[Member]:
    """Return members in the same order, but those of a zone first."""
    return sorted(members, key=lambda each: each.zone != zone)

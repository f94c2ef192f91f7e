"""Choice of the home set: the few instances that serve a service in a region.

Rendezvous hashing keeps most home sets unchanged when instances join or leave.
"""

import math
from collections.abc import Iterable

from attrs import frozen

from catkinslip.addresses.rendezvous import weight
from catkinslip.config.documents import Service
from catkinslip.membership.members import Member

#: Calls per second that one instance handles with half of a CPU core.
CALLS_PER_SECOND_PER_INSTANCE = 1000.0
#: Assumed service time in seconds, as the register has none; shorter service times
#: require a greater minimum home set.
ASSUMED_SERVICE_SECONDS = 0.02
#: Number of instances beyond those that the load needs, so that some can fail.
SPARE_INSTANCES = 2


@frozen
class HomeSetLimits:
    """Minimum and maximum number of instances of one home set."""

    minimum: int = 3
    maximum: int = 5


def home_set_size(service: Service, backends: int, limits: HomeSetLimits) -> int:
    """Return the number of instances for the load of a service, including spares."""
    slots = backends * service.slots
    calls_per_second = slots / ASSUMED_SERVICE_SECONDS
    needed = math.ceil(calls_per_second / CALLS_PER_SECOND_PER_INSTANCE)
    return max(limits.minimum, min(limits.maximum, needed + SPARE_INSTANCES))


def choose_home_set(
    service: str, region: str, members: Iterable[Member], size: int
) -> list[Member]:
    """Return the home set of a service in a region.

    No zone holds the whole set while other zones of the region have members. Members
    of other regions fill the set when the region has too few.
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
    """Return the members with those of one zone first, otherwise in the same order."""
    return sorted(members, key=lambda each: each.zone != zone)

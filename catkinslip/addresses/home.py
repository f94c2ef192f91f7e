"""Choose the home set: the few instances that serve one service.

Rendezvous hashing, so that little moves when instances come and go:
https://en.wikipedia.org/wiki/Rendezvous_hashing
"""

from collections.abc import Iterable

import xxhash

from catkinslip.membership.members import Member


def weight(service: str, member_id: str) -> int:
    """Return the rendezvous weight of a member for a service."""
    return xxhash.xxh3_64_intdigest(f'{service}\0{member_id}'.encode())


def home_set(
    service: str, zone: str, members: Iterable[Member], size: int
) -> list[Member]:
    """Return the home set of a service, members of the zone first."""
    usable = [member for member in members if not member.leaving]
    usable.sort(
        key=lambda each: (each.zone == zone, weight(service, each.member_id)),
        reverse=True,
    )
    return usable[:size]

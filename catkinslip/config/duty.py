"""Decide which instances hold a watch on the platform.

A few per zone watch; the others learn from peers and poll now and then. Two views
that differ cost a watch more or less and break nothing. Rendezvous hashing keeps
the choice steady: https://en.wikipedia.org/wiki/Rendezvous_hashing
"""

from collections.abc import Iterable

import xxhash

from catkinslip.membership.members import Member

WATCHERS_PER_ZONE = 2


def watchers_of(zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the members of a zone that watch; all of them when they are few."""
    able = [each for each in members if each.zone == zone and not each.leaving]
    return sorted(able, key=watch_weight, reverse=True)[:WATCHERS_PER_ZONE]


def watch_weight(member: Member) -> int:
    """Return the rendezvous weight of a member for the watch."""
    return xxhash.xxh3_64_intdigest(f'watch\0{member.member_id}'.encode())


def is_watcher(own: Member, members: Iterable[Member]) -> bool:
    """Tell whether a member is one of the watchers of its zone."""
    return any(
        each.member_id == own.member_id for each in watchers_of(own.zone, members)
    )

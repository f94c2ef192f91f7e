"""Choice of the instances that watch the configuration on the platform.

A few instances per zone watch it; the others receive changes from peers and poll the
platform at long intervals. Instances whose views of the members differ may choose
different watchers: this causes a watch more or less and no error. Rendezvous hashing
keeps the choice stable: https://en.wikipedia.org/wiki/Rendezvous_hashing
"""

from collections.abc import Iterable

import xxhash

from catkinslip.membership.members import Member

#: Maximum number of watchers in one availability zone.
WATCHERS_PER_ZONE = 2


def choose_watchers(zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the members of a zone that watch the platform.

    They are all members of the zone that are not leaving, if these are few.
    """
    candidates = [each for each in members if each.zone == zone and not each.leaving]
    return sorted(candidates, key=watch_weight, reverse=True)[:WATCHERS_PER_ZONE]


def watch_weight(member: Member) -> int:
    """Return the rendezvous weight of a member in the choice of watchers."""
    return xxhash.xxh3_64_intdigest(f'watch\0{member.member_id}'.encode())


def is_watcher(member: Member, members: Iterable[Member]) -> bool:
    """Return whether a member is one of the watchers of its zone."""
    return any(
        each.member_id == member.member_id
        for each in choose_watchers(member.zone, members)
    )

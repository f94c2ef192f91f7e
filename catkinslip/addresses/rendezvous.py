"""Rendezvous hashing: a ranking of members that changes little on join or leave.

https://en.wikipedia.org/wiki/Rendezvous_hashing
"""

import xxhash


def weight(key: str, member_id: str) -> int:
    """Return the weight of a member for a key; the greatest weights rank first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{member_id}'.encode())

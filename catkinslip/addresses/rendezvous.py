"""Rank members so that little moves when one comes or goes.

https://en.wikipedia.org/wiki/Rendezvous_hashing
"""

import xxhash


def weight(key: str, member_id: str) -> int:
    """Return the weight of a member for a key; the greatest ones are chosen."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{member_id}'.encode())

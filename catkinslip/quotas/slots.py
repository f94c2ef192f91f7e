"""The division of workspaces among pools, the same on every instance."""

from collections.abc import Iterable

import xxhash

from catkinslip.addresses.rendezvous import weight

#: Workspaces are divided by a hash of their names into this many slots, each with its
#: own pool. It bounds the number of pools, and so the messages of one generator.
SLOTS = 8


def key_of(workspace: str) -> int:
    """Return the number that stands for a workspace in messages.

    Names may be too long for a datagram.
    """
    return xxhash.xxh3_64_intdigest(workspace.encode())


def slot_of(key: int) -> int:
    """Return the slot of a workspace's key."""
    return key % SLOTS


def order_pools(slot: int, instance_ids: Iterable[str]) -> list[str]:
    """Return the instances in the order of preference as the pool of a slot."""
    return sorted(
        instance_ids, key=lambda each: weight(f'quota {slot}', each), reverse=True
    )

"""Choose which backend servers to probe now; pure, and silent about the budget."""

from collections.abc import Iterable, Sequence

import xxhash
from attrs import frozen

from catkinslip.models import BackendKey

STALE_SECONDS = 2.0
#: Each place behind the first in the order of a server waits this much longer, so
#: the next ones step in only if the first ones do not probe or tell.
RANK_SECONDS = 2.0


@frozen
class ProbeTarget:
    """A server to probe, whether to prove its return, and for how long it is due."""

    key: BackendKey
    service: str
    proves_return: bool
    overdue: float


def rank(key: BackendKey, own_id: str, member_ids: Iterable[str]) -> int:
    """Return the place of an instance in the rendezvous order of a server."""
    own_weight = weight(key, own_id)
    return sum(weight(key, each) > own_weight for each in member_ids if each != own_id)


def weight(key: BackendKey, member_id: str) -> int:
    """Return the rendezvous weight of a member for a server."""
    return xxhash.xxh3_64_intdigest(f'{key.address}\0{member_id}'.encode())


def in_order(targets: Sequence[ProbeTarget]) -> list[ProbeTarget]:
    """Return targets that prove a return first, then those due for longest."""
    return sorted(targets, key=lambda each: (not each.proves_return, -each.overdue))

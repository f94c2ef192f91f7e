"""Order of the backend servers to probe; pure functions that ignore the budget."""

from collections.abc import Iterable, Sequence

import xxhash
from attrs import frozen

from catkinslip.models import BackendKey

#: Seconds without an answer after which a server is due for a probe.
STALE_SECONDS = 2.0
#: Extra seconds that each instance waits per rank behind the first in the order of a
#: server, so that it probes only if those before it send no probe or no result.
RANK_SECONDS = 2.0


@frozen
class ProbeTarget:
    """A server to probe: whether for a proof of its return, and seconds overdue."""

    key: BackendKey
    service: str
    proves_return: bool
    overdue: float


def rank(key: BackendKey, own_id: str, member_ids: Iterable[str]) -> int:
    """Return the rank of an instance in the rendezvous order of a server, from 0."""
    own_weight = weight(key, own_id)
    return sum(weight(key, each) > own_weight for each in member_ids if each != own_id)


def weight(key: BackendKey, member_id: str) -> int:
    """Return the rendezvous weight of a member for a server."""
    return xxhash.xxh3_64_intdigest(f'{key.address}\0{member_id}'.encode())


def sort_targets(targets: Sequence[ProbeTarget]) -> list[ProbeTarget]:
    """Return targets that prove a return first, then the longest overdue."""
    return sorted(targets, key=lambda each: (not each.proves_return, -each.overdue))

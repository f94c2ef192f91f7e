"""Division of the requests that a cold server can handle among the instances.

A server that has just started is slow and crashes if too many requests arrive in a
second, from all instances together. An idle server looks best to each instance: if each
of 118 instances sends one request, 118 arrive. Therefore only few instances may send to
a cold server, each a fixed number in any second, and these numbers add up to the bound.
They follow from the server's ID, the zones in the settings and the instance's position
in its own zone, not from which instances are thought to be alive. So the bound also
holds between instances that are partitioned from each other, from the store or from
both.
"""

from collections.abc import Collection, Iterator

from attrs import frozen

from catkinslip.addresses.rendezvous import weight

#: Instances of a zone that may send to cold servers; one of them may be unavailable.
SENDERS_PER_ZONE = 2
#: Share of the bound for the senders of the server's own zone, which are those that
#: select it, as requests to other zones cost more.
NEAR_SHARE = 0.6
#: Share of the bound that is divided. The remainder is for requests sent before any
#: instance detected that the server had turned cold, and for requests that arrive
#: together because some were delayed. With the whole bound divided, 11 arrived where 10
#: are allowed; with 0.85 of it, 11 arrived once (in one busy event loop). A cold server
#: with three slots that takes 0.36 s for a request answers 8 of its 10 a second.
USED_SHARE = 0.7


@frozen
class Sender:
    """Position of an instance among the senders of its zone to cold servers."""

    zone: str
    rank: int


def divide(
    bound: float,
    backend_id: str,
    zone: str,
    zones: Collection[str],
    near_share: float = NEAR_SHARE,
) -> dict[Sender, int]:
    """Return how many requests in any second each sender may send to a cold server.

    The sum is at most the bound. A sender that is not in the result may send none.
    """
    used = max(bound * USED_SHARE, min(bound, 1.0))
    remaining = int(used)
    quota_by_sender: dict[Sender, int] = {}
    near = int(used * near_share) // SENDERS_PER_ZONE
    for rank in range(SENDERS_PER_ZONE):
        quota_by_sender[Sender(zone, rank)] = near
        remaining -= near
    turns = list(senders_in_turn(backend_id, zone, zones, has_near=near == 0))
    while remaining > 0:
        for sender in turns[:remaining]:
            quota_by_sender[sender] = quota_by_sender.get(sender, 0) + 1
        remaining -= len(turns)
    return quota_by_sender


def senders_in_turn(
    backend_id: str, zone: str, zones: Collection[str], *, has_near: bool
) -> Iterator[Sender]:
    """Yield the senders in the order in which they share what remains of the bound."""
    others = [each for each in zones if each != zone]
    others.sort(key=lambda each: weight(backend_id, each))
    if has_near or not others:
        others.insert(0, zone)
    for rank in range(SENDERS_PER_ZONE):
        for each in others:
            yield Sender(each, rank)

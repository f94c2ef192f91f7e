"""Divide what a cold server bears among the instances.

Load: a server that has just started is slow and ends where too many requests come in a
second, from all instances together. An idle server looks best to all of them: 118
instances that each send it one request send 118. So only few instances may send to a
cold server, each a fixed number in any second, and the numbers add up to the bound.
They follow from the server's name, the zones in the settings and the instance's place
in its own zone, not from who is thought to live: instances that are parted from each
other, from the store or from both still keep the bound together.
"""

from collections.abc import Collection, Iterator

from attrs import frozen

from catkinslip.addresses.rendezvous import weight

#: Instances of a zone that may send to cold servers: one may be away.
SENDERS_PER_ZONE = 2
#: Share of the bound that the senders of the server's own zone have; they are the ones
#: that choose it, as requests to other zones cost more.
NEAR_SHARE = 0.6
#: The rest of the bound is kept for what was sent before anybody knew that the server
#: had turned cold, and for requests that come together as some were held up: with all
#: of it given out 11 came where 10 may, with 0.85 of it 11 once (one busy loop). A cold
#: server of three slots that takes 0.36 s a request answers 8 of its 10 a second.
USED_SHARE = 0.7


@frozen
class Sender:
    """The place of an instance among those of its zone that send to cold servers."""

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

    The sum is at most the bound; who is not named may send none.
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
    """Yield the senders in the order in which they get what the near ones leave."""
    others = [each for each in zones if each != zone]
    others.sort(key=lambda each: weight(backend_id, each))
    if has_near or not others:
        others.insert(0, zone)
    for rank in range(SENDERS_PER_ZONE):
        for each in others:
            yield Sender(each, rank)

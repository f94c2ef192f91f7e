"""Divide the rate that a server names among the instances.

Load: a server in need takes one request a second or less from all instances, and looks
idle to each of them. A part for each of 17 would be less than one request in the time
in which the bound holds, so few instances may send it anything: the two senders of some
zones, its own first. Each waits for its next turn and saves up none. So in a window of
w seconds n senders send at most n requests and w times their rates: with 4 s, two
senders and a rate of 1 that is 6.

An instance that cannot read the list of instances keeps its place, as the server would
get nothing in an outage of the store; others may have taken the place meanwhile, so it
sends at a quarter of its rate. Both sets together stay below one and a half times what
the rate allows in 4 s, and 5 more: 2n + 5 times the rate, where n is 2 and two more
for each 4 a second.
"""

from collections.abc import Collection

from catkinslip.addresses.rendezvous import weight
from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender
from catkinslip.warmup.senders import SenderPosition

#: A server that names less, or nothing at all, is asked so often whether it still does.
LEAST_PER_SECOND = 0.1
#: For each of these another zone's senders may send.
PER_SECOND_AND_ZONE = 4.0
#: Part of its rate at which an instance sends that may have lost its place.
OLD_PLACE_SHARE = 0.25


def sending_zones(
    per_second: float, backend_id: str, zone: str, zones: Collection[str]
) -> list[str]:
    """Return the zones whose senders may send to a server that names a rate."""
    others = [each for each in zones if each != zone]
    others.sort(key=lambda each: weight(backend_id, each))
    ordered = [zone, *others] if zone in zones or not others else others
    count = min(len(ordered), 1 + int(per_second / PER_SECOND_AND_ZONE))
    return ordered[:count]


def divide_rate(
    per_second: float, backend_id: str, zone: str, zones: Collection[str]
) -> dict[Sender, float]:
    """Return the requests a second that each sender may send to a server.

    Two of a zone have the same, as they may both take themselves for the second.
    """
    used = max(per_second, LEAST_PER_SECOND)
    sending = sending_zones(used, backend_id, zone, zones)
    senders = [Sender(each, n) for each in sending for n in range(SENDERS_PER_ZONE)]
    return dict.fromkeys(senders, used / max(1, len(senders)))


def own_rate(
    rate_by_sender: dict[Sender, float], place: SenderPosition | None
) -> float:
    """Return the requests a second of the instance with a place; none has none."""
    if place is None:
        return 0.0
    rate = rate_by_sender.get(place.sender, 0.0)
    return rate if place.is_recent else rate * OLD_PLACE_SHARE

"""The division of the rate that a server advertises among the instances.

Load: a throttled server accepts one request a second or less from all instances
together, and looks idle to each of them. A share for each of 17 instances would be less
than one request in the time in which the bound holds, so few instances may send to the
server at all: the two senders of some zones, those of its own zone first. Each waits
for its next turn and saves up no unused turns. So in a window of w seconds n senders
send at most n requests plus w times their rates: with 4 s, two senders and a rate of 1
that is 6.

An instance that cannot read the list of instances keeps its place, as the server would
otherwise get no requests in an outage of the store. Another instance may have taken the
place meanwhile, so the first one sends at a quarter of its rate. Both sets together
stay below one and a half times what the rate allows in 4 s, plus 5: they send at most
2n requests plus 5 times the rate, where n is 2 and two more for each 4 requests a
second.
"""

from collections.abc import Collection

from catkinslip.addresses.rendezvous import weight
from catkinslip.warmup.quotas import SENDERS_PER_ZONE, Sender
from catkinslip.warmup.senders import SenderPosition

#: Requests per second that are sent to a server that advertises less, or zero, in order
#: to detect the end of its throttling.
MIN_PER_SECOND = 0.1
#: Requests per second for each of which the senders of one more zone may send.
PER_SECOND_PER_ZONE = 4.0
#: Share of its rate at which an instance sends that may have lost its place.
STALE_PLACE_SHARE = 0.25


def sending_zones(
    per_second: float, backend_id: str, zone: str, zones: Collection[str]
) -> list[str]:
    """Return the zones whose senders may send to a server that advertises a rate."""
    others = [each for each in zones if each != zone]
    others.sort(key=lambda each: weight(backend_id, each))
    ordered = [zone, *others] if zone in zones or not others else others
    count = min(len(ordered), 1 + int(per_second / PER_SECOND_PER_ZONE))
    return ordered[:count]


def divide_rate(
    per_second: float, backend_id: str, zone: str, zones: Collection[str]
) -> dict[Sender, float]:
    """Return the requests per second that each sender may send to a server.

    Both senders of a zone get the same rate, as both may treat themselves as the
    second.
    """
    used = max(per_second, MIN_PER_SECOND)
    sending = sending_zones(used, backend_id, zone, zones)
    senders = [Sender(each, n) for each in sending for n in range(SENDERS_PER_ZONE)]
    return dict.fromkeys(senders, used / max(1, len(senders)))


def local_rate(
    rate_by_sender: dict[Sender, float], place: SenderPosition | None
) -> float:
    """Return the requests per second for an instance's place; 0 without a place."""
    if place is None:
        return 0.0
    rate = rate_by_sender.get(place.sender, 0.0)
    return rate if place.is_recent else rate * STALE_PLACE_SHARE

"""Ranking of a zone's instances, and the division of shared budgets by rank."""

from collections import Counter
from collections.abc import Callable
from enum import Enum, auto, unique

from catkinslip.addresses.rendezvous import weight
from catkinslip.discovery.base import InstanceEntry

#: Largest number of instances that the callers of a zone are sent to. With more of them
#: each would see a smaller part of the servers' load, and they would keep more
#: connections and exchange more messages.
HOME_INSTANCES = 8
#: Instances with more than twice the cores of the others are the home set alone, if
#: there are at least this many: they restart in a fifth of the time.
STRONG_INSTANCES = 2
WEAK_SHARE = 0.5
#: Parts of each budget: that of the home sets, and that of the reserve, the next
#: instances in rank, RESERVE_INSTANCES times as many; the others divide the remainder.
HOME_SHARE = 0.7
RESERVE_SHARE = 0.2
RESERVE_INSTANCES = 2


@unique
class Tier(Enum):
    """The group of an instance in its zone's ranking."""

    HOME = auto()
    #: Next in rank, for the case that an instance of the home set is missing.
    RESERVE = auto()
    OTHER = auto()


SHARE_BY_TIER = {
    Tier.HOME: HOME_SHARE,
    Tier.RESERVE: RESERVE_SHARE,
    Tier.OTHER: 1 - HOME_SHARE - RESERVE_SHARE,
}


def rank(zone: str, entries: list[InstanceEntry]) -> list[InstanceEntry]:
    """Return the instances of a zone, the preferred ones for callers first."""
    is_weak = is_weak_among(entries)
    return sorted(
        entries, key=lambda each: (is_weak(each), weight(zone, each.instance_id))
    )


def sender_order(zone: str, entries: list[InstanceEntry]) -> list[InstanceEntry]:
    """Return the instances of a zone in the order in which they warm cold servers.

    Those with the most cores come first, as callers are sent to them. The order of two
    instances does not depend on the others.
    """
    return sorted(
        entries, key=lambda each: (-each.cores, weight(zone, each.instance_id))
    )


def home_size(ranked: list[InstanceEntry]) -> int:
    """Return the size of the home set of a zone with the given ranking."""
    strong = len(ranked) - sum(map(is_weak_among(ranked), ranked))
    return max(min(strong, HOME_INSTANCES), min(STRONG_INSTANCES, len(ranked)))


def is_weak_among(entries: list[InstanceEntry]) -> Callable[[InstanceEntry], bool]:
    """Return a predicate for instances with under half of the largest core count."""
    least = WEAK_SHARE * max((entry.cores for entry in entries), default=0.0)
    return lambda entry: entry.cores < least


def tier(position: int, home_size: int) -> Tier:
    """Return the tier of the instance at a position of its zone's ranking."""
    if position < home_size:
        return Tier.HOME
    if position < home_size * (1 + RESERVE_INSTANCES):
        return Tier.RESERVE
    return Tier.OTHER


def share_of(tier: Tier, counts: Counter[Tier]) -> float:
    """Return the part of a budget for a tier; empty tiers get no part."""
    occupied = sum(share for each, share in SHARE_BY_TIER.items() if counts[each])
    return SHARE_BY_TIER[tier] / occupied

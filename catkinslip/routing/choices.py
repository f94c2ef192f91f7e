"""Creation of the selection policy that the settings name."""

from random import Random
from typing import Protocol

from catkinslip.routing.base import Policy
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.policies import (
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)

BASELINE_BY_NAME = {
    'least-in-flight': LeastInFlight,
    'two-choices': TwoChoices,
    'round-robin': RoundRobin,
    'random': RandomChoice,
}


class PolicySettings(Protocol):
    """The daemon's settings that the selection of servers uses."""

    zone: str
    policy: str
    report_memory: float
    zone_hop: float


def make_policy(settings: PolicySettings, random: Random) -> Policy:
    """Return the selection policy of one service."""
    baseline = BASELINE_BY_NAME.get(settings.policy)
    if baseline is not None:
        return baseline(random)
    return ExpectedDelay(
        random, settings.zone, settings.zone_hop, settings.report_memory
    )

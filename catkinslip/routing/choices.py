"""Make the policy that the settings name."""

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
    """What the choice takes from the daemon's settings."""

    zone: str
    policy: str
    report_memory: float
    zone_hop: float


def make_policy(settings: PolicySettings, random: Random) -> Policy:
    """Return the policy of one service."""
    baseline = BASELINE_BY_NAME.get(settings.policy)
    if baseline is not None:
        return baseline(random)
    return ExpectedDelay(
        random, settings.zone, settings.zone_hop, settings.report_memory
    )

"""Probes of the path to the store while this instance waits there for changes.

A wait whose connection fell silent looks like one without changes for up to 20 s. The
load that this answers: the store is silent for three quarters of the instances, among
them all readers of all zones, and rules change right then.
"""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

import trio
from attrs import define
from returns.result import Failure

from catkinslip.discovery.base import Source
from catkinslip.discovery.follower import Follower

#: Interval of probes. A change has to be known 2 s after its ack, of which two thirds
#: may pass until the loss of the path is noticed.
PROBE_SECONDS = 0.8
#: Time limit of an answer; a slow store takes some tens of times its usual 4 ms.
ANSWER_SECONDS = 0.4

log = logging.getLogger('discovery')


def ignore_loss() -> None:
    """Ignore that the path to the store was lost."""


@define
class StoreProbe:
    """A task that probes the store with a cheap read of a small kind."""

    source: Source[Any]
    #: Followers whose waits end if a probe fails.
    followers: tuple[Follower[Any], ...]
    random: Random
    on_loss: Callable[[], None] = ignore_loss
    sent: int = 0
    failed: int = 0

    async def run(self) -> None:
        """Probe while all followers wait at the store, until cancelled."""
        while True:
            await trio.sleep(PROBE_SECONDS * self.random.uniform(0.9, 1.1))
            if all(each.is_reachable for each in self.followers):
                await self._probe()

    async def _probe(self) -> None:
        self.sent += 1
        error: object = 'no answer'
        with trio.move_on_after(ANSWER_SECONDS):
            result = await self.source.read_all(may_be_stale=True)
            if not isinstance(result, Failure):
                return
            error = result.failure()
        self.failed += 1
        log.warning('discovery: probe of the store failed. error=%s', error)
        for follower in self.followers:
            follower.end_wait()
        self.on_loss()

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
#: Longest time limit, for a store that is slower than that.
MAX_ANSWER_SECONDS = 1.6

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
    #: Time limit of the next probe: doubled where the store answered after a loss.
    answer_seconds: float = ANSWER_SECONDS
    has_lost: bool = False
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
        if self.has_lost:
            # The store answered since then, perhaps it is only slow.
            self.answer_seconds = min(2 * self.answer_seconds, MAX_ANSWER_SECONDS)
            self.has_lost = False
        began = trio.current_time()
        error: object = 'no answer'
        with trio.move_on_after(self.answer_seconds):
            result = await self.source.read_all(may_be_stale=True)
            if not isinstance(result, Failure):
                self._record_answer(trio.current_time() - began)
                return
            error = result.failure()
        self._record_loss(error)

    def _record_answer(self, seconds: float) -> None:
        if seconds < ANSWER_SECONDS / 2:
            self.answer_seconds = ANSWER_SECONDS

    def _record_loss(self, error: object) -> None:
        self.failed += 1
        self.has_lost = True
        log.warning(
            'discovery: probe of the store failed. limit_s=%.1f error=%s',
            self.answer_seconds,
            error,
        )
        for follower in self.followers:
            follower.end_wait()
        self.on_loss()

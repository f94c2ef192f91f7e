"""Probes of the store while an instance waits there for changes."""

import unittest
from random import Random

import trio
import trio.testing
from attrs import Factory, define
from returns.result import Result, Success

from catkinslip.discovery.base import Listing
from catkinslip.discovery.follower import Follower, Outage
from catkinslip.discovery.store_probe import ANSWER_SECONDS, PROBE_SECONDS, StoreProbe
from tests.discovery_builders import OUTAGE, ScriptedSource, listing

SLOW_SECONDS = 0.6


@define
class DelayedSource(ScriptedSource):
    """A store that answers reads after a delay, or never; its waits hang."""

    delay: float = 0.004
    answer: Result = Factory(lambda: Success(Listing({}, 1)))
    reads: int = 0

    async def read_all(self, *, may_be_stale: bool = False) -> Result:
        self.reads += 1
        await trio.sleep(self.delay)
        return self.answer


async def follow(nursery: trio.Nursery) -> tuple[Follower, ScriptedSource]:
    """Start a follower that waits for changes at the store."""
    source = ScriptedSource([listing(5)])
    follower = Follower('backends', source, Random(1))
    nursery.start_soon(follower.run)
    await trio.sleep(2.0)
    return follower, source


def run(check) -> None:
    """Run an async check with a nursery on a mock clock that skips waiting times."""

    async def run_check():
        async with trio.open_nursery() as nursery:
            await check(nursery)
            nursery.cancel_scope.cancel()

    trio.run(run_check, clock=trio.testing.MockClock(autojump_threshold=0))


class StoreProbeTest(unittest.TestCase):
    """Losses that a probe notices, and those that it must not conclude."""

    def test_wait_at_a_silent_store_was_not_ended(self):
        async def check(nursery):
            follower, source = await follow(nursery)
            silent = DelayedSource(delay=100.0)
            losses = []
            probe = StoreProbe(
                silent, (follower,), Random(1), lambda: losses.append(True)
            )
            nursery.start_soon(probe.run)
            await trio.sleep(1.1 * PROBE_SECONDS + ANSWER_SECONDS + 0.1)
            self.assertEqual(losses, [True])
            self.assertTrue(follower.is_lost)
            self.assertEqual(source.calls, ['read', 'wait 5', 'wait 5'])

        run(check)

    def test_refused_probe_ends_the_wait(self):
        async def check(nursery):
            follower, _ = await follow(nursery)
            probe = StoreProbe(DelayedSource(answer=OUTAGE), (follower,), Random(1))
            nursery.start_soon(probe.run)
            await trio.sleep(1.2 * PROBE_SECONDS)
            self.assertTrue(follower.is_lost)

        run(check)

    def test_instance_that_does_not_wait_at_the_store_sends_no_probe(self):
        async def check(nursery):
            idle = Follower('rules', ScriptedSource(), Random(1), reads_store=never)
            probe = StoreProbe(DelayedSource(), (idle,), Random(1))
            nursery.start_soon(idle.run)
            nursery.start_soon(probe.run)
            await trio.sleep(10 * PROBE_SECONDS)
            self.assertEqual(probe.sent, 0)

        run(check)

    def test_slow_store_is_not_lost_again_and_again(self):
        async def check(nursery):
            follower, _ = await follow(nursery)
            source = DelayedSource(delay=SLOW_SECONDS)
            probe = StoreProbe(source, (follower,), Random(1))
            nursery.start_soon(probe.run)
            for _ in range(100):
                await trio.sleep(0.1)
                # The store answers the calls that follow a loss.
                follower.is_reachable, follower.is_lost = True, False
            self.assertEqual(probe.failed, 1)
            source.delay = 0.004
            await trio.sleep(2 * PROBE_SECONDS)
            self.assertEqual(probe.answer_seconds, ANSWER_SECONDS)

        run(check)

    def test_tries_of_an_outage_are_cheap_reads(self):
        async def check(nursery):
            probes = DelayedSource(answer=OUTAGE)
            source = ScriptedSource([OUTAGE, listing(5)])
            outage = Outage(probe_source=probes)
            follower = Follower('backends', source, Random(1), outage=outage)
            nursery.start_soon(follower.run)
            await trio.sleep(8.0)
            self.assertEqual(source.calls, ['read'])
            self.assertGreater(probes.reads, 3)
            probes.answer = Success(Listing({}, 1))
            await trio.sleep(4.0)
            self.assertEqual(source.calls, ['read', 'read', 'wait 5'])

        run(check)


def never() -> bool:
    """Return False: the store is read by other instances."""
    return False

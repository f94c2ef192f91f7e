"""Tests of followers, which hold the newest values through outages of the store."""

import unittest
from random import Random

import trio
import trio.testing
from returns.result import Success

from catkinslip.discovery.follower import (
    CATCH_UP_SECONDS,
    WAIT_SECONDS,
    Follower,
    Outage,
)
from catkinslip.discovery.readers import MAX_RETRY_SECONDS, DelayBounds, TryPace
from tests.discovery_builders import (
    HISTORY_REMOVED,
    OUTAGE,
    ScriptedSource,
    backend_entry,
    changes_at,
    listing,
)

#: Longest delay of the slow pace, of which an instance makes one try at a time.
SLOW_SECONDS = 2.5
SLOW_PACE = TryPace(True, DelayBounds(0.0, SLOW_SECONDS), SLOW_SECONDS)
ONE, TWO = backend_entry('one'), backend_entry('two', port=81)


def follow(listings: list, waits: list) -> tuple[Follower, ScriptedSource]:
    """Run a follower to the end of a script, on a mock clock that skips waits."""
    source = ScriptedSource(listings, waits)
    follower = Follower('backends', source, Random(1))

    async def run():
        source.ended = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await source.ended.wait()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return follower, source


class FollowerTest(unittest.TestCase):
    """Values, revision and calls of a follower after a script."""

    def test_changes_replace_and_remove_values(self):
        follower, _ = follow(
            [listing(5, ONE)], [changes_at(7, ('two', TWO), ('one', None))]
        )
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(follower.revision, 7)

    def test_lost_history_reads_all_again(self):
        follower, source = follow([listing(5, ONE), listing(9, TWO)], [HISTORY_REMOVED])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(source.calls, ['read', 'wait 5', 'read', 'wait 9'])

    def test_failed_wait_continues_at_the_known_revision(self):
        changes = changes_at(6, ('two', TWO), ('one', None))
        follower, source = follow([listing(5, ONE)], [OUTAGE, OUTAGE, changes])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(source.calls, ['read', *['wait 5'] * 3, 'wait 6'])

    def test_first_wait_after_a_failure_reads_only_missed_changes(self):
        _, source = follow([listing(5, ONE)], [OUTAGE, changes_at(5), changes_at(5)])
        self.assertEqual(
            source.waits_seconds,
            [WAIT_SECONDS, CATCH_UP_SECONDS, WAIT_SECONDS, WAIT_SECONDS],
        )

    def test_history_lost_in_an_outage_reads_all_again(self):
        follower, source = follow(
            [listing(5, ONE), listing(6, TWO)], [OUTAGE, HISTORY_REMOVED]
        )
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(source.calls[-2:], ['read', 'wait 6'])

    def test_mark_as_possibly_stale_ends_a_wait_that_hangs_and_is_no_outage(self):
        source = ScriptedSource([listing(5, ONE)])
        follower = Follower('backends', source, Random(1))

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(10)
                recovered_at = follower.recovered_at
                follower.mark_possibly_stale()
                self.assertTrue(follower.is_lost)
                source.waits = [changes_at(8, ('two', TWO))]
                await trio.sleep(10)
                self.assertEqual(follower.recovered_at, recovered_at)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(follower.value_by_name, {'one': ONE, 'two': TWO})
        self.assertEqual(source.calls, ['read', 'wait 5', 'wait 5', 'wait 8'])
        self.assertFalse(follower.is_lost)

    def test_empty_changes_need_not_be_sent_to_peers(self):
        follower, _ = follow([listing(5, ONE)], [changes_at(9)])
        self.assertEqual((follower.revision, follower.changed_at), (9, 5))

    def test_reader_with_values_from_a_peer_only_waits_for_changes(self):
        source = ScriptedSource()
        follower = Follower('backends', source, Random(1))
        follower.offer(listing(5, ONE), 'peer')

        async def run():
            with trio.move_on_after(1):
                await follower.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(source.calls, ['wait 5'])

    def test_older_listing_changes_nothing(self):
        follower, _ = follow([listing(5, ONE), listing(4, TWO)], [HISTORY_REMOVED])
        self.assertEqual(follower.value_by_name, {'one': ONE})
        self.assertEqual(follower.revision, 5)

    def test_changes_older_than_those_of_a_peer_change_nothing(self):
        follower, _ = follow([listing(5, ONE)], [])
        follower.offer(listing(9, TWO), 'peer')
        follower._apply(changes_at(8, ('one', ONE)))
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(follower.revision, 9)

    def test_instance_that_is_no_reader_makes_no_call(self):
        source = ScriptedSource([listing(5, ONE)])
        follower = Follower('backends', source, Random(1), reads_store=lambda: False)

        async def run():
            with trio.move_on_after(60):
                await follower.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(source.calls, [])
        self.assertTrue(follower.offer(listing(7, TWO), 'peer'))

    def test_instance_that_is_no_reader_reads_once_on_request(self):
        source = ScriptedSource([OUTAGE, listing(5, ONE), listing(9, TWO)])
        follower = Follower('rules', source, Random(1), reads_store=lambda: False)
        follower.read_once()

        async def run():
            with trio.move_on_after(60):
                await follower.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(source.calls, ['read', 'read'])
        self.assertEqual(follower.value_by_name, {'one': ONE})

    def play_outage(self, outage: Outage, seconds: float) -> tuple[int, float]:
        """Return the calls of four followers in an outage and the delay of the last."""
        calls = 0
        end = 0.0

        class Down(ScriptedSource):
            async def read_all(self, *, may_be_stale: bool = False):
                nonlocal calls
                calls += trio.current_time() < end
                await trio.sleep(0)
                is_up = trio.current_time() >= end
                return Success(listing(5, ONE)) if is_up else OUTAGE

        followers = [
            Follower(kind, Down(), Random(kind), outage=outage) for kind in 'abcd'
        ]

        async def run() -> float:
            nonlocal end
            end = trio.current_time() + seconds
            async with trio.open_nursery() as nursery:
                for follower in followers:
                    nursery.start_soon(follower.run)
                while not all(each.is_known for each in followers):
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return trio.current_time() - end

        delay = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return calls, delay

    def test_followers_take_turns_in_an_outage(self):
        calls, delay = self.play_outage(Outage(), 20.0)
        # Without turns each of them would make about 25 calls.
        self.assertLess(calls, 40)
        self.assertLess(delay, MAX_RETRY_SECONDS + 0.1)

    def test_last_resort_calls_rarely_and_is_in_time(self):
        calls, delay = self.play_outage(Outage(lambda: SLOW_PACE), 20.0)
        self.assertLess(calls, 25)
        self.assertLess(delay, SLOW_SECONDS + 0.1)

    def test_single_read_on_request_is_not_delayed(self):
        """Guards against rules that are too large for a peer and come late.

        Peers send them whole only after the store refused the instance.
        """
        source = ScriptedSource([OUTAGE])
        follower = Follower(
            'rules',
            source,
            Random(1),
            reads_store=lambda: False,
            outage=Outage(lambda: SLOW_PACE),
        )
        follower.read_once()

        async def run():
            with trio.move_on_after(0.1):
                await follower.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertTrue(follower.is_lost)

    def test_instance_that_is_no_reader_after_its_delay_does_not_call(self):
        """Guards against calls of each waiting instance when the store returns."""
        source = ScriptedSource([OUTAGE, listing(5, ONE)])
        is_reader = True

        async def stop_reading() -> None:
            nonlocal is_reader
            while source.calls != ['read']:
                await trio.sleep(0.001)
            is_reader = False

        follower = Follower(
            'backends',
            source,
            Random(1),
            reads_store=lambda: is_reader,
            outage=Outage(lambda: TryPace(True, DelayBounds(0.5, 1.0), 1.0)),
        )

        async def run():
            with trio.move_on_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(follower.run)
                    nursery.start_soon(stop_reading)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(source.calls, ['read'])

    def test_kind_that_cannot_be_read_does_not_hold_up_the_others(self):
        outage = Outage()
        failing = Follower(
            'a', ScriptedSource([OUTAGE] * 1000), Random(1), outage=outage
        )
        other = Follower(
            'b', ScriptedSource([OUTAGE, listing(5, ONE)]), Random(1), outage=outage
        )

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(failing.run)
                nursery.start_soon(other.run)
                await trio.sleep(2 * MAX_RETRY_SECONDS)
                self.assertTrue(other.is_known)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_outage_at_the_start_is_retried(self):
        follower, source = follow([OUTAGE, OUTAGE, listing(5, ONE)], [])
        self.assertTrue(follower.is_known)
        self.assertEqual(source.calls, ['read', 'read', 'read', 'wait 5'])


if __name__ == '__main__':
    unittest.main()

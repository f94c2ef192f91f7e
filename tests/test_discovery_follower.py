"""A follower holds the newest values, whatever goes wrong on the way."""

import unittest
from random import Random

import trio
import trio.testing

from catkinslip.discovery.follower import Follower
from tests.discovery_builders import (
    GONE,
    OUTAGE,
    ScriptedSource,
    backend_entry,
    listing,
    news,
)

ONE, TWO = backend_entry('one'), backend_entry('two', port=81)


def follow(listings: list, waits: list) -> tuple[Follower, ScriptedSource]:
    """Follow a script to its end on a clock that jumps."""
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
    """Values and revision after a script."""

    def test_news_change_and_remove_values(self):
        follower, _ = follow([listing(5, ONE)], [news(7, ('two', TWO), ('one', None))])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(follower.revision, 7)

    def test_lost_history_reads_all_again(self):
        follower, source = follow([listing(5, ONE), listing(9, TWO)], [GONE])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(source.calls, ['read', 'wait 5', 'read', 'wait 9'])

    def test_failed_wait_reads_all_again(self):
        follower, source = follow([listing(5, ONE), listing(6, TWO)], [OUTAGE])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(source.calls[-2:], ['read', 'wait 6'])

    def test_older_listing_changes_nothing(self):
        follower, _ = follow([listing(5, ONE), listing(4, TWO)], [GONE])
        self.assertEqual(follower.value_by_name, {'one': ONE})
        self.assertEqual(follower.revision, 5)

    def test_news_older_than_what_a_peer_told_change_nothing(self):
        follower, _ = follow([listing(5, ONE)], [])
        follower.offer(listing(9, TWO), 'peer')
        follower._apply(news(8, ('one', ONE)))
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(follower.revision, 9)

    def test_instance_without_the_duty_makes_no_call(self):
        source = ScriptedSource([listing(5, ONE)])
        follower = Follower('backends', source, Random(1), is_wanted=lambda: False)

        async def run():
            with trio.move_on_after(60):
                await follower.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(source.calls, [])
        self.assertTrue(follower.offer(listing(7, TWO), 'peer'))

    def test_outage_at_the_start_is_retried(self):
        follower, source = follow([OUTAGE, OUTAGE, listing(5, ONE)], [])
        self.assertTrue(follower.is_known)
        self.assertEqual(source.calls, ['read', 'read', 'read', 'wait 5'])


if __name__ == '__main__':
    unittest.main()

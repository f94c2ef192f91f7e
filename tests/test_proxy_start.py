"""Tests of a call that arrives before the instance has a configuration."""

import unittest
from random import Random

import trio

from catkinslip.clock import SystemClock
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.outcomes import Reason
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.builders import plain_call

#: Minimum seconds from start to readiness on slow machines.
MIN_START_SECONDS = 0.4


class StartTest(unittest.TestCase):
    """The answer to a caller of an instance that is starting."""

    def test_retry_after_is_not_shorter_than_a_start(self):
        directory = Directory(lambda: LeastInFlight(Random(1)))
        forwarder = Forwarder(
            directory, None, SystemClock(), limits=None, health=None, hedges=None
        )
        refusal = trio.run(forwarder.forward, plain_call('limits'), None)
        self.assertIs(refusal.reason, Reason.NOT_READY)
        self.assertGreaterEqual(refusal.retry_after, MIN_START_SECONDS)


if __name__ == '__main__':
    unittest.main()

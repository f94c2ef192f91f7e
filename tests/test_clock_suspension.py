"""Tests that ages and deadlines include the time of a machine's suspension.

The monotonic clock of the system stops while a machine is suspended. After a suspension
of ten seconds, a load report, a reused connection and a deadline appeared ten seconds
younger than they were.
"""

import time
import unittest
from unittest import mock

import trio
import trio.testing

from catkinslip.clock import MAX_LOOP_SLEEP_SECONDS, LoopClock, SystemClock
from catkinslip.crashes.suspect import TRIAL_SECONDS, Verdict
from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.proxy.exchange import RECENT_SECONDS
from catkinslip.proxy.pool import BackendPool
from catkinslip.store.budget import TokenBucket
from standins.raw import RawBackend, ok
from tests.builders import plain_call
from tests.test_crashes_registry import KEY, registry_with

SUSPENDED_SECONDS = 10.0
GENEROUS_SECONDS = 20.0


class Machine:
    """Fake of the system's clocks, of which one stops during a suspension."""

    def __init__(self) -> None:
        self.suspended = 0.0
        self.read = time.clock_gettime

    def clock_gettime(self, which: int) -> float:
        """Return the time of a clock of the system in seconds."""
        counts = which in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self.read(which) + (self.suspended if counts else 0.0)

    def suspend(self) -> None:
        """Advance the clocks that include suspensions by SUSPENDED_SECONDS."""
        self.suspended += SUSPENDED_SECONDS


def on_machine(check) -> None:
    """Run an async check with the fake clocks of a machine."""
    machine = Machine()

    async def run():
        with trio.fail_after(GENEROUS_SECONDS + 2 * SUSPENDED_SECONDS):
            await check(machine)

    with mock.patch.object(time, 'clock_gettime', machine.clock_gettime):
        trio.run(run, clock=LoopClock())


class SuspensionTest(unittest.TestCase):
    """Ages, deadlines and timers after a suspension."""

    def test_clock_counts_it(self):
        async def check(machine):
            clock = SystemClock()
            before, began = clock.monotonic(), trio.current_time()
            machine.suspend()
            self.assertGreaterEqual(clock.monotonic() - before, SUSPENDED_SECONDS)
            self.assertGreaterEqual(trio.current_time() - began, SUSPENDED_SECONDS)

        on_machine(check)

    def test_timer_that_passed_meanwhile_fires_soon_after(self):
        async def check(machine):
            began = time.monotonic()
            woken_at = []

            async def sleep():
                await trio.sleep(SUSPENDED_SECONDS)
                woken_at.append(time.monotonic())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(sleep)
                await trio.testing.wait_all_tasks_blocked()
                machine.suspend()
            passed = woken_at[0] - began
            self.assertLess(passed, 4 * MAX_LOOP_SLEEP_SECONDS)

        on_machine(check)

    def test_reused_connection_does_not_count_as_recent(self):
        async def check(machine):
            pool = BackendPool()
            async with trio.open_nursery() as nursery:
                backend = RawBackend([ok()])
                listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
                address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
                await PageClient(pool).send(address, '/', GENEROUS_SECONDS)
                self.assertTrue(pool.connections_by_address[address].idle)
                machine.suspend()
                wire = await pool.acquire(address, RECENT_SECONDS)
                self.assertFalse(wire.is_reused)
                nursery.cancel_scope.cancel()

        on_machine(check)

    def test_deadline_that_passed_meanwhile_sends_nothing(self):
        async def check(machine):
            clock = SystemClock()
            call = plain_call('limits')
            call.deadline = clock.monotonic() + SUSPENDED_SECONDS / 2
            self.assertFalse(call.is_expired(clock))
            machine.suspend()
            self.assertTrue(call.is_expired(clock))

        on_machine(check)

    def test_budget_of_a_suspension_is_bounded_by_what_may_be_saved_up(self):
        async def check(machine):
            clock = SystemClock()
            bucket = TokenBucket(5.0, tokens=0.0, filled_at=clock.monotonic())
            machine.suspend()
            taken = sum(bucket.take(clock.monotonic()) == 0.0 for _ in range(20))
            self.assertEqual(taken, 1)

        on_machine(check)

    def test_verdict_is_not_younger_than_it_is(self):
        async def check(machine):
            clock = SystemClock()
            book = registry_with(3)
            suspect = book.suspect_by_key[KEY]
            suspect.changed_at = clock.monotonic() - TRIAL_SECONDS[0] / 2
            verdict = book.decide(KEY, 'q', clock.monotonic()).verdict
            self.assertIs(verdict, Verdict.REFUSED)
            machine.suspend()
            verdict = book.decide(KEY, 'q', clock.monotonic()).verdict
            self.assertIs(verdict, Verdict.TRIAL)

        on_machine(check)

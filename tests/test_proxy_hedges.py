"""Tests of the timer that starts hedges."""

import unittest
from random import Random

import trio
import trio.testing
from attrs import Factory, define

from catkinslip.proxy.hedges import TICK_SECONDS, Hedge, HedgeTimer

CALLS = 1000
CALL_SECONDS = 0.0005
SEED = 7


@define(eq=False)
class RecordingHedge(Hedge):
    """A hedge that records when it ran."""

    ran_at: list[float] = Factory(list)

    async def run(self) -> None:
        """Record the current time."""
        self.ran_at.append(trio.current_time())


@define(eq=False)
class StepCount(trio.abc.Instrument):
    """An instrument that counts the steps of the timer's task."""

    steps: int = 0

    def before_task_step(self, task) -> None:
        """Count a step if the task runs the timer."""
        self.steps += 'HedgeTimer' in task.name


async def run_timer(add_hedges) -> None:
    """Run a hedge timer while a function adds hedges to it."""
    timer = HedgeTimer()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        await add_hedges(timer)
        nursery.cancel_scope.cancel()


class HedgeTimerTest(unittest.TestCase):
    """The timer runs each hedge once, never early and at most a tick late."""

    def run_on_mock_clock(self, add_hedges, *instruments) -> None:
        """Run the timer on a clock that jumps when every task waits."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run_timer, add_hedges, clock=clock, instruments=instruments)

    def test_hedges_in_any_order_run_once_and_at_most_a_tick_late(self) -> None:
        """Check that a hedge that is due before earlier ones does not wait for them."""
        random = Random(SEED)

        async def add_hedges(timer: HedgeTimer) -> None:
            due_by_hedge = {}
            for _ in range(CALLS):
                delay = random.choice((0.001, 0.01, 0.5)) * random.random()
                hedge = RecordingHedge()
                due_by_hedge[hedge] = trio.current_time() + delay
                timer.add(delay, hedge)
                await trio.sleep(random.random() * 0.01)
            await trio.sleep(1.0)
            for hedge, due in due_by_hedge.items():
                self.assertEqual(len(hedge.ran_at), 1)
                late = hedge.ran_at[0] - due
                self.assertGreaterEqual(late, -1e-9)
                self.assertLessEqual(late, TICK_SECONDS + 1e-9)

        self.run_on_mock_clock(add_hedges)

    def test_calls_that_end_early_wake_the_timer_at_most_once_a_tick(self) -> None:
        """Check that the hedges of calls that ended never run or wake the timer."""
        count = StepCount()

        async def add_hedges(timer: HedgeTimer) -> None:
            hedges = []
            for _ in range(CALLS):
                hedge = RecordingHedge()
                hedges.append(hedge)
                timer.add(2 * CALL_SECONDS, hedge)
                await trio.sleep(CALL_SECONDS)
                hedge.is_over = True
            self.assertFalse(any(hedge.ran_at for hedge in hedges))

        self.run_on_mock_clock(add_hedges, count)
        self.assertLess(count.steps, CALLS * CALL_SECONDS / TICK_SECONDS * 1.5)

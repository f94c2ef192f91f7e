"""Clocks."""

import time
from abc import ABC, abstractmethod

import trio
from attrs import frozen

#: The loop looks at its timers that often at least: while it waits for the system it
#: does not learn that the machine was suspended. The lag is measured as often.
LONGEST_LOOP_SLEEP_SECONDS = 0.5
#: Goes on while the machine is suspended, which CLOCK_MONOTONIC does not.
STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds that never go back, those of a suspension among them."""
    return time.clock_gettime(STEADY_CLOCK)


class Clock(ABC):
    """Tell the time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back within one process.

        Those in which the machine was suspended count.
        """

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Tell the operating system's time."""

    def monotonic(self) -> float:
        """Return seconds that never go back within one process.

        After a suspension of 10 s a report, a kept connection and a deadline looked
        10 s younger on the clock that stands still meanwhile.
        """
        return steady_seconds()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@frozen
class LoopClock(trio.abc.Clock):
    """Run the loop's timers on the time that counts suspensions."""

    def start_clock(self) -> None:
        """Begin; the system's clock runs already."""

    def current_time(self) -> float:
        """Return the same seconds as `SystemClock.monotonic`."""
        return steady_seconds()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long the loop may sleep, in the system's seconds."""
        return min(deadline - self.current_time(), LONGEST_LOOP_SLEEP_SECONDS)


def utc_text(wall: float) -> str:
    """Return a time since the Unix epoch as text in UTC, with milliseconds."""
    text = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(wall))
    return f'{text}.{int(wall % 1 * 1000):03d}Z'

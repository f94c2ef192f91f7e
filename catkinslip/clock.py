"""Clocks that include the time for which the machine was suspended."""

import time
from abc import ABC, abstractmethod

import trio
from attrs import frozen

#: The longest time for which the event loop sleeps before it checks its timers. While
#: asleep it cannot detect that the machine was suspended. The loop lag is measured at
#: the same interval.
MAX_LOOP_SLEEP_SECONDS = 0.5
#: CLOCK_BOOTTIME advances while the machine is suspended, CLOCK_MONOTONIC does not.
STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return a monotonic time in seconds that includes suspensions of the machine."""
    return time.clock_gettime(STEADY_CLOCK)


class Clock(ABC):
    """Source of monotonic and wall-clock time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease within one process.

        The time for which the machine was suspended is included.
        """

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds that never decrease within one process.

        On a clock that stops during a suspension, a suspension of 10 s makes a report,
        a reused connection and a deadline appear 10 s younger than they are.
        """
        return steady_seconds()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@frozen
class LoopClock(trio.abc.Clock):
    """Clock of the event loop whose time includes suspensions of the machine."""

    def start_clock(self) -> None:
        """Do nothing, since the system's clock always runs."""

    def current_time(self) -> float:
        """Return the same time in seconds as `SystemClock.monotonic`."""
        return steady_seconds()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds for which the event loop may sleep before a deadline."""
        return min(deadline - self.current_time(), MAX_LOOP_SLEEP_SECONDS)


def utc_text(wall: float) -> str:
    """Return a time since the Unix epoch as text in UTC, with milliseconds."""
    text = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(wall))
    return f'{text}.{int(wall % 1 * 1000):03d}Z'

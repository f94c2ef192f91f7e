"""Clocks."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Tell the time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back within one process."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Tell the operating system's time."""

    def monotonic(self) -> float:
        """Return seconds that never go back within one process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


def utc_text(wall: float) -> str:
    """Return a time since the Unix epoch as text in UTC, with milliseconds."""
    text = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(wall))
    return f'{text}.{int(wall % 1 * 1000):03d}Z'

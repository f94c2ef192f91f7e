"""Write bytes of log lines to where they go."""

import os
import stat
from abc import ABC, abstractmethod
from typing import TextIO

import trio
from attrs import define, frozen


class LogWriter(ABC):
    """Take as many bytes as there is room for, without holding the loop."""

    @abstractmethod
    def write(self, data: bytes) -> int:
        """Write and return how many bytes were taken; 0 when there is no room."""

    @abstractmethod
    async def wait_for_room(self) -> None:
        """Return when bytes may be taken again."""

    @abstractmethod
    def close(self) -> None:
        """Leave the stream as it was found."""


@define
class DescriptorWriter(LogWriter):
    """Write to a file descriptor; a pipe without a reader never blocks."""

    descriptor: int
    was_blocking: bool

    def write(self, data: bytes) -> int:
        """Write and return how many bytes were taken; 0 when there is no room."""
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0

    async def wait_for_room(self) -> None:
        """Return when bytes may be taken again."""
        await trio.lowlevel.wait_writable(self.descriptor)

    def close(self) -> None:
        """Leave the stream as it was found."""
        os.set_blocking(self.descriptor, self.was_blocking)


@frozen
class TextWriter(LogWriter):
    """Write to a text stream without a file descriptor."""

    stream: TextIO

    def write(self, data: bytes) -> int:
        """Write and return how many bytes were taken; 0 when there is no room."""
        self.stream.write(data.decode())
        return len(data)

    async def wait_for_room(self) -> None:
        """Return when bytes may be taken again."""
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Leave the stream as it was found."""


def open_writer(stream: TextIO) -> LogWriter:
    """Return a writer to a text stream's descriptor, or to the stream itself."""
    try:
        descriptor = stream.fileno()
    except (OSError, AttributeError):
        return TextWriter(stream)
    writer = DescriptorWriter(descriptor, os.get_blocking(descriptor))
    if is_pipe(descriptor):
        # The flag is shared with other holders of the pipe; a terminal is spared.
        os.set_blocking(descriptor, False)
    return writer


def is_pipe(descriptor: int) -> bool:
    """Tell whether a descriptor is a pipe or a socket."""
    mode = os.fstat(descriptor).st_mode
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)

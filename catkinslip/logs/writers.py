"""Non-blocking writers of log output."""

import os
import stat
from abc import ABC, abstractmethod
from typing import TextIO

import trio
from attrs import define, frozen


class LogWriter(ABC):
    """Interface of writers that never block the event loop."""

    @abstractmethod
    def write(self, data: bytes) -> int:
        """Write data; return the number of bytes written, 0 if the stream is full."""

    @abstractmethod
    async def wait_writable(self) -> None:
        """Wait until more bytes can be written."""

    @abstractmethod
    def close(self) -> None:
        """Restore the original state of the stream."""


@define
class DescriptorWriter(LogWriter):
    """Writer to a file descriptor; does not block on a full pipe."""

    descriptor: int
    was_blocking: bool

    def write(self, data: bytes) -> int:
        """Write data; return the number of bytes written, 0 if the stream is full."""
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0

    async def wait_writable(self) -> None:
        """Wait until more bytes can be written."""
        await trio.lowlevel.wait_writable(self.descriptor)

    def close(self) -> None:
        """Restore the original state of the stream."""
        os.set_blocking(self.descriptor, self.was_blocking)


@frozen
class TextWriter(LogWriter):
    """Writer to a text stream that has no file descriptor."""

    stream: TextIO

    def write(self, data: bytes) -> int:
        """Write data; return the number of bytes written, 0 if the stream is full."""
        self.stream.write(data.decode())
        return len(data)

    async def wait_writable(self) -> None:
        """Wait until more bytes can be written."""
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Restore the original state of the stream."""


def open_writer(stream: TextIO) -> LogWriter:
    """Return a writer to the file descriptor of a stream, or else to the stream."""
    try:
        descriptor = stream.fileno()
    except (OSError, AttributeError):
        return TextWriter(stream)
    writer = DescriptorWriter(descriptor, os.get_blocking(descriptor))
    if is_pipe(descriptor):
        # All processes that use the pipe share the flag; a terminal stays unchanged.
        os.set_blocking(descriptor, False)
    return writer


def is_pipe(descriptor: int) -> bool:
    """Return whether a file descriptor is a pipe or a socket."""
    mode = os.fstat(descriptor).st_mode
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)

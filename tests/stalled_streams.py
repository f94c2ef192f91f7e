"""Stand-in for a connection whose other side reads nothing more after a while."""

import trio
from attrs import Factory, define


@define(eq=False)
class StalledStream(trio.abc.Stream):
    """A stream that accepts all bytes up to the last few of one write.

    The write that ends with `end` is accepted but for its last `unwritten` bytes, and
    waits for room that never comes. From then on `answer` can be read.
    """

    end: bytes
    unwritten: int
    answer: bytes = b''
    written: bytes = b''
    #: All bytes that were to be written.
    offered: bytes = b''
    stalled: trio.Event = Factory(trio.Event)
    closed: trio.Event = Factory(trio.Event)

    async def send_all(self, data: bytes) -> None:
        """Accept bytes, or wait once the end that is held back is written."""
        if self.closed.is_set():
            raise trio.ClosedResourceError
        self.offered += data
        if self.stalled.is_set() or not data.endswith(self.end):
            self.written += data
            await trio.lowlevel.checkpoint()
            return
        self.written += data[: len(data) - self.unwritten]
        self.stalled.set()
        await self.closed.wait()
        raise trio.ClosedResourceError

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the answer once the write waits, then wait for the close."""
        await self.stalled.wait()
        answer, self.answer = self.answer, b''
        if answer:
            return answer
        await self.closed.wait()
        raise trio.ClosedResourceError

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for room."""

    async def aclose(self) -> None:
        """Close the stream; the write that waits ends with an error."""
        self.closed.set()

"""Write buffered log lines without holding the loop."""

import logging

import trio
from attrs import Factory, define

from catkinslip.logs.buffer import LogBuffer
from catkinslip.logs.format import LineFormatter
from catkinslip.logs.writers import LogWriter

FLUSH_SECONDS = 0.1
STOP_SECONDS = 2.0
LINES_AT_ONCE = 100


@define
class LogFlusher:
    """Write the lines of a buffer; a reader that is stuck stops only this task."""

    buffer: LogBuffer
    writer: LogWriter
    formatter: logging.Formatter = Factory(LineFormatter)
    pending: bytes = b''

    async def run(self) -> None:
        """Write what comes, now and then, until cancelled; then what is left."""
        try:
            while True:
                await self.buffer.has_news.wait()
                self.buffer.has_news = trio.Event()
                await self.flush()
                await trio.sleep(FLUSH_SECONDS)
        finally:
            with trio.move_on_after(STOP_SECONDS, shield=True):
                await self.flush()
            self.writer.close()

    async def flush(self) -> None:
        """Write all lines, and let other tasks run in between."""
        while self._next_chunk():
            written = self.writer.write(self.pending)
            self.pending = self.pending[written:]
            if not written:
                await self.writer.wait_for_room()
            await trio.lowlevel.checkpoint()

    def _next_chunk(self) -> bytes:
        if not self.pending:
            self.pending = self.buffer.take(self.formatter, LINES_AT_ONCE).encode()
        return self.pending

"""Background writer of buffered log lines that does not block the event loop."""

import logging

import trio
from attrs import Factory, define

from catkinslip.logs.buffer import LogBuffer
from catkinslip.logs.format import LineFormatter
from catkinslip.logs.writers import LogWriter

FLUSH_INTERVAL_SECONDS = 0.1
STOP_TIMEOUT_SECONDS = 2.0
MAX_CHUNK_LINES = 100


@define
class LogFlusher:
    """Writer of buffered lines; a blocked reader of the log delays only this task.

    Lines that the log cannot take, as on a full disk, are dropped.
    """

    buffer: LogBuffer
    writer: LogWriter
    formatter: logging.Formatter = Factory(LineFormatter)
    pending: bytes = b''

    async def run(self) -> None:
        """Write new lines at intervals until cancelled, then the remaining lines."""
        try:
            while True:
                await self.buffer.has_records.wait()
                self.buffer.has_records = trio.Event()
                await self.flush()
                await trio.sleep(FLUSH_INTERVAL_SECONDS)
        finally:
            with trio.move_on_after(STOP_TIMEOUT_SECONDS, shield=True):
                await self.flush()
            self.writer.close()

    async def flush(self) -> None:
        """Write all buffered lines and yield to other tasks between chunks."""
        while self._next_chunk():
            try:
                written = self.writer.write(self.pending)
            except OSError as error:
                self._drop_all(error)
                return
            self.pending = self.pending[written:]
            if not written:
                await self.writer.wait_writable()
            await trio.lowlevel.checkpoint()

    def _drop_all(self, error: OSError) -> None:
        reason = f'log not writable, {error}'
        self.buffer.drop(self.pending.count(b'\n'), reason)
        self.buffer.drop_all(reason)
        self.pending = b''

    def _next_chunk(self) -> bytes:
        if not self.pending:
            lines = self.buffer.pop_lines(self.formatter, MAX_CHUNK_LINES)
            # A value of another program may hold characters that UTF-8 lacks.
            self.pending = lines.encode(errors='backslashreplace')
        return self.pending

"""In-memory buffer of log records that have not been written yet."""

import logging
from collections import deque

import trio
from attrs import Factory, define

MAX_LINES = 10_000


@define
class LogBuffer:
    """Bounded buffer of log records that counts the records dropped when it is full."""

    limit: int = MAX_LINES
    records: deque[logging.LogRecord] = Factory(deque)
    accepted: int = 0
    dropped: int = 0
    #: Why records were dropped since the last report.
    drop_reason: str = ''
    reported: int = 0
    #: Event that is set while there may be records to write.
    has_records: trio.Event = Factory(trio.Event)

    def add(self, record: logging.LogRecord) -> None:
        """Add a record, or count it as dropped if the buffer is full."""
        self.has_records.set()
        if len(self.records) >= self.limit:
            self.drop(1, 'buffer full')
            return
        self.accepted += 1
        self.records.append(record)

    def drop(self, count: int, reason: str) -> None:
        """Count dropped records, for the next report."""
        self.dropped += count
        self.drop_reason = reason

    def drop_all(self, reason: str) -> None:
        """Drop all records."""
        self.drop(len(self.records), reason)
        self.records.clear()

    def pop_lines(self, formatter: logging.Formatter, count: int) -> str:
        """Remove and return at most `count` formatted lines.

        A further line reports the records dropped since the last report, if any.
        """
        lines = []
        while self.records and len(lines) < count:
            lines.append(formatter.format(self.records.popleft()))
        if self.dropped > self.reported:
            lines.append(
                f'logs: {self.drop_reason}, '
                f'lines_dropped={self.dropped - self.reported}.'
            )
            self.reported = self.dropped
        return ''.join(f'{line}\n' for line in lines)


class BufferHandler(logging.Handler):
    """Logging handler that adds unformatted records to a buffer."""

    def __init__(self, buffer: LogBuffer) -> None:
        super().__init__()
        self.buffer = buffer

    def handle(self, record: logging.LogRecord) -> bool:
        """Add a record without a lock, because all records come from one thread."""
        self.emit(record)
        return True

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the buffer."""
        self.buffer.add(record)

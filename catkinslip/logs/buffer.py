"""Hold log lines in memory until they are written."""

import logging
from collections import deque

import trio
from attrs import Factory, define

MAX_LINES = 10_000


@define
class LogBuffer:
    """Hold a bounded number of log records; count those that find no room."""

    limit: int = MAX_LINES
    records: deque[logging.LogRecord] = Factory(deque)
    taken: int = 0
    lost: int = 0
    told: int = 0
    #: Set while there may be something to write.
    has_news: trio.Event = Factory(trio.Event)

    def add(self, record: logging.LogRecord) -> None:
        """Take a record, or count it as lost."""
        self.has_news.set()
        if len(self.records) >= self.limit:
            self.lost += 1
            return
        self.taken += 1
        self.records.append(record)

    def take(self, formatter: logging.Formatter, count: int) -> str:
        """Remove and return at most `count` lines, and a line on what was lost."""
        lines = []
        while self.records and len(lines) < count:
            lines.append(formatter.format(self.records.popleft()))
        if self.lost > self.told:
            lines.append(f'logs: {self.lost - self.told} lines were lost, no room.')
            self.told = self.lost
        return ''.join(f'{line}\n' for line in lines)


class BufferHandler(logging.Handler):
    """Give records to a buffer; formatting waits until they are written."""

    def __init__(self, buffer: LogBuffer) -> None:
        super().__init__()
        self.buffer = buffer

    def createLock(self) -> None:  # noqa: N802 - the name is the library's
        """Use no lock: one loop, one thread."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record."""
        self.buffer.add(record)

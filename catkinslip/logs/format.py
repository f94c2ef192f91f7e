"""Formatting of log records as lines."""

import logging
import time


class LineFormatter(logging.Formatter):
    """Formatter for UTC time, level and message; caches the current second as text."""

    def __init__(self) -> None:
        super().__init__()
        self.second = -1
        self.second_text = ''

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, followed by the stack trace of an exception."""
        line = f'{self._time(record)} {record.levelname} {record.getMessage()}'
        if record.exc_info:
            line = f'{line}\n{self.formatException(record.exc_info)}'
        return line

    def _time(self, record: logging.LogRecord) -> str:
        second = int(record.created)
        if second != self.second:
            self.second = second
            parts = time.gmtime(second)
            self.second_text = time.strftime('%Y-%m-%dT%H:%M:%S', parts)
        return f'{self.second_text}.{int(record.msecs):03d}Z'

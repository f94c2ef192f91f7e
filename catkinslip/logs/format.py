"""Formatting of log records as lines."""

import logging
import time

#: Characters of a message; the values of other programs may have any length.
MAX_MESSAGE_LENGTH = 4000


class LineFormatter(logging.Formatter):
    """Formatter for UTC time, level and message; caches the current second as text."""

    def __init__(self) -> None:
        super().__init__()
        self.second = -1
        self.second_text = ''

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, followed by the stack trace of an exception."""
        line = f'{self._time(record)} {record.levelname} {message_of(record)}'
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


def message_of(record: logging.LogRecord) -> str:
    """Return the message of a record in one line, or why it has none."""
    try:
        message = record.getMessage()
    except Exception as error:
        # Of a value of another program, a line must not end the process.
        message = f'logs: line not formatted. line={record.msg} error={error!r}'
    if len(message) > MAX_MESSAGE_LENGTH:
        message = f'{message[:MAX_MESSAGE_LENGTH]}... length={len(message)}'
    return message if message.isprintable() else escape(message)


def escape(text: str) -> str:
    """Return a text with escapes for line ends and others that cannot be shown."""
    return ''.join(each if each.isprintable() else ascii(each)[1:-1] for each in text)

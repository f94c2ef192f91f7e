"""Setup of the root logger."""

import logging

from catkinslip.logs.buffer import BufferHandler, LogBuffer

LIBRARIES = ('httpx', 'httpcore', 'hypercorn', 'quart')


def configure_buffered(level: str) -> LogBuffer:
    """Send log records of at least a level to a buffer; return the buffer.

    The caller must flush the buffer.
    """
    buffer = LogBuffer()
    use_handler(BufferHandler(buffer), level)
    return buffer


def use_handler(handler: logging.Handler, level: str) -> None:
    """Set the only handler of the root logger; turn off unused record attributes."""
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for library in LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)
    # https://docs.python.org/3/howto/logging.html#optimization
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False

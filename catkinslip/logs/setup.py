"""Send the program's log lines to a buffer."""

import logging

from catkinslip.logs.buffer import BufferHandler, LogBuffer

LIBRARIES = ('httpx', 'httpcore', 'hypercorn', 'quart')


def configure_buffered(level: str) -> LogBuffer:
    """Keep lines of a severity or more in a buffer, which somebody must flush."""
    buffer = LogBuffer()
    use_handler(BufferHandler(buffer), level)
    return buffer


def use_handler(handler: logging.Handler, level: str) -> None:
    """Use only one handler, and collect no facts that no line shows."""
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

"""Log to standard error, one short line each."""

import logging
from typing import TextIO


def configure(level: str, stream: TextIO) -> None:
    """Send all logs of a severity or more to a stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logging.Formatter('%(asctime)s %(levelname)s %(message)s'))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger('httpx').setLevel(logging.WARNING)
    logging.getLogger('hypercorn').setLevel(logging.WARNING)

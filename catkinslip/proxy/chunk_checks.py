"""Checks of chunked bodies that are stricter than those of the codec.

Two servers must never split one body differently, so only the simplest framing is
accepted: https://www.rfc-editor.org/rfc/rfc9112#section-7.1
"""

import re
from enum import Enum, auto, unique

from attrs import Factory, define

SIZE_LINE = re.compile(rb'[0-9A-Fa-f]{1,8}\Z')
CRLF = b'\r\n'
MAX_LINE_BYTES = 4096


@unique
class BodyPart(Enum):
    """The part of a chunked body that the next bytes belong to."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    END = auto()


@define
class ChunkCheck:
    """An incremental check of the framing of one chunked body."""

    part: BodyPart = BodyPart.SIZE
    remaining_bytes: int = 0
    line: bytearray = Factory(bytearray)
    #: Lines of sizes, ends of chunks and trailers that were checked.
    lines: int = 0

    def feed(self, data: bytes) -> str | None:
        """Check the next bytes of the body; return the fault, or None."""
        position = 0
        while position < len(data) and self.part is not BodyPart.END:
            if self.part is BodyPart.DATA:
                step = min(self.remaining_bytes, len(data) - position)
                self.remaining_bytes -= step
                position += step
                if not self.remaining_bytes:
                    self.part = BodyPart.DATA_END
                continue
            end = data.find(b'\n', position)
            stop = len(data) if end < 0 else end + 1
            self.line += data[position:stop]
            position = stop
            fault = self._check_line(is_whole=end >= 0)
            if fault is not None:
                return fault
        return None

    def _check_line(self, *, is_whole: bool) -> str | None:
        if len(self.line) > MAX_LINE_BYTES:
            return 'a line of a chunked body is too long'
        if not is_whole:
            return None
        self.lines += 1
        line = bytes(self.line)
        self.line.clear()
        if not line.endswith(CRLF) or b'\r' in line[:-2]:
            return 'a line of a chunked body does not end in CRLF'
        return self._parse_line(line[:-2])

    def _parse_line(self, line: bytes) -> str | None:
        if self.part is BodyPart.SIZE:
            if SIZE_LINE.match(line) is None:
                return 'a chunk has an odd size or an extension'
            self.remaining_bytes = int(line, 16)
            self.part = BodyPart.DATA if self.remaining_bytes else BodyPart.TRAILER
        elif self.part is BodyPart.DATA_END:
            if line:
                return 'a chunk is longer than its size'
            self.part = BodyPart.SIZE
        elif not line:
            self.part = BodyPart.END
        elif line[:1] in (b' ', b'\t'):
            return 'a trailer is folded'
        return None

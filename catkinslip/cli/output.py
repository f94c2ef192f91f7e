"""Output of commands: text, JSON, tables and errors."""

from collections.abc import Callable, Sequence

import orjson
from attrs import frozen
from cleo.io.io import IO
from cleo.io.outputs.output import Type, Verbosity

COLUMN_GAP = '  '


@frozen
class Printer:
    """Printer for the output streams of one command."""

    io: IO
    is_json: bool = False

    def line(self, text: str) -> None:
        """Print a line of text to standard output."""
        self.io.write_line(text, type=Type.RAW)

    def error(self, text: str) -> None:
        """Print an error to standard error, also with `--quiet`."""
        self.io.write_error_line(text, verbosity=Verbosity.QUIET, type=Type.RAW)

    def data(self, plain: object, make_lines: Callable[[], Sequence[str]]) -> None:
        """Print plain data as JSON with `--json`, otherwise as lines of text."""
        if self.is_json:
            self.json(plain)
            return
        for line in make_lines():
            self.line(line)

    def json(self, plain: object) -> None:
        """Print plain data as indented JSON with sorted keys."""
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        self.line(orjson.dumps(plain, option=options).decode())


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a table, with columns of numbers aligned right."""
    texts = [[str(cell) for cell in row] for row in rows]
    columns = list(zip(headers, *texts, strict=True))
    widths = [max(map(len, column)) for column in columns]
    numeric = [is_numeric(column[1:]) for column in columns]
    return [
        COLUMN_GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in (list(headers), *texts)
    ]


def is_numeric(cells: Sequence[str]) -> bool:
    """Return whether all cells of a column are numbers or `-` (no value)."""
    return all(cell == '-' or cell.replace('.', '', 1).isdigit() for cell in cells)

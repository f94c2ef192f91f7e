"""Report of the errors that end a process, which are broken invariants."""

import traceback
from collections.abc import Iterator
from pathlib import Path
from types import TracebackType
from typing import TextIO

from catkinslip.logs.format import escape

#: Characters of an error in its line.
MAX_ERROR_LENGTH = 500


def report_end(error: BaseException, stream: TextIO) -> None:
    """Write the stack traces of an error and, as the last lines, its causes."""
    lines = ''.join(traceback.format_exception(error)).splitlines()
    lines.extend(end_line(cause) for cause in causes_of(error))
    text = '\n'.join(map(escape, lines))
    # A stream of any encoding can hold these characters.
    print(text.encode('ascii', 'backslashreplace').decode(), file=stream, flush=True)


def causes_of(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors in a group of any depth, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from causes_of(each)
    else:
        yield error


def end_line(error: BaseException) -> str:
    """Return the log line of an error, with its task and its place in the code."""
    frames = list(frames_of(error.__traceback__))
    task = place = '-'
    if frames:
        task = frames[0].tb_frame.f_code.co_qualname
        code = frames[-1].tb_frame.f_code
        line = frames[-1].tb_lineno
        place = f'{Path(code.co_filename).name}:{line} {code.co_qualname}'
    text = f'{type(error).__name__}: {error}'[:MAX_ERROR_LENGTH]
    return f'lifecycle: ended by an error. task={task} at={place} error={text}'


def frames_of(trace: TracebackType | None) -> Iterator[TracebackType]:
    """Yield the entries of a stack trace, the outermost first."""
    while trace is not None:
        yield trace
        trace = trace.tb_next

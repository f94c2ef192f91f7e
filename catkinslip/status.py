"""Exit statuses of both programs."""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """Exit status of a program with its meaning."""

    meaning: str

    SUCCESS = 0, 'The program completed its task.'
    ERROR = 1, 'An error that no other status describes.'
    USAGE = 2, 'A flag, an argument or an environment variable is missing or wrong.'
    REJECTED = 3, 'A document was refused; nothing changed.'
    CONFLICT = 4, 'Another operator changed the configuration first; nothing changed.'
    UNKNOWN = 5, 'The outcome is not known; the change may be in force.'
    UNREACHABLE = 6, 'The daemon or the platform could not be reached; nothing changed.'
    NOT_IN_FORCE = 7, 'The change is accepted, but not in force everywhere yet.'
    NOT_FOUND = 8, 'The requested item was not found.'

    def __new__(cls, value: int, meaning: str) -> 'ExitStatus':
        """Create a status with its meaning."""
        status = int.__new__(cls, value)
        status._value_ = value
        status.meaning = meaning
        return status

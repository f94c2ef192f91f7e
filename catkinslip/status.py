"""Exit statuses of both programs."""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """Exit status of a program."""

    #: The program did what it was asked to do.
    SUCCESS = 0
    #: An error that no other status describes.
    ERROR = 1
    #: A flag or an environment variable is missing or wrong.
    USAGE = 2
    #: A document was refused; nothing changed.
    REJECTED = 3
    #: Another operator changed the configuration first; nothing changed.
    CONFLICT = 4
    #: The outcome could not be learned; the change may be in force.
    UNKNOWN = 5
    #: The daemon or the platform could not be reached; nothing changed.
    UNREACHABLE = 6
    #: The change is accepted, but not every instance has it in force yet.
    NOT_IN_FORCE = 7

"""Revisions of the outside store, in one order over all its lives.

The store numbers its changes. When it comes back from a copy it gives numbers out
again, and its era rises by one. One whole number holds both, the era first: whatever
compares, keeps or passes on a revision sees it only grow.
"""

NUMBERS_PER_ERA = 1 << 40


def ordered(era: int, number: int) -> int:
    """Return a revision of one life of the store; raise ValueError for none."""
    if type(number) is not int or not 0 <= number < NUMBERS_PER_ERA:
        raise ValueError(f'{number!r} is no revision')
    return era * NUMBERS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the life of the store that a revision belongs to."""
    return revision // NUMBERS_PER_ERA


def number_of(revision: int) -> int:
    """Return a revision as the store itself counts."""
    return revision % NUMBERS_PER_ERA


def text_of(revision: int) -> str:
    """Return a revision for the log, after its era where the store tells one."""
    era, number = divmod(revision, NUMBERS_PER_ERA)
    return f'{era}/{number}' if era else str(number)

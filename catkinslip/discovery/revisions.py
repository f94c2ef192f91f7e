"""Revisions of the outside store, ordered over all its eras.

The store numbers its changes. When it is restored from a backup it uses numbers again,
and its era rises by one. A revision is one integer that holds both, the era in the
higher bits, so that revisions only rise.
"""

NUMBERS_PER_ERA = 1 << 40


def revision_of(era: int, number: int) -> int:
    """Return the revision for an era and a number of the store.

    Raise ValueError for a number that is no integer or out of range.
    """
    if type(number) is not int or not 0 <= number < NUMBERS_PER_ERA:
        raise ValueError(
            f'invalid revision number {number!r}, allowed: integers from 0 to 2**40 - 1'
        )
    return era * NUMBERS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of the store that a revision belongs to."""
    return revision // NUMBERS_PER_ERA


def number_of(revision: int) -> int:
    """Return the number that the store itself gave to a revision."""
    return revision % NUMBERS_PER_ERA


def text_of(revision: int) -> str:
    """Return a revision as text for logs: era/number, or the number without an era."""
    era, number = divmod(revision, NUMBERS_PER_ERA)
    return f'{era}/{number}' if era else str(number)

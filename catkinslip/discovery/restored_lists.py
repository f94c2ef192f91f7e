"""Lists of instances of a store that was restored from a backup.

For some seconds the backup lacks instances that run and write their entries again.
"""

import logging
from math import inf

import trio
from attrs import define

from catkinslip.discovery.revisions import era_of, text_of

#: Time in which a restored store may lack instances: each writes its entry again at its
#: next look at the list, which is read each 5 s with a lag of 3 s, by readers and then
#: by those that ask them.
INCOMPLETE_SECONDS = 15.0

log = logging.getLogger('peers')


@define
class RestoredList:
    """The time in which lists may lack instances, on the clock of the loop."""

    incomplete_until: float = -inf

    def compare(self, before: int, revision: int) -> None:
        """Compare the revision of a list with that of the one before, 0 for none."""
        if is_of_later_era(revision, before):
            self.incomplete_until = trio.current_time() + INCOMPLETE_SECONDS
            log.info(
                'peers: list of a restored store, no instance is removed. '
                'revision=%s seconds=%g',
                text_of(revision),
                INCOMPLETE_SECONDS,
            )

    def may_be_incomplete(self) -> bool:
        """Return whether lists may still lack instances that run."""
        is_restored = self.incomplete_until > -inf
        return is_restored and trio.current_time() < self.incomplete_until


def is_of_later_era(revision: int, before: int) -> bool:
    """Return whether the store was restored between two lists; 0 is no list."""
    return before > 0 and era_of(revision) > era_of(before)

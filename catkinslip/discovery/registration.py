"""Keep the own entry in the list of instances while this one serves."""

import logging
from math import inf

import trio
from attrs import define
from returns.result import Failure, Success

from catkinslip.discovery.base import InstanceBook, InstanceEntry

#: Until then the list may be older than the own entry in it.
ANNOUNCE_AGAIN_SECONDS = 10.0

log = logging.getLogger('peers')


@define
class Registration:
    """Announce this instance where the list lacks it; withdraw it for good."""

    book: InstanceBook
    own: InstanceEntry
    announced_at: float = -inf
    is_withdrawn: bool = False

    def is_due(self, listed: InstanceEntry | None) -> bool:
        """Tell whether the list, which may be seconds old, should name this instance.

        Most starts find their entry of before in it and save the call.
        """
        if self.is_withdrawn or listed == self.own:
            return False
        return trio.current_time() - self.announced_at > ANNOUNCE_AGAIN_SECONDS

    def note_restored(self) -> None:
        """Take that the store came back without what was written of late."""
        self.announced_at = -inf

    async def announce(self) -> None:
        """Write the own entry; the next look at the list tells whether to try again."""
        match await self.book.announce(self.own):
            case Success(_):
                self.announced_at = trio.current_time()
                log.info('peers: announced. instance=%s', self.own.instance_id)
            case Failure(error):
                log.warning('peers: not announced yet. error=%s', error)

    async def withdraw(self) -> None:
        """Take this instance out of the list for good."""
        self.is_withdrawn = True
        match await self.book.withdraw(self.own.instance_id):
            case Failure(error):
                log.warning('peers: not withdrawn. error=%s', error)

"""Registration of this instance in the list of instances while it serves."""

import logging
from math import inf

import trio
from attrs import define
from returns.result import Failure, Success

from catkinslip.discovery.base import InstanceEntry, InstanceRegistry

#: Time after an announcement in which the list may still lack the new entry.
ANNOUNCE_AGAIN_SECONDS = 10.0
#: Shortest time between two tries after a store was restored, as for reads of the list.
RETRY_SECONDS = 5.0

log = logging.getLogger('peers')


@define
class Registration:
    """The entry of this instance in the list, announced if missing, then withdrawn."""

    registry: InstanceRegistry
    own: InstanceEntry
    announced_at: float = -inf
    is_withdrawn: bool = False
    #: Whether a restored store may lack the entry, and no read of the list shows it.
    is_unsure: bool = False
    #: Time of the last try to announce, on the clock of the loop.
    tried_at: float = -inf

    def is_due(self, listed: InstanceEntry | None) -> bool:
        """Return whether this instance has to be announced, given its listed entry.

        The list may be some seconds old. Most instances find the entry of an earlier
        start in it, which saves the call.
        """
        if self.is_withdrawn or listed == self.own:
            return False
        return trio.current_time() - self.announced_at > ANNOUNCE_AGAIN_SECONDS

    def note_restored(self) -> None:
        """Record that the store was restored from a backup without recent entries."""
        self.announced_at = -inf

    async def announce_if_unsure(self) -> None:
        """Write the own entry if a restored store may lack it, until that succeeds."""
        if not self.is_unsure or self.is_withdrawn:
            return
        if trio.current_time() - self.tried_at >= RETRY_SECONDS:
            await self.announce()

    async def announce(self) -> None:
        """Write the own entry; the next read of the list shows whether to retry."""
        self.tried_at = trio.current_time()
        match await self.registry.announce(self.own):
            case Success(_):
                self.announced_at = trio.current_time()
                self.is_unsure = False
                log.info('peers: announced. instance=%s', self.own.instance_id)
            case Failure(error):
                log.warning(
                    'peers: announcement failed, retried later. error=%s', error
                )

    async def withdraw(self) -> None:
        """Remove this instance from the list permanently."""
        self.is_withdrawn = True
        match await self.registry.withdraw(self.own.instance_id):
            case Failure(error):
                log.warning('peers: withdrawal failed. error=%s', error)

"""What an instance does after notices that others have newer values."""

from random import Random

import trio
from attrs import define

from catkinslip.discovery.catch_up import BEHIND_SECONDS, CatchUp
from catkinslip.discovery.notices import ChangeNotices

#: Time over which the requests of a zone after one change are spread, which all go to
#: the few instances that sent notices.
SPREAD_SECONDS = 0.2
#: Time for which a notice of the own zone is awaited after one of another zone. The
#: readers of two zones may be apart by a pause after changes, and traffic between
#: zones has a price.
NEAR_WAIT_SECONDS = 0.45
#: The most senders that are tried after one notice.
MAX_SENDERS = 3


@define
class NoticeFollower:
    """A task that catches up with the senders of notices."""

    notices: ChangeNotices
    catch_up: CatchUp
    random: Random

    async def run(self) -> None:
        """Catch up after each notice of newer values until cancelled."""
        while True:
            await self.notices.wait_ahead()
            await self._wait()
            await self._catch_up()

    async def _wait(self) -> None:
        """Wait for the own read of the store, or for senders in the own zone."""
        if self.catch_up.is_following:
            for _, versions in self.notices.ahead():
                self.catch_up.note_seen(versions)
            await trio.sleep(BEHIND_SECONDS)
            return
        with trio.move_on_after(NEAR_WAIT_SECONDS):
            await self.notices.wait_near_ahead()
        if self.notices.has_near_ahead():
            await trio.sleep(self.random.uniform(0.0, SPREAD_SECONDS))

    async def _catch_up(self) -> None:
        """Request the newer values of one sender after the other until one answers."""
        own_zone = self.notices.instances.own.zone
        for entry, versions in self.notices.ahead()[:MAX_SENDERS]:
            self.notices.is_forwarder = entry.zone != own_zone
            is_answered = await self.catch_up.run(entry, versions)
            self.notices.forget(entry.instance_id)
            if is_answered:
                return

"""Tell at once that another configuration came into force."""

import trio
from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig

#: Peers that are told of a change at once; the others learn in later exchanges.
PEERS_TOLD_AT_ONCE = 2


@define
class ChangeSignal:
    """Wake whoever waits when a configuration comes into force."""

    changed: trio.Event = Factory(trio.Event)

    def update(self, _: AcceptedConfig) -> None:
        """Wake the waiting task."""
        self.changed.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for a change or some seconds; tell whether there was a change."""
        with trio.move_on_after(seconds) as scope:
            await self.changed.wait()
        self.changed = trio.Event()
        return not scope.cancelled_caught

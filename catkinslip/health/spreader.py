"""Tell peers at once when a backend server begins or ceases to leave.

Each instance that learns something new tells a few random peers in turn, so the news
reaches all of them within some round trips; the regular exchange repairs the rest.
"""

from random import Random

import trio
from attrs import define

from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.exchange import PeerExchange

FANOUT = 6
#: Several changes at once, as when a rack leaves, are told together.
GATHER_SECONDS = 0.05


@define
class DrainSpreader:
    """Tell a few random peers of each change at once."""

    tracker: HealthTracker
    peers: PeerExchange
    random: Random

    async def run(self) -> None:
        """Spread changes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.tracker.drain_changed.wait()
                await trio.sleep(GATHER_SECONDS)
                self.tracker.drain_changed = trio.Event()
                for address in self.choose_peers():
                    nursery.start_soon(self.peers.exchange_with, address)

    def choose_peers(self) -> list[str]:
        """Return the control addresses of a few random peers."""
        members = self.peers.members
        addresses = sorted(
            each.control_address
            for each in members.live()
            if each.member_id != members.own.member_id
        )
        return self.random.sample(addresses, min(FANOUT, len(addresses)))

"""Gossip of drain state changes of backend servers.

Each instance with a new change sends it to a few random peers, which do the same, so
that it reaches all of them within some round trips; the regular exchange reaches the
rest.
"""

from random import Random

import trio
from attrs import define

from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.exchange import PeerExchange

#: Number of peers to which each change is sent.
FANOUT = 6
#: Seconds for which changes are gathered, as when a whole rack leaves.
GATHER_SECONDS = 0.05


@define
class DrainGossip:
    """Sender of drain state changes to a few random peers at once."""

    tracker: HealthTracker
    peers: PeerExchange
    random: Random

    async def run(self) -> None:
        """Send changes until cancelled."""
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

"""A sample of the servers, to select among hundreds of them at a constant cost.

With many servers, most of which have free slots, the best of a sample is as good as the
best of all, and a selection costs the same however many servers there are. If the best
of the sample has no free slot, all servers are examined, as few may have one.
"""

from collections.abc import Sequence
from random import Random

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad

#: Large enough to contain a good server, and small enough for a fast selection.
#: docs/ROUTING.md compares sizes.
SAMPLE_SIZE = 48
#: Lifetime of a sample in seconds: its servers' reports serve more than one selection,
#: and connections to them are reused.
SAMPLE_SECONDS = 5.0


@define
class Sample:
    """The servers that an instance selects among for a few seconds."""

    random: Random
    #: Zone whose servers are preferred; empty for none.
    zone: str = ''
    size: int = SAMPLE_SIZE
    loads: list[BackendLoad] = Factory(list)
    drawn_at: float = NEVER

    def get(self, servers: Sequence[BackendLoad], now: float) -> Sequence[BackendLoad]:
        """Return the current sample of servers, which must be more than its size."""
        if now - self.drawn_at >= SAMPLE_SECONDS:
            self._draw(servers)
            self.drawn_at = now
        return self.loads

    def add(self, load: BackendLoad) -> None:
        """Add a new server of the own zone, which the next draw may leave out again."""
        if load.zone == self.zone:
            self.loads = [*self.loads, load]

    def remove(self, load: BackendLoad) -> None:
        """Remove a server from the sample."""
        if any(each is load for each in self.loads):
            self.loads = [each for each in self.loads if each is not load]

    def redraw(self) -> None:
        """Discard the sample, so that the next selection draws a new one."""
        self.drawn_at = NEVER

    def _draw(self, loads: Sequence[BackendLoad]) -> None:
        near = [load for load in loads if load.zone == self.zone and not load.draining]
        if len(near) >= self.size:
            self.loads = self.random.sample(near, self.size)
            return
        others = [load for load in loads if load.zone != self.zone]
        missing = min(self.size - len(near), len(others))
        self.loads = [*near, *self.random.sample(others, missing)]

"""Instances that are partitioned from all servers, beside other faults."""

from collections.abc import Iterator
from random import Random

import trio
from attrs import Factory, define, frozen

from soak.callers import Callers, Outcome, Request
from soak.links import LinkFault
from soak.world import Instance, World

#: Seconds from the start of a partition after which callers must be served.
STABLE_SECONDS = 3.0
PARTITION_SECONDS = (5.0, 7.0)
PAUSE_SECONDS = (0.3, 2.0)
FAULTS = (LinkFault.SILENCE, LinkFault.RESET)
#: Seconds after a partition from which callers are served as before.
RETURN_SECONDS = 2.0
#: Share of what the other instances serve that partitioned ones must serve.
MIN_SHARE = 2 / 3
#: Requests at partitioned instances below which their share says little.
MIN_REQUESTS = 5


@frozen
class Partition:
    """A partition of some instances; times are those of the trio clock."""

    names: frozenset[str]
    began: float
    ended: float


@define
class PartitionPlayer:
    """Player that partitions some of the instances, never all, again and again."""

    world: World
    random: Random
    callers: Callers
    partitions: list[Partition] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Partition instances for some seconds; leave none partitioned."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            count = self.random.randint(1, len(self.world.instances) - 1)
            await self._partition(self.random.sample(self.world.instances, count))

    async def run_calm(self) -> None:
        """Partition some instances while nothing else happens, until they are back."""
        count = self.random.randint(1, len(self.world.instances) - 1)
        await self._partition(self.random.sample(self.world.instances, count))
        await trio.sleep(RETURN_SECONDS)

    async def _partition(self, instances: list[Instance]) -> None:
        began = trio.current_time()
        fault = self.random.choice(FAULTS)
        for instance in instances:
            await instance.path.set_fault(fault)
        await trio.sleep(self.random.uniform(*PARTITION_SECONDS))
        for instance in instances:
            await instance.path.set_fault(LinkFault.NONE)
        names = frozenset(instance.name for instance in instances)
        self.partitions.append(Partition(names, began, trio.current_time()))

    def violations(self) -> Iterator[str]:
        """Yield a violation for each partition whose callers were served far less.

        A partition beside a stopped or paused instance, or a disturbed store, is left
        out.
        """
        for partition in self.partitions:
            since = partition.began + STABLE_SECONDS
            if self.world.was_disturbed(partition.began, partition.ended):
                continue
            yield from self._judge(partition, since)

    def _judge(self, partition: Partition, since: float) -> Iterator[str]:
        inside, outside = [], []
        for request in self.callers.requests:
            if since < request.sent_at < partition.ended and request.outcome:
                is_inside = request.instance in partition.names
                (inside if is_inside else outside).append(request)
        is_counted = len(inside) >= MIN_REQUESTS
        if is_counted and share(inside) < MIN_SHARE * share(outside):
            yield (
                f'{",".join(sorted(partition.names))} partitioned: {served(inside)} of '
                f'{len(inside)} served, {served(outside)} of {len(outside)} elsewhere'
            )


def served(requests: list[Request]) -> int:
    """Return the number of requests that were answered."""
    return sum(request.outcome is Outcome.ANSWERED for request in requests)


def share(requests: list[Request]) -> float:
    """Return the share of the requests that was answered."""
    return served(requests) / max(1, len(requests))

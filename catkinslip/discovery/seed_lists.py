"""Requests for the list of instances to seeds, and offers of it to them.

`first_list` decides when to request it; the load is described there.
"""

import logging
from collections.abc import Awaitable, Callable
from random import Random

import trio
from attrs import define

from catkinslip.discovery.first_list import FirstList, ListSource
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.messages import (
    LIST_PATH,
    OFFER_PATH,
    InstanceList,
    decompress_list,
)
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply

#: Time limit of an answer.
ANSWER_SECONDS = 0.4

log = logging.getLogger('peers')

ReadList = Callable[[], Awaitable[None]]
ApplyList = Callable[[InstanceList], None]


@define
class SeedLists:
    """The exchange of lists between an instance and the seeds."""

    instances: InstanceTable
    client: PageClient
    random: Random
    seeds: tuple[Address, ...]

    async def wait_first(self, read_list: ReadList, apply: ApplyList) -> None:
        """Get the list from a seed, or from the store where no seed answers.

        `read_list` reads it from the store, `apply` applies one from a seed.
        """
        first = FirstList(self.random, trio.current_time())
        waiting = 0
        while not self.instances.list_revision:
            source = first.next_source(trio.current_time())
            if source is ListSource.STORE:
                log.info('peers: no seed answers. requests=%d', first.requests)
                return
            if source is ListSource.STORE_ONCE:
                log.info('peers: seed without a list. waiting=%d', waiting)
                await read_list()
                first.record_try(trio.current_time(), waiting)
                await self.offer()
                continue
            listed = await self._request(self.random.choice(self.seeds))
            if listed is None:
                await trio.sleep(first.next_delay())
            elif listed.revision:
                apply(listed)
            else:
                waiting = listed.waiting
                first.record_answer(trio.current_time(), waiting)
                await trio.sleep(first.next_delay())
        self.instances.record_list_attempt()

    async def _request(self, address: Address) -> InstanceList | None:
        """Return the list of a seed; None if it does not answer."""
        path = f'{LIST_PATH}?{self.instances.own.instance_id}'
        reply = await self.client.send(address, path, ANSWER_SECONDS)
        if not isinstance(reply, Reply) or reply.status != 200:
            return None
        return decompress_list(reply.body)

    async def offer(self) -> None:
        """Offer the list to the seeds, which may be without one."""
        if not self.instances.list_revision:
            return
        path = f'{OFFER_PATH}?{self.instances.own.peer_address}'
        async with trio.open_nursery() as nursery:
            for address in self.seeds:
                nursery.start_soon(self.client.send, address, path, ANSWER_SECONDS)

    async def accept_offer(self) -> InstanceList | None:
        """Return the list of an instance that offers it while this one has none."""
        address, self.instances.list_offer = self.instances.list_offer, None
        if address is None or self.instances.list_revision:
            return None
        listed = await self._request(address)
        return listed if listed is not None and listed.revision else None

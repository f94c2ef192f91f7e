"""Exchange members and the news of all topics with peers."""

import logging
from random import Random
from typing import Any

import cattrs
import httpx
import trio
from attrs import Factory, define, frozen

from catkinslip.membership.members import Member, MemberTable
from catkinslip.membership.topics import PeerTopic

PATH = '/v1/exchange'
SPREAD_FANOUT = 3

log = logging.getLogger('membership')


@frozen
class ExchangeMessage:
    """What one peer tells another; topics are named by `PeerTopic.name`."""

    sender: str
    members: tuple[Member, ...]
    digest_by_topic: dict[str, Any] = Factory(dict)
    news_by_topic: dict[str, Any] = Factory(dict)


@define
class PeerExchange:
    """Tell random peers what this instance knows and learn what they know."""

    members: MemberTable
    topic_by_name: dict[str, PeerTopic]
    client: httpx.AsyncClient
    random: Random
    seeds: tuple[str, ...]

    async def run_once(self) -> None:
        """Exchange with one random peer."""
        candidates = self._candidates()
        if candidates:
            await self.exchange_with(self.random.choice(candidates))

    async def spread(self) -> None:
        """Exchange with several random peers at once, so that news travels fast."""
        candidates = self._candidates()
        chosen = self.random.sample(candidates, min(SPREAD_FANOUT, len(candidates)))
        async with trio.open_nursery() as nursery:
            for control_address in chosen:
                nursery.start_soon(self.exchange_with, control_address)

    def _candidates(self) -> list[str]:
        peers = [each.control_address for each in self.members.member_by_id.values()]
        return sorted({*peers, *self.seeds} - {self.members.own.control_address})

    async def exchange_with(self, control_address: str) -> bool:
        """Exchange with one peer; tell whether it answered."""
        message = cattrs.unstructure(self._message({}))
        try:
            response = await self.client.post(
                f'http://{control_address}{PATH}', json=message
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            log.info('membership: %s did not answer, %r.', control_address, error)
            return False
        self.receive(cattrs.structure(response.json(), ExchangeMessage))
        return True

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Take a peer's message over and return this instance's answer."""
        for member in message.members:
            if self.members.merge(member):
                log.info('membership: learned of %s.', member.member_id)
        for name, news in message.news_by_topic.items():
            topic = self.topic_by_name.get(name)
            if topic is not None:
                topic.receive(news)
        return self._message(message.digest_by_topic)

    def _message(self, digest_by_topic: dict[str, Any]) -> ExchangeMessage:
        news_by_topic = {}
        for name, topic in self.topic_by_name.items():
            news = topic.news_for(digest_by_topic.get(name))
            if news is not None:
                news_by_topic[name] = news
        digests = {name: topic.digest() for name, topic in self.topic_by_name.items()}
        own = self.members.own.member_id
        members = tuple(self.members.live())
        return ExchangeMessage(own, members, digests, news_by_topic)

"""Exchange members and configuration versions with peers."""

import logging
from random import Random

import httpx
from attrs import define, frozen

from catkinslip.config.documents import AcceptedConfig, ConfigVersion, converter
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import Member, MemberTable

PATH = '/v1/exchange'

log = logging.getLogger('membership')


@frozen
class ExchangeMessage:
    """What one peer tells another."""

    members: tuple[Member, ...]
    config_version: ConfigVersion
    config: AcceptedConfig | None = None


@define
class PeerExchange:
    """Tell random peers what this instance knows and learn what they know."""

    members: MemberTable
    config: ConfigHolder
    client: httpx.AsyncClient
    random: Random
    seeds: tuple[str, ...]

    async def run_once(self) -> None:
        """Exchange with one random peer."""
        peers = [each.control_address for each in self.members.member_by_id.values()]
        candidates = sorted({*peers, *self.seeds} - {self.members.own.control_address})
        if not candidates:
            return
        await self.exchange_with(self.random.choice(candidates))

    async def exchange_with(self, control_address: str) -> bool:
        """Exchange with one peer; tell whether it answered."""
        message = converter.unstructure(self._message(self.config.current.version))
        try:
            response = await self.client.post(
                f'http://{control_address}{PATH}', json=message
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            log.info('membership: %s did not answer, %r.', control_address, error)
            return False
        self.receive(converter.structure(response.json(), ExchangeMessage))
        return True

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Take a peer's message over and return this instance's answer."""
        for member in message.members:
            if self.members.merge(member):
                log.info('membership: learned of %s.', member.member_id)
        if message.config is not None and self.config.offer(message.config):
            number = message.config.version.number
            log.info('config: version %d is in force, from a peer.', number)
        return self._message(message.config_version)

    def _message(self, known: ConfigVersion) -> ExchangeMessage:
        current = self.config.current
        newer = current if current.version > known else None
        return ExchangeMessage(tuple(self.members.live()), current.version, newer)

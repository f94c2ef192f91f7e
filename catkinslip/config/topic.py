"""Carry the accepted configuration between peers."""

import logging
from typing import Any

from attrs import define

from catkinslip.config.documents import AcceptedConfig, ConfigVersion, converter
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.topics import PeerTopic

log = logging.getLogger('config')


@define
class ConfigTopic(PeerTopic):
    """Tell peers the version in force and give newer ones to those behind."""

    config: ConfigHolder
    name = 'config'

    def digest(self) -> Any:
        """Return the version in force."""
        return converter.unstructure(self.config.current.version)

    def news_for(self, digest: Any | None) -> Any | None:
        """Return the configuration in force if the peer is behind."""
        if digest is None:
            return None
        known = converter.structure(digest, ConfigVersion)
        current = self.config.current
        return converter.unstructure(current) if current.version > known else None

    def receive(self, news: Any) -> None:
        """Put a peer's configuration in force if it is newer."""
        config = converter.structure(news, AcceptedConfig)
        if self.config.offer(config):
            number = config.version.number
            log.info('config: version %d is in force, from a peer.', number)

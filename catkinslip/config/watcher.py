"""Follow the accepted configuration on the platform."""

import logging

import trio
from attrs import define
from returns.result import Failure, Success

from catkinslip.config.changes import CONFIG_KEY
from catkinslip.config.documents import AcceptedConfig, converter
from catkinslip.config.holder import ConfigHolder
from catkinslip.platform.base import ObjectStore, StoredObject

WATCH_SECONDS = 20.0
PAUSE_AFTER_ERROR_SECONDS = 1.0

log = logging.getLogger('config')


@define
class ConfigWatcher:
    """Put each accepted configuration in force on this instance."""

    store: ObjectStore
    config: ConfigHolder
    object_version: int = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            result = await self.store.wait_for_change(
                CONFIG_KEY, self.object_version, WATCH_SECONDS
            )
            match result:
                case Success(StoredObject() as found):
                    self._take(found)
                case Success(_):
                    pass
                case Failure(error):
                    log.warning('config: the platform did not answer, %s.', error)
                    await trio.sleep(PAUSE_AFTER_ERROR_SECONDS)

    def _take(self, found: StoredObject) -> None:
        self.object_version = found.version
        config = converter.structure(found.value, AcceptedConfig)
        if self.config.offer(config):
            number = config.version.number
            log.info('config: version %d is in force, from the platform.', number)

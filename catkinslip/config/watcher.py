"""Reading of accepted configurations from the platform, by watches or polls."""

import logging
from collections.abc import Callable
from random import Random

import trio
from attrs import Factory, define
from returns.result import Failure, Result, Success

from catkinslip.config.documents import AcceptedConfig
from catkinslip.config.history import Head
from catkinslip.config.holder import ConfigHolder, OfferResult
from catkinslip.config.reading import CONFIG_KEY, StoredHead, parse_head, read_document
from catkinslip.store.backoff import Backoff
from catkinslip.store.base import ObjectStore, OverBudget, PlatformError, StoredObject

#: Maximum duration of one watch call, in seconds.
WATCH_SECONDS = 20.0
#: Mean time between two polls of an instance that is not a watcher, in seconds.
POLL_SECONDS = 60.0
#: Time between two checks whether this instance is a watcher, in seconds.
ROLE_CHECK_SECONDS = 1.0

log = logging.getLogger('config')


@define
class ConfigWatcher:
    """Task that puts accepted configurations from the platform in force."""

    store: ObjectStore
    config: ConfigHolder
    #: Function that returns whether this instance is a watcher of its zone.
    is_watcher: Callable[[], bool] = lambda: True
    random: Random = Factory(Random)
    backoff: Backoff = Factory(Backoff)
    #: Version of the head's object that was applied last; 0 to read any version.
    object_version: int = 0

    async def run(self) -> None:
        """Watch or poll the platform until cancelled."""
        while True:
            result = await self._read_or_watch()
            match result:
                case Success(StoredObject() as found):
                    error = await self._apply(found)
                case Success(_):
                    # A platform that was restored without a failed call may have
                    # lower object versions. A watch that continues from the old
                    # version could then wait forever.
                    self.object_version = 0
                    error = None
                case Failure(error):
                    pass
            await self._pause(error)

    async def _read_or_watch(self) -> Result[StoredObject | None, PlatformError]:
        if self.config.is_ready and not self.is_watcher():
            return await self.store.read(CONFIG_KEY)
        return await self.store.wait_for_change(
            CONFIG_KEY, self.object_version, WATCH_SECONDS
        )

    async def _pause(self, error: PlatformError | None) -> None:
        if isinstance(error, OverBudget):
            await trio.sleep(error.retry_after)
        elif error is not None:
            # A restored platform may have lower object versions.
            self.object_version = 0
            log.warning('config: configuration not readable. error=%s', error)
            await trio.sleep(self.backoff.next_delay(self.random))
        else:
            self.backoff.reset()
            await self._wait_for_next_read()

    async def _wait_for_next_read(self) -> None:
        end = trio.current_time() + POLL_SECONDS * self.random.uniform(0.5, 1.5)
        while self.config.is_ready and not self.is_watcher():
            if trio.current_time() >= end:
                return
            await trio.sleep(ROLE_CHECK_SECONDS)

    async def _apply(self, found: StoredObject) -> PlatformError | None:
        stored = parse_head(found)
        if not isinstance(stored, StoredHead):
            return stored
        error = await self._apply_head(stored.head)
        if error is None:
            self.object_version = found.version
        return error

    async def _apply_head(self, head: Head) -> PlatformError | None:
        in_force = self.config.current.version
        if head.version < in_force:
            log.warning(
                'config: platform returned an older version; the one in force is kept. '
                'version=%s in_force=%s',
                head.version,
                in_force,
            )
            return None
        if self.config.is_ready:
            result = self.config.offer_changes(head.changes)
            if result is not OfferResult.GAP:
                return None
        config = await read_document(self.store, head)
        if not isinstance(config, AcceptedConfig):
            return config
        self.config.offer(config, head.changes)
        return None

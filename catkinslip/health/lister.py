"""Read the platform's list for backend servers that leave."""

import logging
from collections.abc import Callable

import trio
from attrs import define
from returns.result import Failure, Success

from catkinslip.health.tracker import HealthTracker
from catkinslip.store.base import ObjectStore

#: Each read is a call to the platform; the readers tell their peers.
LIST_SECONDS = 1.0

log = logging.getLogger('health')


@define
class ListFollower:
    """Read the list while this instance is one of its few readers."""

    store: ObjectStore
    tracker: HealthTracker
    is_reader: Callable[[], bool]
    is_failing: bool = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self.is_reader():
                await self.read_once()
            await trio.sleep(LIST_SECONDS)

    async def read_once(self) -> None:
        """Read the list once; say when it begins to fail and when it ends."""
        match await self.store.list_instances():
            case Success(listed):
                self.tracker.learn_list(listed)
                self.is_failing = False
            case Failure(error):
                if not self.is_failing:
                    log.warning('health: the list cannot be read, %s.', error)
                self.is_failing = True

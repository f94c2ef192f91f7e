"""Periodic reads of the platform's instance list for leaving backend servers."""

import logging
from collections.abc import Callable

import trio
from attrs import define
from returns.result import Failure, Success

from catkinslip.health.tracker import HealthTracker
from catkinslip.store.base import ObjectStore

#: Seconds between two reads. Each read is a call to the platform; the readers send
#: the result to their peers.
LIST_SECONDS = 1.0

log = logging.getLogger('health')


@define
class InstanceListReader:
    """Reader of the instance list while this instance is one of its few readers."""

    store: ObjectStore
    tracker: HealthTracker
    #: Returns whether this instance is a reader of the list.
    is_reader: Callable[[], bool]
    #: Whether the last read failed.
    is_failing: bool = False

    async def run(self) -> None:
        """Read the list every `LIST_SECONDS` until cancelled."""
        while True:
            if self.is_reader():
                await self.read_once()
            await trio.sleep(LIST_SECONDS)

    async def read_once(self) -> None:
        """Read the list once; log only the first of several failures in a row."""
        match await self.store.list_instances():
            case Success(listed):
                self.tracker.apply_list(listed)
                self.is_failing = False
            case Failure(error):
                if not self.is_failing:
                    log.warning('health: instance list not readable. error=%s', error)
                self.is_failing = True

"""Synchronization of the crash registry with the store, and claims of trials."""

import logging

import trio
from attrs import define, evolve
from returns.result import Failure, Success

from catkinslip.clock import Clock
from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.crashes.suspect import Suspect
from catkinslip.store.base import Conflict

#: Seconds between two writes of an instance. 313 instances make at most 1,252 writes a
#: second, where their store accepts 3,200; 17 make 68, where theirs accepts 400.
SAVE_INTERVAL_SECONDS = 0.25
#: Seconds until the next call after a refused write or deletion.
RETRY_SECONDS = 0.5
#: Seconds for which a request waits for the store's answer on its trial.
TRIAL_TIMEOUT_SECONDS = 0.3
#: Seconds between two removals of expired suspects.
EXPIRY_INTERVAL_SECONDS = 60.0

log = logging.getLogger('crashes')


@define
class CrashSynchronizer:
    """Writer of the changes of a crash registry to a store, one record at a time."""

    registry: CrashRegistry
    store: CrashStore
    clock: Clock

    async def run(self) -> None:
        """Write changed records and delete expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._remove_expired)
            while True:
                await self.registry.has_unsaved.wait()
                for suspect in self.registry.list_unsaved():
                    await self._save(suspect)
                    await trio.sleep(SAVE_INTERVAL_SECONDS)

    async def claim_trial(self, key: RequestKey) -> bool:
        """Claim the next trial from the store; return whether this instance got it.

        All instances together have one next trial.
        """
        suspect = self.registry.suspect_by_key.get(key)
        if suspect is None:
            return False
        record = evolve(suspect.record, trials=suspect.record.trials + 1)
        with trio.move_on_after(TRIAL_TIMEOUT_SECONDS):
            match await self.store.write(record):
                case Success(stored):
                    self.registry.mark_saved(stored, self.clock.monotonic())
                    log.info(
                        'crashes: trial granted, one more server may run a request. '
                        'request=%s servers=%d trial=%d',
                        key,
                        len(record.query_by_server),
                        record.trials,
                    )
                    return True
                case Failure(Conflict()):
                    await self._reload(key)
                case Failure(error):
                    log.info(
                        'crashes: trial not granted. request=%s error=%s', key, error
                    )
        return False

    async def _save(self, suspect: Suspect) -> None:
        record = suspect.record
        if not record.query_by_server:
            await self._delete(record)
            return
        match await self.store.write(record):
            case Success(stored):
                self.registry.mark_saved(stored, self.clock.monotonic())
            case Failure(Conflict()):
                await self._reload(record.key)
            case Failure(error):
                log.warning(
                    'crashes: record not written yet. request=%s error=%s',
                    record.key,
                    error,
                )
                await trio.sleep(RETRY_SECONDS)

    async def _reload(self, key: RequestKey) -> None:
        """Apply the record that another instance wrote or deleted in the meantime."""
        match await self.store.read(key):
            case Success(CrashRecord() as record):
                self.registry.apply_conflicting_record(record, self.clock.monotonic())
            case Success(None):
                self.registry.mark_deleted(key)
            case Failure(error):
                log.warning('crashes: record not read. request=%s error=%s', key, error)

    async def _delete(self, record: CrashRecord) -> None:
        match await self.store.delete(record):
            case Success(_):
                self.registry.mark_deleted(record.key)
            case Failure(Conflict()):
                await self._reload(record.key)
            case Failure(error):
                log.warning(
                    'crashes: record not deleted. request=%s error=%s',
                    record.key,
                    error,
                )
                await trio.sleep(RETRY_SECONDS)

    async def _remove_expired(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_SECONDS)
            for record in self.registry.remove_expired(self.clock.monotonic()):
                await self._delete(record)

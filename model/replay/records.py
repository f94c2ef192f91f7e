"""Replays of the record specification against the platform records."""

from random import Random

import trio
from attrs import Factory, define

from catkinslip.tickets.records import RECORD_KIND, Claim, PlatformRecords
from model.replay.base import Replay
from model.replay.stepped import PendingWrite, SteppedStore

KEY = 'claims\0key'
FINGERPRINT = b'same'


@define
class AttemptReplay:
    """One attempt, with its claim, its writes and its state."""

    create: PendingWrite | None = None
    takeover: PendingWrite | None = None
    release: PendingWrite | None = None
    claim: Claim | None = None
    in_flight: bool = False
    was_released: bool = False


@define
class RecordReplay(Replay):
    """Attempts with one key through several instances, and the number of runs."""

    nursery: trio.Nursery
    store: SteppedStore = Factory(lambda: SteppedStore(held_kind=RECORD_KIND))
    attempt_by_index: dict[int, AttemptReplay] = Factory(dict)
    runs: int = 0
    runs_when_refused: list[int] = Factory(list)

    async def step(self, name: str, *numbers: int) -> None:
        """Perform one action; the numbers select the parts that act."""
        (index,) = numbers
        attempt = self.attempt_by_index.setdefault(index, AttemptReplay())
        if name == 'create':
            attempt.create = await self._start(self._claim, attempt, index)
        elif name.endswith('_applies'):
            write = getattr(attempt, name.removesuffix('_applies'))
            if write is not None:
                await self.store.apply(write)
        elif name == 'backend_runs':
            self.runs += attempt.in_flight
            attempt.in_flight = False
        elif name == 'receive_refusal' and attempt.in_flight:
            attempt.in_flight = False
            self.runs_when_refused.append(self.runs)
            attempt.release = await self._start(self._release, attempt)
        elif name in ('trust', 'read_own', 'read_other', 'read_released'):
            attempt.takeover = await self._answer(attempt) or attempt.takeover
        elif name == 'platform_down':
            self.store.is_down = True
            await self._answer(attempt)
            self.store.is_down = False

    async def _start(self, task, *arguments) -> PendingWrite | None:
        pending_count = len(self.store.pending)
        self.nursery.start_soon(task, *arguments)
        await trio.testing.wait_all_tasks_blocked()
        return next(iter(self.store.pending[pending_count:]), None)

    async def _answer(self, attempt: AttemptReplay) -> PendingWrite | None:
        pending_count = len(self.store.pending)
        for write in (attempt.create, attempt.takeover):
            if write is not None:
                write.answered.set()
        await trio.testing.wait_all_tasks_blocked()
        return next(iter(self.store.pending[pending_count:]), None)

    async def _claim(self, attempt: AttemptReplay, index: int) -> None:
        records = PlatformRecords(self.store, Random(index))
        outcome = await records.claim(KEY, FINGERPRINT)
        if isinstance(outcome, Claim):
            attempt.claim = outcome
            attempt.in_flight = True

    async def _release(self, attempt: AttemptReplay) -> None:
        await PlatformRecords(self.store, Random(0)).release(attempt.claim)

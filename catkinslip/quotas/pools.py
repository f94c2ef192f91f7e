"""The pool's part: leases of generators, and permits for the holders that ask.

Load: the same message arrives twice, late or from an earlier start of its sender. A
repeated ask gets the same answer, and a lease counts only while its stamp is fresh.
"""

from collections import OrderedDict
from collections.abc import Mapping

from attrs import Factory, define, field

from catkinslip.quotas.bounds import WorkspaceLimit
from catkinslip.quotas.buckets import Grant, Slot, SlotLease
from catkinslip.quotas.leases import LEASE_SECONDS, Lease, LeaseConfirmation, Stamp
from catkinslip.quotas.messages import Answer, AnswerEntry, Ask, AskEntry
from catkinslip.quotas.rates import RecentRate
from catkinslip.quotas.slots import slot_of

#: Answers kept for repeated asks; a repetition comes within 0.1 s.
MAX_ANSWERS = 512
#: Seconds over which the use of a workspace is averaged.
USAGE_SECONDS = 2.0
#: Seconds after which a slot without leases is forgotten.
IDLE_SLOT_SECONDS = 10.0


@define
class SenderState:
    """The newest lease message of a generator."""

    start: int
    sequence: int
    slots: frozenset[int]
    received_at: float
    #: Earlier starts of the generator, whose delayed messages have no effect.
    ended_starts: frozenset[int] = frozenset()

    def supersedes(self, lease: Lease) -> bool:
        """Return whether a message is the same as or older than the newest one."""
        if lease.start in self.ended_starts:
            return True
        return self.start == lease.start and lease.sequence <= self.sequence

    def ended_by(self, lease: Lease) -> frozenset[int]:
        """Return the starts that have ended once a newer message is applied."""
        if lease.start == self.start:
            return self.ended_starts
        return self.ended_starts | {self.start}


@define
class UsageCount:
    """The recent requests of a workspace at all holders."""

    seen: RecentRate
    refused: RecentRate

    @classmethod
    def begin(cls, now: float) -> 'UsageCount':
        """Return a count that begins now."""
        return cls(RecentRate(USAGE_SECONDS, now), RecentRate(USAGE_SECONDS, now))

    def record(self, entry: AskEntry, now: float) -> None:
        """Count the requests that a holder reports."""
        if entry.seen or entry.refused:
            self.seen.add(entry.seen, now)
            self.refused.add(entry.refused, now)


@define
class Pool:
    """The slots of which this instance is a pool; times are monotonic seconds."""

    own_id: str
    start: int
    limit_by_key: Mapping[int, WorkspaceLimit] = Factory(dict)
    #: Keys of all workspaces; those that are not limited are only counted.
    keys: frozenset[int] = frozenset()
    sender_by_id: dict[str, SenderState] = Factory(dict)
    slot_by_number: dict[int, Slot] = Factory(dict)
    usage_by_key: dict[int, UsageCount] = Factory(dict)
    _answers: OrderedDict[tuple[str, int, int], Answer] = field(
        factory=OrderedDict, init=False
    )

    def apply_limits(
        self,
        limit_by_key: Mapping[int, WorkspaceLimit],
        keys: frozenset[int],
        now: float,
    ) -> None:
        """Apply the limits of a new configuration."""
        self.limit_by_key, self.keys = limit_by_key, keys
        for number, slot in self.slot_by_number.items():
            slot.apply_limits(self._limits_of(number), now)
        for key in self.usage_by_key.keys() - keys:
            del self.usage_by_key[key]

    def apply_lease(self, lease: Lease, now: float) -> LeaseConfirmation | None:
        """Apply a generator's message; None if a newer one arrived before it."""
        known = self.sender_by_id.get(lease.by)
        if known is not None and known.supersedes(lease):
            return None
        slots = lease.slots if self._is_fresh(lease.stamp, now) else frozenset()
        ended_starts = frozenset() if known is None else known.ended_by(lease)
        self.sender_by_id[lease.by] = SenderState(
            lease.start, lease.sequence, slots, now, ended_starts
        )
        ended = frozenset() if known is None else known.slots - slots
        for number in ended:
            if number in self.slot_by_number:
                self.slot_by_number[number].apply_lease(lease.by, None, now)
        for number in slots:
            held = SlotLease(lease.share, lease.stamp.at + LEASE_SECONDS)
            slot = self._slot(number, now)
            slot.apply_lease(lease.by, held, now)
            if number in lease.starting:
                slot.add_start_level(lease.share, now)
        stamp = Stamp(self.start, now)
        return LeaseConfirmation(self.own_id, lease.start, lease.sequence, stamp)

    def answer(self, ask: Ask, now: float) -> Answer:
        """Grant permits; a repeated ask gets the answer of the first one."""
        identity = (ask.by, ask.start, ask.number)
        answer = self._answers.get(identity)
        if answer is None:
            entries = tuple(self._answer_entry(each, now) for each in ask.entries)
            answer = Answer(self.own_id, ask.start, ask.number, entries)
            self._answers[identity] = answer
            if len(self._answers) > MAX_ANSWERS:
                self._answers.popitem(last=False)
        return answer

    def take(
        self, key: int, needed: int, now: float, extra: int = 0, spare: int = 0
    ) -> Grant:
        """Grant permits of one workspace, without counting its use."""
        if key in self.keys and key not in self.limit_by_key:
            return Grant(needed + extra)
        slot = self.slot_by_number.get(slot_of(key), Slot(now))
        return slot.grant(key, needed, now, extra, spare)

    def forget_idle(self, now: float) -> None:
        """Remove the slots without leases, and the senders that stopped."""
        for number, slot in list(self.slot_by_number.items()):
            slot.advance(now)
            if not slot.lease_by_sender and now - slot.leased_at > IDLE_SLOT_SECONDS:
                del self.slot_by_number[number]
        for sender, state in list(self.sender_by_id.items()):
            # By then the stamps in all of its earlier messages are too old.
            if now - state.received_at > IDLE_SLOT_SECONDS:
                del self.sender_by_id[sender]

    def _answer_entry(self, entry: AskEntry, now: float) -> AnswerEntry:
        usage = self.usage_by_key.get(entry.key)
        if usage is None:
            usage = UsageCount.begin(now)
            if entry.key in self.keys:
                self.usage_by_key[entry.key] = usage
        usage.record(entry, now)
        grant = Grant(0)
        if entry.needed or entry.extra:
            grant = self.take(entry.key, entry.needed, now, entry.extra, entry.spare)
        seen = usage.seen.per_second(now)
        refused = usage.refused.per_second(now)
        refused_share = min(1.0, refused / seen) if seen > 0 else 0.0
        return AnswerEntry(
            entry.key, grant.permits, grant.retry_after, seen, refused_share
        )

    def _is_fresh(self, stamp: Stamp | None, now: float) -> bool:
        if stamp is None or stamp.pool_start != self.start:
            return False
        return stamp.at <= now < stamp.at + LEASE_SECONDS

    def _slot(self, number: int, now: float) -> Slot:
        slot = self.slot_by_number.get(number)
        if slot is None:
            slot = self.slot_by_number[number] = Slot(now)
            slot.apply_limits(self._limits_of(number), now)
        return slot

    def _limits_of(self, number: int) -> dict[int, WorkspaceLimit]:
        return {
            key: limit
            for key, limit in self.limit_by_key.items()
            if slot_of(key) == number
        }

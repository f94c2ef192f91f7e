"""The table of keys that this instance has admitted as their home.

Without I/O: callers pass the time in Unix seconds that never go back (`AnchoredClock`).
"""

from enum import Enum, unique

from attrs import Factory, define, frozen

from catkinslip.proxy.headers import Header
from catkinslip.tickets.keys import TicketKey

#: Seconds beyond the lifetime by which a key may expire later, for clock skew.
SKEW_ALLOWANCE_SECONDS = 60
#: Maximum total size of kept answers, in bytes.
MAX_KEPT_BYTES = 8 << 20


@unique
class EntryState(Enum):
    """The state of an admitted request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@frozen
class KeptAnswer:
    """A complete answer, kept for repeated requests with the same key."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def size(self) -> int:
        """Return the approximate size of the answer in bytes."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)


@define
class Entry:
    """The entry of one admitted key; `status` is that of the answer."""

    key: TicketKey
    fingerprint: bytes
    state: EntryState = EntryState.RUNNING
    status: int | None = None
    answer: KeptAnswer | None = None


@frozen
class Admitted:
    """The decision that the request may run now, as the only one with its key."""


@frozen
class AlreadySent:
    """The decision that the key was admitted before, so the request must not run."""

    state: EntryState
    status: int | None


@frozen
class Replay:
    """The decision to answer the request with the kept answer."""

    answer: KeptAnswer


@unique
class Refusal(Enum):
    """The reasons for which a key is not looked up or not admitted."""

    OTHER_INCARNATION = 'other-incarnation'
    EXPIRED = 'expired'
    OTHER_REQUEST = 'other-request'
    TOO_FAR_AHEAD = 'too-far-ahead'
    FULL = 'full'


Decision = Admitted | AlreadySent | Replay | Refusal


@define
class TicketTable:
    """A table that admits each key at most once; the key lifetime is in seconds."""

    member_id: str
    incarnation: int
    lifetime: float
    capacity: int
    started_at: float
    entry_by_key: dict[str, Entry] = Factory(dict)
    keys_by_expiry: dict[int, set[str]] = Factory(dict)
    kept_bytes: int = 0
    _next_expiry: int = Factory(lambda self: int(self.started_at), takes_self=True)

    def admit(self, key: TicketKey, fingerprint: bytes, now: float) -> Decision:
        """Decide whether a request may run; call before its first byte is sent."""
        decision = self.look_up(key, fingerprint, now)
        if decision == Admitted():
            self.entry_by_key[key.text] = Entry(key, fingerprint)
            self.keys_by_expiry.setdefault(key.expiry, set()).add(key.text)
        return decision

    def look_up(self, key: TicketKey, fingerprint: bytes, now: float) -> Decision:
        """Return the decision that `admit` would make, without admitting the key."""
        self._remove_expired(now)
        if (key.member_id, key.incarnation) != (self.member_id, self.incarnation):
            return Refusal.OTHER_INCARNATION
        if key.expiry <= now:
            return Refusal.EXPIRED
        entry = self.entry_by_key.get(key.text)
        if entry is not None:
            return decide_repeated(entry, fingerprint)
        if key.expiry > now + self.lifetime + SKEW_ALLOWANCE_SECONDS:
            return Refusal.TOO_FAR_AHEAD
        if len(self.entry_by_key) >= self.capacity:
            return Refusal.FULL
        return Admitted()

    def release(self, key: TicketKey) -> None:
        """Remove an admitted key whose request did not run."""
        if self.entry_by_key.pop(key.text, None) is None:
            return
        keys = self.keys_by_expiry[key.expiry]
        keys.discard(key.text)
        if not keys:
            del self.keys_by_expiry[key.expiry]

    def mark_unknown(self, key: TicketKey) -> None:
        """Mark an admitted request as one that may have run."""
        entry = self.entry_by_key.get(key.text)
        if entry is not None:
            entry.state = EntryState.UNKNOWN

    def mark_answered(
        self, key: TicketKey, status: int, answer: KeptAnswer | None
    ) -> None:
        """Mark an admitted request as answered; keep its answer if there is room."""
        entry = self.entry_by_key.get(key.text)
        if entry is None:
            return
        entry.state = EntryState.ANSWERED
        entry.status = status
        if answer is not None and self.kept_bytes + answer.size() <= MAX_KEPT_BYTES:
            entry.answer = answer
            self.kept_bytes += answer.size()

    def _remove_expired(self, now: float) -> None:
        while self._next_expiry <= now:
            for text in self.keys_by_expiry.pop(self._next_expiry, ()):
                entry = self.entry_by_key.pop(text)
                if entry.answer is not None:
                    self.kept_bytes -= entry.answer.size()
            self._next_expiry += 1


def decide_repeated(entry: Entry, fingerprint: bytes) -> Decision:
    """Decide on a repeated request, whose key is in the table."""
    if entry.fingerprint != fingerprint:
        return Refusal.OTHER_REQUEST
    if entry.answer is not None:
        return Replay(entry.answer)
    return AlreadySent(entry.state, entry.status)

"""The datagrams between generators, pools and holders, in plain and typed form."""

from math import isfinite
from typing import Any

from attrs import frozen

from catkinslip.quotas.leases import Lease, LeaseConfirmation, Stamp
from catkinslip.quotas.slots import SLOTS

#: Topics of the datagrams.
LEASE = 'quota_lease'
CONFIRMATION = 'quota_confirmation'
ASK = 'quota_ask'
ANSWER = 'quota_answer'
#: Maximum number of workspaces in one datagram of 1,472 bytes; each takes up to 54.
MAX_ENTRIES = 24
#: Greatest number of permits or requests in an entry. It bounds an entry's length.
MAX_COUNT = 99_999


@frozen
class AskEntry:
    """What a holder asks and reports about one workspace."""

    key: int
    #: Calls that wait, and further permits for calls that are expected.
    needed: int = 0
    extra: int = 0
    #: Permits for hedges and further attempts, which are granted from a full bucket.
    spare: int = 0
    #: Requests that the holder received, and that got no answer, since the last report.
    seen: int = 0
    refused: int = 0


@frozen
class Ask:
    """A holder's request for permits; a repeated one has the same number."""

    by: str
    start: int
    number: int
    entries: tuple[AskEntry, ...]


@frozen
class AnswerEntry:
    """A pool's answer about one workspace."""

    key: int
    granted: int = 0
    #: Seconds until more permits are likely; 0 if all that calls wait for were granted.
    retry_after: float = 0.0
    #: Use over all instances in requests per second, and the share refused.
    per_second: float = 0.0
    refused_share: float = 0.0


@frozen
class Answer:
    """A pool's answer to an ask."""

    by: str
    start: int
    number: int
    entries: tuple[AnswerEntry, ...]


def lease_to_plain(lease: Lease) -> dict[str, Any]:
    """Return a lease as a message."""
    stamp = lease.stamp and [lease.stamp.pool_start, lease.stamp.at]
    head = [lease.by, lease.start, lease.sequence, lease.share]
    return {LEASE: [*head, sorted(lease.slots), stamp, sorted(lease.starting)]}


def lease_from_plain(message: dict[str, Any]) -> Lease:
    """Return the lease in a message; raise TypeError or ValueError if malformed."""
    by, start, sequence, share, slots, stamp, starting = message[LEASE]
    if not 0 <= finite(share) <= 1:
        raise ValueError(f'share must be 0 to 1, not {share!r}')
    read = None if stamp is None else read_stamp(stamp)
    return Lease(
        text(by),
        count(start),
        count(sequence),
        share,
        read_slots(slots),
        read,
        read_slots(starting),
    )


def read_slots(plain: Any) -> frozenset[int]:
    """Return slots; raise TypeError or ValueError if one of them does not exist."""
    slots = frozenset(map(count, plain))
    if any(slot >= SLOTS for slot in slots):
        raise ValueError(f'slots must be below {SLOTS}, not {plain!r}')
    return slots


def confirmation_to_plain(message: LeaseConfirmation) -> dict[str, Any]:
    """Return a confirmation as a message."""
    stamp = [message.stamp.pool_start, message.stamp.at]
    return {CONFIRMATION: [message.by, message.start, message.sequence, stamp]}


def confirmation_from_plain(message: dict[str, Any]) -> LeaseConfirmation:
    """Return a confirmation; raise TypeError or ValueError if it is malformed."""
    by, start, sequence, stamp = message[CONFIRMATION]
    return LeaseConfirmation(text(by), count(start), count(sequence), read_stamp(stamp))


def ask_to_plain(ask: Ask) -> dict[str, Any]:
    """Return an ask as a message."""
    entries = [
        [each.key, *(min(n, MAX_COUNT) for n in counts_of(each))]
        for each in ask.entries
    ]
    return {ASK: [ask.by, ask.start, ask.number, entries]}


def counts_of(entry: AskEntry) -> tuple[int, ...]:
    """Return the numbers of an entry in the order of the message."""
    return entry.needed, entry.extra, entry.spare, entry.seen, entry.refused


def ask_from_plain(message: dict[str, Any]) -> Ask:
    """Return the ask in a message; raise TypeError or ValueError if malformed."""
    by, start, number, entries = message[ASK]
    read = tuple(AskEntry(*map(count, each)) for each in entries)
    return Ask(text(by), count(start), count(number), read)


def answer_to_plain(answer: Answer) -> dict[str, Any]:
    """Return an answer as a message, with milliseconds and per cent."""
    entries = [
        [
            each.key,
            each.granted,
            round(each.retry_after * 1e3),
            round(each.per_second, 2),
            round(each.refused_share * 100),
        ]
        for each in answer.entries
    ]
    return {ANSWER: [answer.by, answer.start, answer.number, entries]}


def answer_from_plain(message: dict[str, Any]) -> Answer:
    """Return the answer in a message; raise TypeError or ValueError if malformed."""
    by, start, number, entries = message[ANSWER]
    read = tuple(
        AnswerEntry(
            count(key),
            count(granted),
            count(retry_ms) / 1e3,
            finite(per_second),
            count(refused) / 100,
        )
        for key, granted, retry_ms, per_second, refused in entries
    )
    return Answer(text(by), count(start), count(number), read)


def read_stamp(plain: Any) -> Stamp:
    """Return a stamp; raise TypeError or ValueError if it is malformed."""
    pool_start, at = plain
    return Stamp(count(pool_start), finite(at))


def text(value: Any) -> str:
    """Return a text; raise TypeError for anything else."""
    if not isinstance(value, str):
        raise TypeError(f'a name must be a text, not {value!r}')
    return value


def count(value: Any) -> int:
    """Return a number from 0; raise TypeError or ValueError for anything else."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'a count must be a whole number, not {value!r}')
    if value < 0:
        raise ValueError(f'a count must be at least 0, not {value}')
    return value


def finite(value: Any) -> float:
    """Return a number; raise TypeError or ValueError unless it is finite."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f'a number is expected, not {value!r}')
    if not isfinite(value):
        raise ValueError(f'a finite number is expected, not {value}')
    return float(value)

"""Peer topics for drain states and load reports."""

from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
from attrs import define, field, frozen
from attrs.validators import and_, ge, lt, optional

from catkinslip.health.counters import HealthCounters
from catkinslip.health.drain import DrainSignal, DrainState, DrainTable
from catkinslip.health.reports import ObservedReport, ReportTable
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.topics import PeerTopic
from catkinslip.models import BackendKey
from catkinslip.routing.base import LoadReport

Message = TypeVar('Message')
MALFORMED_ERRORS = (cattrs.BaseValidationError, AttributeError, TypeError, ValueError)
#: Validator of numbers that are not below zero, not infinite and not NaN.
IS_AMOUNT = and_(ge(0), lt(float('inf')))

#: Digits after the point of an age in seconds on the wire.
AGE_DIGITS = 3
#: A peer whose digest is unknown gets the states that changed in this time.
RECENT_SECONDS = 10.0


@frozen
class DrainMessage:
    """A drain state on the wire; `age` is in seconds."""

    backend_id: str
    address: str
    generation: int = field(validator=ge(0))
    signs: tuple[DrainSignal, ...]
    age: float = field(validator=IS_AMOUNT)


@frozen
class ReportMessage:
    """A load report on the wire; `age` is in seconds."""

    backend_id: str
    address: str
    in_flight: float = field(validator=IS_AMOUNT)
    speed: float | None = field(validator=optional(IS_AMOUNT))
    age: float = field(validator=IS_AMOUNT)


@define
class DrainTopic(PeerTopic):
    """The drain states of backend servers, for peers."""

    table: DrainTable
    is_registered: Callable[[BackendKey], bool]
    #: Called after the states of a message were merged.
    on_applied: Callable[[], None]
    monotonic: Callable[[], float]
    counters: HealthCounters
    name = 'drain'

    def digest(self) -> Any:
        """Return a hash of the drain states of all leaving servers."""
        return self.table.digest()

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return all drain states for a peer whose digest differs.

        Returns only recent changes if the digest is None, and None if the digests are
        equal or there is nothing to send.
        """
        if digest == self.table.digest():
            return None
        now = self.monotonic()
        messages = [
            DrainMessage(
                key.backend_id,
                key.address,
                held.state.generation,
                tuple(sorted(held.state.signals, key=lambda signal: signal.value)),
                age_since(held.changed_at, now),
            )
            for key, held in self.table.held_by_key.items()
            if digest is not None or now - held.changed_at < RECENT_SECONDS
        ]
        self.counters.drain_words_sent += len(messages)
        return cattrs.unstructure(messages) if messages else None

    def receive(self, updates: Any) -> None:
        """Merge a peer's drain states of registered servers.

        Raises ValueError if a message is malformed; then nothing is merged.
        """
        now = self.monotonic()
        messages = parse_messages(updates, DrainMessage)
        self.counters.drain_words_received += len(messages)
        for message in messages:
            key = BackendKey(message.backend_id, message.address)
            if self.is_registered(key):
                state = DrainState(message.generation, frozenset(message.signs))
                self.table.merge(key, state, now, message.age)
        self.on_applied()


@define
class ReportTopic(PeerTopic):
    """The newest load reports, each with its age, in batches for peers."""

    reports: ReportTable
    apply_report: Callable[[BackendKey, ObservedReport], None]
    monotonic: Callable[[], float]
    counters: HealthCounters
    name = 'load'

    def digest(self) -> Any:
        """Return the number of load reports applied by this instance.

        Peers have applied other reports, so their numbers differ.
        """
        return self.reports.version

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return a batch of the newest reports; None if there are none."""
        now = self.monotonic()
        messages = [
            ReportMessage(
                key.backend_id,
                key.address,
                known.report.in_flight,
                known.report.speed,
                age_since(known.observed_at, now),
            )
            for key, known in self.reports.newest(now)
        ]
        self.counters.reports_sent += len(messages)
        return cattrs.unstructure(messages) if messages else None

    def receive(self, updates: Any) -> None:
        """Apply reports that are newer than the known ones.

        Raises ValueError if a message is malformed; then nothing is applied.
        """
        now = self.monotonic()
        messages = parse_messages(updates, ReportMessage)
        self.counters.reports_received += len(messages)
        for message in messages:
            key = BackendKey(message.backend_id, message.address)
            report = LoadReport(message.in_flight, message.speed)
            known = ObservedReport(report, now - message.age)
            self.apply_report(key, known)


def age_since(at: float, now: float) -> float:
    """Return an age in seconds, rounded for the wire."""
    return round(max(0.0, now - at), AGE_DIGITS)


def parse_messages(updates: Any, kind: type[Message]) -> list[Message]:
    """Return a peer's messages; raise ValueError if one is malformed."""
    try:
        return cattrs.structure(updates, list[kind])
    except MALFORMED_ERRORS as error:
        raise ValueError(f'malformed health update from a peer: {error!r}') from None


def health_topics(tracker: HealthTracker) -> tuple[PeerTopic, ...]:
    """Return the peer topics that serve a tracker's drain states and reports."""
    monotonic, counters = tracker.clock.monotonic, tracker.counters
    return (
        DrainTopic(
            tracker.drain,
            tracker.is_registered,
            tracker.apply_changes,
            monotonic,
            counters,
        ),
        ReportTopic(tracker.reports, tracker.apply_report, monotonic, counters),
    )

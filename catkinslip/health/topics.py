"""Carry drain words and load reports between peers."""

from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
from attrs import define, field, frozen
from attrs.validators import and_, ge, lt, optional

from catkinslip.health.counters import HealthCounters
from catkinslip.health.drain import DrainSign, DrainTable, DrainWord
from catkinslip.health.reports import KnownReport, ReportTable
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.topics import PeerTopic
from catkinslip.models import BackendKey
from catkinslip.routing.base import LoadReport

Message = TypeVar('Message')
MALFORMED = (cattrs.BaseValidationError, AttributeError, TypeError, ValueError)
#: Not below zero, not infinite and not NaN.
IS_AMOUNT = and_(ge(0), lt(float('inf')))

AGE_DIGITS = 3
#: A peer whose digest is not known is told what changed this lately.
RECENT_SECONDS = 10.0


@frozen
class DrainMessage:
    """A drain word on the wire; `age` is in seconds."""

    backend_id: str
    address: str
    generation: int = field(validator=ge(0))
    signs: tuple[DrainSign, ...]
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
    """Tell peers which backend servers are leaving or have returned."""

    table: DrainTable
    is_registered: Callable[[BackendKey], bool]
    learned: Callable[[], None]
    monotonic: Callable[[], float]
    counters: HealthCounters
    name = 'drain'

    def digest(self) -> Any:
        """Return a hash of the words that say leaving."""
        return self.table.digest()

    def news_for(self, digest: Any | None) -> Any | None:
        """Return all words for a peer that differs, else those of moments ago."""
        if digest == self.table.digest():
            return None
        now = self.monotonic()
        messages = [
            DrainMessage(
                key.backend_id,
                key.address,
                held.word.generation,
                tuple(sorted(held.word.signs, key=lambda sign: sign.value)),
                age_since(held.changed_at, now),
            )
            for key, held in self.table.held_by_key.items()
            if digest is not None or now - held.changed_at < RECENT_SECONDS
        ]
        self.counters.drain_words_sent += len(messages)
        return cattrs.unstructure(messages) if messages else None

    def receive(self, news: Any) -> None:
        """Merge a peer's words on servers of the register."""
        now = self.monotonic()
        messages = structure(news, DrainMessage)
        self.counters.drain_words_received += len(messages)
        for message in messages:
            key = BackendKey(message.backend_id, message.address)
            if self.is_registered(key):
                word = DrainWord(message.generation, frozenset(message.signs))
                self.table.merge(key, word, now, message.age)
        self.learned()


@define
class ReportTopic(PeerTopic):
    """Tell peers the newest load reports in batches, each with its age."""

    reports: ReportTable
    learn: Callable[[BackendKey, KnownReport], None]
    monotonic: Callable[[], float]
    counters: HealthCounters
    name = 'load'

    def digest(self) -> Any:
        """Return a number that differs from peers', as each knows other reports."""
        return self.reports.version

    def news_for(self, digest: Any | None) -> Any | None:
        """Return a batch of the youngest reports."""
        now = self.monotonic()
        messages = [
            ReportMessage(
                key.backend_id,
                key.address,
                known.report.in_flight,
                known.report.speed,
                age_since(known.observed_at, now),
            )
            for key, known in self.reports.youngest(now)
        ]
        self.counters.reports_sent += len(messages)
        return cattrs.unstructure(messages) if messages else None

    def receive(self, news: Any) -> None:
        """Take over reports that are younger than the known ones."""
        now = self.monotonic()
        messages = structure(news, ReportMessage)
        self.counters.reports_received += len(messages)
        for message in messages:
            key = BackendKey(message.backend_id, message.address)
            report = LoadReport(message.in_flight, message.speed)
            known = KnownReport(report, now - message.age)
            self.learn(key, known)


def age_since(at: float, now: float) -> float:
    """Return an age in seconds, short on the wire."""
    return round(max(0.0, now - at), AGE_DIGITS)


def structure(news: Any, kind: type[Message]) -> list[Message]:
    """Return a peer's messages; raise ValueError when one is malformed."""
    try:
        return cattrs.structure(news, list[kind])
    except MALFORMED as error:
        raise ValueError(f'malformed news of health: {error!r}') from None


def health_topics(tracker: HealthTracker) -> tuple[PeerTopic, ...]:
    """Return the topics of a tracker."""
    monotonic, counters = tracker.clock.monotonic, tracker.counters
    return (
        DrainTopic(
            tracker.drain, tracker.is_registered, tracker.settle, monotonic, counters
        ),
        ReportTopic(tracker.reports, tracker.learn_report, monotonic, counters),
    )

"""The protocol of an exchange between two peers, without any I/O.

An exchange is a request and its answer. If the answer shows that the other side
misses records or updates, one more message carries them.
"""

import logging
from collections.abc import Iterable
from random import Random
from typing import Any

from attrs import Factory, define, evolve

from catkinslip.membership.detector import FailureDetector
from catkinslip.membership.members import Member, MemberTable, Status
from catkinslip.membership.messages import ExchangeMessage
from catkinslip.membership.topics import PeerTopic
from catkinslip.membership.zones import ZoneViews

#: Maximum number of queued member updates in one message.
MAX_UPDATES = 8
#: Number of records after which an answer repairs no further zone.
MAX_REPAIR_RECORDS = 64
#: Views are compared once in so many exchanges; always in those between zones.
ROUNDS_PER_COMPARISON = 3

log = logging.getLogger('membership')


@define
class PeerProtocol:
    """The peer protocol of one instance: creates and applies its messages."""

    table: MemberTable
    topic_by_name: dict[str, PeerTopic]
    random: Random
    interval: float
    zones: ZoneViews = Factory(lambda self: ZoneViews(self.table), takes_self=True)
    detector: FailureDetector = Factory(
        lambda self: FailureDetector(
            self.table, self.zones, self.random, self.interval
        ),
        takes_self=True,
    )
    #: Whether updates wait that must be sent to peers before the next round.
    has_urgent_updates: bool = False
    _requests: int = 0

    def request(self, now: float, target: Member | None = None) -> ExchangeMessage:
        """Return the request that opens an exchange with a peer."""
        self._requests += 1
        own = self.table.own
        is_cross_zone = target is None or target.zone != own.zone
        message = self._message(now, self._next_updates())
        message = evolve(message, digest_by_topic=self._digests())
        if is_cross_zone or self._requests % ROUNDS_PER_COMPARISON == 0:
            message = self._with_views(message, now)
        updates = {name: topic.updates_for(None) for name, topic in self._topics()}
        return evolve(message, news_by_topic=without_none(updates))

    def answer(self, message: ExchangeMessage, now: float) -> ExchangeMessage:
        """Apply a peer's request and return the answer to it."""
        known = self.table.find(message.sender)
        self._apply_message(message, now)
        sender = self.table.find(message.sender)
        records = {each.member_id: each for each in self._next_updates()}
        records |= {each.member_id: each for each in self._corrections(message.words)}
        is_new = known is None or known.incarnation < message.incarnation
        repaired = self._zones_to_repair(message, now, is_new)
        for zone in repaired:
            records |= {each.member_id: each for each in self._records_of(zone, now)}
        answer = self._message(now, records.values())
        if message.hash_by_zone:
            answer = evolve(answer, age_by_zone=self.zones.age_by_zone(now))
        return evolve(
            answer,
            repaired_zones=tuple(repaired),
            is_sender_unknown=sender is None
            or sender.incarnation < message.incarnation,
            digest_by_topic={
                name: digest
                for name, digest in self._digests().items()
                if message.digest_by_topic.get(name) != digest
            },
            news_by_topic=self._updates_for_digests(message.digest_by_topic),
        )

    def apply_answer(
        self, request: ExchangeMessage, answer: ExchangeMessage, now: float
    ) -> ExchangeMessage | None:
        """Apply a peer's answer; return a message with the data it misses, or None."""
        self._apply_message(answer, now)
        records = [
            *self._corrections(answer.words),
            *self._missing_records(answer, now),
        ]
        if answer.is_sender_unknown and self.table.own not in records:
            records.append(self.table.own)
        updates = self._updates_for_digests(
            answer.digest_by_topic, request.news_by_topic.keys()
        )
        if not records and not updates:
            return None
        return evolve(self._message(now, records), news_by_topic=updates)

    def _topics(self) -> list[tuple[str, PeerTopic]]:
        return list(self.topic_by_name.items())

    def _digests(self) -> dict[str, Any]:
        return {name: topic.digest() for name, topic in self._topics()}

    def _updates_for_digests(
        self, digest_by_topic: dict[str, Any], sent_topics=()
    ) -> dict[str, Any]:
        return without_none(
            {
                name: self.topic_by_name[name].updates_for(digest)
                for name, digest in digest_by_topic.items()
                if name in self.topic_by_name and name not in sent_topics
            }
        )

    def _message(self, now: float, records: Iterable[Member]) -> ExchangeMessage:
        records = tuple(records)
        return ExchangeMessage(
            sender=self.table.own.member_id,
            incarnation=self.table.own.incarnation,
            words=records,
            age_by_failed=self.table.age_by_failed(records, now),
        )

    def _with_views(self, message: ExchangeMessage, now: float) -> ExchangeMessage:
        return evolve(
            message,
            hash_by_zone=self.zones.hash_by_zone(now),
            age_by_zone=self.zones.age_by_zone(now),
        )

    def _next_updates(self) -> list[Member]:
        count = len(self.table.member_by_id)
        members = [
            self.table.find(each)
            for each in self.table.updates.take(MAX_UPDATES, count)
        ]
        return [each for each in members if each is not None]

    def _apply_message(self, message: ExchangeMessage, now: float) -> None:
        for record in message.words:
            age = message.age_by_failed.get(record.member_id, 0.0)
            # Other members already have the records of a repair: no gossip needed.
            is_gossiped = record.zone not in message.repaired_zones
            if self.table.merge(record, now, age, is_gossiped=is_gossiped):
                log.info(
                    'membership: status changed. member=%s status=%s',
                    record.member_id,
                    describe_status(record),
                )
                self.has_urgent_updates |= is_gossiped and not record.is_usable
        for zone, age in message.age_by_zone.items():
            self.zones.record_contact(zone, now, age)
        sender = self.table.find(message.sender)
        if sender is not None:
            self.zones.record_contact(sender.zone, now)
        for name, updates in message.news_by_topic.items():
            self._apply_topic_updates(name, updates)

    def _apply_topic_updates(self, name: str, updates: Any) -> None:
        topic = self.topic_by_name.get(name)
        if topic is None:
            return
        try:
            topic.receive(updates)
        except Exception:
            # Malformed updates of one topic must not stop the other topics.
            log.exception('membership: malformed updates. topic=%s', name)

    def _corrections(self, records: Iterable[Member]) -> list[Member]:
        """Return the records of this instance that differ from those of a peer."""
        known = [(record, self.table.find(record.member_id)) for record in records]
        return [own for record, own in known if own is not None and own != record]

    def _zones_to_repair(
        self, message: ExchangeMessage, now: float, is_new: bool
    ) -> list[str]:
        if not message.hash_by_zone:
            return []
        zones = self.zones.zones_to_repair(message.hash_by_zone, now)
        if is_new:
            self.zones.refresh(now)
            zones = list(self.zones.members_by_zone)
        self.random.shuffle(zones)
        sender = self.table.find(message.sender)
        if sender is not None:
            zones.sort(key=lambda zone: zone != sender.zone)
        return self._within_limit(zones)

    def _within_limit(self, zones: list[str]) -> list[str]:
        chosen, record_count = [], 0
        for zone in zones:
            if record_count < MAX_REPAIR_RECORDS:
                chosen.append(zone)
                record_count += len(self.zones.members_by_zone[zone])
        return chosen

    def _records_of(self, zone: str, now: float) -> list[Member]:
        self.zones.refresh(now)
        failed = [each.member for each in self.table.tombstone_by_id.values()]
        return [
            *self.zones.members_by_zone.get(zone, ()),
            *(each for each in failed if each.zone == zone),
        ]

    def _missing_records(self, answer: ExchangeMessage, now: float) -> list[Member]:
        """Return the records of repaired zones that the other side does not have."""
        sent_ids = {each.member_id for each in answer.words}
        return [
            each
            for zone in answer.repaired_zones
            for each in self._records_of(zone, now)
            if each.member_id not in sent_ids and each.status is not Status.FAILED
        ]


def without_none(news_by_topic: dict[str, Any]) -> dict[str, Any]:
    """Return the topics that have updates."""
    return {
        name: updates for name, updates in news_by_topic.items() if updates is not None
    }


def describe_status(record: Member) -> str:
    """Return the status of a member for log lines: leaving, or its status value."""
    return (
        'leaving'
        if record.leaving and record.status is Status.ALIVE
        else str(record.status)
    )

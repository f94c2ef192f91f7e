"""Notices by which instances learn at once that another one has newer values.

The load that this answers: 100 instances of a zone have to have a change 2 s after the
store acknowledged it, also where those that read the store for the zone lost it, and
where those that the others poll do not answer. A notice holds versions only; who lacks
them requests the values. A lost notice costs the time until the next poll.

Three kinds of instance send notices: the readers of the store, to their zone and to a
few instances of each other zone; leaders that got a change without notices of their
zone's readers, and instances that got it from another zone, both to their zone.
"""

import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import orjson
import trio
from attrs import Factory, define, field

from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.readers import READERS
from catkinslip.discovery.versions import Versions
from catkinslip.models import Address

#: Names of the topics in datagrams: newer values, and a reader that lost the store.
TOPIC = 'newer'
LOSS_TOPIC = 'store-lost'
#: Shortest time between two notices of an instance.
NOTICE_SECONDS = 0.1
#: Number of instances of each other zone that a reader of the store sends notices to:
#: where half of a zone does not answer, six readers miss it one time in 260,000.
FAR_NOTIFIED = 3

log = logging.getLogger('peers')

SendDatagram = Callable[[bytes, list[Address]], None]


def send_nothing(data: bytes, addresses: list[Address]) -> None:
    """Send no datagram."""


@define
class ChangeNotices:
    """The notices that an instance sends, and the last one of each other instance."""

    instances: InstanceTable
    #: Returns the versions of the last changes of this instance.
    offered: Callable[[], Versions]
    #: Returns the versions up to which this instance knows all values.
    known: Callable[[], Versions]
    random: Random
    send_datagram: SendDatagram = send_nothing
    #: Whether the last newer values came from another zone.
    is_forwarder: bool = False
    versions_by_id: dict[str, Versions] = Factory(dict)
    #: Number of notices sent, received, and received with newer versions.
    count_by_event: Counter[str] = Factory(Counter)
    _sent: Versions = field(factory=Versions, init=False)
    _has_changed: trio.Event = field(factory=trio.Event, init=False)
    _has_received: trio.Event = field(factory=trio.Event, init=False)

    def note_change(self) -> None:
        """Send notices soon if this instance has values that it sent no notice of."""
        if self.offered().is_ahead_of(self._sent):
            self._has_changed.set()

    async def run(self) -> None:
        """Send notices of the own changes until cancelled."""
        while True:
            await self._has_changed.wait()
            self._has_changed = trio.Event()
            self._send()
            await trio.sleep(NOTICE_SECONDS)

    def _send(self) -> None:
        self._sent = offered = self.offered()
        targets = self._targets(offered)
        self.is_forwarder = False
        if not targets:
            return
        body = [
            self.instances.own.instance_id,
            offered.rules,
            offered.backends,
            offered.revision_by_kind,
        ]
        addresses = [Address.parse(each.report_address) for each in targets]
        self.send_datagram(orjson.dumps({TOPIC: body}), addresses)
        self.count_by_event['sent'] += len(targets)

    def send_loss(self) -> None:
        """Notify the leaders of the zone that this instance lost the store.

        Those next in rank then read it, before a poll would show them the loss.
        """
        body = orjson.dumps({LOSS_TOPIC: self.instances.own.instance_id})
        leaders = self.instances.polled_near()
        addresses = [Address.parse(each.report_address) for each in leaders]
        self.send_datagram(body, addresses)
        self.count_by_event['loss_sent'] += len(leaders)

    def receive_loss(self, message: dict[str, Any]) -> None:
        """Record that another instance lost the store."""
        instance_id = str(message[LOSS_TOPIC])
        self.count_by_event['loss_received'] += 1
        if self.instances.record_store_lost(instance_id):
            log.info('peers: notice of a lost store. instance=%s', instance_id)

    def _targets(self, offered: Versions) -> list[InstanceEntry]:
        """Return the instances that may not have the own values yet."""
        if self.instances.is_reading():
            return [*self.instances.notified_near(), *self._notified_far()]
        is_sender = self.is_forwarder or not self.instances.leaders()
        if is_sender and not self._is_zone_notified(offered):
            return self.instances.notified_near()
        return []

    def _notified_far(self) -> list[InstanceEntry]:
        return [
            entry
            for entries in self.instances.notified_far_by_zone().values()
            for entry in self.random.sample(entries, min(FAR_NOTIFIED, len(entries)))
        ]

    def _is_zone_notified(self, offered: Versions) -> bool:
        """Return whether as many others as usual have sent the zone these versions."""
        senders = [
            instance_id
            for instance_id, versions in self.versions_by_id.items()
            if self.instances.is_near(instance_id) and not offered.is_ahead_of(versions)
        ]
        return len(senders) >= READERS

    def receive(self, message: dict[str, Any]) -> None:
        """Record a notice; raise TypeError or ValueError for a malformed one."""
        instance_id, rules, backends, revision_by_kind = message[TOPIC]
        if instance_id not in self.instances.peer_by_id:
            return
        revisions = {str(kind): int(it) for kind, it in revision_by_kind.items()}
        versions = Versions(int(rules), int(backends), revisions)
        self.versions_by_id[instance_id] = versions
        self.count_by_event['received'] += 1
        known = self.known()
        if versions.is_ahead_of(known):
            self.count_by_event['newer'] += 1
            log.info(
                'peers: notice of newer values. instance=%s rules=%08x known=%08x '
                'servers=%d known=%d',
                instance_id,
                versions.rules,
                known.rules,
                versions.backends,
                known.backends,
            )
            self._has_received.set()
            self._has_received = trio.Event()

    def forget(self, instance_id: str) -> None:
        """Forget the notice of an instance that did not help to catch up."""
        self.versions_by_id.pop(instance_id, None)

    def ahead(self) -> list[tuple[InstanceEntry, Versions]]:
        """Return the senders with newer values, the own zone first, else at random."""
        known = self.known()
        ahead = [
            (peer.entry, versions)
            for instance_id, versions in self.versions_by_id.items()
            if versions.is_ahead_of(known)
            and (peer := self.instances.peer_by_id.get(instance_id)) is not None
        ]
        self.random.shuffle(ahead)
        own_zone = self.instances.own.zone
        return sorted(ahead, key=lambda each: each[0].zone != own_zone)

    def has_near_ahead(self) -> bool:
        """Return whether a sender in the own zone has newer values."""
        ahead = self.ahead()
        return bool(ahead) and ahead[0][0].zone == self.instances.own.zone

    async def wait_ahead(self) -> None:
        """Wait until a sender has newer values."""
        while not self.ahead():
            await self._has_received.wait()

    async def wait_near_ahead(self) -> None:
        """Wait until a sender in the own zone has newer values."""
        while not self.has_near_ahead():
            await self._has_received.wait()

"""Requests to a peer for the rules, servers and other values that it has newer."""

import logging

import orjson
import trio
from attrs import Factory, define

from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import Changes, InstanceEntry, Listing
from catkinslip.discovery.kinds import SharedKinds
from catkinslip.discovery.messages import (
    KIND_PATH,
    SNAPSHOT_PATH,
    DiscoverySnapshot,
    KindUpdate,
    structure,
)
from catkinslip.discovery.versions import Versions
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply

#: Time limit of an answer.
ANSWER_SECONDS = 0.4
#: Time limit of an answer with rules of any size, 1 MB at most, on a link of 10 Mbit/s.
WHOLE_ANSWER_SECONDS = 1.5
#: Delay by which an instance that reads the store itself may be behind a peer.
BEHIND_SECONDS = 0.6
#: The most parts of a peer's changes that are fetched one after the other.
MAX_PARTS = 12

log = logging.getLogger('peers')


async def read_page(
    client: PageClient, address: Address, path: str, seconds: float = ANSWER_SECONDS
) -> object | None:
    """Return a peer's answer as plain data; None if none arrives in time."""
    reply = await client.send(address, path, seconds)
    if not isinstance(reply, Reply):
        log.debug('peers: no answer. address=%s reason=%s', address, reply)
        return None
    try:
        return orjson.loads(reply.body)
    except orjson.JSONDecodeError as error:
        log.warning('peers: answer not readable. error=%r', error)
        return None


@define
class CatchUp:
    """The exchange that brings the values of this instance up to those of a peer."""

    assembler: Assembler
    kinds: SharedKinds
    client: PageClient
    #: When newer versions were first seen at a peer, on the monotonic clock, by rules
    #: version and revision of the servers.
    seen_at_by_versions: dict[tuple[int, int], float] = Factory(dict)

    @property
    def is_following(self) -> bool:
        """Return whether this instance has its values from the store itself."""
        return self.assembler.backends.is_reachable and self.assembler.is_ready

    def known(self) -> Versions:
        """Return up to which versions all values are known."""
        revisions = {
            name: kind.follower.revision
            for name, kind in self.kinds.kind_by_name.items()
        }
        return Versions(
            self.assembler.rules_version, self.assembler.backends.revision, revisions
        )

    def offered(self) -> Versions:
        """Return the versions of the last changes, which peers may need."""
        return Versions(
            self.assembler.rules_version,
            self.assembler.backends.changed_at,
            self.kinds.revisions(),
        )

    async def run(self, entry: InstanceEntry, versions: Versions) -> bool:
        """Fetch what a peer has newer; return whether it answered each request.

        An instance that reads the store itself leaves a newly seen change to its own
        read for BEHIND_SECONDS.
        """
        is_answered = True
        if self._is_due(versions):
            is_answered = await self._fetch_all(entry, versions)
        return await self._update_kinds(entry, versions) and is_answered

    def note_seen(self, versions: Versions) -> None:
        """Record that a peer has rules or servers of these versions."""
        self._remove_known_versions()
        key = (versions.rules, versions.backends)
        self.seen_at_by_versions.setdefault(key, trio.current_time())

    def _is_due(self, versions: Versions) -> bool:
        """Return whether rules or servers have to be fetched from a peer now."""
        known = self.known()
        if versions.rules <= known.rules and versions.backends <= known.backends:
            return False
        self.note_seen(versions)
        if not self.is_following:
            return True
        first_seen_at = min(self.seen_at_by_versions.values())
        return trio.current_time() - first_seen_at >= BEHIND_SECONDS

    def _remove_known_versions(self) -> None:
        """Remove the versions and revisions that this instance has by now."""
        known = self.known()
        for rules, backends in list(self.seen_at_by_versions):
            if rules <= known.rules and backends <= known.backends:
                del self.seen_at_by_versions[rules, backends]

    async def _fetch_all(self, entry: InstanceEntry, versions: Versions) -> bool:
        """Fetch newer rules and servers, in parts; return whether all was answered."""
        backends = self.assembler.backends
        self.assembler.mark_possibly_stale(versions.rules, versions.backends)
        for _ in range(MAX_PARTS):
            since = backends.revision
            if not await self._fetch(entry):
                return False
            if not since < backends.revision < versions.backends:
                break
        return True

    async def _fetch(self, entry: InstanceEntry) -> bool:
        """Fetch newer rules and servers, or their first part; return if answered."""
        since = self.assembler.backends.revision
        # A peer has to send rules of any size only where the store does not answer.
        is_whole = self.assembler.rules.is_lost
        query = f'{self.assembler.rules_version}.{since}{".whole" * is_whole}'
        seconds = WHOLE_ANSWER_SECONDS if is_whole else ANSWER_SECONDS
        address = Address.parse(entry.peer_address)
        path = f'{SNAPSHOT_PATH}?{query}'
        plain = await read_page(self.client, address, path, seconds)
        snapshot = structure(plain, DiscoverySnapshot)
        if snapshot is None:
            return False
        self.apply_snapshot(snapshot, since, f'peer {entry.instance_id}')
        return True

    async def _update_kinds(self, entry: InstanceEntry, versions: Versions) -> bool:
        """Fetch the kinds of which a peer has more; return whether all was answered."""
        is_answered = True
        address = Address.parse(entry.peer_address)
        for kind in self.kinds.kinds_behind(versions.revision_by_kind):
            since = kind.follower.revision
            path = f'{KIND_PATH}?{kind.name}.{since}'
            update = structure(await read_page(self.client, address, path), KindUpdate)
            if update is None:
                is_answered = False
            else:
                kind.apply(update, since, f'peer {entry.instance_id}')
        return is_answered

    def apply_snapshot(
        self, snapshot: DiscoverySnapshot, since: int, source: str
    ) -> None:
        """Apply rules and servers that a peer sent; `since` is the revision asked."""
        if snapshot.rules is not None:
            self.assembler.offer_rules(snapshot.rules, source)
            self.assembler.rules.reads_once = False
        elif snapshot.are_rules_large:
            self.assembler.rules.read_once()
        backends = self.assembler.backends
        revision = snapshot.backends_revision
        # Entries that expired in an outage are kept for some time on this instance too.
        backends.apply_peer_recovery(snapshot.regained_seconds)
        if snapshot.are_backends_large:
            backends.read_once()
        elif snapshot.changes is None:
            backends.offer(Listing(snapshot.backends, revision), source)
        else:
            changes = tuple((each.name, each.entry) for each in snapshot.changes)
            backends.apply_peer_changes(Changes(changes, revision), since, source)

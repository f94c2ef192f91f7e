"""Answers to the polls of peers, with the values that a peer lacks."""

import logging
import re

import orjson
import trio
from attrs import Factory, define, evolve

from catkinslip.config.documents import converter
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import RuleSet
from catkinslip.discovery.first_list import WaitingInstances
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.kinds import SharedKinds
from catkinslip.discovery.messages import (
    KIND_PATH,
    LIST_PATH,
    OFFER_PATH,
    READER_PATH,
    SNAPSHOT_PATH,
    STATE_PATH,
    WITH_HEALTH,
    WITH_KNOWN,
    DiscoverySnapshot,
    InstanceList,
    NamedBackend,
    PeerState,
    compress_list,
)
from catkinslip.models import Address
from catkinslip.pages import Page, PageHandler

QUERY_FORM = re.compile(r'([0-9]+)\.([0-9]+)(\.whole)?\Z')
#: The most routes that an answer holds. A route takes some 220 bytes, so that 1,400 of
#: them take 0.25 s on a link of 10 Mbit/s, and all instances of a zone would request
#: them at once.
MAX_SENT_ROUTES = 200
#: The largest size of the workspaces in an answer: 0.1 s on a link of 5 Mbit/s. It is
#: that of some 400 workspaces with two keys of 36 characters each.
MAX_SENT_WORKSPACE_BYTES = 64_000
#: Size of a workspace without its keys, and of a key without its characters.
WORKSPACE_BYTES = 90
KEY_BYTES = 3
#: The most servers that an answer holds in full. A server takes some 220 bytes, and the
#: whole answer 0.2 s at 5 Mbit/s. With 3,000 servers no answer arrived within its time
#: limit of 0.4 s, and so no rules either: of 300 instances on such links the median one
#: had new rules after 10 s.
MAX_SENT_BACKENDS = 600
#: The most changes of servers in one part; parts are requested one after the other.
MAX_SENT_CHANGES = 300

log = logging.getLogger('peers')


@define
class PeerAnswers:
    """Pages that answer the polls of peers."""

    instances: InstanceTable
    assembler: Assembler
    kinds: SharedKinds
    waiting: WaitingInstances = Factory(WaitingInstances)
    #: Compressed list of instances, by its hash and revision.
    list_by_version: dict[tuple[str, int], bytes] = Factory(dict)

    def handlers(self) -> dict[str, PageHandler]:
        """Return the page handlers by path."""
        return {
            STATE_PATH: self.state,
            SNAPSHOT_PATH: self.snapshot,
            KIND_PATH: self.kind,
            READER_PATH: self.reader,
            LIST_PATH: self.instance_list,
            OFFER_PATH: self.offer,
        }

    async def state(self, query: str) -> Page:
        """Return the state of this instance, with the additions that a query names."""
        instances = self.instances
        state = PeerState(
            instances.own,
            instances.is_own_ready,
            self.assembler.rules_version,
            self.assembler.backends.changed_at,
            self.assembler.reaches_store,
            instances.digest(),
            instances.list_revision,
            revision_by_kind=self.kinds.revisions(),
            paths=instances.own_paths(),
        )
        if query == WITH_KNOWN:
            known = tuple(each.entry for each in instances.peer_by_id.values())
            state = evolve(state, known=known)
        elif query == WITH_HEALTH:
            state = evolve(
                state,
                health=instances.health_by_id(),
                lost_store=tuple(instances.lost_store_ids()),
                readers=tuple(instances.announced_readers()),
                cut_off=tuple(instances.cut_off_ids()),
            )
        return Page(200, orjson.dumps(converter.unstructure(state)))

    async def snapshot(self, query: str) -> Page:
        """Return rules and servers newer than the version and revision in a query.

        The suffix `whole` requests rules and lists of servers of any size.
        """
        match = QUERY_FORM.match(query)
        if match is None:
            return Page(400)
        version, revision, whole = match.groups()
        snapshot = self.snapshot_after(
            int(version), int(revision), is_whole=bool(whole)
        )
        return Page(200, orjson.dumps(converter.unstructure(snapshot)))

    async def reader(self, query: str) -> Page:
        """Poll an instance from now on that announces that it reads the store."""
        if self.instances.add_announced_reader(query):
            log.info('peers: reader of last resort announced. instance=%s', query)
        return Page(200, b'null')

    async def instance_list(self, query: str) -> Page:
        """Return the list of instances, compressed, or how many instances wait for it.

        All instances may request it within a second: 313 entries take 60 kB and a tenth
        of it compressed, once for each version.
        """
        instances = self.instances
        if not instances.list_revision:
            count = self.waiting.record(query, trio.current_time())
            return Page(200, compress_list(InstanceList(0, waiting=count)))
        version = (instances.digest(), instances.list_revision)
        if version not in self.list_by_version:
            entries = (instances.own, *(p.entry for p in instances.peer_by_id.values()))
            body = compress_list(InstanceList(instances.list_revision, entries))
            self.list_by_version = {version: body}
        return Page(200, self.list_by_version[version])

    async def offer(self, query: str) -> Page:
        """Accept an offer of the list from the instance at an address."""
        try:
            address = Address.parse(query)
        except ValueError:
            return Page(400)
        if not self.instances.list_revision:
            self.instances.list_offer = address
            log.info('peers: list of instances offered. address=%s', address)
        return Page(200, b'null')

    async def kind(self, query: str) -> Page:
        """Return the changes of a kind after the revision in a query."""
        update = self.kinds.update_for(query)
        if update is None:
            return Page(400)
        return Page(200, orjson.dumps(converter.unstructure(update)))

    def snapshot_after(
        self, rules_version: int, revision: int, *, is_whole: bool = False
    ) -> DiscoverySnapshot:
        """Return the rules and servers that are newer than those of a peer.

        Without `is_whole` large rules and long lists are left out and marked as large.
        """
        backends = self.assembler.backends
        rules = self._newer_rules(rules_version)
        is_large = rules is not None and are_large(rules)
        snapshot = DiscoverySnapshot(
            rules=rules if is_whole or not is_large else None,
            backends_revision=backends.changed_at,
            regained_seconds=backends.seconds_since_recovery(),
            are_rules_large=is_large,
        )
        part = backends.part_after(revision, MAX_SENT_CHANGES)
        if part is not None:
            named = tuple(NamedBackend(*change) for change in part.changes)
            return evolve(snapshot, changes=named, backends_revision=part.revision)
        if len(backends.value_by_name) > MAX_SENT_BACKENDS and not is_whole:
            return evolve(snapshot, are_backends_large=True)
        return evolve(snapshot, backends=backends.value_by_name)

    def _newer_rules(self, rules_version: int) -> RuleSet | None:
        is_newer = self.assembler.rules_version > rules_version
        return self.assembler.current_rules if is_newer else None


def are_large(rules: RuleSet) -> bool:
    """Return whether rules are too large for the answer to a usual poll."""
    workspaces = (rules.workspaces or {}).values()
    size = sum(WORKSPACE_BYTES + keys_size(each.api_keys) for each in workspaces)
    return len(rules.routes) > MAX_SENT_ROUTES or size > MAX_SENT_WORKSPACE_BYTES


def keys_size(api_keys: tuple[str, ...]) -> int:
    """Return the approximate size of keys in an answer, in bytes."""
    return sum(KEY_BYTES + len(key) for key in api_keys)

"""Answer the polls of peers, and tell them what is newer than what they have."""

import orjson
from attrs import define

from catkinslip.config.documents import converter
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.messages import Knowledge, NamedBackend, PeerState
from catkinslip.pages import Page


@define
class PeerAnswers:
    """Answer the polls of peers."""

    instances: InstanceTable
    assembler: Assembler

    async def state(self, query: str) -> Page:
        """Return what this instance tells of itself; `full` adds whom it knows."""
        known: tuple[InstanceEntry, ...] = ()
        if query == 'full':
            known = tuple(each.entry for each in self.instances.peer_by_id.values())
        state = PeerState(
            self.instances.own,
            self.instances.is_own_ready,
            self.assembler.rules_version,
            self.assembler.backends.changed_at,
            self.assembler.reaches_store,
            known,
        )
        return Page(200, orjson.dumps(converter.unstructure(state)))

    async def knowledge(self, query: str) -> Page:
        """Return what is newer than the rules version and revision in the query."""
        rules_version, _, revision = query.partition('.')
        if not (rules_version.isdecimal() and revision.isdecimal()):
            return Page(400)
        knowledge = self.newer(int(rules_version), int(revision))
        return Page(200, orjson.dumps(converter.unstructure(knowledge)))

    def newer(self, rules_version: int, revision: int) -> Knowledge:
        """Return what is newer than what an asker has."""
        assembler, backends = self.assembler, self.assembler.backends
        is_newer = assembler.rules_version > rules_version
        rules = assembler.current_rules if is_newer else None
        regained = backends.regained_seconds()
        changes = backends.changes.after(revision) if revision else None
        if changes is None:
            everything = backends.value_by_name
            return Knowledge(rules, backends.changed_at, regained, backends=everything)
        named = tuple(NamedBackend(name, entry) for name, entry in changes)
        return Knowledge(rules, backends.changed_at, regained, named)

"""Tests of workspaces that travel between peers with the rules."""

import unittest

import orjson
import trio
from attrs import evolve

from catkinslip.config.documents import Workspace, converter
from catkinslip.discovery.answers import (
    MAX_SENT_WORKSPACE_BYTES,
    PeerAnswers,
    are_large,
)
from catkinslip.discovery.base import RuleSet
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.messages import DiscoverySnapshot, structure
from tests.discovery_builders import instance_entry, no_kinds, rule_set
from tests.test_discovery_assembly import run, started
from tests.workspace_builders import ACME, KEY, NEW_KEY, many_workspaces

ACME_ONLY = {ACME: Workspace((KEY,), 2, 5.0, 9.0)}


def rules_with(version: int, workspaces: dict | None) -> RuleSet:
    """Return rules with workspaces."""
    return evolve(rule_set(version), workspaces=workspaces)


def in_force(assembler) -> dict[str, Workspace]:
    """Return the workspaces of the configuration in force."""
    return assembler.config.current.document.rules.workspaces


async def sent(rules: RuleSet, query: str = '0.0') -> dict:
    """Return the plain answer of an instance with some rules to a peer's query."""
    assembler = started()
    assembler.offer_rules(rules)
    table = InstanceTable(instance_entry('i-1'), is_own_ready=True)
    page = await PeerAnswers(table, assembler, no_kinds()).snapshot(query)
    return orjson.loads(page.body)


class TravelTest(unittest.TestCase):
    """Rules in the answers of peers."""

    def test_peer_receives_the_workspaces(self):
        async def check():
            plain = await sent(rules_with(3, ACME_ONLY))
            snapshot = structure(plain, DiscoverySnapshot)
            self.assertEqual(snapshot.rules.workspaces, ACME_ONLY)
            assembler = started()
            assembler.offer_rules(snapshot.rules)
            self.assertEqual(in_force(assembler), ACME_ONLY)

        run(check)

    def test_all_documents_of_the_same_rules_share_one_map(self):
        """Guards against an index that is built at each change of a server."""

        async def check():
            assembler = started()
            assembler.offer_rules(rules_with(3, ACME_ONLY))
            before = in_force(assembler)
            assembler.evacuate(['zone-a'])
            self.assertIs(in_force(assembler), before)

        run(check)

    def test_rules_of_an_earlier_program_do_not_remove_workspaces(self):
        """Guards against requests without a key during an upgrade.

        An earlier program sends its rules without the field.
        """

        async def check():
            plain = await sent(rules_with(4, ACME_ONLY))
            del plain['rules']['workspaces']
            earlier = structure(plain, DiscoverySnapshot).rules
            self.assertIsNone(earlier.workspaces)
            assembler = started()
            assembler.offer_rules(rules_with(3, ACME_ONLY))
            self.assertTrue(assembler.offer_rules(earlier))
            self.assertEqual(assembler.rules_version, 4)
            self.assertEqual(in_force(assembler), ACME_ONLY)

        run(check)

    def test_rules_of_the_store_complete_those_of_an_earlier_program(self):
        """Guards against a version that stays in force without its workspaces."""

        async def check():
            assembler = started()
            assembler.offer_rules(rules_with(4, None))
            self.assertEqual(in_force(assembler), {})
            complete = rules_with(4, {ACME: Workspace((NEW_KEY,))})
            self.assertTrue(assembler.offer_rules(complete))
            self.assertEqual(in_force(assembler), complete.workspaces)
            self.assertFalse(assembler.offer_rules(rules_with(4, None)))
            self.assertFalse(assembler.offer_rules(rules_with(3, {})))

        run(check)

    def test_earlier_program_ignores_the_field(self):
        async def check():
            plain = await sent(rules_with(3, ACME_ONLY))
            plain['rules']['field_of_a_later_program'] = 1
            self.assertIsNotNone(structure(plain, DiscoverySnapshot))

        run(check)

    def test_removed_workspaces_are_gone(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rules_with(3, ACME_ONLY))
            assembler.offer_rules(rules_with(4, {}))
            self.assertEqual(in_force(assembler), {})

        run(check)


class SizeTest(unittest.TestCase):
    """The limit on the size of an answer."""

    def test_many_workspaces_are_sent_only_to_peers_without_the_store(self):
        async def check():
            rules = rules_with(3, many_workspaces(2_000, 4))
            plain = await sent(rules)
            self.assertIsNone(plain['rules'])
            self.assertTrue(plain['are_rules_large'])
            whole = await sent(rules, '0.0.whole')
            self.assertEqual(len(whole['rules']['workspaces']), 2_000)

        run(check)

    def test_workspaces_of_the_largest_deployment_are_sent(self):
        rules = rules_with(3, many_workspaces(80, 4))
        self.assertFalse(are_large(rules))
        size = len(orjson.dumps(converter.unstructure(rules.workspaces)))
        self.assertLess(size, MAX_SENT_WORKSPACE_BYTES)

    def test_estimate_of_the_size_is_near(self):
        for count, is_large in ((330, False), (600, True)):
            workspaces = many_workspaces(count, 2)
            size = len(orjson.dumps(converter.unstructure(workspaces)))
            self.assertEqual(size > MAX_SENT_WORKSPACE_BYTES, is_large)
            self.assertEqual(are_large(rules_with(1, workspaces)), is_large)


class UnreadableTest(unittest.TestCase):
    """Answers of a peer that are not readable."""

    def test_log_line_contains_no_value(self):
        """Guards against a key in the log if a peer's answer is malformed."""

        async def check():
            await trio.lowlevel.checkpoint()
            plain = await sent(rules_with(3, ACME_ONLY))
            plain['rules']['workspaces'][ACME] = {'api_keys': 5, 'burst': KEY}
            with self.assertLogs('peers', 'WARNING') as logs:
                self.assertIsNone(structure(plain, DiscoverySnapshot))
            self.assertNotIn(KEY, logs.output[0])
            self.assertIn('burst', logs.output[0])

        run(check)


if __name__ == '__main__':
    unittest.main()

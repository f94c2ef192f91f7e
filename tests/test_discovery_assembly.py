"""Tests of the assembly of rules and registered servers into one configuration."""

import unittest
from random import Random

import trio
import trio.testing

from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.assembly import EXPIRY_GRACE_SECONDS, Assembler
from catkinslip.discovery.base import Listing
from catkinslip.discovery.follower import Follower
from tests.discovery_builders import (
    ScriptedSource,
    backend_entry,
    changes_at,
    listing,
    rule_set,
)

ONE, TWO = backend_entry('one'), backend_entry('two', port=81)


def started() -> Assembler:
    """Return an assembler with followers that have no values yet."""
    source = ScriptedSource()
    assembler = Assembler(
        ConfigHolder(),
        Follower('rules', source, Random(1)),
        Follower('backends', source, Random(1)),
    )
    assembler.start()
    return assembler


def run(check) -> None:
    """Run an async check on a mock clock that skips waiting times."""
    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


class AssemblyTest(unittest.TestCase):
    """The configuration in force after changes of rules and servers."""

    def backend_ids(self, assembler: Assembler) -> list[str]:
        return sorted(assembler.config.current.document.register.backends)

    def test_needs_rules_and_servers(self):
        async def check():
            assembler = started()
            assembler.backends.offer(listing(4, ONE), 'test')
            self.assertFalse(assembler.is_ready)
            self.assertTrue(assembler.offer_rules(rule_set(3)))
            self.assertTrue(assembler.is_ready)
            self.assertEqual(self.backend_ids(assembler), ['one'])

        run(check)

    def test_older_rules_never_replace_newer_ones(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(0x10))
            self.assertFalse(assembler.offer_rules(rule_set(0x0F)))
            self.assertFalse(assembler.offer_rules(rule_set(0x10)))
            assembler.rules.offer(Listing({'main': rule_set(9)}, 99), 'test')
            self.assertEqual(assembler.rules_version, 0x10)
            self.assertEqual(assembler.config.current.version.epoch, 0x10)

        run(check)

    def test_removed_server_is_gone_at_once(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            assembler.backends.offer(listing(4, ONE, TWO), 'test')
            assembler.backends.offer(listing(5, ONE), 'test')
            self.assertEqual(self.backend_ids(assembler), ['one'])

        run(check)

    def test_entry_that_expired_in_an_outage_is_kept_until_servers_are_back(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            assembler.backends.offer(listing(4, ONE, TWO), 'test')
            assembler.backends.recovered_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(assembler.run)
                assembler.backends.offer(listing(5, ONE), 'test')
                self.assertEqual(self.backend_ids(assembler), ['one', 'two'])
                await trio.sleep(EXPIRY_GRACE_SECONDS - 0.1)
                self.assertEqual(self.backend_ids(assembler), ['one', 'two'])
                await trio.sleep(0.2)
                self.assertEqual(self.backend_ids(assembler), ['one'])
                nursery.cancel_scope.cancel()

        run(check)

    def test_server_that_left_was_kept_after_an_outage_of_one_instance(self):
        # DRAIN: the store refused one instance, whose peers kept what left meanwhile.
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            servers = [backend_entry(f'i-{each}', port=each) for each in range(80, 90)]
            assembler.backends.offer(listing(4, *servers), 'test')
            assembler.backends.apply_peer_recovery(0.1)
            assembler.backends.offer(listing(5, *servers[1:]), 'test')
            self.assertEqual(len(self.backend_ids(assembler)), 9)
            # Entries that expire in an outage of the store do so together.
            assembler.backends.offer(listing(6, *servers[6:]), 'test')
            self.assertEqual(len(self.backend_ids(assembler)), 9)

        run(check)

    def test_servers_whose_entries_expire_one_by_one_are_kept(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            servers = [backend_entry(f'i-{each}', port=each) for each in range(80, 100)]
            assembler.backends.offer(listing(4, *servers), 'test')
            assembler.backends.apply_peer_recovery(0.1)
            for number in range(1, 20):
                assembler.backends.offer(listing(4 + number, *servers[number:]), 'test')
            # A tenth of them may have left.
            self.assertEqual(len(self.backend_ids(assembler)), 18)

        run(check)

    def test_only_server_of_a_service_is_kept_after_an_outage(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            assembler.backends.offer(listing(4, ONE), 'test')
            assembler.backends.apply_peer_recovery(0.1)
            assembler.backends.offer(listing(5), 'test')
            self.assertEqual(self.backend_ids(assembler), ['one'])

        run(check)

    def test_expired_entry_is_removed_when_another_server_has_its_address(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1, ('limits', 'claims')))
            assembler.backends.offer(listing(4, ONE, TWO), 'test')
            assembler.backends.recovered_at = trio.current_time()
            successor = backend_entry('three', 'claims', port=81)
            assembler.backends.offer(listing(5, ONE, successor), 'test')
            self.assertEqual(self.backend_ids(assembler), ['one', 'three'])

        run(check)

    def test_change_of_one_server_makes_no_other_anew(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            assembler.backends.offer(listing(4, ONE, TWO), 'test')
            before = assembler.config.current.document.register.backends
            leaving = backend_entry('two', port=81, is_draining=True)
            assembler.backends.apply_peer_changes(changes_at(5, ('two', leaving)), 4)
            after = assembler.config.current.document.register.backends
            self.assertIs(after['one'], before['one'])
            self.assertTrue(after['two'].draining)
            self.assertFalse(before['two'].draining)

        run(check)

    def test_servers_of_a_service_that_the_rules_gain_or_lose(self):
        async def check():
            assembler = started()
            assembler.backends.offer(
                listing(4, ONE, backend_entry('two', 'claims', port=81)), 'test'
            )
            assembler.offer_rules(rule_set(1))
            self.assertEqual(self.backend_ids(assembler), ['one'])
            assembler.offer_rules(rule_set(2, ('limits', 'claims')))
            self.assertEqual(self.backend_ids(assembler), ['one', 'two'])
            assembler.offer_rules(rule_set(3, ('claims',)))
            self.assertEqual(self.backend_ids(assembler), ['two'])

        run(check)

    def test_draining_server_is_marked(self):
        async def check():
            assembler = started()
            assembler.offer_rules(rule_set(1))
            leaving = backend_entry('one', is_draining=True)
            assembler.backends.offer(listing(4, leaving), 'test')
            backends = assembler.config.current.document.register.backends
            self.assertTrue(backends['one'].draining)

        run(check)


if __name__ == '__main__':
    unittest.main()

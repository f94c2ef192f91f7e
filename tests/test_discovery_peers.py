"""Tests of the registration of an instance in the list while it serves."""

import unittest
from random import Random
from unittest import mock

import trio
import trio.testing
from attrs import Factory, define
from returns.result import Result, Success

from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import InstanceEntry, InstanceRegistry, Listing
from catkinslip.discovery.follower import Follower
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.messages import PeerState
from catkinslip.discovery.peers import PeerPoller
from catkinslip.discovery.registration import ANNOUNCE_AGAIN_SECONDS, Registration
from catkinslip.discovery.revisions import revision_of
from catkinslip.page_client import PageClient
from tests.discovery_builders import OUTAGE, ScriptedSource, instance_entry, no_kinds

OWN = instance_entry('own')
EMPTY = Listing({}, 1)
WITH_OWN = Listing({'own': OWN}, 2)


@define
class CountingRegistry(InstanceRegistry):
    """A registry that records the calls to it."""

    results: list[Result] = Factory(list)
    calls: list[str] = Factory(list)

    async def announce(self, entry: InstanceEntry) -> Result:
        self.calls.append(f'announce {entry.instance_id}')
        return self.results.pop(0) if self.results else Success(None)

    async def withdraw(self, instance_id: str) -> Result:
        self.calls.append(f'withdraw {instance_id}')
        return Success(None)


def make_poller(listings: list, registry: CountingRegistry) -> PeerPoller:
    """Return a poller with a store that answers the given lists of instances."""
    random = Random(1)
    source = ScriptedSource()
    assembler = Assembler(
        ConfigHolder(),
        Follower('rules', source, random),
        Follower('backends', source, random),
    )
    table = InstanceTable(OWN, is_starting=True, is_list_attempted=False)
    return PeerPoller(
        table,
        assembler,
        no_kinds(),
        PageClient(),
        random,
        (),
        ScriptedSource(listings),
        Registration(registry, OWN),
    )


def poll(
    listings: list, registry: CountingRegistry, seconds: float = 60.0
) -> PeerPoller:
    """Run a poller for some seconds of a mock clock that skips waiting times."""
    poller = make_poller(listings, registry)

    async def run():
        with trio.move_on_after(seconds):
            await poller.run()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return poller


class AnnounceTest(unittest.TestCase):
    """Calls that announce and withdraw an instance."""

    def setUp(self):
        self.registry = CountingRegistry()

    def test_start_announces_itself_once_while_the_list_is_old(self):
        poll([EMPTY, EMPTY, EMPTY, WITH_OWN, WITH_OWN], self.registry)
        self.assertEqual(self.registry.calls, ['announce own'])

    def test_start_that_finds_its_entry_writes_nothing(self):
        poll([WITH_OWN] * 5, self.registry)
        self.assertEqual(self.registry.calls, [])

    def test_changed_entry_is_replaced(self):
        before = instance_entry('own', zone='zone-b')
        poll([Listing({'own': before}, 1), WITH_OWN], self.registry)
        self.assertEqual(self.registry.calls, ['announce own'])

    def test_failed_announcement_is_made_again(self):
        self.registry.results = [OUTAGE, OUTAGE]
        poll([EMPTY] * 3 + [WITH_OWN] * 3, self.registry)
        self.assertEqual(len(self.registry.calls), 3)

    def test_lost_entry_is_announced_again(self):
        poll([WITH_OWN] * 6 + [EMPTY], self.registry, 10 * ANNOUNCE_AGAIN_SECONDS)
        self.assertEqual(self.registry.calls, ['announce own'])

    def test_instance_that_withdrew_does_not_come_back(self):
        poller = make_poller([WITH_OWN, EMPTY, EMPTY], self.registry)

        async def run():
            with trio.move_on_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(poller.run)
                    await trio.sleep(0.1)
                    await poller.registration.withdraw()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(self.registry.calls, ['withdraw own'])

    def test_entry_is_written_again_where_only_peers_tell_of_a_restored_store(self):
        # Guards against an instance that a short copy lacks and that does not read the
        # list: nobody wrote its entry again, and later starts did not know it.
        poller = make_poller([], self.registry)
        self.registry.results = [OUTAGE]
        table = poller.instances
        table.apply_list([OWN], revision_of(0, 100))
        table.is_starting = False
        state = PeerState(
            instance_entry('near'),
            True,
            1,
            1,
            members=table.digest(),
            list_revision=revision_of(1, 50),
        )

        async def run():
            for _ in range(40):
                await poller._compare_members(None, state)
                await trio.sleep(0.5)

        with mock.patch.object(InstanceTable, 'reads_list', lambda table: False):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(self.registry.calls, ['announce own'] * 2)

    def test_store_is_read_after_a_failed_read_of_the_list(self):
        poller = poll([OUTAGE], self.registry, 0.1)
        self.assertTrue(poller.instances.reads_store())


if __name__ == '__main__':
    unittest.main()

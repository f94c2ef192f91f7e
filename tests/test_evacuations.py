"""Evacuated availability zones: propagation to instances and effect on routing."""

import unittest
from random import Random

import trio

from catkinslip.config.checks import read_document
from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import BackendEntry, Changes, Listing, ZoneEvacuation
from catkinslip.discovery.follower import Follower
from catkinslip.discovery.kinds import SharedKind, shared_kinds
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.builders import backend_plain, document_of, document_plain
from tests.discovery_builders import OUTAGE, ScriptedSource, rule_set
from tests.partitions import status_of
from tests.platform_builders import config_spec
from tests.small_platform import (
    GENEROUS_SECONDS,
    SmallPlatform,
    on_platform,
    wait_at_most,
    wait_for,
)

NOW = 100.0
#: Limit of the propagation time in normal operation; the limit in the worst case is
#: 5 s.
NORMAL_SECONDS = 1.0
EVACUATED = ZoneEvacuation('zone-a')


def follower() -> Follower[ZoneEvacuation]:
    """Return a follower of evacuations with a scripted source."""
    return Follower('evacuations', ScriptedSource(), Random(1))


class OrderTest(unittest.TestCase):
    """An old answer neither evacuates a zone again nor ends an evacuation early."""

    def test_old_listing_and_old_changes_have_no_effect(self):
        known = follower()
        known.offer(Listing({}, 5), 'store')
        self.assertFalse(known.offer(Listing({'zone-a': EVACUATED}, 4), 'peer'))
        known.apply_peer_changes(Changes((('zone-a', EVACUATED),), 7), 5)
        self.assertFalse(known.offer(Listing({}, 6), 'peer'))
        self.assertFalse(known.apply_peer_changes(Changes((('zone-a', None),), 6), 5))
        self.assertEqual(known.value_by_name, {'zone-a': EVACUATED})

    def test_peer_sends_an_evacuation_and_its_end(self):
        sender, receiver = (
            shared_kinds(SharedKind(ZoneEvacuation, follower())) for _ in range(2)
        )
        known = sender.kind_by_name['evacuations'].follower
        for at, listing in ((5, {'zone-a': EVACUATED}), (9, {})):
            known.offer(Listing(listing, at), 'store')
            (kind,) = receiver.kinds_behind(sender.revisions())
            since = kind.follower.revision
            kind.apply(sender.update_for(f'evacuations.{since}'), since, 'peer')
            self.assertEqual(kind.follower.value_by_name, listing)
            self.assertEqual(receiver.kinds_behind(sender.revisions()), [])

    def test_malformed_query_or_answer_has_no_effect(self):
        kinds = shared_kinds(SharedKind(ZoneEvacuation, follower()))
        for query in ('', 'evacuations', 'evacuations.x', 'other.1', 'a.b.c'):
            self.assertIsNone(kinds.update_for(query))
        kind = kinds.kind_by_name['evacuations']
        kind.follower.offer(Listing({'zone-a': EVACUATED}, 5), 'store')
        news = kinds.update_for('evacuations.0')
        news.value_by_name['zone-b'] = 7
        kind.apply(news, 0, 'peer')
        self.assertEqual(kind.follower.value_by_name, {'zone-a': EVACUATED})


class ChoiceTest(unittest.TestCase):
    """Only servers outside evacuated zones are chosen."""

    def setUp(self):
        trio.run(self.prepare)

    async def prepare(self):
        self.config = ConfigHolder()
        random = Random(1)
        self.assembler = Assembler(
            self.config,
            Follower('rules', ScriptedSource(), random),
            Follower('backends', ScriptedSource(), random),
        )
        self.assembler.start()
        self.directory = Directory(lambda: LeastInFlight(random))
        self.config.listeners.append(self.directory.update)
        self.assembler.offer_rules(rule_set(1))
        zones = {'i-1': 'zone-a', 'i-2': 'zone-a', 'i-3': 'zone-b'}
        entries = {
            name: BackendEntry(name, 'limits', zone, '10.0.0.1', port, 2)
            for port, (name, zone) in enumerate(zones.items(), 80)
        }
        self.assembler.backends.offer(Listing(entries, 1), 'store')
        self.router = self.directory.router_by_service['limits']

    def test_servers_of_other_zones_are_chosen(self):
        self.assembler.evacuate({'zone-a'})
        self.assertEqual(self.router.choose(NOW).backend_id, 'i-3')
        self.assertIsNone(self.router.choose(NOW, ['i-3']))
        self.assertEqual([e.load.backend_id for e in self.router.rank(NOW)], ['i-3'])
        self.assertFalse(self.router.is_evacuated)

    def test_all_zones_evacuated_is_distinguished_from_no_servers(self):
        self.assembler.evacuate({'zone-a', 'zone-b'})
        self.assertIsNone(self.router.choose(NOW))
        self.assertTrue(self.router.is_evacuated)

    def test_server_chosen_before_is_not_sent_to(self):
        load = self.router.load_by_id['i-1']
        self.assertTrue(self.router.accepts_requests(load))
        self.assembler.evacuate({'zone-a'})
        self.assertFalse(self.router.accepts_requests(load))
        self.assembler.evacuate(set())
        self.assertTrue(self.router.accepts_requests(load))

    def test_server_added_during_an_evacuation_is_not_chosen(self):
        self.assembler.evacuate({'zone-a'})
        entry = BackendEntry('i-4', 'limits', 'zone-a', '10.0.0.1', 90, 2)

        async def apply_changes():
            self.assembler.backends.apply_peer_changes(Changes((('i-4', entry),), 2), 1)

        trio.run(apply_changes)
        self.assembler.offer_rules(rule_set(2))
        self.assertEqual(self.router.choose(NOW).backend_id, 'i-3')
        self.assembler.evacuate(set())
        self.assertIn('i-4', [e.load.backend_id for e in self.router.rank(NOW)])

    def test_unknown_zone_evacuates_nothing_and_is_logged(self):
        with self.assertLogs('discovery', 'WARNING') as logs:
            self.assembler.evacuate({'nowhere'})
        self.assertIn('nowhere', logs.output[0])
        self.assertEqual(len(self.router.loads), 3)


class DocumentTest(unittest.TestCase):
    """Evacuated zones in the configuration document of the native dialect."""

    def test_unknown_zone_is_refused(self):
        plain = document_plain({'limits-1': '127.0.0.1:80'})
        plain['rules']['evacuated_zones'] = ['zone-x']
        (mistake,) = read_document(plain).failure().mistakes
        self.assertEqual(mistake.place, 'rules.evacuated_zones[0]')
        plain['rules']['evacuated_zones'] = ['zone-a']
        self.assertEqual(document_of(plain).rules.evacuated_zones, ('zone-a',))

    def test_zone_is_closed_in_the_directory(self):
        plain = document_plain({'limits-1': '127.0.0.1:80'})
        other = backend_plain('limits', '127.0.0.1:81', 'zone-b')
        plain['register']['backends']['limits-2'] = other
        plain['rules']['evacuated_zones'] = ['zone-a']
        self.assertEqual(document_of(plain).rules.evacuated_zones, ('zone-a',))


async def start_two_zones(platform: SmallPlatform, instances: int = 1) -> tuple:
    """Start a server in each of two zones and the instances; return the servers."""
    await platform.add_worker('i-1')
    await platform.add_worker('i-2', zone='zone-b')
    for _ in range(instances):
        await platform.add_entry()
    return platform.worker_by_id['i-1'], platform.worker_by_id['i-2']


async def send_requests(
    platform: SmallPlatform, entry: int = 0, count: int = 6
) -> set[str]:
    """Send requests one after another; return their statuses and reasons."""
    answers = [
        await platform.send('POST', '/p/x', entry, request_id=f'r{number}')
        for number in range(count)
    ]
    return set(map(status_of, answers))


def have_evacuated(platform: SmallPlatform, zones: set[str]) -> bool:
    """Return whether exactly these zones are evacuated on all instances."""
    return all(entry.assembler.evacuated_zones == zones for entry in platform.entries)


class PathTest(unittest.TestCase):
    """Requests that servers get during an evacuation that is in the store."""

    def test_zone_gets_nothing_until_the_evacuation_ends(self):
        async def check(platform):
            near, far = await start_two_zones(platform, instances=2)
            self.assertEqual(await send_requests(platform), {'200'})
            platform.store.put('evacuations', 'zone-a', {})
            self.assertTrue(
                await wait_at_most(
                    NORMAL_SECONDS, lambda: have_evacuated(platform, {'zone-a'})
                )
            )
            for worker in (near, far):
                worker.heads.clear()
            for entry in range(2):
                self.assertEqual(await send_requests(platform, entry), {'200'})
            self.assertEqual((len(near.heads), len(far.heads)), (0, 12))
            platform.store.remove('evacuations', 'zone-a')
            await wait_for(lambda: have_evacuated(platform, set()))
            self.assertEqual(await send_requests(platform), {'200'})
            self.assertTrue(near.heads)

        on_platform(check)

    def test_all_zones_evacuated_is_refused_at_once_and_has_not_run(self):
        async def check(platform):
            workers = await start_two_zones(platform)
            for zone in ('zone-a', 'zone-b'):
                platform.store.put('evacuations', zone, {})
            await wait_for(lambda: have_evacuated(platform, {'zone-a', 'zone-b'}))
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('evacuated', answer.text)
            self.assertGreater(float(answer.headers['retry-after']), 0.5)
            self.assertEqual([len(worker.heads) for worker in workers], [0, 0])

        on_platform(check)

    def test_requests_in_flight_in_the_zone_finish(self):
        async def check(platform):
            # Calls queued in a slow start must not be refused for their target latency.
            long_timeouts = config_spec(
                timeout=GENEROUS_SECONDS, target=GENEROUS_SECONDS
            )
            platform.store.put('config', 'main', long_timeouts)
            platform.deadline_ms = int(GENEROUS_SECONDS * 1000)
            near, _ = await start_two_zones(platform)
            near.work_seconds = 0.5
            answers = []

            async def ask():
                answers.append(await platform.send('POST', '/p/x'))

            async with trio.open_nursery() as nursery:
                while not near.heads:
                    nursery.start_soon(ask)
                    await trio.sleep(0.05)
                platform.store.put('evacuations', 'zone-a', {})
                await wait_for(lambda: have_evacuated(platform, {'zone-a'}))
            self.assertEqual({answer.status_code for answer in answers}, {200})
            self.assertEqual(near.cancelled, [])

        on_platform(check)

    def test_instance_that_starts_in_an_evacuation_applies_it_first(self):
        async def check(platform):
            platform.store.put('evacuations', 'zone-a', {})
            near, _ = await start_two_zones(platform)
            self.assertEqual(await send_requests(platform), {'200'})
            self.assertEqual(near.heads, [])

        on_platform(check)

    def test_instance_that_the_store_refuses_uses_a_peer(self):
        async def check(platform):
            near, _ = await start_two_zones(platform, instances=2)
            second = platform.entries[1]
            await wait_for(lambda: len(second.instances.peer_by_id) == 1)
            # From here on the store refuses the reads of this instance.
            second.evacuations.source = second.assembler.backends.source = (
                RefusingSource()
            )
            second.evacuations.mark_possibly_stale()
            platform.store.put('evacuations', 'zone-a', {})
            self.assertTrue(
                await wait_at_most(5.0, lambda: have_evacuated(platform, {'zone-a'}))
            )
            self.assertEqual(await send_requests(platform, entry=1), {'200'})
            self.assertEqual(near.heads, [])

        on_platform(check)

    def test_outage_of_the_store_changes_nothing(self):
        async def check(platform):
            near, _ = await start_two_zones(platform)
            platform.store.put('evacuations', 'zone-a', {})
            await wait_for(lambda: have_evacuated(platform, {'zone-a'}))
            platform.store.faults.refuse_with = 503
            platform.store.forget_history()
            await wait_for(lambda: platform.entries[0].evacuations.is_lost)
            self.assertEqual(await send_requests(platform), {'200'})
            self.assertEqual(near.heads, [])
            platform.store.remove('evacuations', 'zone-a')
            platform.store.faults.refuse_with = 0
            await wait_for(lambda: have_evacuated(platform, set()))

        on_platform(check)


class RefusingSource(ScriptedSource):
    """Source that fails as if the store refused this instance."""

    async def read_all(self, *, may_be_stale: bool = False):
        await trio.sleep(0)
        return OUTAGE

    async def wait_for_changes(self, revision: int, wait: float):
        await trio.sleep(0)
        return OUTAGE


if __name__ == '__main__':
    unittest.main()

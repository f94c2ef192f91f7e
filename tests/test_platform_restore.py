"""Tests of a store restored from a backup, which reuses revision numbers."""

import unittest

import trio

from catkinslip.discovery.revisions import era_of
from catkinslip.entry import metrics_page
from standins.objects import StoreBackup
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform, wait_at_most, wait_for

#: The time limit for a new version to be in force, counted in steps of the loop.
IN_FORCE_SECONDS = 2.0
#: The time limit for an entry to be listed again. The list is read at least every 6 s;
#: without a restore, an entry is written every 10 s.
LISTED_SECONDS = 7.0


async def two_instances(platform: SmallPlatform) -> StoreBackup:
    """Start two servers and two instances, and return an outdated backup of the store.

    The store has changed after the backup, and the instances have the changes.
    """
    platform.store.era = 1
    for server_id in ('i-1', 'i-2'):
        await platform.add_worker(server_id)
    for _ in range(2):
        entry = await platform.add_entry()
        await wait_for(lambda e=entry: len(e.assembler.current_backends) == 2)
    backup = platform.store.backup()
    for number in range(9):
        platform.register(f'other-{number}', 'two', 9000 + number)
    platform.store.put('config', 'main', config_spec(version='0000000b'))
    revision = platform.store.revision
    for entry in platform.entries:
        await wait_for(lambda e=entry: e.assembler.rules_version == 0xB)
        for follower in (entry.assembler.backends, entry.assembler.rules):
            if entry.instances.reads_store():
                await wait_for(lambda it=follower, r=revision - 1: it.revision >= r)
    return backup


def versions(platform: SmallPlatform) -> list[int]:
    """Return the version of the rules in force at each instance."""
    return [entry.assembler.rules_version for entry in platform.entries]


def arrivals(platform: SmallPlatform) -> dict[str, int]:
    """Return how many requests arrived at each server."""
    workers = platform.worker_by_id.items()
    return {server_id: len(worker.arrived_at) for server_id, worker in workers}


class RestoreTest(unittest.TestCase):
    """The rules and servers of instances after a restore of the store."""

    def test_change_after_a_restore_is_in_force_in_time(self):
        async def check(platform):
            platform.store.restore(await two_instances(platform))
            await trio.sleep(0.3)
            platform.store.put('config', 'main', config_spec(version='0000000c'))
            in_time = await wait_at_most(
                IN_FORCE_SECONDS, lambda: versions(platform) == [0xC, 0xC]
            )
            self.assertTrue(in_time, versions(platform))

        on_platform(check)

    def test_changes_are_not_skipped_where_the_old_revisions_are_passed_again(self):
        async def check(platform):
            backup = await two_instances(platform)
            platform.store.answers_gone = False
            platform.store.restore(backup)
            platform.store.put('config', 'main', config_spec(version='0000000c'))
            for number in range(20):
                platform.register(f'more-{number}', 'two', 9000 + number)
            in_time = await wait_at_most(
                IN_FORCE_SECONDS, lambda: versions(platform) == [0xC, 0xC]
            )
            self.assertTrue(in_time, versions(platform))

        on_platform(check)

    def test_restored_store_is_not_called_without_a_pause(self):
        async def check(platform):
            platform.store.restore(await two_instances(platform))
            before = len(platform.store.calls)
            await trio.sleep(2.0)
            # Two instances read five kinds again and then wait for changes.
            self.assertLess(len(platform.store.calls) - before, 60)

        on_platform(check)

    def test_leaving_server_and_evacuated_zone_get_nothing_though_the_backup_lacks_it(
        self,
    ):
        async def check(platform):
            backup = await two_instances(platform)
            await platform.add_worker('i-3', zone='zone-b')
            port = (
                platform.entries[0]
                .sampler.health.directory.address_by_backend['i-1']
                .port
            )
            platform.register('i-1', 'one', port, state='draining')
            platform.store.put('evacuations', 'zone-b', {})
            for entry in platform.entries:
                router = entry.sampler.health.directory.router_by_service['one']
                await wait_for(lambda it=router: it.load_by_id['i-1'].draining)
                await wait_for(lambda it=router: it.closed_zones and len(it.load_by_id))
            platform.store.restore(backup)
            for entry in platform.entries:
                follower = entry.assembler.backends
                await wait_for(lambda it=follower: era_of(it.revision) == 2)
            before = arrivals(platform)
            for number in range(10):
                await platform.send('POST', '/p/x', number % 2, request_id=f'r{number}')
            arrived = arrivals(platform)
            for server_id in ('i-1', 'i-3'):
                self.assertEqual(arrived[server_id], before[server_id], server_id)
            self.assertGreater(arrived['i-2'], before['i-2'])

        on_platform(check)

    def test_instance_that_the_backup_lacks_is_listed_again(self):
        async def check(platform):
            platform.store.era = 1
            await platform.add_worker('i-1')
            backup = platform.store.backup()
            await platform.add_entry()
            key = 'instances', 'edge-1'
            await wait_for(lambda: key in platform.store.item_by_key)
            platform.store.restore(backup)
            self.assertNotIn(key, platform.store.item_by_key)
            in_time = await wait_at_most(
                LISTED_SECONDS, lambda: key in platform.store.item_by_key
            )
            self.assertTrue(in_time)

        on_platform(check)

    def test_start_of_an_instance_right_after_it_serves_the_newest_rules(self):
        async def check(platform):
            platform.store.restore(await two_instances(platform))
            await platform.add_entry()
            in_time = await wait_at_most(
                IN_FORCE_SECONDS, lambda: versions(platform) == [0xB] * 3
            )
            self.assertTrue(in_time, versions(platform))

        on_platform(check)

    def test_restore_is_in_the_log_and_the_metrics(self):
        async def check(platform):
            backup = await two_instances(platform)
            with self.assertLogs('store', 'WARNING') as logs:
                platform.store.restore(backup)
                await trio.sleep(0.5)
            self.assertIn('restored from a backup. era=2 was=1', logs.output[0])
            entry = platform.entries[0]
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_store_era 2', page)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

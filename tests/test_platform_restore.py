"""The store comes back from a copy: its revisions are given out again."""

import unittest

import trio

from catkinslip.entry import metrics_page
from standins.objects import StoreCopy
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform, wait_at_most, wait_for

#: A version is in force so long after its ack; counted in steps of the loop.
IN_FORCE_SECONDS = 2.0


async def two_instances(platform: SmallPlatform) -> StoreCopy:
    """Start servers and instances; return a copy of the store some changes ago."""
    platform.store.era = 1
    for server_id in ('i-1', 'i-2'):
        await platform.add_worker(server_id)
    for _ in range(2):
        entry = await platform.add_entry()
        await wait_for(lambda e=entry: len(e.assembler.current_backends) == 2)
    copy = platform.store.copy()
    for number in range(9):
        platform.store.put('servers', f'other-{number}', {}, {})
    platform.store.put('config', 'main', config_spec(version='0000000b'))
    revision = platform.store.revision
    for entry in platform.entries:
        await wait_for(lambda e=entry: e.assembler.rules_version == 0xB)
        for follower in (entry.assembler.backends, entry.assembler.rules):
            if entry.instances.reads_store():
                await wait_for(lambda it=follower, r=revision - 1: it.revision >= r)
    return copy


def versions(platform: SmallPlatform) -> list[int]:
    """Return the version in force at each instance."""
    return [entry.assembler.rules_version for entry in platform.entries]


class RestoreTest(unittest.TestCase):
    """What instances know after the store came back."""

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
            copy = await two_instances(platform)
            platform.store.tells_gone = False
            platform.store.restore(copy)
            platform.store.put('config', 'main', config_spec(version='0000000c'))
            for number in range(20):
                platform.store.put('servers', f'more-{number}', {}, {})
            in_time = await wait_at_most(
                IN_FORCE_SECONDS, lambda: versions(platform) == [0xC, 0xC]
            )
            self.assertTrue(in_time, versions(platform))

        on_platform(check)

    def test_store_that_came_back_is_not_asked_without_a_pause(self):
        async def check(platform):
            platform.store.restore(await two_instances(platform))
            before = len(platform.store.calls)
            await trio.sleep(2.0)
            # Two instances read five kinds again, and wait.
            self.assertLess(len(platform.store.calls) - before, 60)

        on_platform(check)

    def test_lines_and_metrics_tell_that_it_came_back(self):
        async def check(platform):
            copy = await two_instances(platform)
            with self.assertLogs('store', 'WARNING') as logs:
                platform.store.restore(copy)
                await trio.sleep(0.5)
            self.assertIn('it came back from a copy. era=2 was=1', logs.output[0])
            entry = platform.entries[0]
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_store_era 2', page)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

"""Reports of servers that the store carries out after newer ones."""

import unittest

from catkinslip.discovery.base import Listing
from tests.platform_builders import server_item
from tests.small_platform import SmallPlatform, on_platform, wait_for

SERVER = 'i-1'
LAST_SEQUENCE = 7


def write(platform: SmallPlatform, port: int, state: str, sequence: int) -> None:
    """Write a numbered report of a server to the store."""
    item = server_item(SERVER, 'one', port, state)
    status = {**item['status'], 'seq': sequence}
    platform.store.put('servers', SERVER, item['spec'], status)


async def start(platform: SmallPlatform) -> int:
    """Start two servers and two instances that know them; return the first's port."""
    port = await platform.add_worker(SERVER)
    await platform.add_worker('i-2')
    for seed in (None, 0):
        entry = await platform.add_entry(seed)
        await wait_for(lambda each=entry: len(each.assembler.current_backends) == 2)
    return port


async def wait_for_revision(platform: SmallPlatform) -> None:
    """Wait until all instances have all changes of servers."""
    revision = platform.store.revision
    followers = [entry.assembler.backends for entry in platform.entries]
    await wait_for(lambda: all(each.revision >= revision for each in followers))


def leaving_at(platform: SmallPlatform) -> list[bool]:
    """Return for each instance whether it counts the server as leaving."""
    return [SERVER in entry.sampler.health.leaving_ids() for entry in platform.entries]


class OldReportTest(unittest.TestCase):
    """DRAIN: requests reached a server after an old report that it is ready."""

    def test_old_report_did_not_undo_that_a_server_leaves(self):
        # The store may carry out a write seconds after it was sent.
        async def check(platform):
            port = await start(platform)
            write(platform, port, 'draining', LAST_SEQUENCE)
            await wait_for(lambda: all(leaving_at(platform)))
            write(platform, port, 'ready', LAST_SEQUENCE - 1)
            await wait_for_revision(platform)
            self.assertEqual(leaving_at(platform), [True, True])

        on_platform(check)

    def test_old_report_in_the_same_answer_did_not_undo_it(self):
        # Both changes come in one answer, so that nobody sees the state between them.
        async def check(platform):
            port = await start(platform)
            platform.store.faults.silent = True
            write(platform, port, 'draining', LAST_SEQUENCE)
            platform.store.faults.silent = False
            write(platform, port, 'ready', LAST_SEQUENCE - 1)
            await wait_for_revision(platform)
            self.assertEqual(leaving_at(platform), [True, True])

        on_platform(check)

    def test_old_report_after_the_removal_brought_a_leaving_server_back(self):
        async def check(platform):
            port = await start(platform)
            write(platform, port, 'draining', LAST_SEQUENCE)
            await wait_for(lambda: all(leaving_at(platform)))
            platform.store.remove('servers', SERVER)
            await wait_for_revision(platform)
            write(platform, port, 'ready', LAST_SEQUENCE - 1)
            await wait_for_revision(platform)
            self.assertEqual(leaving_at(platform), [True, True])

        on_platform(check)

    def test_newer_report_ends_that_a_server_leaves(self):
        async def check(platform):
            port = await start(platform)
            write(platform, port, 'draining', LAST_SEQUENCE)
            await wait_for(lambda: all(leaving_at(platform)))
            write(platform, port, 'ready', LAST_SEQUENCE + 1)
            await wait_for(lambda: not any(leaving_at(platform)))

        on_platform(check)

    def test_listing_with_an_old_report_does_not_undo_it(self):
        async def check(platform):
            port = await start(platform)
            write(platform, port, 'draining', LAST_SEQUENCE)
            await wait_for(lambda: all(leaving_at(platform)))
            follower = platform.entries[0].assembler.backends
            write(platform, port, 'ready', LAST_SEQUENCE - 1)
            listed = (await follower.source.read_all()).unwrap()
            follower.offer(Listing(listed.value_by_name, listed.revision + 1), 'test')
            self.assertTrue(leaving_at(platform)[0])

        on_platform(check)

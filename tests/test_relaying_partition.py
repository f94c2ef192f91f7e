"""Callers of instances that are partitioned from all servers."""

import unittest
from collections.abc import Callable

import trio

from tests.partitions import STABILITY_SECONDS, Cut, PartitionedPlatform
from tests.small_platform import on_platform, wait_for

ZONES = ('zone-a', 'zone-a', 'zone-b', 'zone-b')
#: Share of what others serve that partitioned instances serve.
TARGET_SHARE = 0.95
JUDGED_SECONDS = 2.0


class PartitionedInstanceTest(unittest.TestCase):
    """RECOVER: callers of partitioned instances were refused, the others served."""

    def test_callers_of_silently_partitioned_instances_are_served(self):
        self._assert_served([1, 2], Cut.SILENT)

    def test_callers_of_instances_with_reset_connections_are_served(self):
        self._assert_served([1, 2], Cut.RESET)

    def test_callers_of_instances_without_new_connections_are_served(self):
        self._assert_served([1, 2], Cut.NEW_REFUSED)

    def test_callers_of_a_partitioned_availability_zone_are_served(self):
        self._assert_served([0, 1], Cut.SILENT)

    def test_callers_are_served_where_one_instance_reaches_the_servers(self):
        self._assert_served([0, 1, 2], Cut.RESET)

    def test_callers_are_served_as_before_after_a_partition(self):
        async def check(platform):
            await platform.send_for(1.0)
            platform.cut([1, 2], Cut.SILENT)
            await platform.send_for(STABILITY_SECONDS)
            platform.cut([1, 2], Cut.NONE)
            await trio.sleep(2.0)
            tries = await platform.send_for(1.0)
            self.assertGreaterEqual(tries.share([1, 2]), TARGET_SHARE, tries.statuses)
            for entry in platform.platform.entries:
                self.assertEqual(entry.reach.lost_services(), ())

        run(check)

    def test_address_answers_do_not_name_partitioned_instances(self):
        async def check(platform):
            await platform.send_for(1.0)
            platform.cut([1], Cut.SILENT)
            await platform.send_for(STABILITY_SECONDS)
            partitioned = platform.platform.entries[1].settings.own
            for entry in platform.platform.entries:
                answer = entry.instances.usable('zone-a', 'region-1')
                ids = [each.instance_id for each in answer]
                self.assertNotIn(partitioned.instance_id, ids)

        run(check)

    def _assert_served(self, cut: list[int], how: Cut) -> None:
        async def check(platform):
            others = [each for each in range(len(ZONES)) if each not in cut]
            await platform.send_for(1.0)
            platform.cut(cut, how)
            await platform.send_for(STABILITY_SECONDS)
            tries = await platform.send_for(JUDGED_SECONDS)
            others_share = tries.share(others)
            self.assertGreaterEqual(others_share, TARGET_SHARE, tries.statuses)
            target = TARGET_SHARE * others_share
            self.assertGreaterEqual(tries.share(cut), target, tries.statuses)
            self.assertEqual(platform.runs_twice(), [])

        run(check)


def run(check: Callable) -> None:
    """Run an async check on a platform with instances in two availability zones."""

    async def run_check(platform):
        partitioned = PartitionedPlatform(platform)
        await partitioned.start(ZONES)
        entries = platform.entries
        await wait_for(
            lambda: all(len(each.instances.serving_peers()) == 3 for each in entries)
        )
        await check(partitioned)

    on_platform(run_check)

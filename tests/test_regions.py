"""Tests of routes bound to regions: servers of requests and addresses for callers."""

import unittest
from random import Random

from attrs import evolve

from catkinslip.addresses.zonal import CallerLocation, ZoneAddresses
from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    Document,
    Register,
    Route,
    Rules,
    Service,
    SplitPart,
    to_plain,
)
from catkinslip.config.holder import ConfigHolder
from catkinslip.discovery.instances import InstanceTable
from catkinslip.platform.decoding import decode_rules
from standins.workers import Fault
from tests.discovery_builders import instance_entry
from tests.platform_builders import ROUTE_COLUMNS, config_item
from tests.small_platform import SmallPlatform, on_platform, wait_for

REGION_BY_ZONE = {'zone-a': 'north', 'zone-b': 'south', 'zone-c': 'west'}


def route(host: str, *regions: str) -> Route:
    """Return a route to one service, bound to regions."""
    return Route(host, '/', (SplitPart('limits'),), regions=regions)


def config_of(**route_by_name: Route) -> ConfigHolder:
    """Return a holder of a configuration with routes."""
    register = Register({'limits': Service()})
    document = Document(register, Rules(routes=route_by_name))
    holder = ConfigHolder()
    version = ConfigVersion(0, 1)
    holder.offer(AcceptedConfig(version, 'a', '', document, to_plain(document)))
    return holder


class DecodingTest(unittest.TestCase):
    """Regions of a route in the operators' configuration."""

    def test_regions_are_read_and_may_be_left_out(self):
        item = config_item()
        routes = item['spec']['routes']
        routes['columns'] = [*ROUTE_COLUMNS, 'allowed_regions']
        routes['rows'] = [[*routes['rows'][0], ['south']], [*routes['rows'][1], None]]
        decoded = decode_rules('main', item).routes
        self.assertEqual([each.regions for each in decoded.values()], [('south',), ()])


class AddressTest(unittest.TestCase):
    """Instances that callers are sent to."""

    def setUp(self):
        self.table = InstanceTable(self.entry('own', 'zone-a'), is_own_ready=True)
        for name, zone in (('south', 'zone-b'), ('west', 'zone-c')):
            self.table.add_instance(self.entry(name, zone))
            self.table.record_answer(name, is_ready=True)

    def entry(self, name: str, zone: str):
        return evolve(instance_entry(name, zone), region=REGION_BY_ZONE[zone])

    def named(self, region: str, host: str, **routes: Route) -> list[str]:
        addresses = ZoneAddresses(self.table, 1.0, Random(1), config_of(**routes))
        answer = addresses.answer(CallerLocation('zone-x', region, host))
        return sorted(each.partition(':')[0] for each in answer.addresses)

    def test_own_region_goes_first(self):
        bound = route('a.example', 'south')
        self.assertEqual(self.named('west', 'a.example', bound=bound), ['west'])

    def test_regions_of_the_routes_go_before_others(self):
        bound, free = route('a.example', 'south'), route('b.example')
        self.assertEqual(
            self.named('east', 'A.example', bound=bound, free=free), ['south']
        )
        self.assertEqual(
            self.named('east', 'b.example', bound=bound, free=free),
            ['own', 'south', 'west'],
        )

    def test_region_without_a_ready_instance_leaves_any_other(self):
        bound = route('a.example', 'east')
        self.assertEqual(len(self.named('east', 'a.example', bound=bound)), 3)

    def test_regions_that_all_routes_of_a_host_share(self):
        routes = {
            'one': route('a.example', 'south', 'north'),
            'two': Route(
                'a.example', '/b/', (SplitPart('limits'),), regions=('south', 'west')
            ),
        }
        self.assertEqual(self.named('east', 'a.example', **routes), ['south'])


async def two_regions(platform: SmallPlatform, **worker: object) -> list:
    """Start a server in each of two regions, and an instance; return the servers."""
    platform.zones = 'zone-a = "region-1"\nzone-b = "south"'
    spec = config_item()['spec']
    spec['routes']['columns'] = [*ROUTE_COLUMNS, 'allowed_regions']
    rows = spec['routes']['rows']
    spec['routes']['rows'] = [[*rows[0], None], [*rows[1], ['south']]]
    platform.store.put('config', 'main', spec)
    await platform.add_worker('i-1', **worker)
    await platform.add_worker('i-2', zone='zone-b', **worker)
    entry = await platform.add_entry()
    await wait_for(lambda: len(entry.assembler.current_backends) == 2)
    return list(platform.worker_by_id.values())


class PathTest(unittest.TestCase):
    """Regions in which requests run."""

    def test_bound_requests_run_in_their_region_only(self):
        async def check(platform):
            near, home = await two_regions(platform)
            for number in range(8):
                answer = await platform.send('POST', '/p/x', request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200)
            self.assertEqual((len(near.heads), len(home.heads)), (0, 8))

        on_platform(check)

    def test_others_run_anywhere(self):
        async def check(platform):
            near, _ = await two_regions(platform)
            statuses = set()
            for number in range(8):
                answer = await platform.get(request_id=f'r{number}')
                statuses.add(answer.status_code)
            self.assertIn(200, statuses)
            self.assertTrue(near.heads)

        on_platform(check)

    def test_region_without_servers_is_refused_as_not_run(self):
        async def check(platform):
            near, home = await two_regions(platform)
            platform.store.remove('servers', 'i-2')
            entry = platform.entries[0]
            await wait_for(lambda: len(entry.assembler.current_backends) == 1)
            answer = await platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertEqual((near.heads, home.heads), ([], []))

        on_platform(check)

    def test_second_send_stays_at_home(self):
        async def check(platform):
            near, home = await two_regions(platform)
            await platform.add_worker('i-3', zone='zone-b')
            entry = platform.entries[0]
            await wait_for(lambda: len(entry.assembler.current_backends) == 3)
            home.fault = Fault.SHED
            for number in range(6):
                await platform.send('POST', '/p/x', request_id=f'r{number}')
            self.assertEqual(near.heads, [])
            self.assertTrue(platform.worker_by_id['i-3'].heads)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()

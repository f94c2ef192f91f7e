"""Tests of the home set of a service and of the address answers to callers."""

import json
import unittest
from random import Random

from catkinslip.addresses.answers import AddressResolver, UnknownService
from catkinslip.addresses.home import HomeSetLimits, choose_home_set, home_set_size
from catkinslip.clock import SystemClock
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, Service
from catkinslip.config.documents import converter as config_converter
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import MemberTable, Status
from catkinslip.tickets.keys import AnchoredClock, KeyIssuer
from tests.builders import document_plain, member

ZONES = ('zone-a', 'zone-b', 'zone-c')
ISSUER = KeyIssuer(AnchoredClock(SystemClock()), 300.0)
SERVICES = [f'service-{number}' for number in range(2000)]


def fleet(size: int, region: str = 'region-1', zones=ZONES, seed: int = 5) -> list:
    random = Random(seed)
    return [
        member(
            f'{region}-{random.getrandbits(64):x}',
            zones[number % len(zones)],
            region=region,
        )
        for number in range(size)
    ]


def pairs(members: list, size: int = 3) -> set[tuple[str, str]]:
    return {
        (service, each.member_id)
        for service in SERVICES
        for each in choose_home_set(service, 'region-1', members, size)
    }


class HomeSetTest(unittest.TestCase):
    """The choice of the instances that share a service."""

    def test_little_moves_when_one_instance_leaves_or_joins(self):
        members = fleet(15)
        before = pairs(members)
        moved = []
        for removed in members:
            after = pairs([each for each in members if each != removed])
            moved.append(len(before - after) / len(before))
        # When one of 15 instances leaves or joins, a fifteenth moves, and a little more
        # because of the limit per zone.
        self.assertLess(sum(moved) / len(moved), 1.1 / 15)
        self.assertLess(max(moved), 1.5 / 15)

    def test_work_is_spread_evenly(self):
        members = fleet(15)
        count_by_id = dict.fromkeys((each.member_id for each in members), 0)
        for _, member_id in pairs(members):
            count_by_id[member_id] += 1
        mean = len(SERVICES) * 3 / len(members)
        self.assertLess(max(count_by_id.values()), 1.25 * mean)
        self.assertGreater(min(count_by_id.values()), 0.75 * mean)

    def test_no_zone_holds_a_whole_home_set(self):
        members = fleet(15)
        for size in (3, 4, 5):
            for service in SERVICES:
                chosen = choose_home_set(service, 'region-1', members, size)
                self.assertEqual(len(chosen), size)
                self.assertGreater(len({each.zone for each in chosen}), 1)

    def test_other_regions_only_fill_up(self):
        own = fleet(2)
        others = fleet(9, 'region-2', ('zone-x', 'zone-y'))
        chosen = choose_home_set('limits', 'region-1', others + own, 3)
        self.assertEqual(set(chosen[:2]), set(own))
        self.assertEqual(len(chosen), 3)
        one_zone = fleet(9, zones=('zone-a',))
        chosen = choose_home_set('limits', 'region-1', others + one_zone, 5)
        self.assertEqual({each.region for each in chosen}, {'region-1'})
        others_only = choose_home_set('limits', 'region-2', others + own, 5)
        self.assertEqual({each.region for each in others_only}, {'region-2'})

    def test_size_follows_the_load_within_limits(self):
        limits = HomeSetLimits(3, 5)
        sizes = [
            home_set_size(Service(slots=slots), backends, limits)
            for backends, slots in ((5, 2), (10, 2), (30, 2), (25, 5))
        ]
        self.assertEqual(sizes, [3, 3, 5, 5])
        wide = HomeSetLimits(3, 12)
        self.assertEqual(home_set_size(Service(slots=5), 25, wide), 9)


class AnswerTest(unittest.TestCase):
    """The address answers of one instance."""

    def setUp(self):
        self.members = fleet(9)
        self.table = MemberTable(self.members[0])
        for each in self.members[1:]:
            self.table.merge(each)
        self.config = ConfigHolder()
        self.resolver = AddressResolver(self.table, 'zone-a', 7.0, ISSUER, self.config)

    def configure(self) -> None:
        plain = document_plain({'limits-1': 'one:1'}, slots=2)
        self.config.offer(
            config_converter.structure(
                {'version': {'epoch': 0, 'number': 3}, 'document': plain},
                AcceptedConfig,
            )
        )

    def answer(self, query: str = '') -> dict:
        return json.loads(self.resolver.answer('limits', query).to_json())

    def test_answer_contains_all_fields_for_callers(self):
        self.configure()
        plain = self.answer('zone=zone-b')
        self.assertEqual(plain['service'], 'limits')
        self.assertEqual(plain['lifetime_seconds'], 7.0)
        self.assertEqual(plain['config_version'], {'epoch': 0, 'number': 3})
        named = [each['address'] for each in plain['instances']]
        self.assertEqual(named, plain['addresses'])
        prefixes = {each['address']: each['key_prefix'] for each in plain['instances']}
        self.assertEqual(plain['key_prefix_by_address'], prefixes)
        for requested in ZONES:
            instances = self.answer(f'zone={requested}')['instances']
            zones = [each['zone'] for each in instances]
            self.assertEqual(zones, sorted(zones, key=lambda zone: zone != requested))

    def test_all_zones_get_the_same_home_set(self):
        sets = {frozenset(self.answer(f'zone={zone}')['addresses']) for zone in ZONES}
        self.assertEqual(len(sets), 1)

    def test_unknown_service_is_reported_only_with_a_configuration(self):
        self.assertEqual(len(self.answer()['addresses']), 3)
        self.configure()
        self.assertEqual(self.resolver.answer('none', ''), UnknownService('none'))
        self.assertEqual(self.config.current.version, ConfigVersion(0, 3))

    def test_leaving_suspected_dead_and_silent_are_left_out(self):
        home = {each['instance'] for each in self.answer()['instances']}
        others = sorted(home - {self.table.own.member_id})
        self.table.mark(others[0], Status.SUSPECT, 0.0)
        self.table.mark(others[1], Status.FAILED, 0.0)
        self.table.silent_zones = frozenset({'zone-c'})
        self.table.mark_leaving()
        after = self.answer()['instances']
        left_out = {*others[:2], self.table.own.member_id}
        self.assertFalse(left_out & {each['instance'] for each in after})
        self.assertNotIn('zone-c', {each['zone'] for each in after})
        self.assertEqual(len(after), 3)

    def test_leaving_instance_is_named_when_it_is_the_only_one(self):
        table = MemberTable(member('zone-a-0'))
        table.mark_leaving()
        answer = AddressResolver(table, 'zone-a', 7.0, ISSUER).answer('limits', '')
        self.assertEqual(answer.addresses, ('zone-a-0:80',))

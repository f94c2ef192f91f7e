"""Tests of the instance table: addresses for callers, readers, polls and budgets."""

import unittest
from random import Random

from attrs import evolve

from catkinslip.addresses.zonal import MAX_ADDRESSES, CallerLocation, ZoneAddresses
from catkinslip.discovery.instances import (
    FAR_POLLED,
    NEAR_POLLED,
    InstanceTable,
    PeerHealth,
)
from catkinslip.discovery.ranking import HOME_INSTANCES, HOME_SHARE, RESERVE_SHARE
from catkinslip.discovery.readers import READERS, ReaderRole
from tests.discovery_builders import instance_entry


class InstanceTableTest(unittest.TestCase):
    """Instances that callers may use, that read the store and that are polled."""

    def setUp(self):
        self.table = InstanceTable(instance_entry('own'))
        for name, zone in (('near', 'zone-a'), ('far', 'zone-b')):
            self.table.add_instance(instance_entry(name, zone))
            self.table.record_answer(name, is_ready=True)

    def usable(self, zone: str) -> list[str]:
        return sorted(each.instance_id for each in self.table.usable(zone))

    def test_own_zone_first(self):
        self.table.is_own_ready = True
        self.assertEqual(self.usable('zone-a'), ['near', 'own'])
        self.assertEqual(self.usable('zone-b'), ['far'])

    def test_stopping_instance_is_left_out_at_once(self):
        self.table.record_answer('near', is_ready=False)
        self.assertEqual(self.usable('zone-a'), ['far'])

    def test_silent_instance_is_left_out_after_two_polls(self):
        self.table.record_missed_poll('near')
        self.assertEqual(self.usable('zone-a'), ['near'])
        self.table.record_missed_poll('near')
        self.assertEqual(self.usable('zone-a'), ['far'])
        self.table.record_answer('near', is_ready=True)
        self.assertEqual(self.usable('zone-a'), ['near'])

    def test_zone_without_instances_gets_all_others(self):
        self.assertEqual(self.usable('zone-c'), ['far', 'near'])

    def test_some_address_is_always_answered(self):
        for name in ('near', 'far'):
            self.table.record_answer(name, is_ready=False)
        self.assertEqual(self.usable('zone-a'), ['near', 'own'])
        self.assertEqual(self.usable('zone-x'), ['far', 'near', 'own'])

    def test_start_of_all_sends_callers_to_those_that_are_ready_first(self):
        table = InstanceTable(instance_entry('weak'), is_starting=True)
        for number in range(20):
            table.add_instance(instance_entry(f'weak-{number}'))
        for name in ('strong-1', 'strong-2'):
            table.add_instance(evolve(instance_entry(name), cores=2.15))
        named = {each.instance_id for each in table.usable('zone-a')}
        self.assertEqual(named, {'strong-1', 'strong-2'})
        for _ in range(2):
            table.record_missed_poll('strong-1')
            table.record_missed_poll('strong-2')
        named = {each.instance_id for each in table.usable('zone-a')}
        self.assertTrue(named)
        self.assertFalse(named & {'strong-1', 'strong-2'})

    def test_silent_instance_still_counts_for_shared_budgets(self):
        for _ in range(5):
            self.table.record_missed_poll('far')
        self.assertEqual(self.table.budget_divisor(), 3)
        self.table.remove_unlisted({'own', 'near'})
        self.assertEqual(self.table.budget_divisor(), 2)

    def fill(self, count: int, zones: tuple[str, ...] = ('zone-a', 'zone-b')) -> None:
        for zone in zones:
            for number in range(count):
                name = f'{zone}-{number}'
                self.table.add_instance(instance_entry(name, zone))
                self.table.record_answer(name, is_ready=True)

    def test_callers_of_a_large_zone_get_its_home_set(self):
        self.fill(2 * HOME_INSTANCES)
        home = self.usable('zone-a')
        self.assertEqual(len(home), HOME_INSTANCES)
        lost = next(name for name in home if name != 'own')
        self.table.record_answer(lost, is_ready=False)
        after = self.usable('zone-a')
        self.assertEqual(len(set(home) & set(after)), HOME_INSTANCES - 1)

    def fill_strong(self, strong: int, weak: int) -> None:
        """Fill the own zone with strong instances (2.15 cores) and weak ones (0.43)."""
        for number in range(strong + weak):
            name, cores = f'more-{number}', 2.15 if number < strong else 0.43
            self.table.add_instance(evolve(instance_entry(name), cores=cores))
            self.table.record_answer(name, is_ready=True)

    def test_strong_instances_are_the_home_set_where_there_are_two(self):
        self.table = InstanceTable(evolve(instance_entry('own'), cores=0.43))
        self.fill_strong(2, 20)
        self.assertEqual(self.usable('zone-a'), ['more-0', 'more-1'])
        self.table.record_answer('more-0', is_ready=False)
        self.assertEqual(len(self.usable('zone-a')), 2)
        self.assertIn('more-1', self.usable('zone-a'))

    def test_one_strong_instance_is_not_alone(self):
        self.table = InstanceTable(evolve(instance_entry('own'), cores=0.43))
        self.fill_strong(1, 20)
        self.assertEqual(len(self.usable('zone-a')), 2)
        self.assertIn('more-0', self.usable('zone-a'))

    def test_somewhat_weaker_instances_are_no_less_used(self):
        self.table = InstanceTable(evolve(instance_entry('own'), cores=1.2))
        self.fill_strong(3, 0)
        self.table.is_own_ready = True
        self.assertIn('own', self.usable('zone-a'))

    def test_instances_next_in_rank_keep_more_of_a_budget_than_the_rest(self):
        self.fill_strong(2, 20)
        divisors = sorted({round(table.budget_divisor(), 3) for table in self.tables()})
        self.assertEqual(len(divisors), 3)
        self.assertLess(divisors[1], 4 * divisors[0] * HOME_SHARE / RESERVE_SHARE)

    def tables(self) -> list[InstanceTable]:
        """Return the tables of all instances, each with all others as ready."""
        entries = [self.table.own, *(p.entry for p in self.table.peer_by_id.values())]
        tables = []
        for own in entries:
            table = InstanceTable(own, is_own_ready=True)
            for entry in entries:
                table.add_instance(entry)
                table.record_answer(entry.instance_id, is_ready=True)
            tables.append(table)
        return tables

    def test_a_few_instances_of_a_zone_read_the_store(self):
        self.assertTrue(self.table.reads_store())
        self.fill(4 * HOME_INSTANCES, ('zone-a',))
        readers = [table.own for table in self.tables() if table.reads_store()]
        self.assertEqual(sum(each.zone == 'zone-a' for each in readers), READERS)
        self.assertIn('far', [each.instance_id for each in readers])

    def test_next_instance_reads_where_a_reader_lost_the_store(self):
        self.fill(4 * HOME_INSTANCES, ('zone-a',))
        tables = [each for each in self.tables() if each.own.zone == 'zone-a']
        sizes = {each.home_size('zone-a') for each in tables}
        self.assertEqual(sizes, {HOME_INSTANCES})
        reader = next(each.own for each in tables if each.reads_store())
        for table in tables:
            table.record_answer(reader.instance_id, is_ready=True, reaches_store=False)
        readers = [table.own for table in tables if table.reads_store()]
        self.assertIn(reader, readers)
        self.assertEqual(len(readers), READERS + 1)

    def test_few_instances_retry_at_once_a_store_that_does_not_answer(self):
        self.fill(5 * HOME_INSTANCES, ('zone-a',))
        tables = [each for each in self.tables() if each.own.zone == 'zone-a']
        asked_first = HOME_INSTANCES + NEAR_POLLED + 1
        # The polled instances lost the store; the health of the others is not known.
        for table in tables:
            ranked = table._ranked('zone-a')
            for entry in ranked[:asked_first]:
                table.record_answer(
                    entry.instance_id, is_ready=True, reaches_store=False
                )
            for entry in ranked[asked_first:]:
                table.forget_health(entry.instance_id)
        trying = [table for table in tables if table.reads_store()]
        self.assertEqual(len(trying), len(tables))
        roles = [table.zone_view().role for table in trying]
        hurried = [role for role in roles if role is not ReaderRole.LAST_RESORT]
        self.assertEqual(len(hurried), asked_first)
        # Each of the others waits for its turn, also before its first try.
        self.assertTrue(
            all(
                table.try_pace().is_delayed
                for table, role in zip(trying, roles, strict=True)
                if role is ReaderRole.LAST_RESORT
            )
        )

    def test_start_waits_for_those_ahead_that_wait_for_the_store(self):
        self.fill(4 * HOME_INSTANCES, ('zone-a',))
        for instance_id in self.table.peer_by_id:
            self.table.record_answer(instance_id, is_ready=False)
        self.table.is_own_ready = False
        ranked = self.table._ranked('zone-a')
        is_first = ranked.index(self.table.own) < READERS
        self.assertEqual(self.table.reads_store(), is_first)
        # An instance that serves does not count those that stop as readers.
        self.table.is_own_ready = True
        self.assertTrue(self.table.reads_store())

    def test_instance_reads_the_store_where_no_reader_answers(self):
        self.fill(4 * HOME_INSTANCES, ('zone-a',))
        for instance_id in self.table.peer_by_id:
            self.table.record_missed_poll(instance_id)
            self.table.record_missed_poll(instance_id)
        self.assertTrue(self.table.reads_store())

    def test_home_set_of_a_zone_that_starts_reads_at_once(self):
        self.fill(4 * HOME_INSTANCES, ('zone-a',))
        readers = 0
        for own in [each.own for each in self.tables()]:
            table = InstanceTable(own, is_starting=True)
            for peer in self.table.peer_by_id.values():
                table.add_instance(peer.entry)
            table.add_instance(self.table.own)
            if own.zone == 'zone-a':
                readers += table.reads_store()
            table.is_starting = False
            # No peer has answered by then.
            self.assertTrue(table.reads_store())
        self.assertEqual(readers, HOME_INSTANCES)

    def test_only_seeds_read_where_an_instance_starts_for_the_first_time(self):
        for is_seed in (True, False):
            table = InstanceTable(
                instance_entry('own'),
                is_starting=True,
                is_own_listed=False,
                is_seed=is_seed,
            )
            table.add_instance(instance_entry('other'))
            self.assertEqual(table.reads_store(), is_seed)
            table.is_starting = False
            self.assertTrue(table.reads_store())

    def test_store_is_not_read_before_the_list(self):
        table = InstanceTable(
            instance_entry('own'), is_starting=True, is_list_attempted=False
        )
        self.assertFalse(table.reads_store())

    def test_polls_do_not_grow_with_the_fleet(self):
        self.fill(50)
        polled = HOME_INSTANCES + NEAR_POLLED + FAR_POLLED
        self.assertEqual(len(self.table.to_poll()), polled)

    def test_silent_peers_make_room_for_others_to_be_polled(self):
        self.fill(50)
        for _ in range(2):
            for entry in self.table.to_poll():
                self.table.record_missed_poll(entry.instance_id)
        silent = HOME_INSTANCES + NEAR_POLLED + FAR_POLLED
        self.assertEqual(len(self.table.to_poll()), 2 * silent)

    def test_all_but_the_first_of_a_zone_poll_one_leader(self):
        self.fill(50)
        tables = [each for each in self.tables() if each.own.zone == 'zone-a']
        leaders = [table.own for table in tables if not table.leaders()]
        self.assertEqual(len(leaders), HOME_INSTANCES + NEAR_POLLED + 1)
        for table in tables:
            self.assertLessEqual(set(table.leaders()), set(leaders))

    def test_instances_of_a_small_zone_poll_each_other(self):
        self.fill(HOME_INSTANCES + NEAR_POLLED - 1)
        self.assertFalse(any(table.leaders() for table in self.tables()))

    def test_next_instances_lead_where_the_first_are_silent(self):
        self.fill(50)
        table = next(
            each
            for each in self.tables()
            if each.own.zone == 'zone-a' and each.leaders()
        )
        first = table.leaders()
        for _ in range(2):
            for entry in first:
                table.record_missed_poll(entry.instance_id)
        self.assertFalse(set(first) & set(table.leaders()))
        after = [each.instance_id for each in table.to_poll()]
        self.assertLess({each.instance_id for each in first}, set(after))

    def report(self, **health_by_id: PeerHealth) -> list[str]:
        return self.table.apply_peer_report('reporter', health_by_id, ['far'])

    def test_health_is_applied_from_reports_of_peers(self):
        silent, ready = PeerHealth.SILENT, PeerHealth.READY
        self.assertEqual(self.report(near=silent, own=silent, far=ready), ['near'])
        self.assertEqual(self.usable('zone-a'), ['far'])
        self.assertEqual(self.report(near=ready, far=ready), ['near'])
        self.assertEqual(self.usable('zone-a'), ['near'])
        self.assertEqual(self.table.lost_store_ids(), ['far'])

    def test_health_that_is_no_longer_reported_becomes_unknown(self):
        self.table.add_instance(instance_entry('reporter', 'zone-c'))
        self.table.record_answer('reporter', is_ready=True)
        self.assertEqual(self.report(near=PeerHealth.READY), ['far'])
        self.assertEqual(self.usable('zone-b'), ['near', 'reporter'])
        self.table.forget_health('near')
        self.assertEqual(self.usable('zone-a'), ['reporter'])

    def test_digest_depends_only_on_the_known_instances(self):
        twin = InstanceTable(instance_entry('far', 'zone-b'))
        for entry in (self.table.own, instance_entry('near')):
            twin.add_instance(entry)
        self.assertEqual(twin.digest(), self.table.digest())
        self.table.record_answer('near', is_ready=False)
        self.assertEqual(twin.digest(), self.table.digest())
        self.table.add_instance(instance_entry('new'))
        self.assertNotEqual(twin.digest(), self.table.digest())

    def test_table_is_behind_a_newer_list_with_other_instances(self):
        self.table.apply_list([instance_entry('near')], 5)
        digest = self.table.digest()
        self.assertFalse(self.table.is_behind('other', 5))
        self.assertTrue(self.table.is_behind('other', 6))
        self.assertFalse(self.table.is_behind(digest, 8))
        self.assertFalse(self.table.is_behind('other', 7))

    def test_older_list_removes_no_instance(self):
        self.table.add_instance(instance_entry('new'))
        self.table.apply_list([instance_entry('near'), instance_entry('new')], 5)
        self.table.apply_list([instance_entry('near')], 4)
        self.assertIn('new', self.table.peer_by_id)
        self.table.apply_list([instance_entry('near')], 6)
        self.assertNotIn('new', self.table.peer_by_id)

    def test_instance_that_the_list_does_not_name_yet_stays_a_while(self):
        self.table.add_instance(instance_entry('new'))
        for revision in (1, 2):
            self.table.apply_list([], revision)
            self.assertIn('new', self.table.peer_by_id)
        self.table.apply_list([], 3)
        self.assertNotIn('new', self.table.peer_by_id)

    def test_parts_of_a_budget_add_up_to_the_whole(self):
        for count in (1, HOME_INSTANCES, 3 * HOME_INSTANCES):
            self.table.peer_by_id.clear()
            self.fill(count, ('zone-a',))
            entries = [
                self.table.own,
                *(p.entry for p in self.table.peer_by_id.values()),
            ]
            total = 0.0
            for own in entries:
                table = InstanceTable(own)
                for entry in entries:
                    table.add_instance(entry)
                total += 1 / table.budget_divisor()
            self.assertAlmostEqual(total, 1.0)

    def test_answer_has_a_bound(self):
        self.fill(2 * MAX_ADDRESSES, tuple(f'zone-{n}' for n in range(10)))
        addresses = ZoneAddresses(self.table, 1.0, Random(1))
        answer = addresses.answer(CallerLocation('elsewhere'))
        self.assertEqual(len(set(answer.addresses)), MAX_ADDRESSES)


if __name__ == '__main__':
    unittest.main()

"""The state machines of the quotas, their messages, settings, logs and metrics."""

import unittest
from math import inf
from random import Random

import orjson
import trio
import trio.testing
from returns.result import Failure, Success

from catkinslip.discovery.instances import InstanceTable
from catkinslip.health.sharing import ReportSharer
from catkinslip.metrics.quotas import MAX_LABELS, QuotaMetrics
from catkinslip.models import Address
from catkinslip.platform.program import QUOTAS_VARIABLE, entry_settings
from catkinslip.platform.settings import read_settings
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import Reason
from catkinslip.quotas import messages
from catkinslip.quotas.bounds import QuotaBounds
from catkinslip.quotas.exchange import FleetQuotas
from catkinslip.quotas.holders import Stock
from catkinslip.quotas.leases import Lease, LeaseConfirmation, Stamp
from catkinslip.quotas.liveness import PoolHealth
from catkinslip.quotas.log_lines import MAX_LINES
from catkinslip.quotas.messages import Answer, AnswerEntry, Ask, AskEntry
from catkinslip.quotas.rates import RecentRate
from catkinslip.quotas.shares import SETTLE_SECONDS, GeneratorShare
from catkinslip.quotas.slots import SLOTS, key_of, order_pools, slot_of
from catkinslip.quotas.view import FleetView
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.discovery_builders import instance_entry
from tests.platform_builders import settings_text
from tests.quota_builders import BOUNDS, config_of, home_names, limited, make_fleet
from tests.small_platform import on_platform, wait_for
from tests.test_limits_attempts import TrioClock

LARGEST_KEY = 2**64 - 1


def call_of(workspace: str, seconds: float = 1.0) -> Call:
    """Return a call of a workspace with a deadline."""
    deadline = trio.current_time() + seconds
    return Call('r1', 'one', b'GET', b'/', [], b'', True, deadline, workspace=workspace)


class ShareTest(unittest.TestCase):
    """A larger share is used late and a smaller one at once."""

    def test_listed_instance_uses_its_share_at_once(self):
        self.assertEqual(GeneratorShare().update(0.25, 10.0, was_listed=True), 0.25)

    def test_new_instance_waits_until_the_others_know_it(self):
        share = GeneratorShare()
        self.assertEqual(share.update(0.25, 10.0, was_listed=False), 0.0)
        self.assertEqual(share.update(0.25, 11.0, was_listed=True), 0.0)
        later = 10.0 + SETTLE_SECONDS
        self.assertEqual(share.update(0.25, later, was_listed=True), 0.25)

    def test_instance_that_enters_a_home_set_later_waits(self):
        # The others count its share only when they have the new list.
        share = GeneratorShare()
        share.update(0.0, 10.0, was_listed=True)
        self.assertEqual(share.update(0.25, 3600.0, was_listed=True), 0.0)

    def test_smaller_share_counts_at_once_and_larger_late(self):
        share = GeneratorShare()
        share.update(0.25, 10.0, was_listed=True)
        self.assertEqual(share.update(0.2, 10.5, was_listed=True), 0.2)
        self.assertEqual(share.update(0.5, 11.0, was_listed=True), 0.2)
        self.assertEqual(share.update(0.0, 11.5, was_listed=True), 0.0)

    def test_share_by_the_list_of_instances(self):
        # Three of zone-a and one of zone-b, one of which is dead.
        table = InstanceTable(instance_entry('i-1'), is_own_ready=True)
        others = [instance_entry(f'i-{n}') for n in (2, 3)]
        others.append(instance_entry('i-4', 'zone-b'))
        for entry in others:
            table.add_instance(entry)
        self.assertEqual(table.quota_view().share, 0.0, 'without a list')
        table.apply_list([table.own, *others], 5)
        for _ in range(2):
            table.record_missed_poll('i-2')
        view = table.quota_view()
        self.assertEqual(view.share, 0.25)
        self.assertEqual(set(view.pool_ids), {'i-1', 'i-3', 'i-4'})

    def test_instance_outside_the_home_set_has_no_share(self):
        table = InstanceTable(instance_entry('i-0'))
        others = [instance_entry(f'i-{n}') for n in range(1, 30)]
        table.apply_list(others, 5)
        tables = [InstanceTable(each) for each in others]
        for each in tables:
            each.apply_list([*others, table.own], 5)
        shares = [each.quota_view().share for each in (table, *tables)]
        self.assertAlmostEqual(sum(shares), 1.0)
        self.assertEqual(sum(share > 0 for share in shares), 8)


class SlotTest(unittest.TestCase):
    """Slots and pools are the same on every instance and in every process."""

    def test_constants(self):
        self.assertEqual(key_of('acme'), 4948779126678378721)
        self.assertEqual([slot_of(key_of(f'w{n}')) for n in range(4)], [7, 2, 6, 3])
        names = home_names()
        for slot in range(SLOTS):
            ordered = order_pools(slot, names)
            self.assertEqual(ordered, order_pools(slot, reversed(names)))
            kept = [each for each in ordered if each != names[0]]
            self.assertEqual(kept, order_pools(slot, names[1:]))


class PoolHealthTest(unittest.TestCase):
    """Pools that do not answer are avoided until they do."""

    def test_three_messages_and_some_time(self):
        health = PoolHealth()
        health.check(10.0)
        for at in (10.0, 10.1, 10.2):
            health.record_sent('a', at)
        self.assertEqual(health.check(10.25), [])
        self.assertEqual(health.check(10.31), ['a'])
        self.assertTrue(health.is_avoided('a'))
        self.assertEqual(health.to_ping(10.4), ['a'])
        self.assertEqual(health.to_ping(10.5), [])
        self.assertTrue(health.record_answer('a'))
        self.assertFalse(health.is_avoided('a'))

    def test_own_stall_is_not_the_pools_fault(self):
        # After a freeze the answers are still in the socket's buffer.
        health = PoolHealth()
        health.check(10.0)
        for _ in range(3):
            health.record_sent('a', 10.0)
        self.assertEqual(health.check(15.0), [])

    def test_instances_that_left_are_forgotten(self):
        health = PoolHealth()
        health.record_sent('a', 10.0)
        health.forget(frozenset({'b'}))
        self.assertEqual(health.state_by_id, {})


class StockTest(unittest.TestCase):
    """Permits expire, and come back at most as often as they were used."""

    def setUp(self):
        limit = BOUNDS.limit(10, 10)
        self.stock = Stock(1, limit, RecentRate(0.5, 100.0))

    def test_expired_permits_are_not_used(self):
        self.stock.add(3, 100.3)
        self.assertTrue(self.stock.take(100.2))
        self.assertFalse(self.stock.take(100.3))

    def test_permit_comes_back_once(self):
        self.stock.add(1, 100.3)
        expires_at = self.stock.take(100.0)
        self.stock.give_back(expires_at, 100.1)
        self.assertTrue(self.stock.take(100.2))
        self.assertFalse(self.stock.take(100.2))

    def test_permit_comes_back_until_its_first_expiry_only(self):
        # With a new expiry at each return, permits added up while servers refused all
        # calls, and 650 requests ran in a window in which 570 may.
        self.stock.add(1, 100.3)
        self.stock.give_back(self.stock.take(100.2), 100.25)
        self.assertEqual(self.stock.in_stock(100.29), 1)
        self.assertEqual(self.stock.in_stock(100.31), 0)

    def test_expired_permit_does_not_come_back(self):
        self.stock.add(1, 100.3)
        self.stock.give_back(self.stock.take(100.0), 100.31)
        self.assertFalse(self.stock.batches)


class MessageTest(unittest.TestCase):
    """Messages survive the wire, fit into a datagram, and are checked."""

    def test_round_trips(self):
        stamp = Stamp(7, 12.5)
        lease = Lease('a', 1, 2, 0.25, frozenset({0, 7}), stamp, frozenset({7}))
        self.assertEqual(
            messages.lease_from_plain(wire(messages.lease_to_plain(lease))), lease
        )
        confirmation = LeaseConfirmation('b', 1, 2, stamp)
        plain = wire(messages.confirmation_to_plain(confirmation))
        self.assertEqual(messages.confirmation_from_plain(plain), confirmation)
        ask = Ask('a', 1, 3, (AskEntry(LARGEST_KEY, 1, 2, 1, 4, 5),))
        self.assertEqual(messages.ask_from_plain(wire(messages.ask_to_plain(ask))), ask)
        answer = Answer('b', 1, 3, (AnswerEntry(5, 2, 0.125, 10.5, 0.25),))
        plain = wire(messages.answer_to_plain(answer))
        self.assertEqual(messages.answer_from_plain(plain), answer)

    def test_longest_messages_fit_into_a_datagram(self):
        name, number = 'i' * 100, 2**48
        entry = AskEntry(LARGEST_KEY, *[10**9] * 5)
        ask = Ask(name, number, number, (entry,) * messages.MAX_ENTRIES)
        self.assertLessEqual(len(orjson.dumps(messages.ask_to_plain(ask))), 1472)
        entry = AnswerEntry(LARGEST_KEY, 199_998, 5.0, 1_000_000.25, 1.0)
        answer = Answer(name, number, number, (entry,) * messages.MAX_ENTRIES)
        self.assertLessEqual(len(orjson.dumps(messages.answer_to_plain(answer))), 1472)

    def test_malformed_messages_are_counted_and_not_applied(self):
        directory = Directory(lambda: LeastInFlight(Random(0)))
        malformed = (
            {'quota_lease': ['a', 1, 2, 1.5, [1], None, []]},
            {'quota_lease': ['a', 1, 2, 0.5, [SLOTS], None, []]},
            {'quota_lease': ['a', 1, 2, 0.5, [-1], None, []]},
            {'quota_lease': ['a', 1, 2, 0.5, [1], [1], []]},
            {'quota_lease': [3, 1, 2, 0.5, [1], None, []]},
            {'quota_lease': ['a', 1, 2, 0.5, [1], None, [SLOTS]]},
            {'quota_lease': None},
            {'quota_confirmation': ['a', 1, True, [1, 1.0]]},
            {'quota_ask': ['a', 1, 1, [[1, -5, 0, 0, 0, 0]]]},
            {'quota_ask': ['a', 1, 1, [[1, 0, 0, 0, 0, 0, 0, 0]]]},
            {'quota_ask': ['a', 1, 1, 5]},
            {'quota_answer': ['a', 1, 1, [[1, 1, 1, 'x', 1]]]},
            {'quota_answer': ['a', 1, 1, [[1, 1.5, 1, 1, 1]]]},
            {'quota_answer': {}},
        )

        async def main():
            quotas = make_quotas(TrioClock())
            sharer = ReportSharer(Address('h', 1), list, directory, TrioClock())
            sharer.handler_by_topic = quotas.handlers()
            with self.assertLogs('health', 'WARNING') as logs:
                for message in malformed:
                    sharer.apply_datagram(orjson.dumps(message))
            self.assertEqual(len(logs.output), len(malformed))
            self.assertEqual(sharer.malformed, len(malformed))
            self.assertEqual(quotas.counts.received, 0)

        trio.run(main)


class RepeatedMessageTest(unittest.TestCase):
    """Messages that are repeated, late or from others change nothing."""

    def test_repeated_ask_gets_the_same_answer(self):
        fleet = make_fleet(config_of(a=limited(10, 10)))
        quotas = fleet.node_by_name[pool_name(fleet)].quotas
        now = quotas.clock.monotonic()
        ask = Ask('x', 1, 1, (AskEntry(key_of('a'), 2, 0, 0, 2, 0),))
        first = quotas.pool.answer(ask, now)
        level = quotas.pool.slot_by_number[slot_of(key_of('a'))].bucket_by_key
        before = level[key_of('a')].level
        self.assertEqual(quotas.pool.answer(ask, now), first)
        self.assertEqual(level[key_of('a')].level, before)
        self.assertEqual(first.entries[0].granted, 2)

    def test_lost_ask_is_repeated_within_the_wait(self):
        fleet = make_fleet(config_of(a=limited(10, 10)))
        name = next(each for each in home_names() if each != pool_name(fleet))
        fleet.cut = {(name, pool_name(fleet))}
        fleet.node_by_name[name].request('a')
        fleet.run(0.03)
        fleet.cut = set()
        fleet.run(0.1)
        self.assertEqual(fleet.passed['a'], 1)

    def test_call_waits_for_at_most_a_tenth_of_a_second(self):
        fleet = make_fleet(config_of(a=limited(10, 10)))
        name = next(each for each in home_names() if each != pool_name(fleet))
        fleet.cut = {(name, pool_name(fleet))}
        fleet.node_by_name[name].request('a')
        fleet.run(0.099)
        self.assertEqual(fleet.refusals, [])
        fleet.run(0.002)
        self.assertEqual([each.reason for each in fleet.refusals], [Reason.OVER_QUOTA])

    def test_hedge_of_a_small_workspace_finds_a_spare_permit(self):
        # Without stock, none of its hedges and retries would find one.
        fleet = make_fleet(config_of(a=limited(2, 2)))
        fleet.run(10)
        node = next(
            fleet.node_by_name[each]
            for each in home_names()
            if each != pool_name(fleet)
        )
        node.request('a')
        fleet.run(0.05)
        self.assertTrue(node.quotas.try_acquire('a'))
        self.assertFalse(node.quotas.try_acquire('a'))


class GateTest(unittest.TestCase):
    """The gate in an event loop, alone and with real datagrams."""

    def test_lone_instance_is_its_own_pool(self):
        async def main():
            quotas = make_quotas(TrioClock())
            quotas.apply_config(config_of(a=limited(10, 1)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quotas.run)
                await trio.sleep(3)
                passed = [await quotas.acquire(call_of('a')) for _ in range(30)]
                nursery.cancel_scope.cancel()
            self.assertEqual(passed.count(None), int(BOUNDS.limit(10, 1).cap))
            refusals = [each for each in passed if each is not None]
            self.assertTrue(all(each.retry_after > 0 for each in refusals))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_cancelled_call_leaves_its_permit(self):
        async def main():
            quotas = make_quotas(TrioClock(), pool_ids=('other',))
            quotas.apply_config(config_of(a=limited(10, 1)))
            quotas.renew()
            with trio.move_on_after(0.01):
                await quotas.acquire(call_of('a'))
            stock = quotas.holder.stock_by_name['a']
            self.assertTrue(all(each.is_done for each in stock.waiters))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_permit_that_comes_with_the_cancellation_stays(self):
        async def main():
            quotas = make_quotas(TrioClock(), pool_ids=('other',))
            quotas.apply_config(config_of(a=limited(10, 1)))
            quotas.renew()
            stock = quotas.holder.stock_by_name['a']
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(quotas.acquire, call_of('a'))
                    await trio.testing.wait_all_tasks_blocked()
                    scope.cancel()
                    stock.waiters[0].expires_at = trio.current_time() + 0.3
                    stock.waiters[0].end(is_granted=True)
            self.assertEqual(stock.in_stock(trio.current_time()), 1)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_no_task_wakes_without_workspaces(self):
        async def main():
            quotas = make_quotas(TrioClock())
            quotas.apply_config(config_of())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(quotas.run)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(
                    trio.lowlevel.current_statistics().seconds_to_next_deadline, inf
                )
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_two_instances_share_a_limit(self):
        async def check(platform):
            entries = [await platform.add_entry() for _ in range(2)]
            tables = [entry.instances for entry in entries]
            await wait_for(
                lambda: all(len(each.quota_view().pool_ids) == 2 for each in tables)
            )
            for entry in entries:
                entry.quotas.apply_config(config_of(a=limited(5, 5), b=limited(5, 5)))

            def shares():
                pools = [entry.quotas.pool for entry in entries]
                return sum(
                    slot.share
                    for pool in pools
                    for slot in pool.slot_by_number.values()
                )

            await wait_for(lambda: shares() > SLOTS - 0.01)
            await trio.sleep(0.5)
            for workspace in ('a', 'b'):
                for entry in entries:
                    self.assertIsNone(await entry.quotas.acquire(call_of(workspace)))
            sent = [entry.quotas.counts.sent for entry in entries]
            self.assertTrue(all(sent), sent)

        on_platform(check)


class LogTest(unittest.TestCase):
    """Log lines about refusals are bounded."""

    def test_a_line_for_each_of_the_largest_workspaces(self):
        names = [f'w{number}' for number in range(60)]
        fleet = make_fleet(
            config_of(**{name: limited(0.01) for name in names}), others=0
        )
        node = fleet.node_by_name[home_names()[0]]
        for _ in range(40):
            for name in names:
                node.request(name)
            fleet.run(0.02)
        with self.assertLogs('quotas', 'INFO') as logs:
            node.quotas.log_refusals()
        self.assertEqual(len(logs.output), MAX_LINES + 1)
        self.assertIn('workspace=w', logs.output[0])
        self.assertIn('workspaces=40', logs.output[-1])
        with self.assertNoLogs('quotas', 'INFO'):
            node.quotas.log_refusals()

    def test_limits_in_force_are_logged_without_keys(self):
        fleet = make_fleet(config_of(a=limited(1)), others=0)
        with self.assertLogs('quotas', 'INFO') as logs:
            fleet.node_by_name[home_names()[0]].quotas.apply_config(
                config_of(a=limited(2, 3))
            )
        self.assertIn('workspace=a limit=(2, 3) was=(1, 0.0)', logs.output[0])


class MetricsTest(unittest.TestCase):
    """The number of labels is bounded."""

    def test_small_workspaces_share_a_label(self):
        names = [f'w{number}' for number in range(60)]
        fleet = make_fleet(config_of(**{name: limited(0) for name in names}), others=0)
        quotas = fleet.node_by_name[home_names()[0]].quotas
        for number, name in enumerate(names):
            quotas.counts.granted[name] += number + 1
        families = {each.name: each for each in QuotaMetrics(quotas).families()}
        samples = families['catkinslip_quota_requests_total'].samples
        self.assertEqual(len(samples), MAX_LABELS + 1)
        self.assertIn('other', [each.labels[0] for each in samples])
        self.assertEqual(sum(each.value for each in samples), 60 * 61 / 2)

    def test_no_families_without_workspaces(self):
        fleet = make_fleet(config_of(), others=0)
        quotas = fleet.node_by_name[home_names()[0]].quotas
        self.assertEqual(list(QuotaMetrics(quotas).families()), [])


class SettingsTest(unittest.TestCase):
    """The bounds are read from the platform's settings, and checked."""

    def read(self, bounds: str):
        return read_settings(settings_text(bounds=bounds))

    def test_defaults(self):
        settings = self.read('').unwrap()
        self.assertEqual(settings.quota_bounds, QuotaBounds(5.0, 0.1, 20.0))

    def test_bounds(self):
        match self.read(',"quota_window_s=4","quota_excess=0.2","quota_slack=7"'):
            case Success(settings):
                self.assertEqual(settings.quota_bounds, QuotaBounds(4.0, 0.2, 7.0))
            case failure:
                self.fail(failure)

    def test_wrong_bounds_name_the_setting(self):
        for name, value in (
            ('quota_window_s', '0'),
            ('quota_window_s', 'nan'),
            ('quota_excess', '-0.1'),
            ('quota_slack', 'inf'),
        ):
            with self.subTest(name=name, value=value):
                match self.read(f',"{name}={value}"'):
                    case Failure(mistakes):
                        self.assertIn(name, mistakes[0])
                    case success:
                        self.fail(success)

    def test_switch(self):
        settings = self.read('').unwrap()
        self.assertIsNone(
            entry_settings(settings, {QUOTAS_VARIABLE: 'off'}).quota_bounds
        )
        self.assertIsNotNone(entry_settings(settings, {}).quota_bounds)
        with self.assertLogs('lifecycle', 'ERROR') as logs:
            changed = entry_settings(settings, {QUOTAS_VARIABLE: 'no'})
        self.assertIsNotNone(changed.quota_bounds)
        self.assertIn("CATKINSLIP_QUOTAS must be on or off, not 'no'", logs.output[0])

    def test_quotas_are_turned_off_and_on_while_running(self):
        fleet = make_fleet(config_of(a=limited(0.01)), others=0)
        quotas = fleet.node_by_name[home_names()[0]].quotas
        quotas.apply_bounds(None)
        self.assertEqual(quotas.decide('a', trio.Event), 0.0)
        self.assertFalse(quotas.is_active.is_set())
        quotas.apply_bounds(BOUNDS)
        self.assertTrue(quotas.is_active.is_set())
        self.assertIn('a', quotas.holder.stock_by_name)

    def test_bounds_that_allow_nothing_are_kept(self):
        limit = QuotaBounds(1.0, 0.0, 0.0).limit(0.1, 0)
        self.assertEqual((limit.cap, limit.start_level), (0.1, 0.0))


def wire(message: dict) -> dict:
    """Return a message as it arrives."""
    return orjson.loads(orjson.dumps(message))


def pool_name(fleet) -> str:
    """Return the pool of the workspace a."""
    quotas = fleet.node_by_name[home_names()[0]].quotas
    return quotas.choice.pool_by_slot[slot_of(key_of('a'))]


def make_quotas(clock, pool_ids: tuple[str, ...] = ('i-1',)) -> FleetQuotas:
    """Return the quotas of a lone instance."""

    def view() -> FleetView:
        return FleetView(1.0, True, pool_ids, frozenset())

    return FleetQuotas(
        'i-1',
        BOUNDS,
        clock,
        Random(1),
        view,
        lambda name: Address(name, 1),
        lambda data, addresses: None,
    )

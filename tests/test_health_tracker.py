"""Reachability, drain states and reports of peers in one instance."""

import unittest
from random import Random

from returns.pipeline import is_successful

from catkinslip.clock import Clock
from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, Document, converter
from catkinslip.health.budget import KEPT_SECONDS, ProbeLimits
from catkinslip.health.drain import CLOSE_HOLD_SECONDS, RETURN_HOLD_SECONDS
from catkinslip.health.prober import Prober
from catkinslip.health.reachability import MAX_PAUSE_SECONDS, Reachability
from catkinslip.health.signals import CLOSES_IN_A_ROW
from catkinslip.health.topics import health_topics
from catkinslip.health.tracker import HealthTracker, make_tracker
from catkinslip.membership.members import Member, MemberTable
from catkinslip.models import BackendKey
from catkinslip.proxy.pool import BackendPool
from catkinslip.routing.base import LoadReport
from catkinslip.routing.directory import Directory
from catkinslip.routing.policies import LeastInFlight
from tests.builders import ManualClock, document_plain

KEY = BackendKey('limits-1', '10.0.0.1:80')
ADDRESSES = {'limits-1': '10.0.0.1:80', 'limits-2': '10.0.0.2:80'}
DRAIN = [(b'catkinslip-drain', b'true')]


def tracker(clock: Clock, addresses: dict | None = None, **fields) -> HealthTracker:
    directory = Directory(lambda: LeastInFlight(Random(1)))
    made = make_tracker(directory, clock, Random(1), max_instances=4)
    plain = document_plain(addresses or ADDRESSES, **fields)
    config = AcceptedConfig(document=converter.structure(plain, Document))
    directory.update(config)
    made.update(config)
    return made


def choose(made: HealthTracker, now: float) -> str | None:
    choice = made.directory.router_by_service['limits'].choose(now)
    return choice.backend_id if choice else None


class ProbeBudgetTest(unittest.TestCase):
    """Old probes, where a server may be probed only once in hours."""

    def test_last_probe_of_a_registered_server_is_kept_until_the_next_may_follow(self):
        clock = ManualClock()
        made = tracker(clock)
        limits = ProbeLimits(0.0005, calls_per_probe=1, max_instances=4)
        clock.now += made.budget.interval(limits)
        made.budget.end_probe('10.0.0.1:80', clock.now)
        made.budget.end_probe('10.0.0.9:80', clock.now)
        clock.now += KEPT_SECONDS + 1
        made.update(AcceptedConfig(document=made.document))
        self.assertLess(
            made.budget.allowed_seconds('10.0.0.1:80', limits, clock.now), 0
        )
        self.assertEqual(list(made.budget.ended_at_by_address), ['10.0.0.1:80'])


class ReachabilityTest(unittest.TestCase):
    """A server that refuses connections is tried once in a while."""

    def test_pauses_grow_within_their_jitter_and_end_by_an_answer(self):
        state, now = Reachability(Random(1)), 0.0
        for failures in range(1, 9):
            pause = state.record_refusal(KEY, now)
            longest = min(0.5 * 2 ** (failures - 1), MAX_PAUSE_SECONDS)
            self.assertTrue(longest / 2 <= pause <= longest)
            self.assertTrue(state.is_avoided(KEY, now + pause * 0.99))
            now += pause
            self.assertFalse(state.is_avoided(KEY, now))
        self.assertTrue(state.record_connection(KEY))
        self.assertFalse(state.record_connection(KEY))

    def test_one_trial_at_a_time_which_never_shortens_a_pause(self):
        state = Reachability(Random(1))
        pause = max(state.record_refusal(KEY, 0.0) for _ in range(6))
        state.start_trial(KEY, 0.0)
        self.assertTrue(state.is_avoided(KEY, pause / 2))
        state.start_trial(KEY, pause)
        self.assertTrue(state.is_avoided(KEY, pause))


class HealthPathTest(unittest.TestCase):
    """A probe's path is checked before it is accepted."""

    def test_only_a_path_is_accepted(self):
        for path, accepted in (
            ('/health?deep=1', True),
            ('health', False),
            ('/ ', False),
        ):
            plain = document_plain(ADDRESSES, health_path=path)
            with self.subTest(path):
                self.assertEqual(is_successful(read_document(plain)), accepted)


class TrackerTest(unittest.TestCase):
    """Signals and reports of one instance affect its choice and reach its peers."""

    def setUp(self):
        self.clock = ManualClock()
        self.first, self.second = tracker(self.clock), tracker(self.clock)

    def exchange(self, sender: HealthTracker, receiver: HealthTracker) -> None:
        """Send the updates that one instance has for another one's digest."""
        topics = zip(health_topics(sender), health_topics(receiver), strict=True)
        for source, target in topics:
            updates = source.updates_for(target.digest())
            if updates is not None:
                target.receive(updates)

    def test_drain_state_reaches_a_peer_later_and_a_return_too(self):
        self.first.record_answer('limits-1', DRAIN, None)
        self.clock.now += 60
        self.exchange(self.first, self.second)
        self.assertEqual(choose(self.second, self.clock.now), 'limits-2')
        self.first.drain.prove_return(KEY, self.clock.now, self.clock.now)
        self.first.apply_changes()
        self.exchange(self.second, self.first)
        self.assertEqual(self.first.leaving_ids(), [])
        self.exchange(self.first, self.second)
        self.assertEqual(self.second.leaving_ids(), [])

    def test_the_last_server_gets_no_work_and_another_address_is_another_server(self):
        only = tracker(self.clock, {'limits-1': KEY.address})
        only.record_answer('limits-1', DRAIN, None)
        self.assertIsNone(choose(only, self.clock.now))
        plain = document_plain({'limits-1': '10.0.0.9:80'})
        config = AcceptedConfig(document=converter.structure(plain, Document))
        only.directory.update(config)
        only.update(config)
        self.assertEqual(choose(only, self.clock.now), 'limits-1')

    def test_a_server_that_refuses_connections_is_the_last_resort(self):
        router = self.first.directory.router_by_service['limits']
        self.first.record_refusal('limits-1')
        chosen = {self.first.choose(router, []).backend_id for _ in range(20)}
        self.assertEqual(chosen, {'limits-2'})
        self.assertEqual(self.first.choose(router, ['limits-2']).backend_id, 'limits-1')
        self.clock.now += MAX_PAUSE_SECONDS
        chosen = [self.first.choose(router, []).backend_id for _ in range(20)]
        self.assertEqual(chosen.count('limits-1'), 1)

    def test_a_new_configuration_keeps_a_server_out(self):
        self.first.record_answer('limits-1', DRAIN, None)
        plain = document_plain(ADDRESSES, slots=3)
        config = AcceptedConfig(document=converter.structure(plain, Document))
        self.first.directory.update(config)
        self.first.update(config)
        self.assertEqual(choose(self.first, self.clock.now), 'limits-2')

    def test_a_server_that_now_always_closes_is_not_out_for_ever(self):
        close = [(b'connection', b'close')]
        self.first.record_answer('limits-1', [], None)
        for _ in range(CLOSES_IN_A_ROW):
            self.first.record_answer('limits-1', close, None)
        self.assertEqual(self.first.leaving_ids(), ['limits-1'])
        self.clock.now += CLOSE_HOLD_SECONDS
        self.first.record_answer('limits-1', close, None)
        self.first.drain.prove_return(KEY, self.clock.now, self.clock.now)
        self.first.apply_changes()
        self.first.record_answer('limits-1', close, None)
        self.assertEqual(self.first.leaving_ids(), [])

    def test_malformed_update_is_a_value_error_and_changes_nothing(self):
        drain, load = health_topics(self.first)
        entry = {'backend_id': 'limits-1', 'address': KEY.address, 'age': 0.0}
        report = {**entry, 'in_flight': 1.0, 'speed': None}
        signed = {**entry, 'generation': 1, 'signs': ['own']}
        bad = [
            (drain, [{**signed, 'generation': -1}]),
            (drain, [{**signed, 'signs': ['gone']}]),
            (drain, [{**signed, 'age': float('nan')}]),
            (drain, 7),
            (load, [{**report, 'in_flight': float('inf')}]),
            (load, [{**report, 'age': -5.0}]),
            (load, [{**report, 'speed': float('nan')}]),
            (load, [{}]),
        ]
        for topic, updates in bad:
            with self.subTest(updates=updates), self.assertRaises(ValueError):
                topic.receive(updates)
        self.assertEqual(self.first.leaving_ids(), [])

    def test_a_report_of_a_peer_keeps_local_selections_and_its_age(self):
        self.first.record_answer('limits-1', [], LoadReport(7.0))
        self.clock.now += 1
        router = self.second.directory.router_by_service['limits']
        load = router.load_by_id['limits-1']
        load.selections_since_report = 3
        self.exchange(self.first, self.second)
        self.assertEqual(load.report, LoadReport(7.0))
        self.assertEqual(load.reported_at, self.clock.now - 1)
        self.assertEqual(load.selections_since_report, 3)
        router.apply_peer_report(
            'limits-1', LoadReport(4.0), self.clock.now, selections_before=2
        )
        self.assertEqual(load.selections_since_report, 1)
        router.apply_peer_report('limits-1', LoadReport(9.0), self.clock.now - 2)
        self.assertEqual(load.report, LoadReport(4.0))

    def test_one_instance_at_a_time_probes_a_silent_server(self):
        members = [
            Member(f'entry-{number}', 1, 'zone-a', '127.0.0.1:1', '127.0.0.1:2')
            for number in range(4)
        ]
        probers = []
        for own in members:
            made = tracker(self.clock)
            for _ in range(100):
                made.count_call('limits')
            by_id = {each.member_id: each for each in members if each is not own}
            probers.append(
                Prober(made, MemberTable(own, by_id), BackendPool(), self.clock)
            )
        self.clock.now += 4
        due = [each for prober in probers for each in prober.due(self.clock.now, 0, 1)]
        self.assertEqual(sorted(each.key.backend_id for each in due), list(ADDRESSES))

    def test_probes_are_due_for_silent_servers_and_for_proofs(self):
        own = Member('entry-1', 1, 'zone-a', '127.0.0.1:1', '127.0.0.1:2')
        for _ in range(100):
            self.first.count_call('limits')
        prober = Prober(self.first, MemberTable(own), BackendPool(), self.clock)
        self.assertEqual(prober.due(self.clock.now, 0, 1), [])
        self.clock.now += 3
        self.assertEqual(prober.due(self.clock.now, 0, 1), [])
        self.clock.now += 1
        self.first.record_answer('limits-2', [], None)
        self.assertEqual([each.key for each in prober.due(self.clock.now, 0, 1)], [KEY])
        self.first.record_answer('limits-1', DRAIN, None)
        self.clock.now += RETURN_HOLD_SECONDS - 1
        due = {
            each.key: each.proves_return for each in prober.due(self.clock.now, 0, 1)
        }
        self.assertNotIn(KEY, due)
        self.clock.now += 1
        due = {
            each.key: each.proves_return for each in prober.due(self.clock.now, 0, 1)
        }
        self.assertTrue(due[KEY])

"""The registry of requests during which servers crashed, without any I/O."""

import unittest

from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.dropped import MAX_REQUESTS, DroppedCrashes
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.registry import (
    MAX_RETRY_SECONDS,
    MAX_SERVERS,
    MAX_SUSPECTS,
    CrashRegistry,
)
from catkinslip.crashes.suspect import (
    SUSPECT_SECONDS,
    TRIAL_SECONDS,
    VERDICT_SECONDS,
    Verdict,
)

KEY = RequestKey('t1', 'c1')
OTHER = RequestKey('t1', 'c2')
NOW = 1000.0


def registry_with(crashes: int, query: str = 'q') -> CrashRegistry:
    """Return a registry in which servers crashed during one request."""
    registry = CrashRegistry()
    for number in range(crashes):
        registry.record_crash(KEY, query, f'i-{number}/1', NOW)
    return registry


def stored(crashes: int, revision: int, trials: int = 0) -> CrashRecord:
    """Return a record as the store holds it, with some crashed servers."""
    return CrashRecord(
        KEY, {f'i-{number}/1': 'q' for number in range(crashes)}, trials, revision
    )


class VerdictTest(unittest.TestCase):
    """Verdict on the next copy of a request."""

    def verdict(self, registry, query='q', now=NOW, key=KEY):
        return registry.decide(key, query, now).verdict

    def test_few_crashes_leave_one_server_and_three_none(self):
        for crashes, verdict in (
            (0, Verdict.FREE),
            (1, Verdict.ALONE),
            (2, Verdict.ALONE),
            (3, Verdict.REFUSED),
        ):
            self.assertEqual(self.verdict(registry_with(crashes)), verdict)

    def test_other_content_for_the_same_target_is_free(self):
        self.assertEqual(self.verdict(registry_with(3), key=OTHER), Verdict.FREE)

    def test_other_query_is_refused_only_where_several_crashed_servers(self):
        registry = registry_with(3)
        self.assertEqual(self.verdict(registry, 'other'), Verdict.ALONE)
        registry = registry_with(2)
        registry.record_crash(KEY, 'other', 'i-9/1', NOW)
        self.assertEqual(self.verdict(registry, 'third'), Verdict.REFUSED)

    def test_one_crash_that_is_reported_often_counts_once(self):
        registry = CrashRegistry()
        for _ in range(5):
            registry.record_crash(KEY, 'q', 'i-1/1', NOW)
            registry.apply_peer_report(KEY, {'i-1/1': 'q'}, NOW, 'edge-2')
        self.assertEqual(self.verdict(registry), Verdict.ALONE)

    def test_restarted_server_counts_again(self):
        registry = CrashRegistry()
        for incarnation in range(3):
            registry.record_crash(KEY, 'q', f'i-1/{incarnation}', NOW)
        self.assertEqual(self.verdict(registry), Verdict.REFUSED)

    def test_answer_drops_the_crashes_with_its_query(self):
        registry = registry_with(2)
        registry.record_answer(KEY, 'q')
        self.assertEqual(self.verdict(registry), Verdict.FREE)
        self.assertFalse(registry.count_by_target)

    def test_answer_to_a_copy_in_flight_ends_a_verdict(self):
        registry = registry_with(3)
        self.assertEqual(self.verdict(registry), Verdict.REFUSED)
        registry.record_answer(KEY, 'q')
        self.assertEqual(self.verdict(registry), Verdict.FREE)

    def test_late_report_does_not_restore_what_an_answer_dropped(self):
        # A peer's second datagram about the last crash came 28 ms after the answer to
        # a trial; it restored the verdict, which was then written to the store.
        registry = registry_with(3)
        registry.mark_saved(stored(3, revision=1), NOW)
        registry.record_answer(KEY, 'q')
        registry.apply_peer_report(KEY, {'i-0/1': 'q', 'i-2/1': 'q'}, NOW, 'peer')
        self.assertEqual(registry.suspect_by_key[KEY].record.query_by_server, {})
        registry.mark_deleted(KEY)
        registry.apply_peer_report(KEY, {'i-0/1': 'q', 'i-2/1': 'q'}, NOW, 'peer')
        self.assertEqual(self.verdict(registry), Verdict.FREE)

    def test_peer_that_has_not_read_a_removal_does_not_restore_the_record(self):
        # Two instances whose listings differ in time otherwise restore it in turn.
        registry = CrashRegistry()
        registry.apply_listing({'one': stored(3, revision=1)}, NOW)
        registry.apply_listing({}, NOW)
        registry.apply_peer_report(KEY, {'i-0/1': 'q'}, NOW, 'peer')
        self.assertEqual(self.verdict(registry), Verdict.FREE)

    def test_new_crashes_count_after_an_answer(self):
        registry = registry_with(3)
        registry.record_answer(KEY, 'q')
        registry.apply_peer_report(KEY, {'i-7/1': 'q'}, NOW, 'peer')
        registry.record_crash(KEY, 'q', 'i-0/1', NOW)
        registry.apply_listing({'one': stored(2, revision=9)}, NOW)
        servers = registry.suspect_by_key[KEY].record.query_by_server
        self.assertEqual(sorted(servers), ['i-0/1', 'i-1/1', 'i-7/1'])

    def test_memory_of_dropped_crashes_is_bounded(self):
        dropped = DroppedCrashes()
        for number in range(2 * MAX_REQUESTS):
            dropped.add(RequestKey('t', str(number)), ['i-0/1'])
        self.assertEqual(len(dropped.servers_by_key), MAX_REQUESTS)

    def test_answer_to_another_query_clears_nothing(self):
        registry = registry_with(2)
        registry.record_answer(KEY, 'other')
        registry.record_crash(KEY, 'q', 'i-9/1', NOW)
        self.assertEqual(self.verdict(registry), Verdict.REFUSED)

    def test_trials_are_two_and_then_none(self):
        registry = registry_with(3)
        now = NOW
        for trials, seconds in enumerate(TRIAL_SECONDS):
            self.assertEqual(registry.decide(KEY, 'q', now).retry_after, seconds)
            now += seconds
            self.assertEqual(self.verdict(registry, now=now), Verdict.TRIAL)
            registry.mark_saved(stored(3, revision=trials + 1, trials=trials + 1), now)
            self.assertEqual(self.verdict(registry, now=now), Verdict.REFUSED)
        last = registry.decide(KEY, 'q', now + 1e6)
        self.assertEqual(last.verdict, Verdict.REFUSED)
        self.assertEqual(last.retry_after, MAX_RETRY_SECONDS)


class StoreTest(unittest.TestCase):
    """Changes that the registry reads from the store and writes to it."""

    def test_first_crash_is_not_stored_and_the_second_is(self):
        registry = registry_with(1)
        self.assertEqual(registry.list_unsaved(), [])
        registry.record_crash(KEY, 'q', 'i-1/1', NOW)
        self.assertEqual(len(registry.list_unsaved()), 1)
        registry.mark_saved(stored(2, revision=5), NOW)
        self.assertEqual(registry.list_unsaved(), [])

    def test_request_with_most_crashes_is_stored_first(self):
        registry = registry_with(3)
        for number in range(2):
            registry.record_crash(OTHER, 'q', f'i-{number}/1', NOW)
        keys = [suspect.record.key for suspect in registry.list_unsaved()]
        self.assertEqual(keys, [KEY, OTHER])

    def test_records_of_the_store_apply_at_once(self):
        registry = CrashRegistry()
        registry.apply_listing({'a': stored(3, revision=4)}, NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)

    def test_older_record_does_not_bring_back_a_trial(self):
        registry = CrashRegistry()
        registry.apply_record(stored(3, revision=7, trials=2), NOW)
        registry.apply_record(stored(3, revision=4, trials=0), NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW + 1e5).verdict, Verdict.REFUSED)

    def test_removed_record_is_forgotten_except_for_newer_crashes(self):
        registry = CrashRegistry()
        registry.apply_listing({'a': stored(3, revision=4)}, NOW)
        registry.record_crash(KEY, 'q', 'i-9/1', NOW)
        registry.apply_listing({}, NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.ALONE)

    def test_listing_from_before_the_write_removes_nothing(self):
        registry = registry_with(3)
        registry.mark_saved(stored(3, revision=9), NOW)
        registry.apply_listing({}, NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)
        registry.apply_listing({'a': stored(3, revision=9)}, NOW)
        registry.apply_listing({}, NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.FREE)

    def test_unsaved_crash_outlives_a_record_without_it(self):
        registry = registry_with(2)
        registry.record_crash(KEY, 'q', 'i-9/1', NOW)
        registry.apply_record(stored(2, revision=4), NOW)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)

    def test_answer_to_a_stored_request_is_written_to_the_store(self):
        registry = CrashRegistry()
        registry.apply_listing({'a': stored(2, revision=4)}, NOW)
        registry.record_answer(KEY, 'q')
        (suspect,) = registry.list_unsaved()
        self.assertFalse(suspect.record.query_by_server)
        registry.mark_deleted(KEY)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.FREE)


class MemoryTest(unittest.TestCase):
    """Bounds of the registry, and expiry of its suspects."""

    def test_suspects_and_servers_are_bounded_and_the_most_severe_stay(self):
        registry = registry_with(3)
        for number in range(MAX_SUSPECTS + 10):
            registry.record_crash(RequestKey(f'c{number}', 'd'), 'q', 'i-1/1', NOW)
        self.assertEqual(len(registry.suspect_by_key), MAX_SUSPECTS)
        self.assertEqual(len(registry.count_by_target), MAX_SUSPECTS)
        self.assertEqual(registry.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)
        registry = registry_with(MAX_SERVERS + 5)
        self.assertEqual(registry.suspect_by_key[KEY].server_count, MAX_SERVERS)

    def test_suspicion_and_verdict_expire_without_the_request(self):
        for crashes, seconds in ((2, SUSPECT_SECONDS), (3, VERDICT_SECONDS)):
            registry = registry_with(crashes)
            self.assertEqual(registry.remove_expired(NOW + seconds - 1), [])
            self.assertTrue(registry.suspect_by_key)
            registry.remove_expired(NOW + seconds + 1)
            self.assertFalse(registry.suspect_by_key)

    def test_request_that_keeps_coming_stays_refused(self):
        registry = registry_with(3)
        registry.decide(KEY, 'q', NOW + VERDICT_SECONDS)
        registry.remove_expired(NOW + VERDICT_SECONDS + 1)
        self.assertTrue(registry.suspect_by_key)

    def test_stored_record_is_deleted_from_the_store_first(self):
        registry = CrashRegistry()
        registry.apply_listing({'a': stored(3, revision=4)}, NOW)
        (record,) = registry.remove_expired(NOW + VERDICT_SECONDS + 1)
        self.assertEqual(record.key, KEY)
        self.assertTrue(registry.suspect_by_key)

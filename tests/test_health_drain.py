"""Drain states of backend servers: merging, proofs of a return and expiry."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.health.drain import (
    CLOSE_HOLD_SECONDS,
    LIST_HOLD_SECONDS,
    RETURN_HOLD_SECONDS,
    UNPROVED_SECONDS,
    DrainSignal,
    DrainState,
    DrainTable,
)
from catkinslip.health.signals import CLOSES_IN_A_ROW, CloseCounter
from catkinslip.models import BackendKey

KEY = BackendKey('limits-1', '127.0.0.1:7001')
STATES = st.builds(
    DrainState, st.integers(0, 4), st.frozensets(st.sampled_from(DrainSignal))
)
SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)


def leaving_table(*signals: DrainSignal, at: float = 0.0) -> DrainTable:
    table = DrainTable()
    for signal in signals:
        if signal is DrainSignal.LIST:
            table.record_listed(KEY, True, at)
        else:
            table.add_signal(KEY, signal, at)
    return table


class MergeTest(unittest.TestCase):
    """States merge in any order and any number of times; leaving wins."""

    @SETTINGS
    @given(STATES, STATES, STATES)
    def test_merge_is_a_join(self, a, b, c):
        self.assertEqual(a.merge(b), b.merge(a))
        self.assertEqual(a.merge(a), a)
        self.assertEqual(a.merge(b).merge(c), a.merge(b.merge(c)))
        if a.generation == b.generation:
            self.assertEqual(a.merge(b).leaving, a.leaving or b.leaving)

    @SETTINGS
    @given(st.lists(STATES, max_size=6), st.randoms(use_true_random=False))
    def test_tables_with_the_same_states_agree(self, states, random):
        other_order = [*states, *states]
        random.shuffle(other_order)
        tables = [DrainTable(), DrainTable()]
        for table, received in zip(tables, (states, other_order), strict=True):
            for state in received:
                table.merge(KEY, state, 0.0)
        self.assertEqual(tables[0].leaving(), tables[1].leaving())
        self.assertEqual(tables[0].digest(), tables[1].digest())

    @SETTINGS
    @given(st.lists(st.sampled_from(['sign', 'list', 'live', 'prove', 'tell'])))
    def test_only_a_later_proof_overrides_a_signal(self, steps):
        tables = [DrainTable(), DrainTable()]
        signed_at = [-1e9, -1e9]
        proved_at = 0.0
        for now, step in enumerate(steps):
            index = now % 2
            mine, other = tables[index], tables[1 - index]
            if step in ('sign', 'list'):
                signed_at[index] = now
            if step == 'sign':
                mine.add_signal(KEY, DrainSignal.OWN, now)
            elif step in ('list', 'live'):
                mine.record_listed(KEY, step == 'list', now)
            elif step == 'prove':
                was_leaving = mine.is_leaving(KEY)
                mine.prove_return(KEY, now, now)
                if was_leaving and not mine.is_leaving(KEY):
                    proved_at = now
            else:
                for key, held in other.held_by_key.items():
                    mine.merge(key, held.state, now, now - held.changed_at)
            if signed_at[index] >= proved_at and signed_at[index] >= 0:
                self.assertTrue(mine.is_leaving(KEY))


class ReturnTest(unittest.TestCase):
    """Leaving ends by a proof of a return, neither too early nor never."""

    def test_a_probe_sent_within_the_hold_proves_nothing(self):
        table = leaving_table(DrainSignal.OWN)
        table.prove_return(KEY, RETURN_HOLD_SECONDS - 0.1, RETURN_HOLD_SECONDS + 0.1)
        self.assertTrue(table.is_leaving(KEY))
        table.prove_return(KEY, RETURN_HOLD_SECONDS, RETURN_HOLD_SECONDS + 0.1)
        self.assertFalse(table.is_leaving(KEY))

    def test_a_stale_live_entry_of_the_list_overrides_nothing(self):
        table = leaving_table(DrainSignal.LIST)
        table.record_listed(KEY, False, 1.0)
        table.record_listed(KEY, False, LIST_HOLD_SECONDS)
        self.assertFalse(table.accepts_proof(KEY, LIST_HOLD_SECONDS))
        table.record_listed(KEY, True, LIST_HOLD_SECONDS + 0.5)
        table.record_listed(KEY, False, LIST_HOLD_SECONDS + 1)
        self.assertFalse(table.accepts_proof(KEY, 10 * LIST_HOLD_SECONDS))
        table.record_listed(KEY, False, 2 * LIST_HOLD_SECONDS + 1)
        self.assertTrue(table.is_leaving(KEY))
        table.prove_return(KEY, 40.0, 40.1)
        self.assertFalse(table.is_leaving(KEY))

    def test_a_stale_leaving_of_a_peer_does_not_come_back(self):
        table = leaving_table(DrainSignal.OWN)
        stale = table.held_by_key[KEY].state
        table.prove_return(KEY, 6.0, 6.1)
        table.merge(KEY, stale, 7.0)
        self.assertFalse(table.is_leaving(KEY))

    def test_a_return_proved_before_a_local_signal_is_overridden(self):
        for age, leaving in ((8.0, True), (2.0, False)):
            table = leaving_table(DrainSignal.OWN, at=0.0)
            table.merge(KEY, DrainState(7), 4.0, age)
            self.assertEqual(table.is_leaving(KEY), leaving)

    def test_closed_connections_alone_end_without_a_signal_for_a_while(self):
        table = leaving_table(DrainSignal.CLOSE)
        self.assertFalse(table.accepts_proof(KEY, CLOSE_HOLD_SECONDS - 1))
        self.assertTrue(table.accepts_proof(KEY, CLOSE_HOLD_SECONDS))

    def test_a_server_that_leaves_again_soon_is_held_longer(self):
        table = leaving_table(DrainSignal.OWN)
        table.prove_return(KEY, 6.0, 6.0)
        table.add_signal(KEY, DrainSignal.OWN, 7.0)
        self.assertFalse(table.accepts_proof(KEY, 7.0 + RETURN_HOLD_SECONDS))
        self.assertTrue(table.accepts_proof(KEY, 7.0 + 2 * RETURN_HOLD_SECONDS))

    def test_without_probes_leaving_ends_by_time(self):
        table = leaving_table(DrainSignal.OWN)
        table.expire_unproved(KEY, UNPROVED_SECONDS - 1)
        self.assertTrue(table.is_leaving(KEY))
        table.expire_unproved(KEY, UNPROVED_SECONDS)
        self.assertFalse(table.is_leaving(KEY))

    def test_closed_connections_are_a_signal_only_after_kept_ones(self):
        counter = CloseCounter()
        always = [counter.count_answer(KEY, True) for _ in range(9)]
        self.assertNotIn(True, always)
        counter.count_answer(KEY, False)
        begins = [counter.count_answer(KEY, True) for _ in range(CLOSES_IN_A_ROW)]
        self.assertEqual(begins, [*itertools.repeat(False, 2), True])

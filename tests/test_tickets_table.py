"""Tests of keys and of the ticket table, with random runs against its invariants."""

import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from catkinslip.membership.members import Member
from catkinslip.tickets.keys import AnchoredClock, KeyIssuer, key_prefix, parse_key
from catkinslip.tickets.table import (
    MAX_KEPT_BYTES,
    SKEW_ALLOWANCE_SECONDS,
    Admitted,
    AlreadySent,
    EntryState,
    KeptAnswer,
    Refusal,
    Replay,
    TicketTable,
)
from model.replay.tickets import SteppedClock
from tests.builders import ticket_key

LIFETIME = 50.0
CAPACITY = 4
SAME, OTHER = b'same', b'other'
NAMES = strategies.sampled_from('abcdefg')


def new_table(incarnation: int = 7, now: float = 10.0) -> TicketTable:
    return TicketTable('entry-1', incarnation, LIFETIME, CAPACITY, now)


class KeyTest(unittest.TestCase):
    """Keys with a prefix from an address answer, and other keys."""

    def test_prefix_names_home_incarnation_and_expiry(self):
        member = Member('entry.1', 9, 'zone-a', '127.0.0.1:1', '127.0.0.1:2')
        clock = SteppedClock(seconds=100.0)
        prefix = KeyIssuer(AnchoredClock(clock), 50.0).prefix(member)
        self.assertEqual(prefix, key_prefix(member, 150))
        key = parse_key(f'{prefix}.random')
        self.assertEqual(
            (key.member_id, key.incarnation, key.expiry), ('entry.1', 9, 150)
        )

    def test_other_and_malformed_keys_are_not_parsed(self):
        other_formats = ('', 'a', 'ck1', 'ck1.a.1.2', 'ck1.a.1.2.', 'a.b.1.2.r')
        malformed = ('ck1.a.x.2.r', 'ck1..1.2.r', 'ck1.a.-1.2.r', 'ck1.a.1.².r')
        for text in other_formats + malformed:
            self.assertIsNone(parse_key(text), text)
        self.assertIsNone(parse_key('ck1.a.1.2.' + 'r' * 255))


class TableTest(unittest.TestCase):
    """Decisions of the ticket table on one key."""

    def setUp(self):
        self.table = new_table()
        self.key = ticket_key()

    def admit(self, key=None, fingerprint=SAME, now=10.0):
        return self.table.admit(key or self.key, fingerprint, now)

    def test_running_and_unknown_keys_are_not_admitted_again(self):
        self.assertEqual(self.admit(ticket_key(expiry=59)), Admitted())
        key = ticket_key(expiry=59)
        self.assertEqual(self.admit(key), AlreadySent(EntryState.RUNNING, None))
        self.table.mark_unknown(key)
        self.assertEqual(self.admit(key), AlreadySent(EntryState.UNKNOWN, None))
        self.assertEqual(self.admit(key, OTHER), Refusal.OTHER_REQUEST)

    def test_answer_is_kept_within_a_bound(self):
        small = KeptAnswer(200, (), b'small')
        large = KeptAnswer(200, (), bytes(MAX_KEPT_BYTES))
        for name, answer in (('a', large), ('b', small)):
            self.admit(ticket_key(name))
            self.table.mark_answered(ticket_key(name), 200, answer)
        self.assertEqual(self.admit(ticket_key('a')), Replay(large))
        sent = AlreadySent(EntryState.ANSWERED, 200)
        self.assertEqual(self.admit(ticket_key('b')), sent)
        self.admit(now=100.0)
        self.assertEqual(self.table.kept_bytes, 0)

    def test_keys_of_another_incarnation_or_expired_may_have_run(self):
        for key in (ticket_key(incarnation=6), ticket_key(incarnation=8)):
            self.assertEqual(self.admit(key), Refusal.OTHER_INCARNATION)
        self.assertEqual(self.admit(ticket_key(expiry=10)), Refusal.EXPIRED)

    def test_keys_too_far_ahead_and_too_many_are_refused(self):
        last = int(10 + LIFETIME + SKEW_ALLOWANCE_SECONDS)
        self.assertEqual(self.admit(ticket_key(expiry=last + 1)), Refusal.TOO_FAR_AHEAD)
        for number in range(CAPACITY):
            self.assertEqual(self.admit(ticket_key(str(number), last)), Admitted())
        self.assertEqual(self.admit(), Refusal.FULL)
        self.table.release(ticket_key('0', last))
        self.assertEqual(self.admit(), Admitted())


class TableMachine(RuleBasedStateMachine):
    """Random requests with a few keys, with crashes and the passing of time."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.table = new_table()
        self.running = set()
        self.may_have_run = {}

    @rule(name=NAMES, expiry=strategies.integers(0, 200), old=strategies.booleans())
    def send(self, name, expiry, old):
        incarnation = self.table.incarnation - old
        key = ticket_key(name, expiry, incarnation)
        if self.table.admit(key, SAME, self.now) == Admitted():
            assert key.text not in self.may_have_run
            assert key not in self.running
            self.running.add(key)

    @rule(outcome=strategies.sampled_from(('not_run', 'unknown', 'answered')))
    def end(self, outcome):
        if not self.running:
            return
        key = min(self.running, key=lambda each: each.text)
        self.running.remove(key)
        if outcome == 'not_run':
            self.table.release(key)
            return
        self.may_have_run[key.text] = key
        if outcome == 'unknown':
            self.table.mark_unknown(key)
        else:
            self.table.mark_answered(key, 200, KeptAnswer(200, (), b'x'))

    @rule(seconds=strategies.floats(0, 30))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def crash(self):
        self.may_have_run.update({key.text: key for key in self.running})
        self.running.clear()
        self.table = new_table(self.table.incarnation + 1, self.now)

    @invariant()
    def table_is_bounded_and_consistent(self):
        table = self.table
        assert len(table.entry_by_key) <= CAPACITY
        indexed = set().union(*table.keys_by_expiry.values())
        assert indexed == set(table.entry_by_key)
        answers = [entry.answer for entry in table.entry_by_key.values()]
        assert table.kept_bytes == sum(each.size() for each in answers if each)


TableRunsTest = TableMachine.TestCase
TableRunsTest.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)

"""Tests of at-most-once forwarding: local runs, forwarding to the home, outcomes."""

import unittest

import trio
import trio.testing

from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import Member
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.wire import server_wire
from tests.builders import ticket_key
from tests.ticket_builders import HOME, OWN, ScriptedForwarder, new_gate


class GateTest(unittest.TestCase):
    """The at-most-once forwarder of one instance before a scripted forwarder."""

    def setUp(self):
        self.forwarder = ScriptedForwarder()
        self.gate = new_gate(self.forwarder)
        self.clock = self.gate.home_forwarder.clock
        self.members = self.gate.members
        expiry = int(self.gate.clock.now()) + 60
        own = (expiry, OWN.incarnation, OWN.member_id)
        self.own_key = ticket_key('a', *own).text
        self.other_own_key = ticket_key('b', *own).text
        self.home_key = ticket_key('a', expiry, HOME.incarnation, HOME.member_id).text

    def forward(self, key: str = '', path: bytes = b'/claim', **fields) -> Outcome:
        return trio.run(self.forward_async, key, path, fields)

    async def forward_async(self, key: str, path: bytes, fields: dict) -> Outcome:
        headers = [(b'host', b'claims')]
        if key:
            headers.append((b'idempotency-key', key.encode()))
        headers += fields.pop('headers', [])
        values = {
            'request_id': 'r',
            'service': 'claims',
            'method': b'POST',
            'target': path,
            'headers': headers,
            'body': b'claim',
            'repeatable': False,
            'deadline': self.clock.monotonic() + 5,
        }
        stream, self.caller = trio.testing.memory_stream_pair()
        wire = server_wire(stream)
        wire.codec.receive_data(b'POST / HTTP/1.1\r\nHost: a\r\n\r\n')
        wire.codec.next_event()
        wire.codec.next_event()
        return await self.gate.forward(Call(**{**values, **fields}), wire)

    def test_key_of_an_unreachable_or_gone_home_is_unknown_and_not_run(self):
        unreachable = self.forward(self.home_key)
        self.assertEqual(unreachable.reason, Reason.HOME_UNREACHABLE)
        passed = self.forward(self.home_key, headers=[(b'catkinslip-passed-by', b'x')])
        self.members.merge(Member('entry-1', 8, 'zone-a', '127.0.0.1:1', '127.0.0.1:1'))
        restarted = self.forward(self.home_key)
        self.members.remove('entry-1')
        for outcome in (passed, restarted, self.forward(self.home_key)):
            self.assertEqual(outcome, Unknown(Reason.HOME_GONE))
        self.assertEqual(self.forwarder.calls, [])

    def test_request_past_its_deadline_is_never_passed_home(self):
        outcome = self.forward(self.home_key, deadline=self.clock.monotonic() - 1)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.forwarder.calls, [])

    def test_second_sending_gets_the_kept_answer_or_its_status(self):
        self.assertEqual(self.forward(self.own_key), Answered(201))
        self.assertEqual(self.forward(self.own_key), Answered(201))
        other = self.forward(self.own_key, body=b'other')
        self.assertEqual(other, NotRun(Reason.KEY_OF_OTHER_REQUEST))
        self.assertEqual(len(self.forwarder.calls), 1)
        self.forwarder.answers = False
        self.forward(self.other_own_key)
        repeated = self.forward(self.other_own_key)
        self.assertEqual(repeated, Unknown(Reason.ALREADY_SENT, 'answered 201'))

    def test_cancelled_request_may_have_run(self):
        self.forwarder.outcome = None

        async def cancel():
            with trio.move_on_after(0.01):
                await self.forward_async(self.own_key, b'/claim', {})

        trio.run(cancel)
        self.forwarder.outcome = Answered(201)
        self.assertEqual(self.forward(self.own_key).reason, Reason.ALREADY_SENT)
        self.assertEqual(len(self.forwarder.calls), 1)

    def test_late_request_is_not_run_and_may_run_again(self):
        late = self.forward(self.own_key, deadline=self.clock.monotonic() - 1)
        self.assertEqual(late, NotRun(Reason.TOO_LATE))
        self.assertEqual(self.forward(self.own_key), Answered(201))

    def test_recorded_key_is_released_only_after_not_run(self):
        for outcome in (NotRun(Reason.SHED), Unknown(Reason.BROKEN)):
            self.forwarder.outcome = outcome
            self.assertEqual(self.forward('own', b'/recorded'), outcome)
        again = self.forward('own', b'/recorded')
        self.assertEqual(again, Unknown(Reason.ALREADY_SENT))
        self.assertEqual(len(self.forwarder.calls), 2)

    def test_rules_decide_on_keys_of_the_callers_own(self):
        refused = {
            ('', b'/recorded'): NotRun(Reason.KEY_REQUIRED),
            ('own', b'/claim'): NotRun(Reason.KEY_NOT_ACCEPTED),
        }
        for (key, path), outcome in refused.items():
            self.assertEqual(self.forward(key, path), outcome)
        self.assertEqual(self.forwarder.calls, [])
        self.assertEqual(self.forward(), Answered(201))
        self.assertEqual(self.forward('own', repeatable=True), Answered(201))
        self.gate.config = ConfigHolder()
        self.assertEqual(self.forward('own').reason, Reason.RECORD_UNAVAILABLE)

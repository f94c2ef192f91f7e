"""Tests of at-most-once forwarding: local runs, forwarding to the home, outcomes."""

import unittest
from random import Random

import h11
import trio
import trio.testing
from attrs import Factory, define

from catkinslip.clock import SystemClock
from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import Member, MemberTable
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import server_wire
from catkinslip.store.embedded import EmbeddedStore
from catkinslip.tickets.gate import AtMostOnceForwarder
from catkinslip.tickets.keys import AnchoredClock
from catkinslip.tickets.passing import HomeForwarder
from catkinslip.tickets.records import PlatformRecords
from catkinslip.tickets.table import TicketTable
from tests.builders import document_of, document_plain, ticket_key

OWN = Member('entry-2', 3, 'zone-a', '127.0.0.1:1', '127.0.0.1:1')
#: No process listens on port 1, so this home is unreachable.
HOME = Member('entry-1', 7, 'zone-a', '127.0.0.1:1', '127.0.0.1:1')
RULES = [
    {'service': '*', 'path': path, 'methods': ['POST'], 'repeatable': False, **more}
    for path, more in (('/recorded', {'record': 'platform'}), ('*', {}))
]


@define
class ScriptedForwarder:
    """A forwarder that records calls and ends each with a set outcome."""

    outcome: Outcome = Answered(201)
    answers: bool = True
    calls: list[Call] = Factory(list)

    async def forward(self, call, caller):
        self.calls.append(call)
        if self.outcome is None:
            await trio.sleep_forever()
        if self.answers and isinstance(self.outcome, Answered):
            headers = [('content-length', '2'), ('connection', 'close')]
            response = h11.Response(status_code=201, headers=headers)
            await caller.send(response, h11.Data(data=b'ok'), h11.EndOfMessage())
        return self.outcome


class GateTest(unittest.TestCase):
    """The at-most-once forwarder of one instance before a scripted forwarder."""

    def setUp(self):
        self.clock = SystemClock()
        anchored = AnchoredClock(self.clock)
        expiry = int(anchored.now()) + 60
        own = (expiry, OWN.incarnation, OWN.member_id)
        self.own_key = ticket_key('a', *own).text
        self.other_own_key = ticket_key('b', *own).text
        self.home_key = ticket_key('a', expiry, HOME.incarnation, HOME.member_id).text
        config = ConfigHolder()
        plain = document_plain({}, 'claims')
        plain['rules']['requests'] = RULES
        version = ConfigVersion(0, 1)
        config.offer(AcceptedConfig(version, 'change', 'ana', document_of(plain)))
        self.forwarder = ScriptedForwarder()
        self.store = EmbeddedStore()
        self.members = MemberTable(OWN)
        self.members.merge(HOME)
        self.gate = AtMostOnceForwarder(
            forwarder=self.forwarder,
            table=TicketTable('entry-2', 3, 60.0, 10, anchored.now()),
            records=PlatformRecords(self.store, Random(1)),
            home_forwarder=HomeForwarder('entry-2', BackendPool(), self.clock),
            config=config,
            members=self.members,
            clock=anchored,
        )

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

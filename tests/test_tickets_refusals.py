"""Tests of what refusals tell callers that repeat a request with a key."""

import unittest

import trio

from catkinslip.config.holder import ConfigHolder
from catkinslip.proxy.outcomes import NotRun, Reason
from tests.builders import ticket_key
from tests.ticket_builders import (
    HOME,
    OWN,
    ScriptedForwarder,
    exchange,
    keyed_server,
    new_gate,
    offer_rules,
)
from tests.workspace_builders import ACME, KEY, NEW_KEY

HEAD = b'%s %s HTTP/1.1\r\nHost: claims\r\n%s\r\n'
SHORT_SECONDS = 0.01
UNKNOWN = b'catkinslip-outcome: unknown'
NOT_RUN = b'catkinslip-outcome: not-run'


def key_of(member, name: str = 'a') -> str:
    """Return a key whose home is a member, valid for a minute."""
    expiry = int(new_gate(ScriptedForwarder()).clock.now()) + 60
    return ticket_key(name, expiry, member.incarnation, member.member_id).text


def post(key: str, *lines: str, path: str = '/claim', body: bytes = b'claim') -> bytes:
    """Return the bytes of a request."""
    own = [f'Idempotency-Key: {key}'] if key else []
    if not any('ength:' in line for line in lines):
        own.append(f'Content-Length: {len(body)}')
    head = ''.join(f'{line}\r\n' for line in (*own, *lines)).encode()
    return HEAD % (b'POST', path.encode(), head) + body


class RefusalTest(unittest.TestCase):
    """Refusals of repeated requests, by an instance that is the home of some keys."""

    def setUp(self):
        self.forwarder = ScriptedForwarder()
        self.gate = new_gate(self.forwarder)

    def send(self, data: bytes, ends: bool = True, **limits: object) -> bytes:
        server = keyed_server(self.gate, **limits)
        return trio.run(exchange, server, data, ends)

    def run_once(self, key: str, *lines: str, **fields) -> None:
        """Run a first sending of a key."""
        self.assertIn(b' 201 ', self.send(post(key, *lines, **fields)))
        self.assertEqual(len(self.forwarder.calls), 1)

    def assert_refused(self, received: bytes, status: int, outcome: bytes) -> None:
        self.assertEqual(received.split(b' ', 2)[1], b'%d' % status, received)
        self.assertIn(outcome, received)

    def test_late_resend_gets_the_answer_of_the_first_sending(self):
        # Guards against a refusal by deadline before the table was asked.
        key = key_of(OWN)
        self.run_once(key)
        again = self.send(post(key, 'Catkinslip-Timeout: 0'))
        self.assert_refused(again, 201, b'catkinslip-replayed: true')
        self.assertEqual(len(self.forwarder.calls), 1)

    def test_late_first_sending_is_not_run_and_not_admitted(self):
        key = key_of(OWN)
        late = self.send(post(key, 'Catkinslip-Timeout: 0'))
        self.assert_refused(late, 504, NOT_RUN)
        self.assertEqual(self.gate.table.entry_by_key, {})
        self.run_once(key)

    def test_late_resend_elsewhere_is_unknown(self):
        # Guards against a refusal by deadline of an instance that has no record of the
        # key: its home, or the platform, has.
        late = 'Catkinslip-Timeout: 0'
        for key, path in ((key_of(HOME), '/claim'), ('own', '/recorded')):
            with self.subTest(path):
                again = self.send(post(key, late, path=path))
                self.assert_refused(again, 504, UNKNOWN)
        self.assertEqual(self.forwarder.calls, [])

    def test_late_request_without_records_is_not_run(self):
        for key in ('', 'own'):
            late = self.send(post(key, 'Catkinslip-Timeout: 0'))
            self.assert_refused(late, 504, NOT_RUN)

    def test_resend_with_a_revoked_api_key_is_unknown(self):
        # Guards against a refused API key that makes a request that ran look unsent.
        offer_rules(self.gate.config, 2, workspaces={ACME: {'api_keys': [KEY]}})
        key, api_key = key_of(OWN), f'Catkinslip-Api-Key: {KEY}'
        self.run_once(key, api_key)
        offer_rules(self.gate.config, 3, workspaces={ACME: {'api_keys': [NEW_KEY]}})
        self.assert_refused(self.send(post(key, api_key)), 401, UNKNOWN)
        self.assert_refused(self.send(post('', api_key)), 401, NOT_RUN)

    def test_resend_that_is_refused_before_it_is_read_is_unknown(self):
        # Guards against refusals of heads and bodies: none of them looks the key up.
        key = key_of(OWN)
        self.run_once(key)
        kinds = {
            'bad header': (400, ('Catkinslip-Timeout: soon',), {}),
            'bad line': (400, ('Bad : 1',), {}),
            'body too large': (413, ('Content-Length: 99',), {'max_body_bytes': 9}),
            'slow body': (408, ('Content-Length: 99',), {'body_timeout': 0.01}),
            'connection limit': (503, (), {'max_connections': 0}),
        }
        for name, (status, lines, limits) in kinds.items():
            with self.subTest(name):
                again = self.send(post(key, *lines), ends=False, **limits)
                self.assert_refused(again, status, UNKNOWN)
                other = self.send(post('', *lines), ends=False, **limits)
                self.assert_refused(other, status, NOT_RUN)

    def test_request_without_a_whole_head_is_unknown(self):
        # Guards against a resend whose key was not received before it was refused.
        part = post(key_of(OWN))[:20]
        slow = self.send(part, ends=False, head_timeout=SHORT_SECONDS)
        self.assert_refused(slow, 408, UNKNOWN)
        refused = self.send(part, ends=False, max_connections=0)
        self.assert_refused(refused, 503, UNKNOWN)

    def test_resend_to_an_instance_without_a_configuration_is_unknown(self):
        # Guards against a GET that a rule calls not repeatable: without the rules it
        # looks repeatable, and was refused without a look at its key.
        self.gate.config = ConfigHolder()
        self.forwarder.outcome = NotRun(Reason.NOT_READY)
        request = post('own', path='/once').replace(b'POST', b'GET')
        self.assert_refused(self.send(request), 503, UNKNOWN)
        self.assert_refused(
            self.send(request.replace(b'Idem', b'X-Idem')), 503, NOT_RUN
        )

"""The header of relayed requests, and what their answers state."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkinslip.proxy import headers as names
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.proxy.relayed import (
    RelayHead,
    decode_head,
    decode_outcome,
    encode_outcome,
)
from catkinslip.relaying.gate import TokenRelayGate

HEAD = RelayHead('token', 'edge-1', 7, 'one', 'acme', 1)


class RelayHeadTest(unittest.TestCase):
    """Acceptance of relayed requests."""

    def read(self, head: RelayHead, token: str = 'token', version: int = 7):
        """Return what a gate with a token and a rules version makes of a request."""
        return TokenRelayGate(token, lambda: version).read([head.encode()])

    def test_request_with_the_token_of_this_start_is_accepted(self):
        found = self.read(HEAD)
        self.assertEqual((found.head, found.refusal), (HEAD, None))

    def test_request_with_the_token_of_an_earlier_start_is_refused(self):
        found = self.read(HEAD, token='other')
        self.assertIs(found.refusal.reason, Reason.NOT_READY)
        self.assertEqual(found.head.workspace, '')

    def test_request_is_refused_by_older_rules_and_accepted_by_newer_ones(self):
        self.assertIs(self.read(HEAD, version=6).refusal.reason, Reason.NOT_READY)
        self.assertIsNone(self.read(HEAD, version=8).refusal)

    def test_request_of_a_caller_is_none(self):
        self.assertIsNone(TokenRelayGate('token', lambda: 7).read([(b'host', b'a')]))

    def test_empty_token_accepts_no_empty_header(self):
        found = TokenRelayGate('token', lambda: 7).read([(names.RELAYED, b'')])
        self.assertIsNotNone(found.refusal)

    @given(st.binary(max_size=60))
    def test_any_header_is_read_or_refused(self, value):
        self.assertIsNone(decode_head(value))
        found = TokenRelayGate('token', lambda: 7).read([(names.RELAYED, value)])
        self.assertIsNotNone(found.refusal)


class RelayedOutcomeTest(unittest.TestCase):
    """Outcomes of relayed requests without an answer of a server."""

    def test_outcomes_are_read_as_written(self):
        for reason in Reason:
            for outcome in (NotRun(reason, retry_after=0.25), Unknown(reason)):
                found = decode_outcome([encode_outcome(outcome)], 'edge-2')
                self.assertIs(type(found), type(outcome))
                self.assertIs(found.reason, reason)
        found = decode_outcome([encode_outcome(NotRun(Reason.SHED))], 'edge-2')
        self.assertIsNone(found.retry_after)

    @given(st.binary(max_size=30))
    def test_unreadable_outcome_is_never_told_as_not_run(self, value):
        found = decode_outcome([(names.RELAYED, b'x' + value)], 'edge-2')
        self.assertIsInstance(found, Unknown)

"""Input of other processes at the doors of an instance: any bytes, any JSON."""

import json
import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.discovery.messages import (
    DiscoverySnapshot,
    InstanceList,
    KindUpdate,
    PeerState,
    decompress_list,
    structure,
)
from catkinslip.environment import Environment
from catkinslip.logs.buffer import LogBuffer
from catkinslip.models import Address
from catkinslip.platform.client import StoreClient
from catkinslip.platform.dialect import PlatformDialect, parse_load_report
from catkinslip.platform.program import make_entry
from catkinslip.platform.settings import read_settings
from catkinslip.proxy import headers as names
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.relayed import decode_head, decode_outcome
from catkinslip.wiring.entry import Entry
from tests.platform_builders import settings_text
from tests.unsound_json import ANY_JSON

STORE = Address('127.0.0.1', 9)


def new_entry() -> Entry:
    """Return the parts of an instance that does not run."""
    settings = read_settings(settings_text()).unwrap()
    return make_entry(settings, Environment(), StoreClient(STORE), LogBuffer())


ENTRY = new_entry()
TOPICS = ('reports', 'silent', 'by', *ENTRY.sharer.handler_by_topic)
DATAGRAMS = st.dictionaries(st.sampled_from(TOPICS), ANY_JSON, max_size=4)


async def apply_datagram(data: bytes) -> None:
    """Apply a datagram in an event loop."""
    ENTRY.sharer.apply_datagram(data)


class DatagramTest(unittest.TestCase):
    """Datagrams, which any process may send to the port of an instance."""

    @settings(max_examples=300, deadline=None)
    @given(DATAGRAMS.map(lambda each: json.dumps(each).encode()) | st.binary())
    def test_any_datagram_is_applied_or_counted_as_malformed(self, data):
        trio.run(apply_datagram, data)

    def test_address_of_a_requester_that_cannot_be_sent_to_ended_the_process(self):
        # The reports of later crashes are sent to it, in a task of their own.
        async def check():
            for address in ('127.0.0.1:99999', '127.0.0.1:-1', 'nowhere:9', '\x00:9'):
                query = {'ends-wanted': address, 'by': 'edge-9'}
                await apply_datagram(json.dumps(query).encode())
                self.assertEqual(ENTRY.crash_catch_up.targets(), [], address)

        trio.run(check)


class PageTest(unittest.TestCase):
    """Answers of peers, which may be of another version of the program."""

    @settings(max_examples=200, deadline=None)
    @given(ANY_JSON)
    def test_any_answer_is_understood_or_ignored(self, plain):
        for wanted in (PeerState, DiscoverySnapshot, KindUpdate, InstanceList):
            structure(plain, wanted)

    @settings(max_examples=200, deadline=None)
    @given(st.binary())
    def test_any_list_is_read_or_ignored(self, body):
        decompress_list(body)


class HeaderTest(unittest.TestCase):
    """Headers of callers, of servers and of instances that relay requests."""

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=40), st.integers(100, 599))
    def test_any_header_is_read_or_ignored(self, value, status):
        dialect = PlatformDialect()
        parse_load_report(value)
        decode_head(value)
        decode_outcome([(names.RELAYED, value)], 'edge-9')
        for name in (b'retry-after', b'cold-ms', b'server-load', b'instance-id'):
            dialect.read_probe(status, [(name, value), (b'instance-id', b'i-1')])
            dialect.read_signals(status, [(name, value)])
        for name in (b'deadline-ms', b'request-id', b'host'):
            head = RequestHead(b'GET', b'/', b'1.1', [(name, value)])
            dialect.read_parameters(head, 0.0)


if __name__ == '__main__':
    unittest.main()

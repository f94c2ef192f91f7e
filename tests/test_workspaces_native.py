"""Tests of API keys in the native program: calls, headers, and requests passed on."""

import unittest
from random import Random

import trio
import trio.testing

from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.crashes.identity import key_of
from catkinslip.membership.members import Member
from catkinslip.proxy.bodies import NO_BODY
from catkinslip.proxy.call import Call
from catkinslip.proxy.calls import CallFactory
from catkinslip.proxy.headers import RequestHead, find, find_all
from catkinslip.proxy.native_dialect import NativeDialect
from catkinslip.proxy.outcomes import Answered, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import server_wire
from catkinslip.tickets.gate import fingerprint
from catkinslip.tickets.passing import HomeForwarder
from standins.raw import RawBackend
from tests.builders import document_of, document_plain
from tests.test_proxy_calls import StoppedClock
from tests.workspace_builders import ACME, BIRCH, KEY, NEW_KEY, OTHER_KEY

TICKET = (b'idempotency-key', b'ck1.entry-1.7.100.a')


def document(**keys_by_name: tuple[str, ...]) -> dict:
    """Return a document with a public and another route, and workspaces."""
    plain = document_plain({'limits-1': '127.0.0.1:80'})
    part = [{'service': 'limits'}]
    plain['rules']['routes'] = {
        'open': {
            'host': 'h.example',
            'path_prefix': '/open/',
            'parts': part,
            'public': True,
        },
        'shut': {
            'host': 'h.example',
            'path_prefix': '/',
            'parts': part,
            'priority': 7,
        },
    }
    plain['rules']['workspaces'] = {
        name: {'api_keys': keys} for name, keys in keys_by_name.items()
    }
    return plain


def holder_of(plain: dict, number: int = 1) -> ConfigHolder:
    """Return a holder of a configuration in force."""
    holder = ConfigHolder()
    offer(holder, plain, number)
    return holder


def offer(holder: ConfigHolder, plain: dict, number: int) -> None:
    """Put a document in force."""
    version = ConfigVersion(0, number)
    config = AcceptedConfig(version, f'c{number}', 'ana', document_of(plain))
    holder.offer(config)


def factory_of(holder: ConfigHolder) -> CallFactory:
    """Return a factory of calls of the native program."""
    return CallFactory(StoppedClock(), Random(1), holder, 30.0, NativeDialect())


def make(factory: CallFactory, *headers, host: bytes = b'limits', path=b'/a') -> Call:
    """Return the call of a request."""
    head = RequestHead(b'POST', path, b'1.1', [(b'host', host), *headers])
    return factory.make(head, NO_BODY, '127.0.0.1')


def key(value: str, name: bytes = b'catkinslip-api-key') -> tuple[bytes, bytes]:
    """Return the header of an API key."""
    return name, value.encode()


class CallsTest(unittest.TestCase):
    """Workspace, priority or refusal of a call."""

    def setUp(self):
        self.holder = holder_of(document(acme=(KEY,), birch=(OTHER_KEY,)))
        self.factory = factory_of(self.holder)

    def test_request_that_names_a_service_needs_a_key_too(self):
        """Guards against callers that get around the routes with a service header."""
        named = (b'catkinslip-service', b'limits')
        for call in (
            make(self.factory),
            make(self.factory, named, host=b'other.example'),
            make(self.factory, key(KEY, b'x-api-key')),
        ):
            self.assertIs(call.refusal.reason, Reason.KEY_REJECTED)
        call = make(self.factory, named, key(KEY), host=b'other.example')
        self.assertEqual((call.workspace, call.refusal), (ACME, None))

    def test_unknown_service_and_public_route_need_none(self):
        self.assertIsNone(make(self.factory, host=b'nowhere').refusal)
        call = make(self.factory, key(KEY), host=b'h.example', path=b'/open/a')
        self.assertEqual((call.workspace, call.refusal), ('', None))
        call = make(self.factory, host=b'h.example', path=b'/a')
        self.assertIsNotNone(call.refusal)

    def test_public_prefix_does_not_open_other_paths(self):
        """Guards against a path that a server resolves to one of another route."""
        for path in (
            b'/open/../a',
            b'/open/%2E%2e/a',
            b'/open/x/..%2fa',
            b'/open/.\\..',
        ):
            with self.subTest(path):
                self.assertIsNotNone(
                    make(self.factory, host=b'h.example', path=path).refusal
                )
        call = make(self.factory, key(KEY), host=b'h.example', path=b'/open/../a')
        self.assertEqual(call.workspace, ACME)
        call = make(self.factory, host=b'h.example', path=b'/open/a..b/c.d?x=../y')
        self.assertIsNone(call.refusal)

    def test_priority_of_the_workspace_goes_first(self):
        plain = document(acme=(KEY,), birch=(OTHER_KEY,))
        plain['rules']['workspaces'][ACME]['priority'] = 0
        offer(self.holder, plain, 2)
        priorities = [
            make(self.factory, key(each), host=b'h.example').priority
            for each in (KEY, OTHER_KEY)
        ]
        self.assertEqual(priorities, [0, 7])

    def test_call_and_its_request_hold_neither_key_nor_foreign_workspace(self):
        spoofed = (b'catkinslip-workspace', b'birch')
        other = (b'catkinslip_workspace', b'birch')
        call = make(self.factory, spoofed, other, key(KEY), (b'x-other', b'1'))
        self.assertNotIn(KEY, repr(call.headers))
        self.assertNotIn(KEY, repr(call))
        sent = NativeDialect().request_headers(call, 'limits-1', 1, 1.0)
        self.assertNotIn(KEY, repr(sent))
        self.assertEqual(find_all(sent, b'catkinslip-workspace'), [b'acme'])
        self.assertIsNone(find(sent, b'catkinslip_workspace'))
        self.assertEqual(find(sent, b'x-other'), b'1')

    def test_configuration_in_force_at_the_time_decides(self):
        make(self.factory, key(KEY))
        offer(self.holder, document(acme=(NEW_KEY,)), 2)
        self.assertIsNotNone(make(self.factory, key(KEY)).refusal)
        self.assertEqual(make(self.factory, key(NEW_KEY)).workspace, ACME)
        offer(self.holder, document(), 3)
        self.assertIsNone(make(self.factory).refusal)

    def test_without_a_configuration_nothing_is_refused_for_its_key(self):
        call = make(factory_of(ConfigHolder()), key('wrong'))
        self.assertIsNone(call.refusal)


class IdentityTest(unittest.TestCase):
    """Identity of requests that crash servers, and of kept answers."""

    def setUp(self):
        self.factory = factory_of(
            holder_of(document(acme=(KEY, NEW_KEY), birch=(OTHER_KEY,)))
        )

    def test_copies_under_other_keys_and_workspaces_are_the_same(self):
        """Guards against a crashing request that ends servers for each workspace."""
        names = {key_of(make(self.factory, key(e))) for e in (KEY, NEW_KEY, OTHER_KEY)}
        self.assertEqual(len(names), 1)

    def test_kept_answer_belongs_to_its_workspace(self):
        """Guards against an answer that a caller of another workspace gets."""
        calls = [make(self.factory, TICKET, key(e)) for e in (KEY, NEW_KEY, OTHER_KEY)]
        first, same, other = map(fingerprint, calls)
        self.assertEqual(first, same)
        self.assertNotEqual(first, other)


class PassingTest(unittest.TestCase):
    """Requests that an instance passes to the home of their idempotency key."""

    def pass_on(self, call: Call, holder: ConfigHolder) -> RequestHead:
        """Return the head that the home of a call receives."""
        home = RawBackend()

        async def run():
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
                    port = listener.socket.getsockname()[1]
                    nursery.start_soon(trio.serve_listeners, home.serve, [listener])
                    member = Member('entry-1', 7, 'zone-a', f'127.0.0.1:{port}', '')
                    ours, _theirs = trio.testing.memory_stream_pair()
                    forwarder = HomeForwarder(
                        'entry-2', BackendPool(), StoppedClock(), holder
                    )
                    wire = server_wire(ours)
                    wire.codec.receive_data(b'POST / HTTP/1.1\r\nHost: a\r\n\r\n')
                    wire.codec.next_event()
                    wire.codec.next_event()
                    call.deadline = 1e9
                    outcome = await forwarder.send(call, member, wire)
                    self.assertEqual(outcome, Answered(200))
                    nursery.cancel_scope.cancel()

        trio.run(run)
        lines = home.heads[0].split(b'\r\n')[1:]
        pairs = [line.split(b': ', 1) for line in lines]
        headers = [(name.lower(), value) for name, value in pairs]
        return RequestHead(b'POST', b'/a', b'1.1', headers)

    def setUp(self):
        self.holder = holder_of(document(acme=(KEY, NEW_KEY), birch=(OTHER_KEY,)))
        call = make(factory_of(self.holder), key(KEY), TICKET)
        self.head = self.pass_on(call, self.holder)

    def made_at_home(self, *changes: tuple[bytes, bytes], **keys) -> Call:
        """Return the call at a home with some keys, with headers replaced."""
        replaced = dict(changes)
        self.head.headers[:] = [
            (name, replaced.get(name, value)) for name, value in self.head.headers
        ]
        factory = factory_of(holder_of(document(**keys)))
        return factory.make(self.head, NO_BODY, '127.0.0.1')

    def test_home_has_the_workspace_without_the_key(self):
        """Guards against a 401 of the home, and against the key on the way to it."""
        text = repr(self.head.headers)
        self.assertNotIn(KEY, text)
        self.assertNotIn(NEW_KEY, text)
        call = self.made_at_home(acme=(NEW_KEY,), birch=(OTHER_KEY,))
        self.assertEqual((call.workspace, call.refusal), (ACME, None))
        sent = NativeDialect().request_headers(call, 'limits-1', 1, 1.0)
        self.assertIsNone(find(sent, b'catkinslip-passed-workspace'))
        self.assertEqual(find_all(sent, b'catkinslip-workspace'), [b'acme'])

    def test_workspace_cannot_be_replaced_on_the_way(self):
        value = find(self.head.headers, b'catkinslip-passed-workspace')
        forged = BIRCH.encode() + value[len(ACME) :]
        call = self.made_at_home(
            (b'catkinslip-passed-workspace', forged),
            acme=(KEY,),
            birch=(OTHER_KEY,),
        )
        self.assertEqual(call.workspace, '')
        self.assertIs(call.refusal.reason, Reason.KEY_REJECTED)


if __name__ == '__main__':
    unittest.main()

"""Builders of at-most-once forwarders, and of callers' connections to them."""

from random import Random

import h11
import trio
import trio.testing
from attrs import Factory, define

from catkinslip.clock import SystemClock
from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.environment import Environment
from catkinslip.membership.members import Member, MemberTable
from catkinslip.proxy.call import Call
from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.outcomes import Answered, Outcome
from catkinslip.proxy.pool import BackendPool
from catkinslip.store.embedded import EmbeddedStore
from catkinslip.tickets.gate import AtMostOnceForwarder
from catkinslip.tickets.keys import AnchoredClock
from catkinslip.tickets.passing import HomeForwarder
from catkinslip.tickets.records import PlatformRecords
from catkinslip.tickets.refusals import KeyedRefusalReview
from catkinslip.tickets.table import TicketTable
from tests.builders import document_of, document_plain

OWN = Member('entry-2', 3, 'zone-a', '127.0.0.1:1', '127.0.0.1:1')
#: No process listens on port 1, so this home is unreachable.
HOME = Member('entry-1', 7, 'zone-a', '127.0.0.1:1', '127.0.0.1:1')
RULES = [
    {'service': '*', 'path': path, 'methods': methods, 'repeatable': False, **more}
    for path, methods, more in (
        ('/recorded', ['POST'], {'record': 'platform'}),
        ('/once', ['GET'], {}),
        ('*', ['POST'], {}),
    )
]
TIMEOUT_SECONDS = 20


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


def offer_rules(config: ConfigHolder, number: int = 1, **rules: object) -> None:
    """Put rules for the service `claims` in force."""
    plain = document_plain({}, 'claims')
    plain['rules'].update({'requests': RULES, **rules})
    version = ConfigVersion(0, number)
    config.offer(AcceptedConfig(version, 'change', 'ana', document_of(plain)))


def new_gate(forwarder: ScriptedForwarder) -> AtMostOnceForwarder:
    """Return the at-most-once forwarder of `OWN`, which also has `HOME` as a member."""
    clock = SystemClock()
    anchored = AnchoredClock(clock)
    config = ConfigHolder()
    offer_rules(config)
    members = MemberTable(OWN)
    members.merge(HOME)
    return AtMostOnceForwarder(
        forwarder=forwarder,
        table=TicketTable('entry-2', 3, 60.0, 10, anchored.now()),
        records=PlatformRecords(EmbeddedStore(), Random(1)),
        home_forwarder=HomeForwarder('entry-2', BackendPool(), clock),
        config=config,
        members=members,
        clock=anchored,
    )


def keyed_server(gate: AtMostOnceForwarder, **limits: object) -> CallerServer:
    """Return a caller server in front of an at-most-once forwarder."""
    return CallerServer(
        Environment(clock=SystemClock(), random=Random(1)),
        gate.config,
        gate,
        None,
        CallerLimits(**limits),
        refusal_review=KeyedRefusalReview(gate),
    )


async def exchange(server: CallerServer, data: bytes, ends: bool = True) -> bytes:
    """Send bytes on a new connection; return what is received until it is closed."""
    ours, theirs = trio.testing.memory_stream_pair()
    received = b''
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            await ours.send_all(data)
            if ends:
                await ours.send_eof()
            async for part in ours:
                received += part
            await ours.aclose()
    return received

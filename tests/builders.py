"""Builders of test data."""

from random import Random
from types import SimpleNamespace

from attrs import Factory, define

from catkinslip.addresses.answers import AddressPages, AddressResolver
from catkinslip.clock import Clock
from catkinslip.config.checks import read_document
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, Document
from catkinslip.config.holder import ConfigHolder
from catkinslip.environment import Environment
from catkinslip.membership.members import Member, MemberTable
from catkinslip.models import Address
from catkinslip.proxy.call import Call
from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.exchange import Attempt
from catkinslip.proxy.native_dialect import NativeDialect
from catkinslip.proxy.outcomes import Outcome
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import Wire
from catkinslip.tickets.keys import KEY_SCHEME, AnchoredClock, KeyIssuer, TicketKey
from standins.registers import many_workers


@define
class ManualClock(Clock):
    """A clock that a test advances."""

    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def ignored_reach() -> dict[str, object]:
    """Return the functions of a stand-in health tracker that ignore reached servers."""
    return {
        'record_reached': lambda backend_id: None,
        'record_unreached': lambda backend_id: None,
        'reach': SimpleNamespace(servers_to_probe=lambda service: []),
    }


def backend_plain(service: str, address: str, zone: str = 'zone-a') -> dict:
    """Return a registered backend server as plain data."""
    parsed = Address.parse(address)
    return {
        'service': service,
        'zone': zone,
        'host': parsed.host,
        'port': parsed.port,
    }


def document_plain(
    address_by_backend: dict[str, str], service: str = 'limits', **fields: object
) -> dict:
    """Return a configuration document with one service as plain data."""
    backends = {
        name: backend_plain(service, address)
        for name, address in address_by_backend.items()
    }
    register = {'services': {service: dict(fields)}, 'backends': backends}
    return {'register': register, 'rules': {'requests': []}}


def ticket_key(
    name: str = 'a', expiry: int = 100, incarnation: int = 7, member_id: str = 'entry-1'
) -> TicketKey:
    """Return a ticket key whose home is the given member."""
    text = f'{KEY_SCHEME}.{member_id}.{incarnation}.{expiry}.{name}'
    return TicketKey(text, member_id, incarnation, expiry)


def document_of(plain: dict) -> Document:
    """Return the document that the given plain data describes."""
    return read_document(plain).unwrap()


def config_with(workers: int, number: int = 1, change_id: str = '') -> AcceptedConfig:
    """Return a configuration with some backend servers of one service."""
    document = document_of(many_workers(workers, 1))
    version = ConfigVersion(0, number)
    return AcceptedConfig(version, change_id or f'change-{number}', 'ana', document)


@define
class OneBackendForwarder:
    """Forwarder that sends every call once, to one backend server."""

    address: Address
    pool: BackendPool
    clock: Clock
    outcomes: list[Outcome] = Factory(list)
    dialect: Dialect = Factory(NativeDialect)

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        attempt = Attempt(
            call, self.address, caller, self.pool, self.clock, dialect=self.dialect
        )
        self.outcomes.append(await attempt.run())
        return self.outcomes[-1]


def caller_server(
    forwarder, dialect: Dialect | None = None, **limits: object
) -> CallerServer:
    """Return a caller server that passes calls to a forwarder."""
    environment = Environment(clock=forwarder.clock, random=Random(1))
    own = Member('entry-1', 1, 'zone-a', '127.0.0.1:1', '127.0.0.1:2')
    issuer = KeyIssuer(AnchoredClock(Environment().clock), 300.0)
    resolver = AddressResolver(MemberTable(own), 'zone-a', 10.0, issuer)
    bounds = CallerLimits(**limits)
    return CallerServer(
        environment,
        ConfigHolder(),
        forwarder,
        AddressPages(resolver),
        bounds,
        dialect=dialect or NativeDialect(),
    )


def plain_call(service: str, request_id: str = 'r') -> Call:
    """Return a repeatable call without headers or a body."""
    return Call(request_id, service, b'GET', b'/', [], b'', True, deadline=1e9)


def member(name: str, zone: str = 'zone-a', **fields) -> Member:
    """Return a member whose addresses are derived from its name."""
    fields = {'incarnation': 1, 'region': 'region-1', **fields}
    return Member(
        member_id=name,
        zone=zone,
        address=f'{name}:80',
        control_address=f'{name}:90',
        **fields,
    )

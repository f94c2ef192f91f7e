"""Construction of the request path: caller connections, at-most-once, forwarding."""

from catkinslip.addresses.answers import AddressPages, AddressResolver
from catkinslip.addresses.home import HomeSetLimits
from catkinslip.environment import Environment
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.service import LimitRegistry
from catkinslip.membership.members import Member
from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.stopping import StopGate
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.tickets.gate import AtMostOnceForwarder
from catkinslip.tickets.keys import AnchoredClock, KeyIssuer
from catkinslip.tickets.passing import HomeForwarder
from catkinslip.tickets.records import PlatformRecords
from catkinslip.tickets.refusals import KeyedRefusalReview
from catkinslip.tickets.table import TicketTable
from catkinslip.wiring.shared import Shared


def wire_callers(
    settings: DaemonSettings,
    environment: Environment,
    shared: Shared,
    hedges: HedgeTimer,
) -> CallerServer:
    """Build the caller server with the forwarders and limits behind it."""
    ticket_clock = AnchoredClock(environment.clock)
    address_resolver = make_address_resolver(settings, shared, ticket_clock)
    stop_gate = StopGate()
    forwarder = Forwarder(
        shared.directory,
        shared.pool,
        environment.clock,
        LimitRegistry(
            make_limit_settings(settings), address_resolver.count_home_instances
        ),
        shared.health,
        hedges,
        shared.metrics.observer,
        guard=shared.guard,
        stop_gate=stop_gate,
    )
    own = shared.members.own
    at_most_once_forwarder = AtMostOnceForwarder(
        forwarder=forwarder,
        table=make_ticket_table(settings, own, ticket_clock),
        records=PlatformRecords(shared.store, environment.random),
        home_forwarder=HomeForwarder(
            own.member_id, shared.pool, environment.clock, shared.config, stop_gate
        ),
        config=shared.config,
        members=shared.members,
        clock=ticket_clock,
    )
    return CallerServer(
        environment,
        shared.config,
        at_most_once_forwarder,
        AddressPages(address_resolver),
        make_caller_limits(settings),
        shared.metrics.observer,
        refusal_review=KeyedRefusalReview(at_most_once_forwarder),
        stop_gate=stop_gate,
    )


def make_address_resolver(
    settings: DaemonSettings, shared: Shared, clock: AnchoredClock
) -> AddressResolver:
    """Return the resolver of the addresses that callers send requests to."""
    return AddressResolver(
        shared.members,
        settings.zone,
        settings.address_lifetime,
        KeyIssuer(clock, settings.key_lifetime),
        shared.config,
        HomeSetLimits(settings.min_home_instances, settings.max_home_instances),
    )


def make_ticket_table(
    settings: DaemonSettings, own: Member, clock: AnchoredClock
) -> TicketTable:
    """Return the table of the ticket keys whose home is this instance."""
    return TicketTable(
        own.member_id,
        own.incarnation,
        settings.key_lifetime,
        settings.key_capacity,
        clock.now(),
    )


def make_limit_settings(settings: DaemonSettings) -> LimitSettings:
    """Return the limits that apply to every service."""
    return LimitSettings(
        queue_depth=settings.queue_depth,
        deadline_margin=settings.deadline_margin,
        extra_share=settings.extra_share / 100,
        extra_reserve=settings.extra_reserve,
        max_attempts=settings.max_attempts,
        hedge_percentile=settings.hedge_percentile,
    )


def make_caller_limits(settings: DaemonSettings) -> CallerLimits:
    """Return the timeouts and size limits that apply to callers."""
    return CallerLimits(
        request_timeout=settings.request_timeout,
        head_timeout=settings.head_timeout,
        body_timeout=settings.body_timeout,
        idle_timeout=settings.idle_timeout,
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_callers,
        max_pipelined_requests=settings.max_pipelined_requests,
        max_pipelined_bytes=settings.max_pipelined_bytes,
        max_instance_pipelined_bytes=settings.max_instance_pipelined_bytes,
    )

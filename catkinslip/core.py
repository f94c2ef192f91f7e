"""The daemon: wire the parts and serve until told to stop."""

import gc
import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial

import httpx
import orjson
import trio
from attrs import define
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve as serve_asgi

from catkinslip.addresses.answers import AddressBook
from catkinslip.addresses.home import HomeSetLimits
from catkinslip.config.duty import is_watcher
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.topic import ConfigTopic
from catkinslip.config.watcher import ConfigWatcher
from catkinslip.control.app import ControlSurface
from catkinslip.control.operators import OperatorPages
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.environment import Environment
from catkinslip.health.lister import ListFollower
from catkinslip.health.prober import Prober
from catkinslip.health.spreader import DrainSpreader
from catkinslip.health.topics import health_topics
from catkinslip.health.tracker import HealthTracker, make_tracker
from catkinslip.lifecycle import Lifecycle, StopRequest
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.service import LimitBook
from catkinslip.logs.buffer import LogBuffer
from catkinslip.membership.exchange import PeerExchange
from catkinslip.membership.listing import InstanceList
from catkinslip.membership.members import Member, MemberTable
from catkinslip.metrics.health import HealthMetrics
from catkinslip.metrics.platform import CountedStore
from catkinslip.metrics.wiring import Metrics
from catkinslip.models import Address
from catkinslip.platform.base import ObjectStore
from catkinslip.platform.budget import TokenBucket
from catkinslip.platform.budgeted import BudgetedStore
from catkinslip.platform.embedded import EmbeddedStore
from catkinslip.platform.http import CALLER_HEADER, HttpStore
from catkinslip.proxy.callers import CallerLimits, CallerServer
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.pool import BackendPool
from catkinslip.routing.choices import make_policy
from catkinslip.routing.directory import Directory
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.tickets.gate import AtMostOnce
from catkinslip.tickets.keys import AnchoredClock, KeyIssuer
from catkinslip.tickets.passing import HomePasser
from catkinslip.tickets.records import PlatformRecords
from catkinslip.tickets.table import TicketTable

LISTEN_BACKLOG = 1024
PEER_TIMEOUT_SECONDS = 1.0

log = logging.getLogger('daemon')


class ListenError(Exception):
    """A listener could not be opened; the text names the settings at fault."""


@define
class Daemon:
    """The wired parts of one daemon."""

    settings: DaemonSettings
    store: ObjectStore
    members: MemberTable
    instances: InstanceList
    peers: PeerExchange
    watcher: ConfigWatcher
    callers: CallerServer
    control: ControlSurface
    pool: BackendPool
    health: HealthTracker
    prober: Prober
    spreader: DrainSpreader
    lister: ListFollower
    hedges: HedgeTimer
    metrics: Metrics


async def serve(
    settings: DaemonSettings, environment: Environment, log_buffer: LogBuffer
) -> None:
    """Serve callers, peers and operators until told to stop."""
    with binding('--listen-host and --listen-port'):
        listeners = await trio.open_tcp_listeners(
            settings.listen_port, host=settings.listen_host, backlog=LISTEN_BACKLOG
        )
    with binding('--control-host and --control-port'):
        control_socket = await bind_control(settings)
    own = Member(
        settings.instance_id,
        new_incarnation(environment),
        settings.zone,
        bound_address(listeners[0].socket),
        bound_address(control_socket),
        region=settings.region,
    )
    async with open_clients(settings) as (platform_client, peer_client):
        daemon = wire(
            settings, environment, own, platform_client, peer_client, log_buffer
        )
        async with trio.open_nursery() as nursery:
            stop = StopRequest()
            await nursery.start(stop.listen)
            nursery.start_soon(serve_control, daemon.control, control_socket)
            nursery.start_soon(daemon.watcher.run)
            nursery.start_soon(daemon.callers.watch.run)
            nursery.start_soon(daemon.pool.run)
            nursery.start_soon(daemon.hedges.run)
            nursery.start_soon(daemon.peers.run, daemon.instances.read)
            nursery.start_soon(daemon.prober.run)
            nursery.start_soon(daemon.spreader.run)
            nursery.start_soon(daemon.lister.run)
            nursery.start_soon(daemon.metrics.lag.run)
            freeze_start_objects()
            announce_ready(own, environment)
            lifecycle = make_lifecycle(daemon, stop)
            await lifecycle.run(daemon.callers.serve, listeners)
            await daemon.peers.end()
            nursery.cancel_scope.cancel()
        await daemon.pool.close()


def wire(
    settings: DaemonSettings,
    environment: Environment,
    own: Member,
    platform_client: httpx.AsyncClient,
    peer_client: httpx.AsyncClient,
    log_buffer: LogBuffer,
) -> Daemon:
    """Wire the parts of one daemon."""
    members = MemberTable(own)
    store = CountedStore(make_store(settings, environment, members, platform_client))
    config = ConfigHolder()
    directory = Directory(partial(make_policy, settings, environment.random))
    config.listeners.append(directory.update)
    health = make_tracker(
        directory, environment.clock, environment.random, settings.max_instances
    )
    config.listeners.append(health.update)
    pool = BackendPool()
    config.listeners.append(pool.update)
    metrics = Metrics.wire(
        settings.instance_id, environment.clock, directory, config, members, log_buffer
    )
    ticket_clock = AnchoredClock(environment.clock)
    addresses = AddressBook(
        members,
        settings.zone,
        settings.address_lifetime,
        KeyIssuer(ticket_clock, settings.key_lifetime),
        config,
        HomeSetLimits(settings.min_home_instances, settings.max_home_instances),
    )
    hedges = HedgeTimer()
    limits = LimitBook(make_limit_settings(settings), addresses.count_home_instances)
    forwarder = Forwarder(
        directory,
        pool,
        environment.clock,
        limits,
        health,
        hedges,
        metrics.observer,
    )
    gate = AtMostOnce(
        forwarder=forwarder,
        table=make_table(settings, own, ticket_clock),
        records=PlatformRecords(store, environment.random),
        passer=HomePasser(own.member_id, pool, environment.clock),
        config=config,
        members=members,
        clock=ticket_clock,
    )
    config_topic = ConfigTopic(config, own.member_id, lambda: len(members.live()) - 1)
    topics = (config_topic, *health_topics(health))
    topic_by_name = {topic.name: topic for topic in topics}
    peers = PeerExchange(
        members,
        topic_by_name,
        peer_client,
        environment.random,
        settings.seeds,
        environment.clock,
        settings.peer_interval,
        PEER_TIMEOUT_SECONDS,
    )
    sources = (*metrics.sources, store, HealthMetrics(health))
    operators = OperatorPages(members, config, health, sources, metrics.traces)
    config.listeners.append(lambda _: peers.spread_soon())
    return Daemon(
        settings=settings,
        store=store,
        members=members,
        instances=InstanceList(store, members, health.is_backend),
        peers=peers,
        watcher=ConfigWatcher(
            store,
            config,
            lambda: is_watcher(members.own, members.live()),
            environment.random,
        ),
        callers=CallerServer(
            environment,
            config,
            gate,
            addresses,
            caller_limits(settings),
            metrics.observer,
        ),
        control=ControlSurface(peers, operators, settings.shared_secret),
        pool=pool,
        hedges=hedges,
        health=health,
        prober=Prober(health, members, pool, environment.clock),
        spreader=DrainSpreader(health, peers, environment.random),
        lister=ListFollower(
            store, health, lambda: is_watcher(members.own, members.live())
        ),
        metrics=metrics,
    )


def make_table(
    settings: DaemonSettings, own: Member, clock: AnchoredClock
) -> TicketTable:
    """Return the table of the keys whose home is this instance."""
    return TicketTable(
        own.member_id,
        own.incarnation,
        settings.key_lifetime,
        settings.key_capacity,
        clock.now(),
    )


def caller_limits(settings: DaemonSettings) -> CallerLimits:
    """Return what callers may ask for."""
    return CallerLimits(
        request_timeout=settings.request_timeout,
        head_timeout=settings.head_timeout,
        body_timeout=settings.body_timeout,
        idle_timeout=settings.idle_timeout,
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_callers,
    )


def make_store(
    settings: DaemonSettings,
    environment: Environment,
    members: MemberTable,
    client: httpx.AsyncClient,
) -> ObjectStore:
    """Return the platform's store, or an embedded one when there is no platform."""
    if not settings.platform_url:
        return EmbeddedStore()
    return BudgetedStore(
        HttpStore(client, settings.platform_timeout),
        environment.clock,
        settings.platform_budget,
        settings.max_instances,
        lambda: len(members.live()),
        TokenBucket(0.0),
    )


def make_limit_settings(settings: DaemonSettings) -> LimitSettings:
    """Return the limits that every service has."""
    return LimitSettings(
        queue_depth=settings.queue_depth,
        deadline_margin=settings.deadline_margin,
        extra_share=settings.extra_share / 100,
        extra_reserve=settings.extra_reserve,
        max_attempts=settings.max_attempts,
        hedge_percentile=settings.hedge_percentile,
    )


@asynccontextmanager
async def open_clients(
    settings: DaemonSettings,
) -> AsyncIterator[tuple[httpx.AsyncClient, httpx.AsyncClient]]:
    """Open the clients of the platform and of peers."""
    secret = {SECRET_HEADER: settings.shared_secret}
    caller = {CALLER_HEADER: settings.instance_id}
    async with (
        httpx.AsyncClient(
            base_url=settings.platform_url, headers=caller
        ) as platform_client,
        httpx.AsyncClient(headers=secret, timeout=PEER_TIMEOUT_SECONDS) as peer_client,
    ):
        yield platform_client, peer_client


@contextmanager
def binding(flags: str) -> Iterator[None]:
    """Raise ListenError for an address that cannot be listened on."""
    try:
        yield
    except OSError as error:
        raise ListenError(f'cannot listen on {flags}: {error.strerror}') from error


def bound_address(sock: trio.socket.SocketType) -> str:
    """Return host:port that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return str(Address(host, port))


def new_incarnation(environment: Environment) -> int:
    """Return a number above those of earlier processes of this instance."""
    microseconds = int(environment.clock.wall() * 1_000_000)
    return microseconds << 10 | environment.random.getrandbits(10)


async def bind_control(settings: DaemonSettings) -> trio.socket.SocketType:
    """Bind the socket of the control surface."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind((settings.control_host, settings.control_port))
    sock.listen(LISTEN_BACKLOG)
    return sock


async def serve_control(surface: ControlSurface, sock: trio.socket.SocketType) -> None:
    """Serve the control surface on a bound socket."""
    config = HypercornConfig()
    config.bind = [f'fd://{sock.fileno()}']
    config.loglevel = 'WARNING'
    await serve_asgi(surface.make_app(), config, shutdown_trigger=trio.sleep_forever)


def make_lifecycle(daemon: Daemon, stop: StopRequest) -> Lifecycle:
    """Return the lifecycle of a daemon."""
    return Lifecycle(
        stop=stop,
        drain=daemon.callers.drain,
        address_lifetime=daemon.settings.address_lifetime,
        peer_interval=daemon.settings.peer_interval,
        drain_timeout=daemon.settings.drain_timeout,
        leave=partial(leave, daemon),
    )


async def leave(daemon: Daemon) -> None:
    """Tell peers and the platform's list that this instance is leaving."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.peers.leave)
        nursery.start_soon(daemon.instances.announce)


def freeze_start_objects() -> None:
    """Keep what was built at start out of later garbage collections."""
    gc.collect()
    gc.freeze()


def announce_ready(own: Member, environment: Environment) -> None:
    """Print the addresses that this daemon listens on, as one line of JSON."""
    line = {
        'event': 'ready',
        'instance': own.member_id,
        'address': own.address,
        'control_address': own.control_address,
    }
    print(orjson.dumps(line).decode(), file=environment.stdout, flush=True)

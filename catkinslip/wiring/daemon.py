"""Construction of a daemon from its settings."""

from collections.abc import Awaitable, Callable
from functools import partial

from attrs import define

from catkinslip.config.topic import ConfigTopic
from catkinslip.config.watcher import ConfigWatcher
from catkinslip.control.app import ControlApi
from catkinslip.control.operators import OperatorPages
from catkinslip.crashes.synchronizer import CrashSynchronizer
from catkinslip.crashes.topic import CrashTopic
from catkinslip.health.drain_gossip import DrainGossip
from catkinslip.health.list_reader import InstanceListReader
from catkinslip.health.prober import Prober
from catkinslip.health.topics import health_topics
from catkinslip.membership.exchange import PeerExchange
from catkinslip.membership.listing import InstanceList
from catkinslip.membership.members import Member, MemberTable
from catkinslip.metrics.crashes import CrashMetrics
from catkinslip.metrics.health import HealthMetrics
from catkinslip.metrics.pipelining import PipelineMetrics
from catkinslip.metrics.wiring import Metrics
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.pool import BackendPool
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.wiring.callers import wire_callers
from catkinslip.wiring.shared import (
    PEER_TIMEOUT_SECONDS,
    Dependencies,
    Shared,
    wire_shared,
)


@define
class Daemon:
    """The connected components of one daemon."""

    settings: DaemonSettings
    members: MemberTable
    instances: InstanceList
    peers: PeerExchange
    watcher: ConfigWatcher
    callers: CallerServer
    control: ControlApi
    pool: BackendPool
    prober: Prober
    drain_gossip: DrainGossip
    instance_list_reader: InstanceListReader
    hedges: HedgeTimer
    crash_synchronizer: CrashSynchronizer
    metrics: Metrics

    def tasks(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the background tasks that run until the daemon stops."""
        return (
            self.watcher.run,
            self.callers.run,
            self.pool.run,
            self.hedges.run,
            partial(self.peers.run, self.instances.read),
            self.prober.run,
            self.drain_gossip.run,
            self.instance_list_reader.run,
            self.crash_synchronizer.run,
            self.metrics.lag.run,
        )


def wire(settings: DaemonSettings, own: Member, dependencies: Dependencies) -> Daemon:
    """Build the components of one daemon and connect them."""
    environment = dependencies.environment
    shared = wire_shared(settings, own, dependencies)
    hedges = HedgeTimer()
    callers = wire_callers(settings, environment, shared, hedges)
    peers = wire_peers(settings, dependencies, shared)
    shared.config.listeners.append(lambda _: peers.gossip_soon())
    health, members, store = shared.health, shared.members, shared.store
    return Daemon(
        settings=settings,
        members=members,
        instances=InstanceList(store, members, health.is_backend),
        peers=peers,
        watcher=ConfigWatcher(
            store, shared.config, shared.is_reader, environment.random
        ),
        callers=callers,
        control=wire_control(settings, shared, peers, callers),
        pool=shared.pool,
        prober=Prober(health, members, shared.pool, environment.clock),
        drain_gossip=DrainGossip(health, peers, environment.random),
        instance_list_reader=InstanceListReader(store, health, shared.is_reader),
        hedges=hedges,
        crash_synchronizer=shared.guard.synchronizer,
        metrics=shared.metrics,
    )


def wire_peers(
    settings: DaemonSettings, dependencies: Dependencies, shared: Shared
) -> PeerExchange:
    """Build the peer exchange and its topics."""
    members = shared.members
    config_topic = ConfigTopic(
        shared.config, members.own.member_id, lambda: len(members.live()) - 1
    )
    crash_topic = CrashTopic(
        shared.guard.registry, dependencies.environment.clock.monotonic
    )
    topics = (config_topic, crash_topic, *health_topics(shared.health))
    peers = PeerExchange(
        members,
        {topic.name: topic for topic in topics},
        dependencies.clients.peers,
        dependencies.environment.random,
        settings.seeds,
        dependencies.environment.clock,
        settings.peer_interval,
        PEER_TIMEOUT_SECONDS,
    )
    crash_topic.gossip_soon = peers.gossip_soon
    shared.guard.listeners.append(crash_topic)
    return peers


def wire_control(
    settings: DaemonSettings,
    shared: Shared,
    peers: PeerExchange,
    callers: CallerServer,
) -> ControlApi:
    """Build the HTTP interface for peers and operators."""
    metrics, health = shared.metrics, shared.health
    sources = (
        *metrics.sources,
        shared.store,
        HealthMetrics(health),
        CrashMetrics(shared.guard),
        PipelineMetrics(callers.pipelines),
    )
    operators = OperatorPages(
        shared.members, shared.config, health, sources, metrics.traces
    )
    return ControlApi(peers, operators, settings.shared_secret)

"""Construction of an instance that gets rules and backend servers from the platform."""

from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from random import Random

from attrs import define, evolve, frozen

from catkinslip.addresses.zonal import ZoneAddresses
from catkinslip.config.holder import ConfigHolder
from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.catch_up import CrashCatchUp
from catkinslip.crashes.guard import CrashGuard, make_guard
from catkinslip.crashes.publisher import CrashPublisher
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.discovery.answers import PeerAnswers
from catkinslip.discovery.assembly import Assembler
from catkinslip.discovery.base import (
    BackendEntry,
    InstanceEntry,
    InstanceRegistry,
    RuleSet,
    Source,
    ZoneEvacuation,
)
from catkinslip.discovery.follower import Follower, Outage
from catkinslip.discovery.instances import InstanceTable
from catkinslip.discovery.kinds import SharedKind, shared_kinds
from catkinslip.discovery.merging import NewestReport
from catkinslip.discovery.notice_follower import NoticeFollower
from catkinslip.discovery.notices import LOSS_TOPIC, TOPIC, ChangeNotices
from catkinslip.discovery.peers import PeerPoller
from catkinslip.discovery.registration import Registration
from catkinslip.discovery.store_probe import StoreProbe
from catkinslip.environment import Environment
from catkinslip.health.reach import ServerReach
from catkinslip.health.sampler import LoadSampler
from catkinslip.health.sharing import ReportSharer
from catkinslip.health.tracker import make_tracker
from catkinslip.limits.base import LimitSettings
from catkinslip.limits.service import LimitRegistry
from catkinslip.logs.buffer import LogBuffer
from catkinslip.metrics.base import MetricSource
from catkinslip.metrics.crashes import CrashMetrics
from catkinslip.metrics.discovery import DiscoveryMetrics
from catkinslip.metrics.fairness import FairnessMetrics
from catkinslip.metrics.health import HealthMetrics
from catkinslip.metrics.instance import ConfigMetrics, LogMetrics, LoopLag
from catkinslip.metrics.pipelining import PipelineMetrics
from catkinslip.metrics.quotas import QuotaMetrics
from catkinslip.metrics.relaying import RelayMetrics
from catkinslip.metrics.requests import RequestMetrics
from catkinslip.metrics.subsets import SubsetMetrics
from catkinslip.metrics.traces import TraceRing
from catkinslip.metrics.workspaces import WorkspaceMetrics
from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.pages import PageServer
from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.observer import ObserverGroup
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.stopping import StopGate
from catkinslip.quotas.bounds import QuotaBounds
from catkinslip.quotas.exchange import FleetQuotas
from catkinslip.routing.base import BackendLoad
from catkinslip.routing.delay import ExpectedDelay
from catkinslip.routing.directory import Directory, no_bound
from catkinslip.routing.sample import Sample
from catkinslip.routing.subset import Subset
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.gossip import RateGossip
from catkinslip.throttling.shares import divide_rate
from catkinslip.warmup.gate import ColdGate
from catkinslip.warmup.quotas import Sender, divide
from catkinslip.wiring.relaying import Relaying, wire_relaying

#: Fraction of the shared resend limit that the instances use together; the rest is a
#: margin, because a few instances may not be in each other's membership view.
RESEND_MARGIN = 0.8
#: Fraction of the shared resend reserve that is used; the rest is a margin, because a
#: restart doubles half of an instance's share of the reserve.
SLACK_MARGIN = 0.6
MAX_TRACES = 200
#: Cost of a request to another availability zone, which transfers bytes between
#: zones, expressed as seconds of delay.
ZONE_HOP_SECONDS = 0.01
#: Share of slots in use above which a server counts as nearly full and slows down; the
#: expected delay is multiplied by NEARLY_FULL_SLOWNESS from there on.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_SLOWNESS = 1.8
#: No practical limit: target latencies, not queue lengths, decide whether calls are
#: queued or refused.
NO_QUEUE_LIMIT = 1e6
#: Percentile of the latencies after which a call without a target latency is hedged.
HEDGE_PERCENTILE = 95.0
#: Longer than the timeout of any route, so that the route's timeout limits a request.
REQUEST_TIMEOUT_SECONDS = 60.0
#: Requests of one caller's connection in flight at once. The answers of a connection
#: are held in 256 kB and those of the instance in 4 MB, of 152 MB of memory.
MAX_PIPELINED_REQUESTS = 8


@frozen
class EntrySettings:
    """Identity of an instance and the limits that it enforces; durations in seconds."""

    own: InstanceEntry
    seeds: tuple[Address, ...]
    address_lifetime: float
    #: Limit of callers' connections.
    max_callers: int
    #: Time from the stop request to the kill of the process.
    stop_seconds: float
    #: Time from the stop request in which requests may come that are left unfinished.
    unsure_stop_seconds: float
    #: Load probes per second of one backend server, from all instances together.
    probes_per_second: float
    #: Limit of resends of all instances together: this share of a service's requests
    #: plus `resend_slack` more.
    resend_share: float
    resend_slack: float
    #: Region of each availability zone of the system.
    region_by_zone: dict[str, str]
    #: Limit of requests per second to a cold server, from all instances together: this
    #: multiple of the rate that it can handle, plus `cold_slack` more; None for no
    #: limit.
    cold_excess: float | None
    cold_slack: float
    #: Bound of the requests of a workspace at all instances together; None to keep no
    #: quotas.
    quota_bounds: QuotaBounds | None = None
    #: Whether an instance of a large fleet uses a subset of the servers of a service.
    uses_subsets: bool = False


@frozen
class Dependencies:
    """External dependencies of an instance: environment, store sources and logs."""

    environment: Environment
    dialect: Dialect
    rules: Source[RuleSet]
    backends: Source[BackendEntry]
    instances: Source[InstanceEntry]
    instance_registry: InstanceRegistry
    crashes: Source[CrashRecord]
    crash_store: CrashStore
    evacuations: Source[ZoneEvacuation]
    log_buffer: LogBuffer
    #: Additional sources of the metrics page.
    sources: tuple[MetricSource, ...] = ()


@define
class Entry:
    """The connected components of one instance."""

    settings: EntrySettings
    config: ConfigHolder
    assembler: Assembler
    instances: InstanceTable
    addresses: ZoneAddresses
    callers: CallerServer
    poller: PeerPoller
    notices: ChangeNotices
    notice_follower: NoticeFollower
    store_probe: StoreProbe
    peer_pages: PageServer
    pool: BackendPool
    reach: ServerReach
    relaying: Relaying
    hedges: HedgeTimer
    limits: LimitRegistry
    sampler: LoadSampler
    sharer: ReportSharer
    lag: LoopLag
    crashes: Follower[CrashRecord]
    evacuations: Follower[ZoneEvacuation]
    guard: CrashGuard
    crash_publisher: CrashPublisher
    crash_catch_up: CrashCatchUp
    rate_gossip: RateGossip
    quotas: FleetQuotas
    sources: tuple[MetricSource, ...]

    @property
    def has_startup_data(self) -> bool:
        """Return whether rules, backend servers and evacuations have been received."""
        return self.assembler.is_ready and self.evacuations.is_known

    @property
    def crash_registry(self) -> CrashRegistry:
        """Return the registry of requests that crash servers."""
        return self.guard.registry

    def tasks(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the background tasks that run until the instance stops."""
        return (
            self.assembler.rules.run,
            self.assembler.backends.run,
            self.assembler.run,
            self.poller.run,
            self.notices.run,
            self.notice_follower.run,
            self.store_probe.run,
            self.callers.run,
            self.pool.run,
            self.hedges.run,
            self.lag.run,
            self.sharer.run,
            self.sampler.run,
            self.crashes.run,
            self.evacuations.run,
            self.guard.synchronizer.run,
            self.crash_publisher.run,
            self.crash_catch_up.run,
            self.rate_gossip.run,
            self.quotas.run,
        )


def apply_settings(entry: Entry, settings: EntrySettings) -> None:
    """Apply changed settings; addresses and subsets only at the next start."""
    entry.settings = evolve(settings, own=entry.settings.own)
    entry.addresses.lifetime = settings.address_lifetime
    entry.sampler.probes_per_second = settings.probes_per_second
    entry.limits.apply_settings(make_limit_settings(settings))
    entry.quotas.apply_bounds(settings.quota_bounds)


def wire_entry(settings: EntrySettings, dependencies: Dependencies) -> Entry:
    """Build the components of one instance and connect them."""
    environment = dependencies.environment
    clock, random = environment.clock, environment.random
    config = ConfigHolder()
    instances = InstanceTable(
        settings.own,
        is_starting=True,
        is_list_attempted=False,
        is_seed=settings.own.peer_address in map(str, settings.seeds),
    )
    make_follower = partial(
        Follower,
        random=random,
        reads_store=instances.reads_store,
        wait_change=instances.wait_change,
        outage=Outage(instances.try_pace, probe_source=dependencies.evacuations),
    )
    assembler = Assembler(
        config,
        make_follower('rules', dependencies.rules),
        make_follower('backends', dependencies.backends, merge=NewestReport()),
    )
    assembler.start()
    instances.is_reading = assembler.reads_now
    directory = make_directory(settings, environment, instances)
    sharer = ReportSharer(
        Address.parse(settings.own.report_address),
        lambda: [Address.parse(each.report_address) for each in instances.home_peers()],
        directory,
        clock,
    )
    directory.on_load_change = sharer.queue_load
    crashes = make_follower('crashes', dependencies.crashes)
    guard = make_guard(clock, dependencies.crash_store)
    crashes.restore_listeners.append(guard.registry.mark_records_unsaved)
    crashes.listeners.append(
        lambda: guard.registry.apply_listing(crashes.value_by_name, clock.monotonic())
    )

    def serving_addresses() -> list[Address]:
        return [
            Address.parse(each.report_address) for each in instances.serving_peers()
        ]

    crash_catch_up = CrashCatchUp(
        settings.own.instance_id,
        Address.parse(settings.own.report_address),
        guard.registry,
        Random(settings.own.instance_id),
        serving_addresses,
        sharer.send_datagram,
    )
    crash_publisher = CrashPublisher(
        settings.own.instance_id,
        guard.registry,
        clock,
        crash_catch_up.targets,
        sharer.send_datagram,
        crash_catch_up.record_answer,
    )
    guard.listeners.append(crash_publisher)
    rate_gossip = RateGossip(
        settings.own.instance_id,
        directory,
        clock,
        Random(settings.own.instance_id),
        serving_addresses,
        instances.report_address,
        sharer.send_datagram,
    )
    directory.on_rate_seen = rate_gossip.record_observation
    quotas = FleetQuotas(
        settings.own.instance_id,
        settings.quota_bounds,
        clock,
        # Seeded by the system: two starts must not identify themselves alike.
        Random(),
        instances.quota_view,
        instances.report_address,
        sharer.send_datagram,
    )
    sharer.handler_by_topic = {
        **quotas.handlers(),
        'ends': crash_publisher.apply_datagram,
        'ends-wanted': crash_catch_up.receive_query,
        'rates': rate_gossip.receive_rates,
        'doubts': rate_gossip.receive_queries,
    }
    health = make_tracker(
        directory, clock, random, max_instances=1, counts_closes=False
    )
    pool = BackendPool(instances.budget_divisor)
    directory.has_idle = pool.has_idle
    sharer.reportable = health.reportable
    config.listeners.extend(
        (
            directory.update,
            health.update,
            pool.update,
            guard.update,
            quotas.apply_config,
        )
    )
    requests = RequestMetrics(clock, directory)
    instance_id = settings.own.instance_id
    traces = TraceRing(instance_id, clock, directory, deque(maxlen=MAX_TRACES))
    workspaces = WorkspaceMetrics(clock)
    observer = ObserverGroup((requests, traces, workspaces))
    hedges = HedgeTimer()
    limits = LimitRegistry(
        make_limit_settings(settings), lambda _: instances.budget_divisor()
    )
    sampler = LoadSampler(
        health,
        pool,
        clock,
        dependencies.dialect,
        settings.probes_per_second,
        instances.budget_divisor,
    )
    stop_gate = StopGate()
    forwarder = Forwarder(
        directory,
        pool,
        clock,
        limits,
        health,
        hedges,
        observer,
        dependencies.dialect,
        sampler,
        random,
        guard=guard,
        quotas=quotas,
        stop_gate=stop_gate,
    )
    health.reach.listeners.append(
        lambda service, is_lost: forwarder.divert(service) if is_lost else None
    )
    relaying = wire_relaying(
        settings.own,
        forwarder,
        health.reach,
        instances,
        clock,
        random,
        dependencies.dialect,
        lambda: assembler.rules_version,
        limits.take_resend,
        health.apply_relayed_signals,
        stop_gate,
    )
    callers = CallerServer(
        environment,
        config,
        relaying.forwarder,
        None,
        CallerLimits(
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            max_connections=settings.max_callers,
            uses_wall_clock=False,
            max_pipelined_requests=MAX_PIPELINED_REQUESTS,
        ),
        observer,
        dependencies.dialect,
        relays=relaying.gate,
        stop_gate=stop_gate,
    )
    evacuations = make_follower('evacuations', dependencies.evacuations)
    evacuations.restore_listeners.append(assembler.hold_evacuations)
    evacuations.listeners.append(lambda: assembler.evacuate(evacuations.value_by_name))
    kinds = shared_kinds(
        SharedKind(CrashRecord, crashes), SharedKind(ZoneEvacuation, evacuations)
    )
    answers = PeerAnswers(instances, assembler, kinds)
    poller = PeerPoller(
        instances,
        assembler,
        kinds,
        PageClient(),
        random,
        settings.seeds,
        dependencies.instances,
        Registration(dependencies.instance_registry, settings.own),
    )
    notices = ChangeNotices(
        instances,
        poller.catch_up.offered,
        poller.catch_up.known,
        Random(settings.own.instance_id),
        sharer.send_datagram,
    )
    config.listeners.append(lambda _: notices.note_change())
    for kind in kinds.kind_by_name.values():
        kind.follower.listeners.append(notices.note_change)
    sharer.handler_by_topic[TOPIC] = notices.receive
    sharer.handler_by_topic[LOSS_TOPIC] = notices.receive_loss
    store_probe = StoreProbe(
        dependencies.evacuations,
        (assembler.rules, assembler.backends, crashes, evacuations),
        Random(settings.own.instance_id),
        notices.send_loss,
    )
    lag = LoopLag(clock)
    config_metrics = ConfigMetrics(clock, config)
    config.listeners.append(config_metrics.record_change)
    return Entry(
        settings=settings,
        config=config,
        assembler=assembler,
        instances=instances,
        addresses=ZoneAddresses(instances, settings.address_lifetime, random, config),
        callers=callers,
        poller=poller,
        notices=notices,
        store_probe=store_probe,
        notice_follower=NoticeFollower(
            notices, poller.catch_up, Random(settings.own.instance_id)
        ),
        peer_pages=PageServer(answers.handlers()),
        pool=pool,
        reach=health.reach,
        relaying=relaying,
        hedges=hedges,
        limits=limits,
        sampler=sampler,
        sharer=sharer,
        lag=lag,
        crashes=crashes,
        evacuations=evacuations,
        guard=guard,
        crash_publisher=crash_publisher,
        crash_catch_up=crash_catch_up,
        rate_gossip=rate_gossip,
        quotas=quotas,
        sources=(
            requests,
            workspaces,
            FairnessMetrics(limits),
            config_metrics,
            lag,
            LogMetrics(dependencies.log_buffer),
            HealthMetrics(health),
            DiscoveryMetrics(instances, sampler, sharer, notices, store_probe),
            SubsetMetrics(directory, pool),
            CrashMetrics(guard),
            QuotaMetrics(quotas),
            PipelineMetrics(callers.pipelines),
            RelayMetrics(relaying.forwarder),
            *dependencies.sources,
        ),
    )


def make_directory(
    settings: EntrySettings, environment: Environment, instances: InstanceTable
) -> Directory:
    """Return the directory of service routers, which contains no servers yet."""
    random, zone = environment.random, settings.own.zone

    def divide_bound(load: BackendLoad, bound: float) -> Mapping[Sender, int]:
        zones = sorted(settings.region_by_zone)
        return divide(bound, load.backend_id, load.zone, zones)

    def divide_advertised(
        load: BackendLoad, per_second: float
    ) -> Mapping[Sender, float]:
        zones = sorted(settings.region_by_zone)
        return divide_rate(per_second, load.backend_id, load.zone, zones)

    def count_instances() -> int:
        return len(instances.peer_by_id) + 1

    return Directory(
        make_subset=lambda service: Subset(
            settings.own.instance_id,
            zone,
            service,
            is_enabled=settings.uses_subsets,
            count_instances=count_instances,
        ),
        make_policy=lambda: ExpectedDelay(
            random,
            zone,
            ZONE_HOP_SECONDS,
            nearly_full_share=NEARLY_FULL_SHARE,
            nearly_full_slowness=NEARLY_FULL_SLOWNESS,
        ),
        make_sample=lambda: Sample(random, zone),
        make_cold_gate=lambda: ColdGate(divide_bound, instances.sender),
        make_throttle=lambda: ThrottleGate(
            divide_advertised, instances.sender_position
        ),
        cold_bound=make_cold_bound(settings),
        region_by_zone=lambda: settings.region_by_zone,
        clock=environment.clock,
    )


def make_cold_bound(settings: EntrySettings) -> Callable[[float], float]:
    """Return a function that maps the rate of a cold server to its request limit.

    Both are in requests per second; the rate is what the server can handle while cold.
    """
    excess = settings.cold_excess
    if excess is None:
        return no_bound
    return lambda per_second: per_second * excess + settings.cold_slack


def make_limit_settings(settings: EntrySettings) -> LimitSettings:
    """Return the limits that apply to every service."""
    return LimitSettings(
        queue_depth=NO_QUEUE_LIMIT,
        extra_share=settings.resend_share * RESEND_MARGIN,
        extra_slack=settings.resend_slack * SLACK_MARGIN,
        hedge_percentile=HEDGE_PERCENTILE,
    )

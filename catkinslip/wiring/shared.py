"""Construction of the components that most other components of a daemon use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import httpx
from attrs import frozen

from catkinslip.config.holder import ConfigHolder
from catkinslip.config.watcher_choice import is_watcher
from catkinslip.control.paths import SECRET_HEADER
from catkinslip.crashes.guard import CrashGuard, make_guard
from catkinslip.crashes.objects import ObjectCrashStore
from catkinslip.environment import Environment
from catkinslip.health.tracker import HealthTracker, make_tracker
from catkinslip.logs.buffer import LogBuffer
from catkinslip.membership.members import Member, MemberTable
from catkinslip.metrics.platform import CountedStore
from catkinslip.metrics.wiring import Metrics
from catkinslip.proxy.pool import BackendPool
from catkinslip.routing.choices import make_policy
from catkinslip.routing.directory import Directory
from catkinslip.routing.sample import Sample
from catkinslip.routing.subset import Subset
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.store.base import ObjectStore
from catkinslip.store.budget import TokenBucket
from catkinslip.store.budgeted import BudgetedStore
from catkinslip.store.embedded import EmbeddedStore
from catkinslip.store.http import CALLER_HEADER, HttpStore

PEER_TIMEOUT_SECONDS = 1.0


@frozen
class Clients:
    """HTTP clients for the platform and for peers."""

    platform: httpx.AsyncClient
    peers: httpx.AsyncClient


@frozen
class Dependencies:
    """External dependencies of a daemon: environment, HTTP clients and logs."""

    environment: Environment
    clients: Clients
    log_buffer: LogBuffer


@frozen
class Shared:
    """Components that most other components of a daemon use."""

    store: CountedStore
    members: MemberTable
    config: ConfigHolder
    directory: Directory
    health: HealthTracker
    pool: BackendPool
    guard: CrashGuard
    metrics: Metrics

    def is_reader(self) -> bool:
        """Return whether this instance reads the platform for its availability zone."""
        return is_watcher(self.members.own, self.members.live())


@asynccontextmanager
async def open_clients(settings: DaemonSettings) -> AsyncIterator[Clients]:
    """Open the HTTP clients for the platform and for peers."""
    secret = {SECRET_HEADER: settings.shared_secret}
    caller = {CALLER_HEADER: settings.instance_id}
    async with (
        httpx.AsyncClient(base_url=settings.platform_url, headers=caller) as platform,
        # Peers use plain HTTP, so the machine's certificates need not be loaded.
        httpx.AsyncClient(
            headers=secret, timeout=PEER_TIMEOUT_SECONDS, verify=False
        ) as peers,
    ):
        yield Clients(platform, peers)


def wire_shared(
    settings: DaemonSettings, own: Member, dependencies: Dependencies
) -> Shared:
    """Build the shared components and subscribe them to configuration changes."""
    environment = dependencies.environment
    clock, random = environment.clock, environment.random
    members = MemberTable(own)
    config = ConfigHolder()
    directory = Directory(
        partial(make_policy, settings, random),
        make_sample=lambda: Sample(random, own.zone),
        make_subset=lambda service: Subset(
            own.member_id,
            own.zone,
            service,
            is_enabled=settings.server_subsets == 'on',
            count_instances=lambda: len(members.live()),
        ),
        region_by_zone=lambda: {each.zone: each.region for each in members.live()},
    )
    health = make_tracker(directory, clock, random, settings.max_instances)
    pool = BackendPool()
    directory.has_idle = pool.has_idle
    store = CountedStore(make_store(settings, dependencies, members))
    guard = make_guard(clock, ObjectCrashStore(store))
    config.listeners.extend(
        (directory.update, health.update, pool.update, guard.update)
    )
    return Shared(
        store=store,
        members=members,
        config=config,
        directory=directory,
        health=health,
        pool=pool,
        guard=guard,
        metrics=Metrics.wire(
            settings.instance_id,
            clock,
            directory,
            config,
            members,
            dependencies.log_buffer,
            pool,
        ),
    )


def make_store(
    settings: DaemonSettings, dependencies: Dependencies, members: MemberTable
) -> ObjectStore:
    """Return a store on the platform, or an embedded one if no platform URL is set."""
    if not settings.platform_url:
        return EmbeddedStore()
    return BudgetedStore(
        HttpStore(dependencies.clients.platform, settings.platform_timeout),
        dependencies.environment.clock,
        settings.platform_budget,
        settings.max_instances,
        lambda: len(members.live()),
        TokenBucket(0.0),
    )

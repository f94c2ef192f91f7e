"""Health of all backend servers, as applied to the routers of the services."""

import logging
from collections.abc import Collection, Iterable
from random import Random

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.difference import compare_documents
from catkinslip.config.documents import AcceptedConfig, Backend, Document
from catkinslip.health.budget import ProbeBudget, ProbeLimits
from catkinslip.health.counters import HealthCounters
from catkinslip.health.drain import DrainSignal, DrainTable
from catkinslip.health.reach import ServerReach
from catkinslip.health.reachability import Reachability
from catkinslip.health.reports import ObservedReport, ReportTable
from catkinslip.health.signals import CloseCounter, closes_connection, has_drain_header
from catkinslip.models import Address, BackendKey
from catkinslip.routing.base import BackendLoad, Choice, Estimate, LoadReport
from catkinslip.routing.directory import Directory
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.signals import ServerSignals
from catkinslip.store.base import ListedInstance

Headers = Iterable[tuple[bytes, bytes]]

log = logging.getLogger('health')


def make_probe_limits(document: Document, max_instances: int) -> dict[str, ProbeLimits]:
    """Return the probes allowed for each service, by the name of the service."""
    return {
        name: ProbeLimits(
            service.probes_per_second,
            service.calls_per_probe,
            max_instances,
        )
        for name, service in document.effective_services().items()
    }


@define
class HealthTracker:
    """The health of all backend servers, merged from every source.

    Changes are applied to the routers; servers outside the register are ignored.
    """

    directory: Directory
    clock: Clock
    budget: ProbeBudget
    reachability: Reachability
    max_instances: int
    #: Whether closed connections in a row are a signal, which only a probe that proves
    #: a return clears.
    counts_closes: bool = True
    drain: DrainTable = Factory(DrainTable)
    reports: ReportTable = Factory(ReportTable)
    closes: CloseCounter = Factory(CloseCounter)
    counters: HealthCounters = Factory(HealthCounters)
    reach: ServerReach = Factory(
        lambda self: ServerReach(
            self.clock, self._usable_servers, lambda: self.directory.router_by_service
        ),
        takes_self=True,
    )
    #: The configuration applied last.
    document: Document = Factory(Document)
    key_by_id: dict[str, BackendKey] = Factory(dict)
    probe_limits_by_service: dict[str, ProbeLimits] = Factory(dict)
    leaving_keys: set[BackendKey] = Factory(set)
    #: Event that a server started or stopped leaving; replaced before peers are sent
    #: the change.
    drain_changed: trio.Event = Factory(trio.Event)

    def __attrs_post_init__(self) -> None:
        """End the pauses that arose while no server of a service was reached."""
        self.reach.listeners.append(self._handle_reach_change)

    def _handle_reach_change(self, service: str, is_lost: bool) -> None:
        if is_lost:
            return
        for key in list(self.reachability.pause_by_key):
            if self._service_of(key.backend_id) == service:
                self.reachability.forget(key)

    def update(self, config: AcceptedConfig) -> None:
        """Apply a new configuration, after the directory has applied it."""
        difference = compare_documents(self.document, config.document)
        self.document = config.document
        if difference.redefined:
            self.probe_limits_by_service = make_probe_limits(
                config.document, self.max_instances
            )
            self.reach.forget_others(config.document.register.services)
        now = self.clock.monotonic()
        for backend_id in difference.backends:
            self._replace_key(backend_id, now)
        self.drain.forget_old(now)
        self.budget.forget_old(self._addresses, now)
        for key in self.drain.leaving():
            self._update_router(key.backend_id)

    def _addresses(self) -> set[str]:
        return {key.address for key in self.key_by_id.values()}

    def _replace_key(self, backend_id: str, now: float) -> None:
        """Replace the key of a server whose address or incarnation changed.

        Drops the state of the old server and starts that of the new one; either may
        be missing.
        """
        backend = self.document.register.backends.get(backend_id)
        new = None if backend is None else make_key(backend_id, backend)
        old = self.key_by_id.get(backend_id)
        if new == old:
            return
        if old is not None:
            del self.key_by_id[backend_id]
            self.leaving_keys.discard(old)
            self.drain.forget(old, now)
            for table in (self.reports, self.reachability):
                table.forget(old)
        if new is not None:
            self.key_by_id[backend_id] = new
            self.drain.restore(new, now)
            self.reports.expect_answers(new, now)

    def count_call(self, service: str) -> None:
        """Count one call from a caller, which adds to the probe budget."""
        self.counters.calls += 1
        limits = self.probe_limits_by_service.get(service)
        if limits is not None:
            self.budget.count_call(service, limits)

    def record_answer(
        self, backend_id: str, headers: Headers, report: LoadReport | None
    ) -> None:
        """Apply the head of a backend server's answer and its load report, if any."""
        key = self.key_by_id.get(backend_id)
        if key is None:
            return
        now = self.clock.monotonic()
        self.record_reached(backend_id)
        self.reports.record_answer(key, now)
        if self.reachability.record_connection(key):
            log.info('health: server answers again. backend=%s', backend_id)
            self._mark_possibly_restarted(key, now)
        if report is not None:
            self.reports.apply(key, ObservedReport(report, now))
        if has_drain_header(headers):
            self.drain.add_signal(key, DrainSignal.OWN, now)
        elif self._starts_closing(key, headers):
            self.drain.add_signal(key, DrainSignal.CLOSE, now)
        self.apply_changes()

    def _starts_closing(self, key: BackendKey, headers: Headers) -> bool:
        if not self.counts_closes or self.drain.is_leaving(key):
            return False
        return self.closes.count_answer(key, closes_connection(headers))

    def mark_leaving(self, backend_id: str) -> None:
        """Mark a server as leaving after a signal in one of its answers."""
        key = self.key_by_id.get(backend_id)
        if key is not None:
            self.drain.add_signal(key, DrainSignal.OWN, self.clock.monotonic())
            self.apply_changes()

    def apply_relayed_signals(self, backend_id: str, signals: ServerSignals) -> None:
        """Apply what an answer signals that came over another instance.

        A rest period concerns the instance to which the server answered, and rates are
        exchanged between instances; that a server leaves concerns all.
        """
        if signals.is_leaving:
            self.mark_leaving(backend_id)

    def record_refusal(self, backend_id: str) -> None:
        """Record a refused connection and avoid the server until the next trial."""
        key = self.key_by_id.get(backend_id)
        if key is None:
            return
        self.counters.connects_refused += 1
        self.record_unreached(backend_id)
        now = self.clock.monotonic()
        pause = self.reachability.record_refusal(key, now)
        self._mark_possibly_restarted(key, now)
        log.info(
            'health: connection refused. backend=%s next_s=%.1f', backend_id, pause
        )

    def record_reached(self, backend_id: str) -> None:
        """Record that a server answered this instance or accepted a connection."""
        service = self._service_of(backend_id)
        if service is not None:
            self.reach.record_answer(service)

    def record_unreached(self, backend_id: str) -> None:
        """Record that a server did not answer or refused a connection."""
        service = self._service_of(backend_id)
        if service is not None:
            self.reach.record_failure(service, backend_id)

    def _service_of(self, backend_id: str) -> str | None:
        backend = self.document.register.backends.get(backend_id)
        return None if backend is None else backend.service

    def reportable(self, loads: list[BackendLoad]) -> list[BackendLoad]:
        """Return those of some servers whose service is not in doubt."""
        doubted = self.reach.doubted_services()
        if not doubted:
            return loads
        return [
            load for load in loads if self._service_of(load.backend_id) not in doubted
        ]

    def _usable_servers(self, service: str) -> list[BackendLoad]:
        """Return the servers of a service that accept requests and may be probed."""
        router = self.directory.router_by_service.get(service)
        if router is None:
            return []
        now = self.clock.monotonic()
        return [
            load
            for load in router.loads
            if not load.draining and router.may_probe(load, now)
        ]

    def _mark_possibly_restarted(self, key: BackendKey, now: float) -> None:
        router = self.router(key)
        if router is not None:
            router.mark_possibly_restarted(key.backend_id, now)

    def choose(self, router: ServiceRouter, tried: Collection[str]) -> Choice | None:
        """Return a choice; a server that refuses connections is the last resort."""
        now = self.clock.monotonic()
        avoided = self.reachability.avoided_ids(now)
        choice = router.choose(now, [*tried, *avoided]) if avoided else None
        choice = choice or router.choose(now, tried)
        if choice is not None and self.reachability.pause_by_key:
            self.reachability.start_trial(self.key_by_id[choice.backend_id], now)
        return choice

    def rank(self, router: ServiceRouter, tried: Collection[str]) -> list[Estimate]:
        """Return the estimates of servers that accept connections, best first."""
        now = self.clock.monotonic()
        return router.rank(now, [*tried, *self.reachability.avoided_ids(now)])

    def find_witness(self, router: ServiceRouter, backend_id: str) -> Address | None:
        """Return the address of the other server of a service that answered last.

        Return None if all others refused connections or are leaving.
        """
        now = self.clock.monotonic()
        avoided = self.reachability.avoided_ids(now)
        others = [
            self.key_by_id[load.backend_id]
            for load in router.loads
            if load.backend_id not in (backend_id, *avoided) and not load.draining
        ]
        if not others:
            return None
        last = min(others, key=lambda key: self.reports.silent_for(key, now))
        return self.directory.address_by_backend.get(last.backend_id)

    def apply_list(self, listed: Iterable[ListedInstance]) -> None:
        """Apply one read of the platform's instance list."""
        leaving_by_name = {each.name: each.leaving for each in listed}
        now = self.clock.monotonic()
        leaving = {key.backend_id for key in self.drain.leaving()}
        for backend_id in (leaving_by_name.keys() | leaving) & self.key_by_id.keys():
            is_leaving = leaving_by_name.get(backend_id, False)
            self.drain.record_listed(self.key_by_id[backend_id], is_leaving, now)
        self.apply_changes()

    def apply_report(
        self, key: BackendKey, known: ObservedReport, picks_before: int = 0
    ) -> None:
        """Apply a newer report from a peer or a probe to the router of its server."""
        router = self.router(key)
        if router is not None and self.reports.apply(key, known):
            router.apply_peer_report(
                key.backend_id, known.report, known.observed_at, picks_before
            )

    def router(self, key: BackendKey) -> ServiceRouter | None:
        """Return the router of a registered server; None if there is none."""
        if not self.is_registered(key):
            return None
        service = self.document.register.backends[key.backend_id].service
        return self.directory.router_by_service.get(service)

    def apply_changes(self) -> None:
        """Apply changed drain states to the routers and wake the gossip."""
        changed = self.drain.pop_changed()
        if not changed:
            return
        for key in changed:
            self._count_change(key)
            self._update_router(key.backend_id)
        self.drain_changed.set()

    def leaving_ids(self) -> list[str]:
        """Return the IDs of servers that are leaving or that the register drains."""
        backends = self.document.register.backends
        marked = {name for name, each in backends.items() if each.draining}
        return sorted(marked | {key.backend_id for key in self.drain.leaving()})

    def is_backend(self, name: str) -> bool:
        """Return whether a name in the platform's list is a registered backend ID."""
        return name in self.key_by_id

    def is_registered(self, key: BackendKey) -> bool:
        """Return whether the register has a server with exactly this key."""
        return self.key_by_id.get(key.backend_id) == key

    def _update_router(self, backend_id: str) -> None:
        backend = self.document.register.backends.get(backend_id)
        if backend is None:
            return
        leaving = self.drain.is_leaving(self.key_by_id[backend_id])
        self.directory.set_draining(
            backend.service, backend_id, backend.draining or leaving
        )

    def _count_change(self, key: BackendKey) -> None:
        state = self.drain.held_by_key[key].state
        if state.leaving and key not in self.leaving_keys:
            self.leaving_keys.add(key)
            self.counters.servers_left += 1
            signals = ', '.join(sorted(signal.value for signal in state.signals))
            log.info('health: %s is leaving, signs: %s.', key.backend_id, signals)
        elif not state.leaving and key in self.leaving_keys:
            self.leaving_keys.discard(key)
            self.closes.forget(key)
            self.counters.servers_returned += 1
            log.info('health: server returned. backend=%s', key.backend_id)


def make_key(backend_id: str, backend: Backend) -> BackendKey:
    """Return the key of a server: its ID, address and incarnation."""
    address = f'{backend.host}:{backend.port}'
    return BackendKey(backend_id, address, backend.incarnation)


def make_tracker(
    directory: Directory,
    clock: Clock,
    random: Random,
    max_instances: int,
    *,
    counts_closes: bool = True,
) -> HealthTracker:
    """Return a tracker whose probe budget starts empty now."""
    return HealthTracker(
        directory,
        clock,
        ProbeBudget(clock.monotonic()),
        Reachability(random),
        max_instances,
        counts_closes=counts_closes,
    )

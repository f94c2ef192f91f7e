"""Keep the health of all backend servers and tell the routers."""

import logging
from collections.abc import Collection, Iterable
from random import Random

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.difference import compare
from catkinslip.config.documents import AcceptedConfig, Backend, Document
from catkinslip.health.budget import ProbeBudget, ProbeTerms
from catkinslip.health.counters import HealthCounters
from catkinslip.health.drain import DrainSign, DrainTable
from catkinslip.health.reachability import Reachability
from catkinslip.health.reports import KnownReport, ReportTable
from catkinslip.health.signs import CloseCounter, says_close, says_drain
from catkinslip.models import BackendKey
from catkinslip.routing.base import Choice, Estimate, LoadReport
from catkinslip.routing.directory import Directory
from catkinslip.routing.router import ServiceRouter
from catkinslip.store.base import ListedInstance

Headers = Iterable[tuple[bytes, bytes]]

log = logging.getLogger('health')


def make_terms(document: Document, max_instances: int) -> dict[str, ProbeTerms]:
    """Return what a configuration and the settings allow each service."""
    return {
        name: ProbeTerms(
            service.probes_per_second,
            service.calls_per_probe,
            max_instances,
        )
        for name, service in document.effective_services().items()
    }


@define
class HealthTracker:
    """Take signs and answers from every source and keep the routers in step."""

    directory: Directory
    clock: Clock
    budget: ProbeBudget
    reachability: Reachability
    max_instances: int
    #: Whether closes in a row are a sign; only probes that prove a return end it.
    counts_closes: bool = True
    drain: DrainTable = Factory(DrainTable)
    reports: ReportTable = Factory(ReportTable)
    closes: CloseCounter = Factory(CloseCounter)
    counters: HealthCounters = Factory(HealthCounters)
    document: Document = Factory(Document)
    key_by_id: dict[str, BackendKey] = Factory(dict)
    terms_by_service: dict[str, ProbeTerms] = Factory(dict)
    leaving_keys: set[BackendKey] = Factory(set)
    #: Set when a server began or ceased to leave, until a peer has been told.
    drain_changed: trio.Event = Factory(trio.Event)

    def update(self, config: AcceptedConfig) -> None:
        """Take over a new configuration, after the directory did."""
        difference = compare(self.document, config.document)
        self.document = config.document
        if difference.redefined:
            self.terms_by_service = make_terms(config.document, self.max_instances)
        now = self.clock.monotonic()
        for backend_id in difference.backends:
            self._replace_key(backend_id, now)
        self.drain.forget_old(now)
        self.budget.forget_old(self._addresses, now)
        for key in self.drain.leaving():
            self._tell_router(key.backend_id)

    def _addresses(self) -> set[str]:
        return {key.address for key in self.key_by_id.values()}

    def _replace_key(self, backend_id: str, now: float) -> None:
        """Forget a server that is not the one it was, and expect the one that is."""
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
            self.drain.take_back(new, now)
            self.reports.expect(new, now)

    def count_call(self, service: str) -> None:
        """Count one call of a caller, which pays for probes."""
        self.counters.calls += 1
        terms = self.terms_by_service.get(service)
        if terms is not None:
            self.budget.count_call(service, terms)

    def answered(
        self, backend_id: str, headers: Headers, report: LoadReport | None
    ) -> None:
        """Take what the head of an answer says of its backend server."""
        key = self.key_by_id.get(backend_id)
        if key is None:
            return
        now = self.clock.monotonic()
        self.reports.answered(key, now)
        if self.reachability.reached(key):
            log.info('health: %s answers again.', backend_id)
            self._doubt(key, now)
        if report is not None:
            self.reports.learn(key, KnownReport(report, now))
        if says_drain(headers):
            self.drain.sign(key, DrainSign.OWN, now)
        elif self._begins_to_close(key, headers):
            self.drain.sign(key, DrainSign.CLOSE, now)
        self.settle()

    def _begins_to_close(self, key: BackendKey, headers: Headers) -> bool:
        if not self.counts_closes or self.drain.is_leaving(key):
            return False
        return self.closes.answered(key, says_close(headers))

    def leaves(self, backend_id: str) -> None:
        """Take that a server said in an answer that it leaves."""
        key = self.key_by_id.get(backend_id)
        if key is not None:
            self.drain.sign(key, DrainSign.OWN, self.clock.monotonic())
            self.settle()

    def refused(self, backend_id: str) -> None:
        """Take a refused connection."""
        key = self.key_by_id.get(backend_id)
        if key is None:
            return
        self.counters.connects_refused += 1
        now = self.clock.monotonic()
        pause = self.reachability.failed(key, now)
        self._doubt(key, now)
        log.info('health: %s refuses connections, next in %.1f s.', backend_id, pause)

    def _doubt(self, key: BackendKey, now: float) -> None:
        router = self.router(key)
        if router is not None:
            router.mark_possibly_restarted(key.backend_id, now)

    def choose(self, router: ServiceRouter, tried: Collection[str]) -> Choice | None:
        """Choose a server; one that refuses connections only as a last resort."""
        now = self.clock.monotonic()
        avoided = self.reachability.avoided(now)
        choice = router.choose(now, [*tried, *avoided]) if avoided else None
        choice = choice or router.choose(now, tried)
        if choice is not None and self.reachability.pause_by_key:
            self.reachability.tried(self.key_by_id[choice.backend_id], now)
        return choice

    def rank(self, router: ServiceRouter, tried: Collection[str]) -> list[Estimate]:
        """Return what is expected at servers, best first, but for refusing ones."""
        now = self.clock.monotonic()
        return router.rank(now, [*tried, *self.reachability.avoided(now)])

    def learn_list(self, listed: Iterable[ListedInstance]) -> None:
        """Take one read of the platform's list."""
        leaving_by_name = {each.name: each.leaving for each in listed}
        now = self.clock.monotonic()
        leaving = {key.backend_id for key in self.drain.leaving()}
        for backend_id in (leaving_by_name.keys() | leaving) & self.key_by_id.keys():
            says_leaving = leaving_by_name.get(backend_id, False)
            self.drain.listed(self.key_by_id[backend_id], says_leaving, now)
        self.settle()

    def learn_report(
        self, key: BackendKey, known: KnownReport, picks_before: int = 0
    ) -> None:
        """Give a router a report that a peer or a probe observed."""
        router = self.router(key)
        if router is not None and self.reports.learn(key, known):
            router.apply_peer_report(
                key.backend_id, known.report, known.observed_at, picks_before
            )

    def router(self, key: BackendKey) -> ServiceRouter | None:
        """Return the router that knows a registered server."""
        if not self.is_registered(key):
            return None
        service = self.document.register.backends[key.backend_id].service
        return self.directory.router_by_service.get(service)

    def settle(self) -> None:
        """Tell the routers and the spreader what changed."""
        changed = self.drain.take_changed()
        if not changed:
            return
        for key in changed:
            self._count_change(key)
            self._tell_router(key.backend_id)
        self.drain_changed.set()

    def leaving_ids(self) -> list[str]:
        """Return the servers that take no new work, by any sign or the register."""
        backends = self.document.register.backends
        marked = {name for name, each in backends.items() if each.draining}
        return sorted(marked | {key.backend_id for key in self.drain.leaving()})

    def is_backend(self, name: str) -> bool:
        """Tell whether a name of the platform's list is a backend server's."""
        return name in self.key_by_id

    def is_registered(self, key: BackendKey) -> bool:
        """Tell whether the register holds a server at its address."""
        return self.key_by_id.get(key.backend_id) == key

    def _tell_router(self, backend_id: str) -> None:
        backend = self.document.register.backends.get(backend_id)
        if backend is None:
            return
        leaving = self.drain.is_leaving(self.key_by_id[backend_id])
        self.directory.set_draining(
            backend.service, backend_id, backend.draining or leaving
        )

    def _count_change(self, key: BackendKey) -> None:
        word = self.drain.held_by_key[key].word
        if word.leaving and key not in self.leaving_keys:
            self.leaving_keys.add(key)
            self.counters.servers_left += 1
            signs = ', '.join(sorted(sign.value for sign in word.signs))
            log.info('health: %s is leaving, signs: %s.', key.backend_id, signs)
        elif not word.leaving and key in self.leaving_keys:
            self.leaving_keys.discard(key)
            self.closes.forget(key)
            self.counters.servers_returned += 1
            log.info('health: %s has returned.', key.backend_id)


def make_key(backend_id: str, backend: Backend) -> BackendKey:
    """Return what tells a server from others under its ID."""
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
    """Return a tracker whose budget starts empty now."""
    return HealthTracker(
        directory,
        clock,
        ProbeBudget(clock.monotonic()),
        Reachability(random),
        max_instances,
        counts_closes=counts_closes,
    )

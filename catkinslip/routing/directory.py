"""The routers of all services, kept up to date with the configuration."""

import logging
from collections.abc import Callable, Collection, Mapping
from math import inf
from random import Random

from attrs import Factory, define

from catkinslip.clock import Clock, SystemClock
from catkinslip.config.difference import DocumentDifference, compare_documents
from catkinslip.config.documents import AcceptedConfig, Backend, Document, Service
from catkinslip.models import Address
from catkinslip.resting.gate import RestGate
from catkinslip.routing.base import BackendLoad, Policy
from catkinslip.routing.router import ServiceRouter, ignore_load_change
from catkinslip.routing.sample import Sample
from catkinslip.routing.subset import Subset
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.registry import OnObservation, ignore_observation
from catkinslip.warmup.gate import ColdGate

log = logging.getLogger('routing')


def no_bound(requests_per_second: float) -> float:
    """Return infinity: cold servers get as many requests as others."""
    return inf


def has_no_idle(address: Address) -> bool:
    """Return that there is no idle connection to an address."""
    return False


@define
class Directory:
    """The router of each service and the address of each backend server."""

    make_policy: Callable[[], Policy]
    router_by_service: dict[str, ServiceRouter] = Factory(dict)
    throttle_by_service: dict[str, ThrottleGate] = Factory(dict)
    rest_by_service: dict[str, RestGate] = Factory(dict)
    address_by_backend: dict[str, Address] = Factory(dict)
    document: Document = Factory(Document)
    #: Factory of the sample of servers that a service's selection starts with.
    make_sample: Callable[[], Sample] = lambda: Sample(Random())
    #: Factory of the subset of a service's servers, from the service's name.
    make_subset: Callable[[str], Subset] = lambda service: Subset(service=service)
    #: Function that returns whether there is an idle connection to an address.
    has_idle: Callable[[Address], bool] = has_no_idle
    on_load_change: Callable[[BackendLoad], None] = ignore_load_change
    #: Factory of the gate that limits requests to the cold servers of a service.
    make_cold_gate: Callable[[], ColdGate] = ColdGate
    #: Callback for what answers report about the request rates that servers advertise.
    on_rate_seen: OnObservation = ignore_observation
    #: Factory of the gate that limits requests to throttled servers of a service.
    make_throttle: Callable[[], ThrottleGate] = ThrottleGate
    #: Function from the requests that a cold server handles in a second to the bound on
    #: requests to it in any second.
    cold_bound: Callable[[float], float] = no_bound
    clock: Clock = Factory(SystemClock)
    #: Function that returns the known region of each availability zone.
    region_by_zone: Callable[[], Mapping[str, str]] = dict
    #: Availability zones whose servers get no new requests.
    closed_zones: frozenset[str] = frozenset()
    #: Whether any configuration is in force.
    is_ready: bool = False

    def update(self, config: AcceptedConfig) -> None:
        """Apply the changes of a new configuration."""
        before, document = self.document, config.document
        difference = compare_documents(before, document)
        self.document = document
        self.is_ready = True
        self._update_addresses(difference.backends)
        self._close_zones(frozenset(document.rules.evacuated_zones))
        services = document.effective_services()
        now = self.clock.monotonic()
        for name in difference.services - services.keys():
            self._drop_router(name)
        for name in difference.redefined & services.keys():
            router = self._router(name)
            self._configure_cold(router, services[name])
            router.update(services[name], backends_of(name, document), now)
        for name, changed in changes_by_service(before, document, difference).items():
            if name in services and name not in difference.redefined:
                self._router(name).change(services[name], changed, now)

    def _drop_router(self, service: str) -> None:
        router = self.router_by_service.pop(service, None)
        if router is not None:
            # Calls in flight still have the router, and must find no server there.
            router.remove_servers()

    def _configure_cold(self, router: ServiceRouter, service: Service) -> None:
        bound = inf
        if service.cold_requests_per_second > 0:
            bound = self.cold_bound(service.cold_requests_per_second)
        router.cold.configure(service.cold_seconds, bound)

    def _close_zones(self, zones: frozenset[str]) -> None:
        if zones == self.closed_zones:
            return
        self.closed_zones = zones
        log.info('routing: zones closed to new requests: %s.', sorted(zones) or 'none')
        for router in self.router_by_service.values():
            router.close_zones(zones, self.clock.monotonic())

    def _router(self, service: str) -> ServiceRouter:
        router = self.router_by_service.get(service)
        if router is None:
            throttle = self._throttle(service)
            router = ServiceRouter(
                self.make_policy(),
                sample=self.make_sample(),
                subset=self.make_subset(service),
                is_connected=self._is_connected,
                on_load_change=self.on_load_change,
                closed_zones=self.closed_zones,
                cold=self.make_cold_gate(),
                throttle=throttle,
                # Rest periods survive the removal and return of a service.
                rest=self.rest_by_service.setdefault(service, RestGate()),
            )
            self.router_by_service[service] = router
        return router

    def _is_connected(self, load: BackendLoad) -> bool:
        address = self.address_by_backend.get(load.backend_id)
        return address is not None and self.has_idle(address)

    def _throttle(self, service: str) -> ThrottleGate:
        """Return the throttle gate of a service, which outlasts the router."""
        throttle = self.throttle_by_service.get(service)
        if throttle is None:
            throttle = self.make_throttle()
            throttle.registry.on_observation = self.on_rate_seen
            self.throttle_by_service[service] = throttle
        return throttle

    def _update_addresses(self, changed: frozenset[str]) -> None:
        backends = self.document.register.backends
        for backend_id in changed:
            backend = backends.get(backend_id)
            if backend is None:
                self.address_by_backend.pop(backend_id, None)
            else:
                address = Address(backend.host, backend.port)
                self.address_by_backend[backend_id] = address

    def servers_outside(self, service: str, regions: Collection[str]) -> frozenset[str]:
        """Return the servers of a service whose zone is in none of some regions.

        A zone whose region is unknown is in none of them.
        """
        router = self.router_by_service.get(service)
        if router is None or not regions:
            return frozenset()
        zones = frozenset(
            zone for zone, region in self.region_by_zone().items() if region in regions
        )
        return router.servers_outside(zones)

    def find_router(self, backend_id: str) -> ServiceRouter | None:
        """Return the router of the service that a server belongs to."""
        backend = self.document.register.backends.get(backend_id)
        return None if backend is None else self.router_by_service.get(backend.service)

    def find_router_of_start(
        self, backend_id: str, start_tag: int
    ) -> ServiceRouter | None:
        """Return the router of a server, or None if the server restarted since."""
        router = self.find_router(backend_id)
        if router is None or router.load_by_id[backend_id].start_tag != start_tag:
            return None
        return router

    def set_draining(self, service: str, backend_id: str, draining: bool) -> None:
        """Set whether a backend server drains and gets no new requests."""
        router = self.router_by_service.get(service)
        if router is not None and backend_id in router.load_by_id:
            router.load_by_id[backend_id].draining = draining


def backends_of(service: str, document: Document) -> dict[str, Backend]:
    """Return the backend servers of a service, by ID."""
    return {
        backend_id: backend
        for backend_id, backend in document.register.backends.items()
        if backend.service == service
    }


def changes_by_service(
    before: Document, after: Document, difference: DocumentDifference
) -> dict[str, dict[str, Backend | None]]:
    """Return the changed servers of each service; None marks a removed server."""
    changes: dict[str, dict[str, Backend | None]] = {}
    for backend_id in difference.backends:
        old = before.register.backends.get(backend_id)
        new = after.register.backends.get(backend_id)
        if old is not None:
            changes.setdefault(old.service, {})[backend_id] = None
        if new is not None:
            changes.setdefault(new.service, {})[backend_id] = new
    return changes

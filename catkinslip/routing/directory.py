"""The routers of all services, kept in step with the configuration."""

from collections.abc import Callable

from attrs import Factory, define

from catkinslip.config.difference import compare
from catkinslip.config.documents import AcceptedConfig, Backend, Document
from catkinslip.models import Address
from catkinslip.routing.base import BackendLoad, Policy
from catkinslip.routing.router import WINDOW_SIZE, ServiceRouter, ignore_news


@define
class Directory:
    """Hold one router per service and the address of each backend server."""

    make_policy: Callable[[], Policy]
    router_by_service: dict[str, ServiceRouter] = Factory(dict)
    address_by_backend: dict[str, Address] = Factory(dict)
    document: Document = Factory(Document)
    #: Backend servers of a service that one choice looks at.
    window_size: int = WINDOW_SIZE
    on_news: Callable[[BackendLoad], None] = ignore_news
    #: Whether any configuration is in force.
    is_ready: bool = False

    def update(self, config: AcceptedConfig) -> None:
        """Take over what a new configuration changes."""
        document = config.document
        difference = compare(self.document, document)
        self.document = document
        self.is_ready = True
        self._update_addresses(difference.backends)
        services = document.effective_services()
        backends_by_service: dict[str, dict[str, Backend]] = {
            name: {} for name in difference.services if name in services
        }
        for backend_id, backend in document.register.backends.items():
            if backend.service in backends_by_service:
                backends_by_service[backend.service][backend_id] = backend
        for name in difference.services - services.keys():
            self.router_by_service.pop(name, None)
        for name, backend_by_id in backends_by_service.items():
            router = self.router_by_service.get(name)
            if router is None:
                router = ServiceRouter(
                    self.make_policy(),
                    window_size=self.window_size,
                    on_news=self.on_news,
                )
                self.router_by_service[name] = router
            router.update(services[name], backend_by_id)

    def _update_addresses(self, changed: frozenset[str]) -> None:
        backends = self.document.register.backends
        for backend_id in changed:
            backend = backends.get(backend_id)
            if backend is None:
                self.address_by_backend.pop(backend_id, None)
            else:
                address = Address(backend.host, backend.port)
                self.address_by_backend[backend_id] = address

    def find_router(self, backend_id: str) -> ServiceRouter | None:
        """Return the router that chooses among a server and others."""
        backend = self.document.register.backends.get(backend_id)
        return None if backend is None else self.router_by_service.get(backend.service)

    def set_draining(self, service: str, backend_id: str, draining: bool) -> None:
        """Give a backend server new work, or none."""
        router = self.router_by_service.get(service)
        if router is not None and backend_id in router.load_by_id:
            router.load_by_id[backend_id].draining = draining

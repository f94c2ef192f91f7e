"""The routers of all services, kept in step with the configuration."""

from collections.abc import Callable

from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig, Backend
from catkinslip.models import Address
from catkinslip.routing.base import Policy
from catkinslip.routing.router import ServiceRouter


@define
class Directory:
    """Hold one router per service and the address of each backend server."""

    make_policy: Callable[[], Policy]
    router_by_service: dict[str, ServiceRouter] = Factory(dict)
    address_by_backend: dict[str, Address] = Factory(dict)
    #: Whether any configuration is in force.
    is_ready: bool = False

    def update(self, config: AcceptedConfig) -> None:
        """Take over a new configuration."""
        self.is_ready = True
        register = config.document.register
        services = config.document.effective_services()
        backends_by_service: dict[str, dict[str, Backend]] = {
            name: {} for name in register.services
        }
        for backend_id, backend in register.backends.items():
            backends_by_service[backend.service][backend_id] = backend
        for name in set(self.router_by_service) - set(register.services):
            del self.router_by_service[name]
        for name, service in services.items():
            router = self.router_by_service.get(name)
            if router is None:
                router = ServiceRouter(self.make_policy())
                self.router_by_service[name] = router
            router.update(service, backends_by_service[name])
        self.address_by_backend = {
            backend_id: Address(backend.host, backend.port)
            for backend_id, backend in register.backends.items()
        }

    def set_draining(self, service: str, backend_id: str, draining: bool) -> None:
        """Give a backend server new work, or none."""
        router = self.router_by_service.get(service)
        if router is not None and backend_id in router.load_by_id:
            router.load_by_id[backend_id].draining = draining

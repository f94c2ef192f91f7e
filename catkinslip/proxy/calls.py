"""Making of calls from requests and the configuration in force."""

from math import inf
from random import Random

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.documents import Document, Service
from catkinslip.config.holder import ConfigHolder
from catkinslip.proxy.bodies import Body
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import CallParameters, Dialect
from catkinslip.proxy.head_checks import origin_form
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun
from catkinslip.routing.routes import RouteTable

__all__ = ['Call', 'CallFactory']


@define
class CallFactory:
    """Factory of calls from request heads and bodies; the timeout is in seconds."""

    clock: Clock
    random: Random
    config: ConfigHolder
    request_timeout: float
    dialect: Dialect
    #: Whether deadlines also apply on the wall clock; False where that clock is set in
    #: jumps.
    uses_wall_clock: bool = True
    #: Configuration document that the services and routes were read from.
    document: Document | None = None
    service_by_name: dict[str, Service] = Factory(dict)
    routes: RouteTable = Factory(lambda self: RouteTable(self.random), takes_self=True)

    def new_request_id(self) -> str:
        """Return a new random ID for a request that has none."""
        return f'{self.random.getrandbits(64):016x}'

    def make(
        self, request: RequestHead, body: Body, peer: str, waited: float = 0.0
    ) -> Call | NotRun:
        """Return the call of a request, or a refusal if a call header is malformed.

        Its deadlines count from its arrival, which was `waited` seconds ago.
        """
        wall = self.clock.wall() - waited
        parameters = self.dialect.read_parameters(request, wall)
        if isinstance(parameters, NotRun):
            return parameters
        self._update_document()
        target = origin_form(request.target)
        call = Call(
            request_id=parameters.request_id or self.new_request_id(),
            service=parameters.service,
            method=request.method,
            target=target,
            headers=request.headers,
            body=body.start,
            repeatable=False,
            deadline=inf,
            attempt=parameters.attempt,
            caller_timeout=parameters.timeout,
            peer=peer,
            body_remainder=body.remainder,
        )
        now = self.clock.monotonic() - waited
        timeout = self._apply_rules(call, parameters, path_of(target), now)
        if parameters.timeout is not None:
            timeout = min(timeout, parameters.timeout)
        call.deadline = now + timeout
        call.caller_deadline = now + (parameters.timeout or timeout)
        if self.uses_wall_clock:
            call.wall_deadline = wall + timeout
        return call

    def is_repeatable(self, request: RequestHead) -> bool:
        """Return whether a request may be sent again; False if it is malformed."""
        parameters = self.dialect.read_parameters(request, self.clock.wall())
        if isinstance(parameters, NotRun):
            return False
        self._update_document()
        path = path_of(origin_form(request.target))
        turns = self.routes.find(parameters.host, path)
        if turns is not None:
            return turns.route.repeatable
        method = request.method.decode('latin-1')
        return self.document.is_repeatable(parameters.service, method, path)

    def _update_document(self) -> None:
        document = self.config.current.document
        if document is not self.document:
            self.document = document
            self.service_by_name = document.effective_services()
            self.routes.update(document)

    def _apply_rules(
        self, call: Call, parameters: CallParameters, path: str, now: float
    ) -> float:
        """Apply the rules to a call and return its maximum duration in seconds."""
        turns = self.routes.find(parameters.host, path)
        if turns is not None:
            route = turns.route
            call.service = turns.next_service()
            call.route = turns.name
            call.repeatable = route.repeatable
            call.target_latency = route.target_latency
            call.target_deadline = now + route.target_latency
            call.priority = route.priority
            call.max_attempts = route.max_attempts
            call.regions = route.regions
            return min(self.request_timeout, route.timeout)
        method = call.method.decode('latin-1')
        call.repeatable = self.document.is_repeatable(call.service, method, path)
        service = self.service_by_name.get(call.service)
        if service is None:
            return self.request_timeout
        return min(self.request_timeout, service.timeout)


def path_of(target: bytes) -> str:
    """Return the path of a target in origin form, without its query."""
    return target.decode('latin-1').partition('?')[0]

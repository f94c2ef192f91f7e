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
from catkinslip.proxy.head_checks import has_dot_segment, origin_form
from catkinslip.proxy.headers import IDEMPOTENCY_KEY, Header, RequestHead, find
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.relayed import NoRelays, RelayGate, RelayHead
from catkinslip.routing.routes import RouteTable, RouteTurns
from catkinslip.workspaces.checker import KeyChecker
from catkinslip.workspaces.signatures import verify_signature


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
    #: Gate of the requests that other instances relay to this one.
    relays: RelayGate = Factory(NoRelays)
    #: Configuration document that the services and routes were read from.
    document: Document | None = None
    service_by_name: dict[str, Service] = Factory(dict)
    routes: RouteTable = Factory(lambda self: RouteTable(self.random), takes_self=True)
    keys: KeyChecker = Factory(lambda self: KeyChecker(self.clock), takes_self=True)

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
            headers=self._headers_to_forward(request.headers),
            body=body.start,
            repeatable=False,
            deadline=inf,
            attempt=parameters.attempt,
            caller_timeout=parameters.timeout,
            peer=peer,
            body_remainder=body.remainder,
        )
        now = self.clock.monotonic() - waited
        path = path_of(target)
        relayed = self.relays.read(request.headers)
        if relayed is not None:
            call.relayed, call.refusal = relayed.head, relayed.refusal
        timeout = self._apply_rules(call, parameters, path, now)
        if call.relayed is not None and call.refusal is None:
            self._apply_relay_head(call, call.relayed, parameters, path)
        elif call.refusal is None and self._needs_key(call, parameters, path):
            self._apply_key(call, request)
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
            self.keys.update(document.rules.workspaces, self.config.current.version)

    def _headers_to_forward(self, headers: list[Header]) -> list[Header]:
        """Return the caller's headers without those of keys and workspaces.

        Without workspaces, headers with common names are like any others. Once there
        were some, a caller may still send a key although there are none now.
        """
        is_reserved = self.dialect.reserves_workspace_headers
        if not is_reserved and not self.keys.has_had_workspaces:
            return headers
        return self.dialect.without_workspace_headers(headers)

    def _needs_key(self, call: Call, parameters: CallParameters, path: str) -> bool:
        """Return whether a call needs an API key.

        One without a route or service does not: it is refused with 404. One that names
        its service directly does, as it would otherwise get around the routes; so does
        one on a public route whose server may take its path for that of another route.
        """
        if not self.keys.workspace_by_name:
            return False
        turns = self.routes.find(parameters.host, path)
        if turns is not None:
            return not turns.route.public or has_dot_segment(path)
        return call.service in self.service_by_name

    def _apply_key(self, call: Call, request: RequestHead) -> None:
        """Set the workspace of a call by its key, or the refusal."""
        passed = self._passed_workspace(call, request)
        found = passed or self.keys.check(
            self.dialect.read_keys(request.headers),
            call.request_id,
            lambda: f'route={call.route} config={self.config.current.version}',
        )
        if isinstance(found, NotRun):
            call.refusal = found
            return
        self._set_workspace(call, found)

    def _apply_relay_head(
        self, call: Call, head: RelayHead, parameters: CallParameters, path: str
    ) -> None:
        """Set the workspace that the sender found, or the refusal, and the limit."""
        call.runs = head.runs
        if head.workspace in self.keys.workspace_by_name:
            self._set_workspace(call, head.workspace)
        elif head.workspace or self._needs_key(call, parameters, path):
            # The rules differ: those of the sender had another key or none.
            call.refusal = NotRun(Reason.NOT_READY, 'other workspaces')

    def _set_workspace(self, call: Call, name: str) -> None:
        call.workspace = name
        priority = self.keys.workspace_by_name[name].priority
        if priority is not None:
            call.priority = priority

    def _passed_workspace(self, call: Call, request: RequestHead) -> str | None:
        """Return the workspace that another instance passed on; None if none did."""
        name = self.dialect.passed_header
        value = find(request.headers, name) if name else None
        if value is None:
            return None
        return verify_signature(
            value.decode('latin-1'), self.keys.workspace_by_name, signed_parts(call)
        )

    def _service_of(self, turns: RouteTurns, relayed: RelayHead | None) -> str:
        """Return the service of a request: the sender's choice if it was relayed."""
        services = [part.service for part in turns.route.parts]
        if relayed is not None and relayed.service in services:
            return relayed.service
        return turns.next_service()

    def _apply_rules(
        self, call: Call, parameters: CallParameters, path: str, now: float
    ) -> float:
        """Apply the rules to a call and return its maximum duration in seconds."""
        turns = self.routes.find(parameters.host, path)
        if turns is not None:
            route = turns.route
            call.service = self._service_of(turns, call.relayed)
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


def signed_parts(call: Call) -> tuple[bytes, ...]:
    """Return the parts of a call that the signature of its workspace covers.

    The idempotency key is one of them, so that a signature is of use for one request
    only.
    """
    key = find(call.headers, IDEMPOTENCY_KEY) or b''
    return (call.method, call.target, call.request_id.encode(), key)

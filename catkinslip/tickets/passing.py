"""Forwarding of a request to the home of its key, over at most one hop."""

import h11
import orjson
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import Member
from catkinslip.models import Address
from catkinslip.proxy import headers as names
from catkinslip.proxy.call import Call
from catkinslip.proxy.calls import signed_parts
from catkinslip.proxy.exchange import AnswerHead, Attempt
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.problems import TYPE_PREFIX
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.wire import Wire
from catkinslip.workspaces.signatures import make_signatures

#: Size in bytes beyond which no more of a problem document is read.
MAX_PROBLEM_BYTES = 16 << 10
REASON_BY_TYPE = {TYPE_PREFIX + reason.slug: reason for reason in Reason}


@define
class HomeAttempt(Attempt):
    """An attempt at the home of a key, whose answer carries the outcome.

    Without an answer of the home the outcome is unknown: an earlier request with the
    same key may have run there.
    """

    own_id: str = ''
    #: The header that proves the call's workspace to the home, if it has one.
    workspace_signature: list[names.Header] = Factory(list)

    async def start(self) -> AnswerHead | NotRun | Unknown:
        """Send the request on a new connection and wait for the answer's head.

        Returns Unknown instead of NotRun if no byte was sent to the home.
        """
        result = await self._start(0.0)
        if isinstance(result, NotRun) and not self.is_sent:
            return Unknown(
                Reason.HOME_UNREACHABLE, result.detail or result.reason.title
            )
        return result

    async def _classify_response(
        self, wire: Wire, response: h11.Response
    ) -> AnswerHead | NotRun | Unknown:
        outcome = names.find(response.headers, names.OUTCOME)
        if outcome is None:
            return await super()._classify_response(wire, response)
        problem = await read_problem(wire)
        reason = REASON_BY_TYPE.get(problem.get('type'))
        detail = str(problem.get('detail', ''))
        if outcome == names.NOT_RUN and reason is not None:
            return NotRun(reason, detail)
        return Unknown(reason or Reason.BROKEN, detail)

    def _request_events(self) -> list[h11.Event]:
        request, *rest = super()._request_events()
        service = (names.SERVICE, self.call.service.encode())
        passed_by = (names.PASSED_BY, self.own_id.encode())
        headers = [*request.headers, service, passed_by, *self.workspace_signature]
        request = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        return [request, *rest]


@define
class HomeForwarder:
    """The forwarder of requests to their home and of answers to the caller."""

    own_id: str
    pool: BackendPool
    clock: Clock
    config: ConfigHolder = Factory(ConfigHolder)
    stop_gate: StopGate = Factory(StopGate)

    async def send(self, call: Call, home: Member, caller: Wire) -> Outcome:
        """Forward one request to its home within its deadline."""
        attempt = HomeAttempt(
            call,
            Address.parse(home.address),
            caller,
            self.pool,
            self.clock,
            stop_gate=self.stop_gate,
            own_id=self.own_id,
            workspace_signature=self._workspace_signature(call),
        )
        with trio.move_on_after(max(0.0, call.deadline - self.clock.monotonic())):
            return await attempt.run()
        return Unknown(Reason.DEADLINE, 'no whole answer of the home')

    def _workspace_signature(self, call: Call) -> list[names.Header]:
        """Return the header that proves a call's workspace; empty if it has none."""
        workspaces = self.config.current.document.rules.workspaces
        workspace = workspaces.get(call.workspace)
        if workspace is None:
            return []
        value = make_signatures(call.workspace, workspace, signed_parts(call))
        return [(names.PASSED_WORKSPACE, value.encode())]


async def read_problem(wire: Wire) -> dict:
    """Read a problem document; return an empty dict if the body is not one."""
    data = b''
    while len(data) <= MAX_PROBLEM_BYTES:
        event = await wire.receive()
        if type(event) is not h11.Data:
            break
        data += bytes(event.data)
    try:
        problem = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return problem if isinstance(problem, dict) else {}

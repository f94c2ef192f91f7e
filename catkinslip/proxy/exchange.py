"""One attempt: send a request to a backend server and pass its answer on."""

from collections.abc import Callable

import h11
import trio
from attrs import define, field, frozen

from catkinslip.clock import Clock
from catkinslip.models import Address
from catkinslip.proxy import headers as names
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import Wire
from catkinslip.routing import reports


@define
class Call:
    """One request of a caller; the deadline is on the monotonic clock."""

    request_id: str
    service: str
    method: bytes
    target: bytes
    headers: list[names.Header]
    body: bytes
    repeatable: bool
    deadline: float
    attempt: int = 1
    began_at: float = 0.0


@frozen
class Attempt:
    """A call sent to one backend server, and the answer's way back."""

    call: Call
    address: Address
    caller: Wire
    pool: BackendPool
    clock: Clock
    is_first_byte_allowed: Callable[[], bool] = field(default=lambda: True)

    async def run(self) -> Outcome:
        """Send the request and pass the answer on."""
        try:
            wire = await self.pool.acquire(self.address)
        except OSError as error:
            return NotRun(Reason.CONNECT_FAILED, str(error))
        if self.clock.monotonic() >= self.call.deadline:
            await self.pool.release(self.address, wire)
            return NotRun(Reason.TOO_LATE)
        outcome: Outcome = Unknown(Reason.DEADLINE)
        try:
            outcome = await self._exchange(wire)
        finally:
            with trio.CancelScope(shield=True):
                await self.pool.release(self.address, wire)
        return outcome

    async def _exchange(self, wire: Wire) -> Outcome:
        try:
            await wire.send(*self._request_events())
            response = await receive_response(wire)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            return Unknown(Reason.BROKEN, repr(error))
        report = read_report(response)
        if is_refusal(response):
            await drain_body(wire)
            return NotRun(Reason.SHED, report=report)
        return await self._pass_on(wire, response, report)

    async def _pass_on(self, wire: Wire, response: h11.Response, report) -> Outcome:
        await self.caller.send(self._answer_head(response))
        while True:
            try:
                event = await wire.receive()
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as e:
                return Unknown(Reason.BROKEN, repr(e), answer_started=True)
            await self.caller.send(event)
            if type(event) is h11.EndOfMessage:
                return Answered(response.status_code, report)

    def _request_events(self) -> list[h11.Event]:
        call = self.call
        left = call.deadline - self.clock.monotonic()
        headers = [
            each
            for each in names.end_to_end(call.headers)
            if each[0] not in names.OWN and each[0] != b'content-length'
        ]
        headers.append((names.REQUEST_ID, call.request_id.encode()))
        headers.append((names.DEADLINE, b'%.3f' % (self.clock.wall() + left)))
        headers.append((names.ATTEMPT, b'%d' % call.attempt))
        if call.body or call.method in (b'POST', b'PUT', b'PATCH'):
            headers.append((b'content-length', b'%d' % len(call.body)))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        events: list[h11.Event] = [request]
        if call.body:
            events.append(h11.Data(data=call.body))
        events.append(h11.EndOfMessage())
        return events

    def _answer_head(self, response: h11.Response) -> h11.Response:
        headers = names.end_to_end(response.headers)
        headers.append((names.REQUEST_ID, self.call.request_id.encode()))
        return h11.Response(status_code=response.status_code, headers=headers)


async def receive_response(wire: Wire) -> h11.Response:
    """Return the final response head."""
    while True:
        event = await wire.receive()
        if type(event) is h11.Response:
            return event
        if type(event) is h11.ConnectionClosed:
            raise h11.RemoteProtocolError('closed before an answer')


async def drain_body(wire: Wire) -> None:
    """Read the rest of an answer that is not passed on."""
    try:
        while type(await wire.receive()) is not h11.EndOfMessage:
            pass
    except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
        await wire.close()


def is_refusal(response: h11.Response) -> bool:
    """Tell whether the backend server says that the request did not run."""
    return (
        response.status_code == 503
        and names.find(response.headers, names.OUTCOME) == names.NOT_RUN
    )


def read_report(response: h11.Response) -> reports.LoadReport | None:
    """Return the load report of an answer."""
    value = names.find(response.headers, reports.HEADER)
    return None if value is None else reports.parse_report(value)

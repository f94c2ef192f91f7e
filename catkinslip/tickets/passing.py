"""Pass a request to the home of its key, at most one hop."""

import h11
import trio
from attrs import define

from catkinslip.clock import Clock
from catkinslip.membership.members import Member
from catkinslip.models import Address
from catkinslip.proxy import headers as names
from catkinslip.proxy.exchange import Call, receive_response
from catkinslip.proxy.outcomes import Answered, Outcome, Reason, Unknown
from catkinslip.proxy.wire import Wire, client_wire

#: What the home must be told anew; the rest of the caller's headers go on.
REPLACED = frozenset({*names.OWN, names.PASSED_BY, b'content-length'})
CLOSE = (b'connection', b'close')


@define
class HomePasser:
    """Send a request to an instance and pass its answer on.

    Whatever goes wrong here is unknown: an earlier request with the same key may
    have run at the home.
    """

    own_id: str
    clock: Clock

    async def send(self, call: Call, home: Member, caller: Wire) -> Outcome:
        """Pass one request home within its deadline."""
        with trio.move_on_after(call.deadline - self.clock.monotonic()):
            return await self._send(call, home, caller)
        started = caller.codec.our_state is not h11.SEND_RESPONSE
        return Unknown(Reason.DEADLINE, 'no whole answer of the home', started)

    async def _send(self, call: Call, home: Member, caller: Wire) -> Outcome:
        address = Address.parse(home.address)
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as error:
            return Unknown(Reason.HOME_UNREACHABLE, str(error))
        wire = client_wire(stream)
        try:
            return await self._exchange(call, wire, caller)
        finally:
            with trio.CancelScope(shield=True):
                await wire.close()

    async def _exchange(self, call: Call, wire: Wire, caller: Wire) -> Outcome:
        try:
            await wire.send(*self._request_events(call))
            response = await receive_response(wire)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            return Unknown(Reason.HOME_UNREACHABLE, repr(error))
        headers = names.end_to_end(response.headers)
        await caller.send(
            h11.Response(status_code=response.status_code, headers=headers)
        )
        while True:
            try:
                event = await wire.receive()
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as e:
                return Unknown(Reason.BROKEN, repr(e), answer_started=True)
            await caller.send(event)
            if type(event) is h11.EndOfMessage:
                return Answered(response.status_code)

    def _request_events(self, call: Call) -> list[h11.Event]:
        left = call.deadline - self.clock.monotonic()
        headers = [
            each for each in names.end_to_end(call.headers) if each[0] not in REPLACED
        ]
        headers.append((names.SERVICE, call.service.encode()))
        headers.append((names.REQUEST_ID, call.request_id.encode()))
        headers.append((names.DEADLINE, b'%.3f' % (self.clock.wall() + left)))
        headers.append((names.PASSED_BY, self.own_id.encode()))
        headers.append((b'content-length', b'%d' % len(call.body)))
        headers.append(CLOSE)
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        return [request, h11.Data(data=call.body), h11.EndOfMessage()]


def limit_deadline(call: Call, clock: Clock) -> None:
    """Take over the deadline of the instance that passed a request home."""
    given = names.find(call.headers, names.DEADLINE)
    if given is None or names.find(call.headers, names.PASSED_BY) is None:
        return
    try:
        left = float(given) - clock.wall()
    except ValueError:
        return
    call.deadline = min(call.deadline, clock.monotonic() + left)

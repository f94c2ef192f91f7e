"""Serve callers' connections."""

import logging
from contextlib import suppress

import h11
import trio
from attrs import Factory, define

from catkinslip.addresses.answers import PATH_PREFIX, AddressBook, UnknownService
from catkinslip.config.holder import ConfigHolder
from catkinslip.environment import Environment
from catkinslip.proxy import headers as names
from catkinslip.proxy.draining import CallerDrain
from catkinslip.proxy.exchange import Call
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.problems import problem_events
from catkinslip.proxy.wire import Wire

MAX_BODY_BYTES = 1 << 20

log = logging.getLogger('request')


@define
class CallerServer:
    """Read requests of callers and answer each."""

    environment: Environment
    config: ConfigHolder
    forwarder: Forwarder
    addresses: AddressBook
    request_timeout: float
    drain: CallerDrain = Factory(CallerDrain)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until either side closes it."""
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        wire = self.drain.wire(stream)
        try:
            while await self._serve_request(wire):
                wire.codec.start_next_cycle()
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(wire, error)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            # One caller's connection must not stop the process.
            log.exception('request: a connection failed.')
        finally:
            with trio.CancelScope(shield=True):
                await wire.close()

    async def _serve_request(self, wire: Wire) -> bool:
        request = await wire.receive()
        if type(request) is not h11.Request:
            return False
        body = await receive_body(wire)
        if request.target.startswith(PATH_PREFIX):
            await self._answer_addresses(wire, request)
        else:
            call = self._make_call(request, body)
            outcome = await self.forwarder.forward(call, wire)
            await self._report(wire, call, outcome)
        codec = wire.codec
        return codec.our_state is h11.DONE and codec.their_state is h11.DONE

    def _make_call(self, request: h11.Request, body: bytes) -> Call:
        headers = request.headers
        service = names.find(headers, names.SERVICE) or names.find(headers, b'host')
        service_name = (service or b'').decode('latin-1').partition(':')[0]
        method = request.method.decode('latin-1')
        path = request.target.decode('latin-1').partition('?')[0]
        repeatable = self.config.current.document.is_repeatable(
            service_name, method, path
        )
        return Call(
            request_id=self._request_id(headers),
            service=service_name,
            method=request.method,
            target=request.target,
            headers=list(headers),
            body=body,
            repeatable=repeatable,
            deadline=self.environment.clock.monotonic() + self._timeout(headers),
        )

    def _request_id(self, headers) -> str:
        given = names.find(headers, names.REQUEST_ID)
        if given is not None:
            return given.decode('latin-1')
        return f'{self.environment.random.getrandbits(64):016x}'

    def _timeout(self, headers) -> float:
        given = names.find(headers, names.TIMEOUT)
        if given is None:
            return self.request_timeout
        try:
            return min(float(given), self.request_timeout)
        except ValueError:
            return self.request_timeout

    async def _report(self, wire: Wire, call: Call, outcome: Outcome) -> None:
        log.info('request: %s %s ended as %s.', call.request_id, call.service, outcome)
        if isinstance(outcome, Answered):
            return
        if isinstance(outcome, Unknown) and outcome.answer_started:
            await wire.close()
            return
        await wire.send(*problem_events(outcome, call.request_id))

    async def _answer_addresses(self, wire: Wire, request: h11.Request) -> None:
        target = request.target.decode('latin-1').removeprefix(PATH_PREFIX.decode())
        service, _, query = target.partition('?')
        answer = self.addresses.answer(service, query)
        if isinstance(answer, UnknownService):
            refusal = NotRun(Reason.UNKNOWN_SERVICE, answer.service)
            await wire.send(*problem_events(refusal, ''))
            return
        body = answer.to_json()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'cache-control', b'max-age=%d' % answer.lifetime),
        ]
        await wire.send(
            h11.Response(status_code=200, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def _refuse_malformed(self, wire: Wire, error) -> None:
        log.info('request: malformed request, %s.', error)
        if wire.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        refusal = NotRun(Reason.BAD_REQUEST, str(error))
        with suppress(OSError, trio.BrokenResourceError):
            await wire.send(*problem_events(refusal, '', close=True))


async def receive_body(wire: Wire) -> bytes:
    """Read a request's whole body."""
    chunks = []
    while True:
        event = await wire.receive()
        if type(event) is h11.EndOfMessage:
            return b''.join(chunks)
        if type(event) is not h11.Data:
            raise h11.RemoteProtocolError('closed within a body')
        chunks.append(bytes(event.data))

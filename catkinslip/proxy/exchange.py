"""One attempt: a request to a backend server, and its answer to the caller."""

import logging
from collections.abc import Callable, Iterable
from itertools import groupby

import h11
from attrs import Factory, define, evolve, frozen

from catkinslip.clock import Clock
from catkinslip.models import Address
from catkinslip.proxy import answers
from catkinslip.proxy import headers as names
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.native_dialect import NativeDialect
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import MAX_IDLE_SECONDS, BackendPool
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.whole_answers import must_be_whole, read_whole
from catkinslip.proxy.wire import ConnectionErrors, Wire
from catkinslip.routing import reports
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.signals import AnswerKind

__all__ = ['AnswerHead', 'Attempt', 'Call']

# A request that is not repeatable is sent on a reused connection only if that was in
# use this recently: servers close idle connections after seconds, not at once.
RECENT_SECONDS = 1.0
#: Time to pass an answer on whose head came before the deadline.
ANSWER_GRACE_SECONDS = 1.0
#: Head, body and end.
SHORT_ANSWER_EVENTS = 3
OWN_DIALECT = NativeDialect()
METHODS_WITH_BODY = frozenset({b'POST', b'PUT', b'PATCH'})

log = logging.getLogger('routing')


OnHead = Callable[[Iterable[names.Header], reports.LoadReport | None], None]


def ignore_head(
    headers: Iterable[names.Header], report: reports.LoadReport | None
) -> None:
    """Ignore the head of an answer."""


OnSignals = Callable[[ServerSignals, AnswerKind, float], None]


def ignore_signals(signals: ServerSignals, kind: AnswerKind, sent_at: float) -> None:
    """Ignore the signals of a server."""


@frozen
class ConnectionBreak:
    """The end of a connection after a request was sent on it."""

    #: Seconds since the first byte of the request.
    seconds: float
    #: Whether the connection carried an earlier request; servers close idle ones.
    is_reused: bool
    #: Whether bytes of an answer were received.
    has_begun: bool
    detail: str

    def __str__(self) -> str:
        kind = 'kept' if self.is_reused else 'new'
        return f'ms={self.seconds * 1e3:.0f} connection={kind} begun={self.has_begun}'


OnBreak = Callable[[ConnectionBreak], None]


def ignore_break(connection_break: ConnectionBreak) -> None:
    """Ignore a connection that broke."""


def always_allow() -> bool:
    """Allow the request whatever changed since the server was chosen."""
    return True


@frozen
class AnswerHead:
    """The head of an answer whose body was not read from the connection yet."""

    response: h11.Response
    headers: list[names.Header]
    report: reports.LoadReport | None
    wire: Wire


@define
class Attempt:
    """An attempt to run a call at one backend server and pass its answer on."""

    call: Call
    address: Address
    caller: Wire
    pool: BackendPool
    clock: Clock
    number: int = 1
    dialect: Dialect = OWN_DIALECT
    backend_id: str = ''
    on_head: OnHead = ignore_head
    on_signals: OnSignals = ignore_signals
    on_break: OnBreak = ignore_break
    #: Check that runs right before the first byte, as a connection may take time.
    may_send: Callable[[], bool] = always_allow
    #: Check of the time that this instance has left, likewise.
    stop_gate: StopGate = Factory(StopGate)
    is_sent: bool = False
    sent_at: float = 0.0
    #: How the last connection broke after the request was sent; None if it did not.
    connection_break: ConnectionBreak | None = None
    #: Whether a reused connection was closed before any byte of an answer.
    used_stale_connection: bool = False
    #: Result of the first send if the request was sent twice: it may have run.
    earlier_result: Unknown | None = None

    async def run(self) -> Outcome:
        """Send the request, pass the answer on and return the outcome."""
        result = await self.start()
        if isinstance(result, AnswerHead):
            return await self.pass_on(result)
        return result

    async def start(self) -> AnswerHead | NotRun | Unknown:
        """Send the request and return the head of the answer, or why there is none."""
        if not self.call.repeatable:
            return await self._start(RECENT_SECONDS)
        result = await self._start(MAX_IDLE_SECONDS)
        if self.used_stale_connection and self.call.is_resendable:
            # The connections of a crashed server end like idle ones that are closed: 41
            # of 42 calls whose server crashed this way were reported as not run.
            self.earlier_result = result
            log.info(
                'routing: %s is sent again to %s, the reused connection was closed.',
                self.call.request_id,
                self.address,
            )
            result = await self._start(0.0)
        return result

    async def pass_on(self, head: AnswerHead) -> Outcome:
        """Pass an answer on to the caller as it is read, and return the outcome."""
        try:
            return await self._pass_on(head)
        finally:
            await self._release(head.wire)

    async def discard(self, head: AnswerHead) -> None:
        """Release the connection of an answer that is not passed on."""
        await self._release(head.wire)

    async def _release(self, wire: Wire) -> None:
        if wire.has_unwritten:
            log.info(
                'routing: %s the connection to %s is closed, the request is not '
                'written whole.',
                self.call.request_id,
                self.address,
            )
        await self.pool.release(self.address, wire)

    async def _start(self, max_idle_seconds: float) -> AnswerHead | NotRun | Unknown:
        wire = await self._acquire(max_idle_seconds)
        if isinstance(wire, NotRun):
            return wire
        result = None
        try:
            result = await self._exchange(wire)
        finally:
            if not isinstance(result, AnswerHead):
                await self._release(wire)
        return result

    async def _acquire(self, max_idle_seconds: float) -> Wire | NotRun:
        if not self.pool.is_full(self.address):
            return await self.pool.acquire(self.address, max_idle_seconds)
        with self.stop_gate.waiting(self.call):
            return await self.pool.acquire(self.address, max_idle_seconds)
        return self.stop_gate.refuse(self.call, self.clock.monotonic())

    async def _exchange(self, wire: Wire) -> AnswerHead | NotRun | Unknown:
        try:
            data = wire.encode(*self._request_events())
            # No await between these checks and the first byte.
            if self.call.is_expired(self.clock):
                return NotRun(Reason.TOO_LATE)
            refusal = self.stop_gate.check(self.call, self.clock.monotonic())
            if refusal is not None:
                return refusal
            if not self.may_send():
                return NotRun(Reason.SERVER_LEFT)
            self.is_sent = True
            self.sent_at = self.clock.monotonic()
            await wire.write(data)
            self._start_upload(wire)
            response = await answers.receive_response(wire)
        except ConnectionErrors as error:
            return self._record_break(wire, error)
        except h11.ProtocolError as error:
            return self._record_break(wire, error)
        return await self._classify_response(wire, response)

    async def _classify_response(
        self, wire: Wire, response: h11.Response
    ) -> AnswerHead | NotRun | Unknown:
        call = self.call
        headers = list(response.headers)
        status = response.status_code
        fault = self.dialect.find_fault(call, status, headers, is_reused=wire.is_reused)
        if fault is not None:
            wire.must_close = True
            return fault
        refusal = self.dialect.find_refusal(status, headers)
        if refusal is Reason.MISDIRECTED:
            # Another server has the address: the report and signals describe that one.
            await answers.drain_body(wire)
            return NotRun(refusal)
        report = self.dialect.read_report(headers)
        self.on_head(headers, report)
        kind = answer_kind(status, refusal)
        self.on_signals(self.dialect.read_signals(status, headers), kind, self.sent_at)
        if refusal is not None:
            await answers.drain_body(wire)
            return NotRun(refusal, report=report)
        return AnswerHead(response, headers, report, wire)

    def _record_break(self, wire: Wire, error: Exception) -> Unknown:
        body_remainder = self.call.body_remainder
        if body_remainder is not None and body_remainder.fault is not None:
            return Unknown(body_remainder.fault)
        connection_break = self.connection_break = ConnectionBreak(
            self.clock.monotonic() - self.sent_at,
            wire.is_reused,
            answers.has_begun(wire),
            str(error) or repr(error),
        )
        self.on_break(connection_break)
        self.used_stale_connection = (
            connection_break.is_reused and not connection_break.has_begun
        )
        wire.must_close = True
        return Unknown(Reason.BROKEN, connection_break.detail)

    async def _pass_on(self, head: AnswerHead) -> Outcome:
        start = self._answer_head(head)
        if not must_be_whole(self.caller, start, self.call.method):
            return await self._send_as_read(head, [start])
        try:
            events = await read_whole(head.wire, self.caller, start)
        except (*ConnectionErrors, h11.RemoteProtocolError) as error:
            return self._record_break(head.wire, error)
        if isinstance(events, Unknown):
            return events
        return await self._send_as_read(head, events)

    async def _send_as_read(
        self, head: AnswerHead, pending: list[h11.Event]
    ) -> Outcome:
        wire = head.wire
        while True:
            try:
                if not ends_message(pending):
                    pending += wire.take_arrived()
                is_whole = ends_message(pending)
                if is_whole:
                    # Without the trailers.
                    pending[-1] = h11.EndOfMessage()
                if pending and not await self._send_to_caller(merge_data(pending)):
                    return Unknown(Reason.CALLER_LEFT, answer_started=True)
                if is_whole:
                    return Answered(head.response.status_code, head.report)
                pending = []
                await wire.wait_for_more()
            except (*ConnectionErrors, h11.RemoteProtocolError) as error:
                return evolve(self._record_break(wire, error), answer_started=True)

    async def _send_to_caller(self, events: list[h11.Event]) -> bool:
        try:
            await self.caller.send(*events)
        except ConnectionErrors:
            return False
        return True

    def _request_events(self) -> list[h11.Event]:
        call = self.call
        headers = self._request_headers()
        if call.body_remainder is not None:
            headers.append(framing_header(call.body_remainder.length))
        elif call.body or call.method in METHODS_WITH_BODY:
            headers.append(framing_header(len(call.body)))
        events: list[h11.Event] = [
            h11.Request(
                method=call.method, target=call.target, headers=names.checked(headers)
            )
        ]
        if call.body:
            events.append(h11.Data(data=call.body))
        if call.body_remainder is None:
            events.append(h11.EndOfMessage())
        return events

    def _request_headers(self) -> list[names.Header]:
        remaining = self.call.deadline - self.clock.monotonic()
        return self.dialect.request_headers(
            self.call, self.backend_id, self.number, remaining
        )

    def _start_upload(self, wire: Wire) -> None:
        body_remainder = self.call.body_remainder
        if body_remainder is not None:
            body_remainder.is_started = True
            body_remainder.nursery.start_soon(self._upload, wire)

    async def _upload(self, wire: Wire) -> None:
        while True:
            event = await self.call.body_remainder.receive()
            if event is None:
                await wire.close()
                return
            is_end = type(event) is h11.EndOfMessage
            try:
                await wire.send(h11.EndOfMessage() if is_end else event)
            except (*ConnectionErrors, h11.LocalProtocolError):
                # The answer, if one comes, contains why the server stopped reading.
                return
            if is_end:
                return

    def _answer_head(self, head: AnswerHead) -> h11.Response:
        headers = self.dialect.answer_headers(self.call, head.headers)
        if self.call.relayed is not None:
            headers.append((names.RELAYED_SERVER, self.backend_id.encode()))
        if self.caller.codec.their_state is h11.SEND_BODY:
            headers.append((b'connection', b'close'))
        return h11.Response(
            status_code=head.response.status_code, headers=names.checked(headers)
        )


def answer_kind(status: int, refusal: Reason | None) -> AnswerKind:
    """Return whether an answer is a result, a failure or a refusal."""
    if refusal is not None:
        return AnswerKind.REFUSAL
    return AnswerKind.ANSWER if status < 400 else AnswerKind.FAILURE


def ends_message(events: list[h11.Event]) -> bool:
    """Return whether the last of the events is the end of a message."""
    return bool(events) and type(events[-1]) is h11.EndOfMessage


def merge_data(events: list[h11.Event]) -> list[h11.Event]:
    """Return events with the parts of a body that follow one another as one part."""
    if len(events) <= SHORT_ANSWER_EVENTS:
        return events
    merged: list[h11.Event] = []
    for is_data, group in groupby(events, lambda each: type(each) is h11.Data):
        parts = list(group)
        if is_data and len(parts) > 1:
            parts = [h11.Data(data=b''.join(bytes(each.data) for each in parts))]
        merged += parts
    return merged


def framing_header(length: int | None) -> names.Header:
    """Return the header that frames a request body; None is an unknown length."""
    if length is None:
        return b'transfer-encoding', b'chunked'
    return b'content-length', b'%d' % length

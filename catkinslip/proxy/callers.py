"""Server side of callers' connections."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio
from attrs import Factory, define

from catkinslip.config.holder import ConfigHolder
from catkinslip.environment import Environment
from catkinslip.proxy.base import (
    CallForwarder,
    LocalPages,
    NoReview,
    RefusalReview,
)
from catkinslip.proxy.bodies import BodyReader, BodyRemainder, has_whole_body
from catkinslip.proxy.call import Call
from catkinslip.proxy.caller_answers import CallerAnswers
from catkinslip.proxy.caller_limits import CallerLimits
from catkinslip.proxy.caller_watch import CallerWatch, has_left
from catkinslip.proxy.calls import CallFactory
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.draining import CallerDrain, CallerWire
from catkinslip.proxy.head_checks import fault_text
from catkinslip.proxy.head_reader import HeadReader
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.native_dialect import NativeDialect
from catkinslip.proxy.observer import ObserverGroup, RequestObserver
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pipelines import Pipelines
from catkinslip.proxy.read_ahead import PipelinedRequest, ReadAhead
from catkinslip.proxy.relayed import NoRelays, RelayGate
from catkinslip.proxy.request_log import log_end
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.wire import ConnectionErrors, Wire

log = logging.getLogger('request')


@define
class CallerServer:
    """Server that reads callers' requests and answers each of them."""

    environment: Environment
    config: ConfigHolder
    forwarder: CallForwarder
    #: Local pages; None where another listener serves the addresses.
    pages: LocalPages | None
    limits: CallerLimits
    observer: RequestObserver = ObserverGroup()
    dialect: Dialect = Factory(NativeDialect)
    refusal_review: RefusalReview = Factory(NoReview)
    #: Gate of the requests that other instances relay to this one.
    relays: RelayGate = Factory(NoRelays)
    drain: CallerDrain = Factory(CallerDrain)
    watch: CallerWatch = Factory(CallerWatch)
    stop_gate: StopGate = Factory(StopGate)
    connections: int = 0
    heads: HeadReader = Factory(
        lambda self: HeadReader(self.limits.idle_timeout, self.limits.head_timeout),
        takes_self=True,
    )
    bodies: BodyReader = Factory(
        lambda self: BodyReader(self.limits.max_body_bytes, self.limits.body_timeout),
        takes_self=True,
    )
    calls: CallFactory = Factory(
        lambda self: CallFactory(
            self.environment.clock,
            self.environment.random,
            self.config,
            self.limits.request_timeout,
            self.dialect,
            self.limits.uses_wall_clock,
            self.relays,
        ),
        takes_self=True,
    )
    answers: CallerAnswers = Factory(
        lambda self: CallerAnswers(
            self.dialect, self.calls.new_request_id, self.refusal_review
        ),
        takes_self=True,
    )
    pipelines: Pipelines = Factory(
        lambda self: Pipelines(
            self.limits.pipeline_limits(),
            self.environment.clock,
            self.calls,
            self.pages,
            self._forward_in_time,
        ),
        takes_self=True,
    )

    def __attrs_post_init__(self) -> None:
        """Let the watch report connections with requests behind the one in flight."""
        if self.pipelines.limits.is_enabled:
            self.watch.on_readable = self.pipelines.handle_readable

    async def run(self) -> None:
        """Watch the connections and read pipelined requests until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.pipelines.limits.is_enabled:
                self.pipelines.nursery = nursery
            try:
                await self.watch.run()
            finally:
                # A connection that is served until the end must not start a task in a
                # nursery that is closed.
                self.pipelines.nursery = None

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it."""
        self.connections += 1
        wire = None
        try:
            wire = self.drain.open(stream)
            await self._serve_requests(wire)
        except ConnectionErrors:
            pass
        except h11.ProtocolError as error:
            log.info(
                'request: a connection was closed after a protocol error, %s.',
                fault_text(error),
            )
        except Exception:
            # One caller's connection must not stop the process.
            log.exception('request: a connection was closed after an unexpected error.')
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                if wire is not None:
                    await self._stop_read_ahead(wire)
                await trio.aclose_forcefully(stream)
            self.drain.remove(wire)

    async def _serve_requests(self, wire: CallerWire) -> None:
        if self.connections > self.limits.max_connections:
            await self._refuse_connection(wire)
            return
        while await self._serve_request(wire):
            ahead = wire.read_ahead
            if ahead is None:
                wire.start_next_cycle()
            elif not await self._answer_read_ahead(ahead):
                break
        if may_have_unread_requests(wire):
            await self._stop_read_ahead(wire)
            # A plain close with requests unread resets the connection, and the caller
            # may lose an answer that it has not read yet.
            await wire.close_gracefully()

    async def _refuse_connection(self, wire: CallerWire) -> None:
        detail = f'at most {self.limits.max_connections} callers'
        request = None
        seconds = self.refusal_review.refused_head_seconds
        if seconds > 0:
            with trio.move_on_after(seconds):
                request = await self.heads.read(wire)
        head = request if isinstance(request, RequestHead) else None
        await self.answers.refuse(wire, NotRun(Reason.CONNECTION_LIMIT, detail), head)

    async def _answer_read_ahead(self, ahead: ReadAhead) -> bool:
        """Answer pipelined requests in order; return whether the next may be read."""
        while ahead.has_requests():
            if not await self._answer_in_turn(ahead, ahead.take_next()):
                return False
        await ahead.stop()
        ahead.return_unparsed()
        return True

    async def _answer_in_turn(
        self, ahead: ReadAhead, request: PipelinedRequest
    ) -> bool:
        outcome: Outcome = Unknown(Reason.CONNECTION_CLOSED)
        try:
            outcome = await self._end_with_caller(request.answer, ahead.wire)
        finally:
            ahead.release(request)
            self._record_pipelined(request, outcome)
        return await self.answers.report(request.wire, request.call, outcome)

    async def _stop_read_ahead(self, wire: CallerWire) -> None:
        ahead = wire.read_ahead
        if ahead is None:
            return
        wire.read_ahead = None
        has_caller_left = has_left(wire)
        await ahead.stop()
        reason = Reason.CALLER_LEFT if has_caller_left else Reason.CONNECTION_CLOSED
        while ahead.has_requests():
            self._record_pipelined(ahead.take_next(), Unknown(reason))

    def _record_pipelined(self, request: PipelinedRequest, outcome: Outcome) -> None:
        now = self.environment.clock.monotonic()
        call, began_at = request.call, request.began_at
        self.observer.on_request_ended(call, outcome, now - began_at)
        log_end(call, outcome, began_at, now, request.turn_seconds, request.behind)

    async def _serve_request(self, wire: CallerWire) -> bool:
        request = await self.heads.read(wire)
        if request is None:
            return False
        if isinstance(request, NotRun):
            return await self.answers.refuse(wire, request)
        if wire.arrived_at is not None and not has_whole_body(wire, request):
            wire.arrived_at = None
        body = await self.bodies.read(wire, request)
        if isinstance(body, NotRun):
            return await self.answers.refuse(wire, body, request)
        waited = self._waited(wire)
        if self.pages is not None and self.pages.has(request.target):
            return await self.answers.answer_locally(wire, request, self.pages)
        call = self.calls.make(request, body, wire.peer, waited)
        if isinstance(call, NotRun):
            return await self.answers.refuse(wire, call, request)
        if self.pipelines.limits.is_enabled:
            self.pipelines.allow(wire, call)
        outcome = await self._forward_observed(call, wire)
        return await self.answers.report(wire, call, outcome)

    def _waited(self, wire: CallerWire) -> float:
        """Return the seconds since the arrival of the request that was just read."""
        if not self.pipelines.limits.is_enabled:
            return 0.0
        now = self.environment.clock.monotonic()
        arrived_at = now if wire.arrived_at is None else wire.arrived_at
        # What is left of the bytes arrived with the request or later.
        wire.arrived_at = arrived_at if wire.codec.trailing_data[0] else None
        return now - arrived_at

    async def _forward_observed(self, call: Call, wire: CallerWire) -> Outcome:
        # Remains if the call is cancelled, as this instance ends.
        outcome: Outcome = Unknown(Reason.CONNECTION_CLOSED)
        clock = self.environment.clock
        began_at = clock.monotonic()
        try:
            forward = partial(self._forward, call, wire)
            outcome = await self._end_with_caller(forward, wire)
        finally:
            now = clock.monotonic()
            self.observer.on_request_ended(call, outcome, now - began_at)
            log_end(call, outcome, began_at, now)
        return outcome

    async def _end_with_caller(
        self, answer: Callable[[], Awaitable[Outcome]], wire: CallerWire
    ) -> Outcome:
        """Return the outcome of an answer, which is cancelled if its caller leaves."""
        with trio.CancelScope() as scope:
            descriptor = self.watch.add(wire, scope)
            try:
                return await answer()
            finally:
                self.watch.remove(descriptor)
        return Unknown(Reason.CALLER_LEFT)

    async def _forward_in_time(self, call: Call, wire: Wire) -> Outcome:
        refusal = call.refusal
        clock = self.environment.clock
        if refusal is None and call.is_expired(clock):
            refusal = NotRun(Reason.TOO_LATE)
        if refusal is None:
            refusal = self.stop_gate.check(call, clock.monotonic())
        if refusal is not None:
            return await self.refusal_review.review(call, refusal, wire)
        return await self.forwarder.forward(call, wire)

    async def _forward(self, call: Call, wire: Wire) -> Outcome:
        if call.body_remainder is None:
            return await self._forward_in_time(call, wire)
        return await self._forward_streamed(call, call.body_remainder, wire)

    async def _forward_streamed(
        self, call: Call, body_remainder: BodyRemainder, wire: Wire
    ) -> Outcome:
        async with trio.open_nursery() as nursery:
            body_remainder.nursery = nursery
            outcome = await self._forward_in_time(call, wire)
            nursery.cancel_scope.cancel()
        return outcome


def may_have_unread_requests(wire: CallerWire) -> bool:
    """Return whether a caller may have sent requests that are not read any more.

    During a drain this instance closes connections that callers would keep.
    """
    is_pipelined = wire.is_pipelining or wire.arrived_at is not None
    return is_pipelined or wire.drain.is_closing

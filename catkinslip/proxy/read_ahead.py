"""Reading of pipelined requests, which run while the ones before them are answered.

The load: callers that send further idempotent requests on a connection before the
first answer. The task of the connection answers the requests in their order; a second
task reads what the caller sends in the meantime, and starts it.
"""

import logging
from collections import deque
from collections.abc import Awaitable, Callable

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.proxy.call import Call
from catkinslip.proxy.draining import CallerWire
from catkinslip.proxy.held_answers import HeldWire
from catkinslip.proxy.outcomes import Answered, Outcome, Reason, Unknown
from catkinslip.proxy.pipelining import (
    ConnectionBytes,
    FollowingRequests,
    SplitFailure,
    SplitRequest,
    split_request,
)
from catkinslip.proxy.wire import ConnectionErrors, server_codec

#: Time to send what is held of an answer. Its call may have ended, so that no deadline
#: applies, and a caller that reads nothing would keep the bytes in memory. A link of
#: 5 Mbit/s takes 256 kB in 0.4 s.
HELD_SEND_SECONDS = 10.0

log = logging.getLogger('request')

CallMaker = Callable[[SplitRequest, str, float], Call | None]
CallServer = Callable[[Call, HeldWire], Awaitable[Outcome]]


@define(eq=False)
class PipelinedRequest:
    """A request that was started before its turn."""

    call: Call
    wire: HeldWire
    #: Start of the request, in monotonic seconds.
    began_at: float
    size: int
    #: Number of requests before it that were not answered at its start.
    behind: int
    outcome: Outcome = Unknown(Reason.CONNECTION_CLOSED)
    ended: trio.Event = Factory(trio.Event)

    @property
    def turn_seconds(self) -> float:
        """Return how long the answer waited for its turn, in seconds."""
        return self.wire.turn_seconds

    async def answer(self) -> Outcome:
        """Send the answer in its turn and return the outcome of the request."""
        if self.ended.is_set() and not isinstance(self.outcome, Answered):
            # No byte was sent: an error answer may take the place of what is held.
            self.wire.drop_held()
        with trio.move_on_after(HELD_SEND_SECONDS) as scope:
            await self.wire.start_turn()
        if scope.cancelled_caught:
            return Unknown(Reason.CONNECTION_CLOSED, 'the held answer was not read')
        await self.ended.wait()
        return self.outcome


@define(eq=False)
class ReadAhead(FollowingRequests):
    """The requests of one connection that are read before their turn."""

    wire: CallerWire
    account: ConnectionBytes
    max_requests: int
    clock: Clock
    #: Returns the call of a request; None if it must not start before its turn.
    make_call: CallMaker
    serve_call: CallServer
    #: When the newest bytes of the buffer arrived, in monotonic seconds.
    arrived_at: float
    buffer: bytearray = Factory(bytearray)
    is_at_end: bool = False
    #: Whether a request was started before its turn.
    has_started: bool = False
    is_stopping: bool = False
    #: Requests that wait for their turn, in order.
    requests: deque[PipelinedRequest] = Factory(deque)
    scope: trio.CancelScope = Factory(trio.CancelScope)
    ended: trio.Event = Factory(trio.Event)
    has_room: trio.Event = Factory(trio.Event)

    def __attrs_post_init__(self) -> None:
        """Take over the bytes that the codec of the connection has not parsed."""
        data, self.is_at_end = self.wire.codec.trailing_data
        self.buffer += data
        self.account.add_request(len(data))

    def has_requests(self) -> bool:
        """Return whether a request behind the one that is answered was started."""
        return bool(self.requests)

    async def run(self) -> None:
        """Read and run requests until stopped or until one must wait for its turn."""
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    await self._start_requests(nursery)
        except Exception:
            # One caller's connection must not stop the process.
            log.exception('request: reading of pipelined requests failed.')
        finally:
            self.ended.set()

    def take_next(self) -> PipelinedRequest:
        """Remove and return the request whose turn it is."""
        request = self.requests.popleft()
        self.has_room.set()
        return request

    def release(self, request: PipelinedRequest) -> None:
        """Count the bytes of an answered request as no longer held."""
        request.wire.drop_held()
        self.account.end_request(request.size)
        self.has_room.set()

    async def stop(self) -> None:
        """Stop reading and cancel the requests that wait for their turn."""
        self.is_stopping = True
        self.scope.cancel()
        await self.ended.wait()
        self.account.clear()

    def return_unparsed(self) -> None:
        """Return the unparsed bytes to the connection, which awaits a request."""
        codec = self.wire.codec = server_codec()
        if self.buffer:
            codec.receive_data(bytes(self.buffer))
        if self.is_at_end:
            codec.receive_data(b'')
        self.wire.chunk_check = None
        self.wire.arrived_at = self.arrived_at if self.buffer else None
        self.wire.read_ahead = None
        self.wire.is_pipelining = self.has_started

    async def _start_requests(self, nursery: trio.Nursery) -> None:
        while not self.is_stopping and not self.wire.drain.is_closing:
            if len(self.requests) + 1 >= self.max_requests:
                await self._wait_for_room()
                continue
            request = split_request(bytes(self.buffer))
            if request is SplitFailure.IN_TURN:
                return
            if request is SplitFailure.INCOMPLETE:
                if not await self._read():
                    return
                continue
            if not self.account.start_request():
                await self._wait_for_room()
                continue
            if not self._start(request, nursery) or request.is_last:
                return

    def _start(self, request: SplitRequest, nursery: trio.Nursery) -> bool:
        """Start a request; return False if it must wait for its turn."""
        waited = self.clock.monotonic() - self.arrived_at
        call = self.make_call(request, self.wire.peer, waited)
        if call is None:
            self.account.end_request(0)
            return False
        nursery.start_soon(self._serve, self._add(request, call))
        return True

    def _add(self, request: SplitRequest, call: Call) -> PipelinedRequest:
        del self.buffer[: request.size]
        wire = HeldWire(
            self.wire.stream,
            request.codec,
            self.wire.peer,
            drain=self.wire.drain,
            read_ahead=self,
            request_id=call.request_id,
            clock=self.clock,
            account=self.account,
        )
        behind = len(self.requests) + 1
        now = self.clock.monotonic()
        added = PipelinedRequest(call, wire, now, request.size, behind)
        self.requests.append(added)
        self.has_started = True
        return added

    async def _serve(self, request: PipelinedRequest) -> None:
        try:
            if not self.is_stopping:
                request.outcome = await self.serve_call(request.call, request.wire)
        except Exception as error:
            # An error in one request must not end those before it.
            log.exception('request: %s failed.', request.call.request_id)
            request.outcome = Unknown(Reason.BROKEN, repr(error))
        finally:
            request.ended.set()

    async def _wait_for_room(self) -> None:
        self.has_room = trio.Event()
        await self.has_room.wait()

    async def _read(self) -> bool:
        """Read more bytes; return False at the end of the stream."""
        while not self.account.room_for_requests():
            await self._wait_for_room()
        if self.is_at_end:
            return False
        try:
            data = await self.wire.read(self.account.room_for_requests())
        except ConnectionErrors:
            data = b''
        self.arrived_at = self.clock.monotonic()
        self.buffer += data
        self.account.add_request(len(data))
        self.is_at_end = not data
        return not self.is_at_end

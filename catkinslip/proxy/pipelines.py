"""The pipelined requests of all connections of an instance.

The load: some of an instance's callers pipeline, thousands of others must not pay for
it. A second task for a connection is started only when its caller has sent more.
"""

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.proxy.base import LocalPages
from catkinslip.proxy.bodies import Body
from catkinslip.proxy.call import Call
from catkinslip.proxy.calls import CallFactory
from catkinslip.proxy.draining import CallerWire
from catkinslip.proxy.pipelining import (
    ConnectionBytes,
    InstanceBytes,
    PipelineLimits,
    SplitRequest,
)
from catkinslip.proxy.read_ahead import CallServer, ReadAhead


@define
class Pipelines:
    """Starts the reading of pipelined requests, within the limits of the instance."""

    limits: PipelineLimits
    clock: Clock
    calls: CallFactory
    pages: LocalPages | None
    serve_call: CallServer
    #: Nursery of the reading tasks; None while the instance does not run.
    nursery: trio.Nursery | None = None
    #: Requests that were started before their turn.
    started: int = 0
    instance: InstanceBytes = Factory(
        lambda self: InstanceBytes(self.limits.max_instance_bytes), takes_self=True
    )

    def allow(self, wire: CallerWire, call: Call) -> None:
        """Allow requests behind a call to start before its answer, if they may.

        Nothing may overtake a call that is not repeatable or whose body is not read,
        and nothing behind a request with `connection: close` counts as sent.
        """
        wire.may_read_ahead = (
            self.nursery is not None
            and call.repeatable
            and wire.codec.their_state is h11.DONE
            and not wire.drain.is_closing
        )
        if not wire.may_read_ahead or not self.instance.has_room():
            return
        if wire.is_pipelining or wire.arrived_at is not None:
            self._start(wire)

    def handle_readable(self, wire: CallerWire) -> bool:
        """Start reading behind the request in flight, or record when bytes arrived.

        Return whether the connection must stay watched for bytes.
        """
        if wire.read_ahead is not None or wire.has_answered():
            return False
        if wire.may_read_ahead and self.instance.has_room():
            self._start(wire)
            return False
        if wire.is_receiving_body():
            return True
        if wire.arrived_at is None:
            wire.arrived_at = self.clock.monotonic()
        return False

    def _start(self, wire: CallerWire) -> None:
        now = self.clock.monotonic()
        wire.is_pipelining = True
        wire.read_ahead = ReadAhead(
            wire,
            ConnectionBytes(self.limits.max_connection_bytes, self.instance),
            self.limits.max_requests,
            self.clock,
            self._make_call,
            self.serve_call,
            now if wire.arrived_at is None else wire.arrived_at,
        )
        self.nursery.start_soon(wire.read_ahead.run)

    def _make_call(
        self, request: SplitRequest, peer: str, waited: float
    ) -> Call | None:
        if self.pages is not None and self.pages.has(request.head.target):
            return None
        if not self.calls.is_repeatable(request.head):
            return None
        call = self.calls.make(request.head, Body(request.body), peer, waited)
        if not isinstance(call, Call) or not call.repeatable:
            return None
        self.started += 1
        return call

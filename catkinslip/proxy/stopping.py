"""The calls that an instance still has time for while it stops."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import Factory, define, frozen

from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun, Reason

#: Time to write an answer that arrives at the deadline of its call.
ANSWER_SECONDS = 0.1
#: Callers hold the addresses of other instances, which may take the request at once.
RETRY_SECONDS = 0.0

log = logging.getLogger('lifecycle')


@frozen
class StopTimes:
    """The moments of a stop, in seconds on the monotonic clock."""

    #: Until then a call is passed on although it may last longer than the instance.
    unsure_until: float
    #: From then on no connection is accepted and idle ones are closed.
    last_request: float
    #: When what is still in flight is cut.
    cut_at: float

    @property
    def last_end(self) -> float:
        """Return the latest deadline of a call that is sure to end in time."""
        return self.cut_at - ANSWER_SECONDS


@define
class StopGate:
    """The gate of an instance that refuses the calls it would have to cut.

    A call ends at its deadline at the latest. Until the instance stops, the gate is
    open to all calls.
    """

    times: StopTimes | None = None
    #: Number of calls that were refused.
    refused: int = 0
    _waiting_by_scope: dict[trio.CancelScope, Call] = Factory(dict)

    def start(self, times: StopTimes) -> None:
        """Refuse the calls that would be cut at the end of a stop."""
        self.times = times

    def is_open_to(self, call: Call, now: float) -> bool:
        """Return whether a call may be passed on at a monotonic time."""
        times = self.times
        if times is None or call.deadline <= times.last_end:
            return True
        return now < times.unsure_until

    def check(self, call: Call, now: float) -> NotRun | None:
        """Return the refusal of a call that may not be passed on any more."""
        return None if self.is_open_to(call, now) else self.refuse(call, now)

    def refuse(self, call: Call, now: float) -> NotRun:
        """Return the refusal of a call that might not end before the instance."""
        self.refused += 1
        cut_seconds = self.times.cut_at - now
        log.info(
            'lifecycle: %s is refused, the instance stops. left_ms=%.0f cut_ms=%.0f',
            call.request_id,
            (call.deadline - now) * 1e3,
            cut_seconds * 1e3,
        )
        detail = f'at most {max(0.0, cut_seconds):.1f} s are left'
        return NotRun(Reason.STOPPING, detail, retry_after=RETRY_SECONDS)

    @contextmanager
    def waiting(self, call: Call) -> Iterator[None]:
        """Cancel the body once the call that waits in it may not be passed on."""
        with trio.CancelScope() as scope:
            self._waiting_by_scope[scope] = call
            try:
                yield
            finally:
                del self._waiting_by_scope[scope]

    def end_waits(self, now: float) -> None:
        """Cancel the waits of the calls that may not be passed on any more."""
        for scope, call in self._waiting_by_scope.items():
            if not self.is_open_to(call, now):
                scope.cancel()

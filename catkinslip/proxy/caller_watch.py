"""Detection of callers that disconnect while their requests are in flight.

One regular poll of all connections costs a request far less than a task of its own
would.
"""

import select
from collections.abc import Callable

import trio
from attrs import Factory, define

from catkinslip.proxy.wire import Wire

POLL_INTERVAL_SECONDS = 0.025


@define
class CallerWatch:
    """A watch that cancels the requests of callers that closed their connections."""

    poll: select.poll = Factory(select.poll)
    #: Handler of a connection with bytes to read while a request is in flight; returns
    #: whether the connection stays watched for bytes. None to watch for none.
    on_readable: Callable[[Wire], bool] | None = None
    scope_by_descriptor: dict[int, trio.CancelScope] = Factory(dict)
    caller_by_descriptor: dict[int, Wire] = Factory(dict)
    has_callers: trio.Event = Factory(trio.Event)

    async def run(self) -> None:
        """Poll the callers' connections until cancelled; sleep while there are none."""
        while True:
            if not self.scope_by_descriptor:
                self.has_callers = trio.Event()
                await self.has_callers.wait()
            await trio.sleep(POLL_INTERVAL_SECONDS)
            self.check_callers()

    def check_callers(self) -> None:
        """Cancel the requests of callers that left; report those that sent more."""
        if not self.scope_by_descriptor:
            return
        for descriptor, events in self.poll.poll(0):
            caller = self.caller_by_descriptor[descriptor]
            if is_end(events):
                caller.has_left = True
                self.scope_by_descriptor[descriptor].cancel()
            elif not self.on_readable(caller):
                self.poll.modify(descriptor, select.POLLRDHUP)

    def add(self, caller: Wire, scope: trio.CancelScope) -> int | None:
        """Watch a caller's connection; return its descriptor, None if it has none."""
        if type(caller.stream) is not trio.SocketStream:
            return None
        descriptor = caller.stream.socket.fileno()
        self.scope_by_descriptor[descriptor] = scope
        self.caller_by_descriptor[descriptor] = caller
        self.poll.register(descriptor, self._events())
        self.has_callers.set()
        return descriptor

    def remove(self, descriptor: int | None) -> None:
        """Stop watching the connection with this descriptor."""
        if descriptor is not None:
            self.poll.unregister(descriptor)
            del self.scope_by_descriptor[descriptor]
            del self.caller_by_descriptor[descriptor]

    def _events(self) -> int:
        if self.on_readable is None:
            return select.POLLRDHUP
        return select.POLLIN | select.POLLRDHUP


def has_left(caller: Wire) -> bool:
    """Return whether a caller has closed its connection or its sending half."""
    if caller.has_left or type(caller.stream) is not trio.SocketStream:
        return caller.has_left
    if caller.stream.socket.fileno() < 0:
        # Closed by this side.
        return False
    poll = select.poll()
    poll.register(caller.stream.socket.fileno(), select.POLLRDHUP)
    return any(is_end(events) for _, events in poll.poll(0))


def is_end(events: int) -> bool:
    """Return whether poll events mean that a caller closed its sending half.

    They do as long as this side never shuts down the receiving half.
    """
    return events != select.POLLIN

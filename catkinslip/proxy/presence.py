"""Notice callers that leave while their requests are in flight.

One poll over all of them, now and then, costs a request far less than a task
of its own would.
"""

import select
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import Factory, define

from catkinslip.proxy.wire import Wire

WATCH_SECONDS = 0.025


@define
class CallerWatch:
    """Cancel the requests of callers that closed their connections."""

    poll: select.poll = Factory(select.poll)
    scope_by_descriptor: dict[int, trio.CancelScope] = Factory(dict)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await trio.sleep(WATCH_SECONDS)
            self.cancel_left()

    def cancel_left(self) -> None:
        """Cancel the requests of callers that have left."""
        if not self.scope_by_descriptor:
            return
        for descriptor, _ in self.poll.poll(0):
            self.scope_by_descriptor[descriptor].cancel()

    @contextmanager
    def watching(self, caller: Wire) -> Iterator[None]:
        """Watch one caller; its request is cancelled when it leaves."""
        with trio.CancelScope() as scope:
            if not isinstance(caller.stream, trio.SocketStream):
                yield
                return
            descriptor = caller.stream.socket.fileno()
            self.scope_by_descriptor[descriptor] = scope
            self.poll.register(descriptor, select.POLLRDHUP)
            try:
                yield
            finally:
                self.poll.unregister(descriptor)
                del self.scope_by_descriptor[descriptor]

"""Serve callers, and stop as a graceful shutdown.

The order is: leave address answers, serve for as long as callers may keep one,
end connections with their next answer, close idle ones, wait for the rest.
"""

import logging
import signal
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import Factory, define

from catkinslip.proxy.draining import CallerDrain

#: Answers travel and callers' clocks differ, so an answer is kept a little longer.
ANSWER_MARGIN_SECONDS = 0.5
#: Rounds of the peer exchange after which every peer leaves this instance out.
SPREAD_ROUNDS = 5
#: A connection without a request for so long counts as idle.
IDLE_GRACE_SECONDS = 1.0
LEAVE_SECONDS = 3.0

log = logging.getLogger('lifecycle')


@define
class StopRequest:
    """What the operating system asked for; a second signal asks to hurry."""

    asked: trio.Event = Factory(trio.Event)
    hurried: trio.Event = Factory(trio.Event)

    async def listen(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen for signals: SIGTERM stops, SIGINT or a second SIGTERM hurries."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGINT or self.asked.is_set():
                    self.hurried.set()
                self.asked.set()
                log.info('lifecycle: got %s.', signal.Signals(number).name)


async def listen_for_reload(
    reload: Callable[[], None], task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Call back on SIGHUP, whose default would end the process."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async for _ in signals:
            log.info('lifecycle: reloads the settings.')
            reload()


@define
class Lifecycle:
    """Serve callers until asked to stop, then drain; durations are in seconds."""

    stop: StopRequest
    drain: CallerDrain
    address_lifetime: float
    peer_interval: float
    drain_timeout: float
    leave: Callable[[], Awaitable[None]]

    async def run(
        self,
        handler: Callable[[trio.SocketStream], Awaitable[None]],
        listeners: list[trio.SocketListener],
    ) -> None:
        """Serve callers and return when the last request has ended."""
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as listening:
                serve = partial(
                    trio.serve_listeners,
                    handler,
                    listeners,
                    handler_nursery=connections,
                )
                listening.start_soon(serve)
                await self.stop.asked.wait()
                await self._leave_answers()
                await self._end_connections()
                listening.cancel_scope.cancel()
            await self._wait_for_requests()
            connections.cancel_scope.cancel()
        log.info('lifecycle: drained.')

    async def _leave_answers(self) -> None:
        """Leave address answers and serve while callers may keep an old one."""
        spread = SPREAD_ROUNDS * self.peer_interval
        seconds = self.address_lifetime + spread + ANSWER_MARGIN_SECONDS
        log.info('lifecycle: leaving, serves %g s more.', seconds)
        with trio.move_on_after(LEAVE_SECONDS):
            await self.leave()
        with trio.move_on_after(seconds):
            await self.stop.hurried.wait()

    async def _end_connections(self) -> None:
        log.info('lifecycle: ends %d connections.', len(self.drain.open_wires))
        self.drain.start_closing()
        with trio.move_on_after(IDLE_GRACE_SECONDS):
            await self.drain.wait_until_closed()

    async def _wait_for_requests(self) -> None:
        self.drain.close_idle()
        with trio.move_on_after(self.drain_timeout) as scope:
            await self.drain.wait_until_closed()
        if scope.cancelled_caught:
            log.warning(
                'lifecycle: %d connections cut at the drain timeout.',
                len(self.drain.open_wires),
            )

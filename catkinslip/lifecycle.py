"""Signals of the operating system and the graceful shutdown of the daemon.

The steps of the shutdown are: remove this instance from address answers, serve for as
long as callers may keep an old one, close each connection after its next answer, close
idle connections, wait for the remaining requests.
"""

import logging
import signal
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.proxy.draining import CallerDrain
from catkinslip.proxy.stopping import StopGate, StopTimes

#: Added to the lifetime of address answers, since answers take time to arrive and
#: callers' clocks differ.
ANSWER_MARGIN_SECONDS = 0.5
#: Rounds of peer gossip after which no peer lists this instance in its answers.
GOSSIP_ROUNDS = 5
#: The time without a request after which a connection counts as idle.
IDLE_GRACE_SECONDS = 1.0
LEAVE_TIMEOUT_SECONDS = 3.0

log = logging.getLogger('lifecycle')


@define
class StopRequest:
    """Stop requests from the operating system; a second signal skips the waits."""

    requested: trio.Event = Factory(trio.Event)
    expedited: trio.Event = Factory(trio.Event)

    async def listen(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Receive stop signals and set the events of this request.

        SIGTERM requests a stop; SIGINT or a second SIGTERM requests one without the
        wait for address answers to expire.
        """
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGINT or self.requested.is_set():
                    self.expedited.set()
                self.requested.set()
                log.info('lifecycle: received %s.', signal.Signals(number).name)


async def listen_for_reload(
    reload: Callable[[], None], task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Call `reload` on each SIGHUP, whose default action ends the process."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async for _ in signals:
            log.info('lifecycle: reloading the settings.')
            reload()


@define
class Lifecycle:
    """Serving of callers and graceful shutdown; durations are in seconds."""

    stop: StopRequest
    drain: CallerDrain
    stop_gate: StopGate
    clock: Clock
    address_lifetime: float
    peer_interval: float
    drain_timeout: float
    leave: Callable[[], Awaitable[None]]

    async def run(
        self,
        handler: Callable[[trio.SocketStream], Awaitable[None]],
        listeners: list[trio.SocketListener],
    ) -> None:
        """Serve callers until a stop request, then return when all requests ended."""
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as listening:
                serve = partial(
                    trio.serve_listeners,
                    handler,
                    listeners,
                    handler_nursery=connections,
                )
                listening.start_soon(serve)
                await self.stop.requested.wait()
                await self._withdraw_addresses()
                await self._end_connections()
                listening.cancel_scope.cancel()
            await self._wait_for_requests()
            connections.cancel_scope.cancel()
        log.info('lifecycle: drained.')

    async def _withdraw_addresses(self) -> None:
        """Announce that this instance is leaving and serve until old answers expire."""
        gossip_seconds = GOSSIP_ROUNDS * self.peer_interval
        seconds = self.address_lifetime + gossip_seconds + ANSWER_MARGIN_SECONDS
        log.info('lifecycle: leaving, serving for %g s more.', seconds)
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            await self.leave()
        with trio.move_on_after(seconds):
            await self.stop.expedited.wait()

    async def _end_connections(self) -> None:
        log.info('lifecycle: ending %d connections.', len(self.drain.open_wires))
        self.drain.start_closing()
        with trio.move_on_after(IDLE_GRACE_SECONDS):
            await self.drain.wait_until_closed()

    async def _wait_for_requests(self) -> None:
        now = self.clock.monotonic()
        self.stop_gate.start(StopTimes(now, now, now + self.drain_timeout))
        with trio.move_on_after(self.drain_timeout) as scope:
            await self.drain.close_idle()
            await self.drain.wait_until_closed()
        if scope.cancelled_caught:
            log.warning(
                'lifecycle: %d connections cut at the drain timeout.',
                len(self.drain.open_wires),
            )

"""Answers to pipelined requests, which are held until their turn.

The load: a slow request with fast ones behind it on the same connection.
"""

import logging
from typing import Any

import trio
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.proxy.draining import CallerWire
from catkinslip.proxy.pipelining import ConnectionBytes, size_of

log = logging.getLogger('request')


@define(eq=False)
class HeldWire(CallerWire):
    """A caller's connection as one request uses it, with a codec of its own.

    Until the turn of the request, events are held and not encoded: no byte of the
    answer has been sent, so it may still be replaced, and its head may still get
    `connection: close`. Events that do not fit the limits wait for the turn, which
    stops the reading from the server.
    """

    request_id: str = field(kw_only=True)
    clock: Clock = field(kw_only=True)
    account: ConnectionBytes = field(kw_only=True)
    held: list[Any] = Factory(list)
    held_bytes: int = 0
    has_turn: bool = False
    turn: trio.Event = Factory(trio.Event)
    #: When the answer began to wait for its turn, in monotonic seconds.
    waits_since: float | None = None
    #: Seconds that the answer waited for its turn.
    turn_seconds: float = 0.0

    async def send(self, *events: Any) -> None:
        """Send events, or hold them until the turn of the request."""
        if not self.has_turn:
            if self.waits_since is None:
                self.waits_since = self.clock.monotonic()
            if self._hold(events):
                return
            log.info(
                'request: %s waits for its turn, its answer is too large to hold. '
                'connection_bytes=%d instance_bytes=%d',
                self.request_id,
                self.account.requests + self.account.answers,
                self.account.instance.held,
            )
            await self.turn.wait()
        await super().send(*events)

    def _hold(self, events: tuple[Any, ...]) -> bool:
        size = sum(size_of(event) for event in events)
        if not self.account.hold_answer(size):
            return False
        self.held.extend(events)
        self.held_bytes += size
        return True

    async def start_turn(self) -> None:
        """Send what is held; from then on events are sent at once."""
        if self.waits_since is not None:
            self.turn_seconds = self.clock.monotonic() - self.waits_since
        while self.held:
            events = self.held
            self.drop_held()
            await super().send(*events)
        self.has_turn = True
        self.turn.set()

    def drop_held(self) -> None:
        """Drop what is held."""
        self.account.remove_answer(self.held_bytes)
        self.held, self.held_bytes = [], 0

"""Which servers of a service are cold, and what this instance may still send them."""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from math import inf

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.routing.gates import Gate, GuardedServer, GuardWord
from catkinslip.warmup.quotas import Sender

#: The bound holds for any second; a little more, as clocks tick in steps.
WINDOW_SECONDS = 1.02

log = logging.getLogger('warmup')

Divide = Callable[[BackendLoad, float], Mapping[Sender, int]]


def no_sender() -> Sender | None:
    """Return no place: the instance sends nothing to cold servers."""
    return None


def give_nobody(load: BackendLoad, bound: float) -> Mapping[Sender, int]:
    """Let nobody send to a cold server."""
    return {}


@define
class ColdServer(GuardedServer):
    """A server that is cold, and what was sent to it; times are in seconds."""

    quota_by_sender: Mapping[Sender, int]
    #: When the own requests of the last second were sent.
    sent_at: deque[float] = Factory(deque)

    def count_sent(self, now: float) -> None:
        """Count a request right before its first byte."""
        self.sent_at.append(now)

    def has_room(self, sender: Sender | None, now: float) -> bool:
        """Tell whether an instance may send another request."""
        while self.sent_at and now - self.sent_at[0] >= WINDOW_SECONDS:
            self.sent_at.popleft()
        quota = self.quota_by_sender.get(sender, 0) if sender else 0
        return len(self.sent_at) + self.reserved < quota


@define
class ColdGate(Gate):
    """Keep requests from the cold servers of one service beyond the own quota."""

    word = GuardWord.COLD

    divide: Divide = give_nobody
    sender: Callable[[], Sender | None] = no_sender
    #: How long a server is cold after its start, where it does not tell.
    start_seconds: float = 0.0
    #: Requests to one cold server in any second, from all instances.
    bound: float = inf
    server_by_id: dict[str, ColdServer] = Factory(dict)
    #: Servers that may have become cold, until a probe tells: when that was noticed.
    doubted_at_by_id: dict[str, float] = Factory(dict)

    def configure(self, start_seconds: float, bound: float) -> None:
        """Take over what a service says of its cold servers."""
        self.start_seconds = start_seconds
        if bound == self.bound:
            return
        self.bound = bound
        for server in self.server_by_id.values():
            server.quota_by_sender = self._quotas(server.load)

    def begin(self, load: BackendLoad, seconds: float, now: float, why: str) -> None:
        """Take that a server stays cold for so long from now, or longer."""
        if seconds <= 0 or now + seconds <= load.cold_until:
            return
        if not load.is_cold(now):
            log.info(
                'warmup: %s is cold. seconds=%.1f why=%s',
                load.backend_id,
                seconds,
                why,
            )
        self._set(load, now + seconds)

    def doubt(self, loads: Iterable[BackendLoad], now: float, why: str) -> None:
        """Take servers as just started until a probe tells."""
        if self.start_seconds <= 0:
            return
        for load in loads:
            self.begin(load, self.start_seconds, now, why)
            self.doubted_at_by_id[load.backend_id] = now

    def told(self, load: BackendLoad, seconds: float, at: float) -> None:
        """Take what a server told when it was asked at a time."""
        if at < self.doubted_at_by_id.get(load.backend_id, NEVER):
            return
        self.doubted_at_by_id.pop(load.backend_id, None)
        load.told_cold_until = at + seconds
        if seconds > 0 or load.is_cold(at):
            if load.is_cold(at) != (seconds > 0):
                log.info(
                    'warmup: %s tells how long it stays cold. seconds=%.1f',
                    load.backend_id,
                    seconds,
                )
            self._set(load, at + seconds)

    def forget(self, load: BackendLoad) -> None:
        """Forget a server that is gone."""
        self.server_by_id.pop(load.backend_id, None)
        self.doubted_at_by_id.pop(load.backend_id, None)

    def closed(self, now: float) -> list[str]:
        """Return the cold servers that this instance may send nothing now."""
        if not self.server_by_id:
            return []
        for backend_id in list(self.server_by_id):
            if not self.server_by_id[backend_id].load.is_cold(now):
                del self.server_by_id[backend_id]
                self.doubted_at_by_id.pop(backend_id, None)
        if self.bound == inf:
            return []
        return [
            backend_id
            for backend_id, server in self.server_by_id.items()
            if not self.has_room(server, now)
        ]

    def find(self, load: BackendLoad | None, now: float) -> ColdServer | None:
        """Return a server as it is guarded; None if it is not."""
        if load is None or self.bound == inf or not load.is_cold(now):
            return None
        return self.server_by_id.get(load.backend_id)

    def has_room(self, server: ColdServer, now: float) -> bool:
        """Tell whether this instance may send another request."""
        return server.has_room(self.sender(), now)

    def cold(self, now: float) -> list[str]:
        """Return all cold servers."""
        servers = self.server_by_id.values()
        return [it.load.backend_id for it in servers if it.load.is_cold(now)]

    def _set(self, load: BackendLoad, until: float) -> None:
        load.cold_until = until
        if load.backend_id not in self.server_by_id:
            server = ColdServer(load, self._quotas(load), deque(load.sent_at or ()))
            self.server_by_id[load.backend_id] = server

    def _quotas(self, load: BackendLoad) -> Mapping[Sender, int]:
        return {} if self.bound == inf else self.divide(load, self.bound)

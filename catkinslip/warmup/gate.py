"""Gate that limits the requests of this instance to the cold servers of a service."""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from math import inf

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.routing.gates import Gate, RestrictedServer, RestrictionReason
from catkinslip.warmup.quotas import Sender

#: Seconds over which requests are counted. The bound holds for any second; the window
#: is a little longer, as clocks tick in steps.
WINDOW_SECONDS = 1.02

log = logging.getLogger('warmup')

Divide = Callable[[BackendLoad, float], Mapping[Sender, int]]


def no_sender() -> Sender | None:
    """Return None: the instance sends nothing to cold servers."""
    return None


def no_quotas(load: BackendLoad, bound: float) -> Mapping[Sender, int]:
    """Return no quotas: no instance may send to a cold server."""
    return {}


@define
class ColdServer(RestrictedServer):
    """A cold server and the requests sent to it; times are in seconds."""

    quota_by_sender: Mapping[Sender, int]
    #: Times of this instance's requests within the last second.
    sent_at: deque[float] = Factory(deque)

    def count_sent(self, now: float) -> None:
        """Record a request right before its first byte."""
        self.sent_at.append(now)

    def has_room(self, sender: Sender | None, now: float) -> bool:
        """Return whether a sender's quota allows another request to the server."""
        while self.sent_at and now - self.sent_at[0] >= WINDOW_SECONDS:
            self.sent_at.popleft()
        quota = self.quota_by_sender.get(sender, 0) if sender else 0
        return len(self.sent_at) + self.reserved < quota


@define
class ColdGate(Gate):
    """Gate that keeps requests to cold servers within this instance's quotas."""

    reason = RestrictionReason.COLD

    divide: Divide = no_quotas
    sender: Callable[[], Sender | None] = no_sender
    #: Seconds for which a server is cold after its start if it does not report them.
    start_seconds: float = 0.0
    #: Requests to one cold server in any second, from all instances together.
    bound: float = inf
    server_by_id: dict[str, ColdServer] = Factory(dict)
    #: Times since when servers may have restarted, until an answer to a probe shows
    #: whether they are cold.
    possible_restart_at_by_id: dict[str, float] = Factory(dict)

    def configure(self, start_seconds: float, bound: float) -> None:
        """Apply a service's settings for its cold servers."""
        self.start_seconds = start_seconds
        if bound == self.bound:
            return
        self.bound = bound
        for server in self.server_by_id.values():
            server.quota_by_sender = self._quotas(server.load)

    def mark_cold(
        self, load: BackendLoad, seconds: float, now: float, why: str
    ) -> None:
        """Mark a server as cold for at least some seconds from now."""
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

    def mark_possibly_restarted(
        self, loads: Iterable[BackendLoad], now: float, why: str
    ) -> None:
        """Mark servers as possibly restarted, and as cold until a probe answers."""
        if self.start_seconds <= 0:
            return
        for load in loads:
            self.mark_cold(load, self.start_seconds, now, why)
            self.possible_restart_at_by_id[load.backend_id] = now

    def apply_report(self, load: BackendLoad, seconds: float, at: float) -> None:
        """Apply the cold period that a server reported when it was probed at a time."""
        if at < self.possible_restart_at_by_id.get(load.backend_id, NEVER):
            return
        self.possible_restart_at_by_id.pop(load.backend_id, None)
        load.reported_cold_until = at + seconds
        if seconds > 0 or load.is_cold(at):
            if load.is_cold(at) != (seconds > 0):
                log.info(
                    'warmup: %s reported its remaining cold period. seconds=%.1f',
                    load.backend_id,
                    seconds,
                )
            self._set(load, at + seconds)

    def forget(self, load: BackendLoad) -> None:
        """Forget a removed server."""
        self.server_by_id.pop(load.backend_id, None)
        self.possible_restart_at_by_id.pop(load.backend_id, None)

    def closed(self, now: float) -> list[str]:
        """Return the IDs of the cold servers to which nothing may be sent now."""
        if not self.server_by_id:
            return []
        for backend_id in list(self.server_by_id):
            if not self.server_by_id[backend_id].load.is_cold(now):
                del self.server_by_id[backend_id]
                self.possible_restart_at_by_id.pop(backend_id, None)
        if self.bound == inf:
            return []
        return [
            backend_id
            for backend_id, server in self.server_by_id.items()
            if not self.has_room(server, now)
        ]

    def find(self, load: BackendLoad | None, now: float) -> ColdServer | None:
        """Return a cold server to which a bound applies, or None."""
        if load is None or self.bound == inf or not load.is_cold(now):
            return None
        return self.server_by_id.get(load.backend_id)

    def has_room(self, server: ColdServer, now: float) -> bool:
        """Return whether this instance may send another request to a cold server."""
        return server.has_room(self.sender(), now)

    def cold(self, now: float) -> list[str]:
        """Return the IDs of all cold servers."""
        servers = self.server_by_id.values()
        return [it.load.backend_id for it in servers if it.load.is_cold(now)]

    def _set(self, load: BackendLoad, until: float) -> None:
        load.cold_until = until
        if load.backend_id not in self.server_by_id:
            server = ColdServer(load, self._quotas(load), deque(load.sent_at or ()))
            self.server_by_id[load.backend_id] = server

    def _quotas(self, load: BackendLoad) -> Mapping[Sender, int]:
        return {} if self.bound == inf else self.divide(load, self.bound)

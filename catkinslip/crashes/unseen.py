"""Connections that broke under requests, until it shows whether the server ended.

A port that still takes connections is no proof that the process behind it lives: a
supervisor may hold the socket, or the next process may be there within a round trip.
Another start of the server, or another server at its address, soon after is one.
"""

from collections import deque

from attrs import Factory, define, frozen

from catkinslip.config.difference import changed_keys
from catkinslip.config.documents import Backend
from catkinslip.crashes.identity import RequestKey

#: A start is told by the server's entry within seconds; what broke longer before it
#: most likely had another cause.
SUSPICIOUS_SECONDS = 4.0
#: Breaks that are remembered of all servers; a rack that fails breaks some hundreds.
MOST_BREAKS = 512

Place = tuple[str, int]


def server_name(backend_id: str, incarnation: int) -> str:
    """Return the name of one start of a server."""
    return f'{backend_id}/{incarnation}'


@frozen
class BrokenRequest:
    """A request whose connection to a server broke; the time is in seconds."""

    server: str
    key: RequestKey
    query: str
    is_cold: bool
    at: float


@define
class BrokenRequests:
    """Remember requests whose connections broke at servers that seemed to live."""

    recent: deque[BrokenRequest] = Factory(lambda: deque(maxlen=MOST_BREAKS))

    def add(self, broken: BrokenRequest) -> None:
        """Take that a request's connection broke though the server's port is open."""
        self.recent.append(broken)

    def take(self, server: str, now: float) -> list[BrokenRequest]:
        """Return what lately broke at a server that has ended since, and forget it."""
        while self.recent and now - self.recent[0].at > SUSPICIOUS_SECONDS:
            self.recent.popleft()
        found = [each for each in self.recent if each.server == server]
        if found:
            kept = (each for each in self.recent if each.server != server)
            self.recent = deque(kept, MOST_BREAKS)
        return found


@define
class StartWatch:
    """Find servers that ended, as another start or server took their places.

    One that is gone without another in its place may be out of reach, and one that was
    leaving ends as it should.
    """

    backend_by_id: dict[str, Backend] = Factory(dict)
    #: Servers that went without a word, by their places, and when.
    gone_by_place: dict[Place, tuple[str, float]] = Factory(dict)

    def update(self, backends: dict[str, Backend], now: float) -> list[str]:
        """Take the registered servers; return those that are known to have ended."""
        before, self.backend_by_id = self.backend_by_id, backends
        changed = changed_keys(before, backends)
        ended = []
        for name in changed & before.keys():
            old, new = before[name], backends.get(name)
            if old.draining or (new and new.incarnation == old.incarnation):
                continue
            if new is None:
                server = server_name(name, old.incarnation)
                self.gone_by_place[old.host, old.port] = (server, now)
            else:
                ended.append(server_name(name, old.incarnation))
        for name in changed - before.keys():
            place = (backends[name].host, backends[name].port)
            server, gone_at = self.gone_by_place.pop(place, ('', now))
            if server and now - gone_at <= SUSPICIOUS_SECONDS:
                ended.append(server)
        self._forget_old(now)
        return ended

    def _forget_old(self, now: float) -> None:
        for place, (_, gone_at) in list(self.gone_by_place.items()):
            if now - gone_at > SUSPICIOUS_SECONDS:
                del self.gone_by_place[place]

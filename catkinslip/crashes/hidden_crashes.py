"""Detection of crashes behind ports that still accept connections.

An open port does not prove that the process behind it is alive: a supervisor may hold
the socket, or the next process may listen within a round trip. A new incarnation of the
server, or another server at its address, soon after a connection broke proves a crash.
"""

from collections import deque

from attrs import Factory, define, frozen

from catkinslip.config.difference import changed_keys
from catkinslip.config.documents import Backend
from catkinslip.crashes.identity import RequestKey

#: Seconds for which a broken connection or a removed server may be followed by the sign
#: of a crash. The server's entry shows a new incarnation within seconds; a connection
#: that broke longer before most likely had another cause.
CRASH_WINDOW_SECONDS = 4.0
#: Maximum number of broken connections kept of all servers; a rack that fails breaks
#: some hundreds.
MAX_BREAKS = 512

#: Host and port of a server.
HostPort = tuple[str, int]


def server_name(backend_id: str, incarnation: int) -> str:
    """Return the name of one incarnation of a server."""
    return f'{backend_id}/{incarnation}'


@frozen
class BrokenRequest:
    """Request whose connection to a server broke; the time is in seconds."""

    #: Name of the incarnation of the server.
    server: str
    key: RequestKey
    #: Hash of the query.
    query: str
    is_cold: bool
    at: float


@define
class BrokenRequests:
    """Recent requests whose connections broke at servers with an open port."""

    #: Broken requests, the oldest first.
    recent: deque[BrokenRequest] = Factory(lambda: deque(maxlen=MAX_BREAKS))

    def add(self, broken: BrokenRequest) -> None:
        """Record a request whose connection to a server with an open port broke."""
        self.recent.append(broken)

    def pop(self, server: str, now: float) -> list[BrokenRequest]:
        """Remove and return the recent broken requests of a server that has crashed."""
        while self.recent and now - self.recent[0].at > CRASH_WINDOW_SECONDS:
            self.recent.popleft()
        found = [each for each in self.recent if each.server == server]
        if found:
            kept = (each for each in self.recent if each.server != server)
            self.recent = deque(kept, MAX_BREAKS)
        return found


@define
class RestartDetector:
    """Detector of crashes by the incarnation or server that replaces a crashed server.

    A server that is removed without a replacement may be unreachable, and one that was
    leaving stops as intended.
    """

    #: Registered servers, by backend ID.
    backend_by_id: dict[str, Backend] = Factory(dict)
    #: Servers removed without leaving first, and the times of removal in seconds, by
    #: address.
    removed_by_address: dict[HostPort, tuple[str, float]] = Factory(dict)

    def update(self, backends: dict[str, Backend], now: float) -> list[str]:
        """Apply the registered servers; return those now known to have crashed."""
        before, self.backend_by_id = self.backend_by_id, backends
        changed = changed_keys(before, backends)
        crashed = []
        for name in changed & before.keys():
            old, new = before[name], backends.get(name)
            if old.draining or (new and new.incarnation == old.incarnation):
                continue
            if new is None:
                server = server_name(name, old.incarnation)
                self.removed_by_address[old.host, old.port] = (server, now)
            else:
                crashed.append(server_name(name, old.incarnation))
        for name in changed - before.keys():
            address = (backends[name].host, backends[name].port)
            server, removed_at = self.removed_by_address.pop(address, ('', now))
            if server and now - removed_at <= CRASH_WINDOW_SECONDS:
                crashed.append(server)
        self._remove_expired(now)
        return crashed

    def _remove_expired(self, now: float) -> None:
        for address, (_, removed_at) in list(self.removed_by_address.items()):
            if now - removed_at > CRASH_WINDOW_SECONDS:
                del self.removed_by_address[address]

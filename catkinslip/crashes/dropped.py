"""Crashes that an answer or the store has cleared, so that late reports do not count.

Load: a server answers a request on trial while the reports of the last crash are still
on the way. Datagrams are sent again after 100 ms, and a peer reports its crashes until
it has read the removal from the store. Without this record such a report restores the
verdict, and the instance writes it back to the store.
"""

from collections.abc import Iterable, Mapping

from attrs import Factory, define

from catkinslip.crashes.identity import RequestKey

#: Maximum number of requests; the oldest is forgotten. A request has at most 10 names
#: of servers, 1 kB.
MAX_REQUESTS = 1_000


@define
class DroppedCrashes:
    """The servers whose crashes were dropped, by request."""

    servers_by_key: dict[RequestKey, set[str]] = Factory(dict)

    def add(self, key: RequestKey, servers: Iterable[str]) -> None:
        """Add crashes that were dropped."""
        servers = set(servers)
        if not servers:
            return
        # Moves the request to the end, as the oldest is removed first.
        known = self.servers_by_key.pop(key, set())
        if len(self.servers_by_key) >= MAX_REQUESTS:
            del self.servers_by_key[next(iter(self.servers_by_key))]
        self.servers_by_key[key] = known | servers

    def discard(self, key: RequestKey, servers: Iterable[str]) -> None:
        """Let crashes count again that were seen here or that the store holds."""
        known = self.servers_by_key.get(key)
        if known is None:
            return
        known.difference_update(servers)
        if not known:
            del self.servers_by_key[key]

    def filter_report(
        self, key: RequestKey, query_by_server: Mapping[str, str]
    ) -> Mapping[str, str]:
        """Return the crashes of a report without the dropped ones."""
        known = self.servers_by_key.get(key)
        if known is None:
            return query_by_server
        return {k: v for k, v in query_by_server.items() if k not in known}

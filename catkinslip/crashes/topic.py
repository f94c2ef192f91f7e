"""Carry the ends of servers under requests between peers."""

from collections.abc import Callable
from typing import Any

import xxhash
from attrs import define

from catkinslip.crashes.book import CrashBook
from catkinslip.crashes.guard import CrashListener
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.messages import (
    MALFORMED,
    ToldEnds,
    ends_from_plain,
    ends_to_plain,
)
from catkinslip.membership.topics import PeerTopic

#: 142 to 238 bytes each, the gravest first.
MOST_TOLD = 40


@define
class CrashTopic(PeerTopic, CrashListener):
    """Tell peers which servers ended under which request."""

    book: CrashBook
    monotonic: Callable[[], float]
    spread_soon: Callable[[], None] = lambda: None
    name = 'crashes'

    def saw_end(self, key: RequestKey, query_by_server: dict[str, str]) -> None:
        """Tell several peers at once of an end that was seen here."""
        self.spread_soon()

    def digest(self) -> Any:
        """Return a hash of all ends that are known."""
        ends = sorted(
            f'{key}{sorted(each.record.query_by_server)}'
            for key, each in self.book.suspect_by_key.items()
        )
        return xxhash.xxh3_64_hexdigest('\n'.join(ends).encode())

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return the gravest ends for a peer that knows others."""
        suspects = self.book.suspect_by_key
        if not suspects or digest == self.digest():
            return None
        gravest = sorted(suspects.items(), key=lambda pair: -pair[1].servers)
        return ends_to_plain(
            ToldEnds(key, each.record.query_by_server)
            for key, each in gravest[:MOST_TOLD]
        )

    def receive(self, news: Any) -> None:
        """Take a peer's ends over; raise ValueError when they are malformed."""
        now = self.monotonic()
        try:
            for each in ends_from_plain(news):
                self.book.heard(each.key, each.query_by_server, now, 'a peer')
        except MALFORMED as error:
            raise ValueError(f'malformed news of crashes: {error!r}') from None

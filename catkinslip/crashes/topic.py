"""Topic of the peer exchange that carries reports of crashed servers."""

from collections.abc import Callable
from typing import Any

import xxhash
from attrs import define

from catkinslip.crashes.guard import CrashListener
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.messages import (
    MALFORMED,
    CrashReport,
    reports_from_plain,
    reports_to_plain,
)
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.membership.topics import PeerTopic

#: Maximum number of reports to a peer, of 142 to 238 bytes each; requests with the most
#: crashed servers come first.
MAX_REPORTS = 40


@define
class CrashTopic(PeerTopic, CrashListener):
    """Peer topic with the servers that crashed during each suspect request."""

    registry: CrashRegistry
    #: Returns the time of a monotonic clock, in seconds.
    monotonic: Callable[[], float]
    #: Starts an exchange with several peers at once.
    gossip_soon: Callable[[], None] = lambda: None
    name = 'crashes'

    def on_crash(self, key: RequestKey, query_by_server: dict[str, str]) -> None:
        """Start an exchange with several peers after a crash that this instance saw."""
        self.gossip_soon()

    def digest(self) -> Any:
        """Return a hash of all known crashes."""
        crashes = sorted(
            f'{key}{sorted(each.record.query_by_server)}'
            for key, each in self.registry.suspect_by_key.items()
        )
        return xxhash.xxh3_64_hexdigest('\n'.join(crashes).encode())

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return the reports with most crashes for a peer whose digest differs."""
        suspects = self.registry.suspect_by_key
        if not suspects or digest == self.digest():
            return None
        most_severe = sorted(suspects.items(), key=lambda pair: -pair[1].server_count)
        return reports_to_plain(
            CrashReport(key, each.record.query_by_server)
            for key, each in most_severe[:MAX_REPORTS]
        )

    def receive(self, reports: Any) -> None:
        """Apply the crash reports of a peer; raise ValueError if they are malformed."""
        now = self.monotonic()
        try:
            for each in reports_from_plain(reports):
                self.registry.apply_peer_report(
                    each.key, each.query_by_server, now, 'a peer'
                )
        except MALFORMED as error:
            raise ValueError(f'malformed crash reports: {error!r}') from None

"""Counts of the quotas for the metrics."""

from collections import Counter
from collections.abc import Collection

from attrs import Factory, define

from catkinslip.metrics.durations import FINE, Durations


@define
class QuotaCounts:
    """Counts since the start of the process."""

    #: Permits and refusals by workspace.
    granted: Counter[str] = Factory(Counter)
    refused: Counter[str] = Factory(Counter)
    #: Waits for a pool's answer.
    waits: Durations = Factory(lambda: Durations(FINE))
    #: Waits that ended without an answer.
    unanswered: int = 0
    #: Hedges and further attempts that got no permit.
    skipped: int = 0
    #: Permits of calls that did not run.
    returned: int = 0
    #: Datagrams and bytes sent, datagrams received, and answers that came too late.
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    late: int = 0
    pool_changes: int = 0

    def record_wait(self, seconds: float, now: float) -> None:
        """Count a call that waited for a pool's answer."""
        self.waits.record(seconds, now)

    def forget(self, workspaces: Collection[str]) -> None:
        """Forget the workspaces that are no longer configured."""
        for counter in (self.granted, self.refused):
            for name in counter.keys() - workspaces:
                del counter[name]

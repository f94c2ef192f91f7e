"""Metrics of requests by workspace and outcome.

Answers any number of workspaces with a bounded number of series: the largest have their
own, and all others share one.
"""

from collections import Counter
from collections.abc import Iterable
from heapq import nlargest

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.metrics.base import Family, MetricSource, counter
from catkinslip.proxy.call import Call
from catkinslip.proxy.observer import RequestObserver
from catkinslip.proxy.outcomes import (
    SERVER_ERRORS,
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from catkinslip.routing.base import Choice

#: Number of workspaces with series of their own.
MAX_WORKSPACES = 20
#: In parentheses, as a workspace may have the name `other`.
OTHER = '(other)'
#: Interval at which the largest workspaces are chosen, and recent counts are halved.
CHOICE_SECONDS = 60.0
#: Workspaces with a smaller recent count are forgotten, also removed ones.
MIN_RECENT = 0.5
REQUESTS_SERIES = 'catkinslip_workspace_requests_total'
REJECTED_SERIES = 'catkinslip_rejected_keys_total'


@define
class WorkspaceMetrics(RequestObserver, MetricSource):
    """Request counts of the largest workspaces, and counts of rejected keys.

    When a workspace is no longer among the largest, its counts are added to those of
    all others; when it is again, its series starts at 0. So the sum over all series is
    the number of requests.
    """

    clock: Clock
    count_by_series: Counter[tuple[str, str]] = Factory(Counter)
    rejected_by_cause: Counter[str] = Factory(Counter)
    #: Recent requests by workspace.
    recent_by_name: dict[str, float] = Factory(dict)
    labelled: set[str] = Factory(set)
    chosen_at: float = Factory(lambda self: self.clock.monotonic(), takes_self=True)

    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Do nothing: only whole requests are counted."""

    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Do nothing: only whole requests are counted."""

    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Count a request of a workspace, or a rejected key."""
        if outcome_is(outcome, Reason.KEY_REJECTED):
            self.rejected_by_cause[outcome.detail] += 1
        if not call.workspace:
            return
        name = call.workspace
        self.recent_by_name[name] = self.recent_by_name.get(name, 0.0) + 1.0
        self._choose_largest()
        self.count_by_series[self._label(name), outcome_name(outcome)] += 1

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        requests = counter(
            REQUESTS_SERIES,
            'Requests by workspace, the largest ones by name, and outcome.',
            'workspace',
            'outcome',
        )
        for (name, outcome), count in sorted(self.count_by_series.items()):
            if name == OTHER or name in self.labelled:
                requests.add(count, name, outcome)
        yield requests
        rejected = counter(
            REJECTED_SERIES, 'Requests whose API key was rejected.', 'cause'
        )
        for cause, count in sorted(self.rejected_by_cause.items()):
            rejected.add(count, cause)
        yield rejected

    def _label(self, name: str) -> str:
        if name not in self.labelled and len(self.labelled) < MAX_WORKSPACES:
            self.labelled.add(name)
        return name if name in self.labelled else OTHER

    def _choose_largest(self) -> None:
        """Choose the workspaces with series of their own anew if it is time."""
        now = self.clock.monotonic()
        if now - self.chosen_at < CHOICE_SECONDS:
            return
        self.chosen_at = now
        recent = self.recent_by_name
        self.labelled = set(nlargest(MAX_WORKSPACES, recent, key=recent.get))
        self.recent_by_name = {
            name: count / 2 for name, count in recent.items() if count / 2 >= MIN_RECENT
        }
        self._fold_counts()

    def _fold_counts(self) -> None:
        """Add the counts of workspaces without a label to those of all others.

        The memory stays bounded this way, also where workspaces come and go.
        """
        for name, outcome in list(self.count_by_series):
            if name != OTHER and name not in self.labelled:
                count = self.count_by_series.pop((name, outcome))
                self.count_by_series[OTHER, outcome] += count


def outcome_name(outcome: Outcome) -> str:
    """Return the label of the outcome of a workspace's request."""
    if isinstance(outcome, Answered):
        return 'failed' if outcome.status in SERVER_ERRORS else 'served'
    if outcome_is(outcome, Reason.OVER_QUOTA):
        return 'over-quota'
    return 'refused' if isinstance(outcome, NotRun) else 'failed'


def outcome_is(outcome: Outcome, reason: Reason) -> bool:
    """Return whether a request was refused for a reason."""
    return isinstance(outcome, NotRun | Unknown) and outcome.reason is reason

"""The standing of a call among the workspaces and kinds that share a service.

Load: servers have no room for all calls, for any reason. The rules of this package
decide by lateness and priority; the standing of a call changes what they require: the
share of the target that the call must leave free, how long it is held and for which
servers, and whether it counts as one that returned too early.
"""

from math import inf

from attrs import Factory, define, evolve

from catkinslip.admission.kinds import Kind, KindShares, KindStanding
from catkinslip.admission.scarcity import Scarcity
from catkinslip.admission.standing import Standing
from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.admission.workspaces import (
    NEUTRAL,
    WorkspaceShares,
    WorkspaceStanding,
)
from catkinslip.quotas.base import WorkspaceUsage

#: Share of its target that a call must leave free if it gives way in full.
YIELD_SPARE_SHARE = 0.4
#: Share of its target for which a call is held if others give way to it, as the slots
#: that they leave become free a moment later.
AHEAD_HOLD_SHARE = 0.4
#: Increase of the interval between searches for a server, as a multiple of the usual
#: one, if a call gives way in full. Free slots then go to the other calls.
YIELD_RECHECK_INCREASE = 2.0
#: Degree of giving way, from 0 to 1, from which a call is refused rather than sent
#: beyond its `max_delay`.
STRICT_DEGREE = 0.5


@define
class FairnessCounts:
    """Numbers of calls to which a rule of sharing applied, for the metrics."""

    gives_way: int = 0
    is_forward: int = 0
    is_ahead: int = 0
    is_repeated: int = 0

    def add(self, standing: Standing) -> None:
        """Count a call by its standing."""
        self.gives_way += standing.gives_way > 0
        self.is_forward += standing.is_forward
        self.is_ahead += standing.is_ahead
        self.is_repeated += standing.is_repeated


@define
class ServiceFairness:
    """The groups of calls that one instance saw lately in one service."""

    scarcity: Scarcity = Factory(Scarcity)
    workspaces: WorkspaceShares = Factory(WorkspaceShares)
    kinds: KindShares = Factory(KindShares)
    counts: FairnessCounts = Factory(FairnessCounts)

    def assess(
        self,
        settings: AdmissionSettings,
        kind: Kind,
        workspace: str,
        usage: WorkspaceUsage | None,
        now: float,
        *,
        is_repeated: bool = False,
    ) -> Standing:
        """Return the standing of a call that has arrived."""
        is_scarce = self.scarcity.is_scarce(now)
        of_kind, of_workspace = KindStanding(), NEUTRAL
        if settings.shares_kinds and kind.target < inf:
            of_kind = self.kinds.assess(kind, is_scarce, now)
        seen = None
        if settings.shares_workspaces and usage is not None:
            seen = self.workspaces.record(workspace, usage, now)
            if is_scarce:
                of_workspace = self.workspaces.assess(workspace, seen, now)
        standing = evolve(
            combine_standings(of_kind, of_workspace), is_repeated=is_repeated
        )
        self.counts.add(standing)
        if seen is None:
            return standing
        return evolve(standing, usage=usage, usage_changed_at=seen.changed_at)

    def record(self, kind: str, workspace: str, is_served: bool, now: float) -> None:
        """Record whether a server answered a call."""
        self.kinds.served.record(kind, is_served, now)
        if workspace:
            self.workspaces.served.record(workspace, is_served, now)


def combine_standings(kind: KindStanding, workspace: WorkspaceStanding) -> Standing:
    """Return the standing of a call of a kind and a workspace."""
    is_forward = kind.is_forward or workspace.is_forward
    hold_share = kind.hold_share
    if hold_share is None and (is_forward or workspace.is_ahead):
        hold_share = AHEAD_HOLD_SHARE
    gives_way = 0.0 if is_forward else max(kind.gives_way, workspace.gives_way)
    return Standing(
        spare_share=YIELD_SPARE_SHARE * gives_way,
        hold_share=hold_share,
        max_delay=inf if kind.max_delay is None else kind.max_delay,
        is_strict=gives_way >= STRICT_DEGREE,
        recheck_factor=1 + YIELD_RECHECK_INCREASE * gives_way,
        is_forward=is_forward,
        is_ahead=workspace.is_ahead,
        gives_way=gives_way,
    )

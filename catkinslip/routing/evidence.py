"""What an instance's own answers say of a backend server, beside its reports."""

from math import exp

from attrs import define

from catkinslip.routing.base import AttemptResult, BackendLoad, LoadReport, ResultKind

TRUST_WEIGHT = 0.1
HIGHEST_UNDERREPORT_SHARE = 0.1
LOCAL_WEIGHT = 0.02
LEAST_LOCAL = 0.05
SERVICE_WEIGHT = 0.01
FIRST_SERVICE_SECONDS = 0.02
SERVICE_MEMORY_SECONDS = 0.5
PRIOR_ANSWERS = 4.0
LEAST_SLOWNESS = 0.33
MOST_SLOWNESS = 20.0
CONTRADICTING_SLOWNESS = 3.0
FAILURE_WEIGHT = 0.3
EJECTING_FAILURE_SHARE = 0.5
FAILURE_PAUSE_SECONDS = 1.0
LONGEST_FAILURE_PAUSE_SECONDS = 30.0
SHED_PAUSE_SECONDS = 0.05
LONGEST_SHED_PAUSE_SECONDS = 1.0
#: One request replaces so much of the share that a server is known to shed.
SHED_WEIGHT = 0.3
#: What a server shed is half forgotten after some seconds without a request there.
SHED_MEMORY_SECONDS = 4.0
#: A smaller share is taken for none.
LEAST_SHED_SHARE = 0.05
#: One request replaces so much of the share that all servers shed.
SHED_MEAN_WEIGHT = 0.02
#: A server that sheds everything is expected to take this share.
LEAST_ACCEPTED_SHARE = 0.1


@define
class ReportTrust:
    """Check reports against own requests in flight.

    A server that holds requests of this instance cannot hold fewer. Requests sent
    since the last report may still be on their way and are not counted.
    """

    mean_local: float = 0.0

    def record(self, load: BackendLoad, report: LoadReport | None) -> None:
        """Take a report, or the lack of one, before it replaces the last."""
        self.mean_local += LOCAL_WEIGHT * (load.in_flight - self.mean_local)
        if report is None:
            load.underreport_share = 1.0
            return
        surely_there = load.in_flight - load.selections_since_report
        if surely_there > 0:
            is_underreport = report.in_flight < surely_there
            load.underreport_share += TRUST_WEIGHT * (
                is_underreport - load.underreport_share
            )
        elif load.report is None:
            load.underreport_share = 0.0

    def scale(self, mean_reported: float) -> float:
        """Return requests in flight of all instances for each own one."""
        return max(1.0, mean_reported / max(self.mean_local, LEAST_LOCAL))


@define
class ServiceTime:
    """Infer how slow a server is from latency without the expected queue.

    A queue of n requests before c slots takes n / c service times, so a latency
    over that is one service time. The mean over all servers is the yardstick.
    """

    mean: float = FIRST_SERVICE_SECONDS
    is_known: bool = False

    def record(
        self, load: BackendLoad, result: AttemptResult, expected: float, now: float
    ) -> None:
        """Take an answer to a request that was expected to find some in flight."""
        report = result.report
        sample = result.latency / max(1.0, (expected + 1) / load.slots)
        if report is not None and report.speed is not None:
            sample *= load.mean_speed
        weight = SERVICE_WEIGHT if self.is_known else 1.0
        self.is_known = True
        self.mean += weight * (sample - self.mean)
        decay = exp((load.answered_at - now) / SERVICE_MEMORY_SECONDS)
        load.answered_at = now
        load.answers = load.answers * decay + 1
        load.service_seconds = load.service_seconds * decay + sample
        seen = load.service_seconds + PRIOR_ANSWERS * self.mean
        expected_seconds = (load.answers + PRIOR_ANSWERS) * self.mean
        slowness = seen / expected_seconds if expected_seconds else 1.0
        load.inferred_slowness = min(max(slowness, LEAST_SLOWNESS), MOST_SLOWNESS)
        is_contradiction = load.inferred_slowness > CONTRADICTING_SLOWNESS
        load.slowness = load.inferred_slowness if is_contradiction else 1.0
        load.is_irregular = load.is_irregular or is_contradiction


@define
class ShedShares:
    """Learn which share of its requests each server sheds, and all of them.

    Load: some servers refuse part of what comes, whatever room they have, and look idle
    for that; a pause after each shed ends with the next answer. Where all servers do,
    none is worse for it, and a call must not look late.

    While half of 297 servers shed 55 % of what comes callers get 0.931 of their worth
    with it and 0.838 without (overload benchmark, three seeds).
    """

    mean: float = 0.0

    def record(self, load: BackendLoad, kind: ResultKind, now: float) -> None:
        """Take how a request ended at a server."""
        if kind not in (ResultKind.SHED, ResultKind.ANSWERED):
            return
        is_shed = kind is ResultKind.SHED
        self.mean += SHED_MEAN_WEIGHT * (is_shed - self.mean)
        known = shed_share(load, now)
        load.shed_share = known + SHED_WEIGHT * (is_shed - known)
        load.shed_at = now
        load.is_irregular = load.is_irregular or load.shed_share > LEAST_SHED_SHARE

    def factor(self, share: float) -> float:
        """Return how many more sends a server needs until it takes one than others."""
        return max(1.0, (1 - self.mean) / max(1 - share, LEAST_ACCEPTED_SHARE))


def shed_share(load: BackendLoad, now: float) -> float:
    """Return the share that a server sheds; it is forgotten with time."""
    if not load.shed_share:
        return 0.0
    return load.shed_share * exp((load.shed_at - now) / SHED_MEMORY_SECONDS)


def count_failure(load: BackendLoad, kind: ResultKind, now: float) -> None:
    """Avoid a server that fails or sheds for a while, longer each time."""
    failed = kind is ResultKind.FAILED
    load.failure_share += FAILURE_WEIGHT * (failed - load.failure_share)
    if kind is ResultKind.ANSWERED:
        load.pauses = 0
    elif kind is ResultKind.SHED:
        pause(load, now, SHED_PAUSE_SECONDS, LONGEST_SHED_PAUSE_SECONDS)
    elif failed and load.failure_share > EJECTING_FAILURE_SHARE:
        pause(load, now, FAILURE_PAUSE_SECONDS, LONGEST_FAILURE_PAUSE_SECONDS)


def pause(load: BackendLoad, now: float, shortest: float, longest: float) -> None:
    """Pause a server; answers to requests sent before do not count twice."""
    if now < load.paused_until:
        return
    load.is_irregular = True
    load.paused_until = now + min(shortest * 2**load.pauses, longest)
    load.pauses = min(load.pauses + 1, 10)

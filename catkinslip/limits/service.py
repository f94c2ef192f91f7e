"""The limits of each service on one instance."""

from collections.abc import Callable

from attrs import Factory, define

from catkinslip.admission.fairness import ServiceFairness
from catkinslip.admission.retries import MOST_URGENT, Urgency
from catkinslip.admission.work import WorkTimes
from catkinslip.limits.admission import DeadlineLimit
from catkinslip.limits.base import Admission, LimitSettings
from catkinslip.limits.budget import ExtraBudget
from catkinslip.limits.latency import LatencyWindow
from catkinslip.limits.load import ServiceLoad
from catkinslip.limits.plan import CallPlan
from catkinslip.proxy.outcomes import NotRun
from catkinslip.routing.base import AttemptResult, ResultKind
from catkinslip.routing.router import ServiceRouter

RESIZE_SECONDS = 0.2


@define
class ServiceLimits:
    """The admission, extra requests and latencies of one service; times in seconds."""

    settings: LimitSettings
    admission: Admission
    budget: ExtraBudget
    latency: LatencyWindow
    work: WorkTimes = Factory(WorkTimes)
    load: ServiceLoad = Factory(ServiceLoad)
    fairness: ServiceFairness = Factory(ServiceFairness)
    resized_at: float = -RESIZE_SECONDS

    def refuse(self, time_left: float) -> NotRun | None:
        """Return the refusal of a call; None admits the call."""
        refusal = self.admission.refuse(self.load, time_left)
        self.load.record_decision(refusal is not None)
        return refusal

    def plan(
        self,
        repeatable: bool,
        first_layer: bool,
        deadline: float,
        max_attempts: int | None = None,
        urgency: Urgency = MOST_URGENT,
    ) -> CallPlan:
        """Return the plan of an admitted call, which earns its share of a token."""
        self.budget.earn()
        return CallPlan(
            repeatable=repeatable,
            first_layer=first_layer,
            deadline=deadline,
            budget=self.budget,
            max_attempts=max_attempts or self.settings.max_attempts,
            reserved_for_retries=self.budget.reserve / 2,
            urgency=urgency,
        )

    def hedge_delay(self, now: float) -> float | None:
        """Return the seconds after which to hedge; None when hedges are disabled."""
        if not self.settings.hedge_percentile:
            return None
        return self.latency.read(now)

    def has_idle_slot(self, backend_id: str) -> bool:
        """Return whether a hedge would probably find a free slot and no queue."""
        count = self.load.count_by_id.get(backend_id)
        return count is None or count.estimate < self.load.slots_per_backend

    def started(self, backend_id: str) -> None:
        """Count an attempt that starts."""
        self.load.started(backend_id)

    def answered(self, backend_id: str, latency: float) -> None:
        """Record the latency up to the head of an answer."""
        self.latency.record(latency)
        self.load.update_service_time(backend_id, latency)

    def ended(self, backend_id: str, result: AttemptResult, now: float) -> None:
        """Count an attempt that ended.

        The latency of a cancelled attempt is recorded too, as a lower bound.
        """
        self.load.ended(backend_id, result.report, now)
        if result.kind is ResultKind.CANCELLED:
            self.latency.record(result.latency)


@define
class LimitRegistry:
    """The limits of all services, kept in step with routers and members."""

    settings: LimitSettings
    count_instances: Callable[[str], float]
    limits_by_service: dict[str, ServiceLimits] = Factory(dict)

    def apply_settings(self, settings: LimitSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        for limits in self.limits_by_service.values():
            limits.settings = settings
            limits.budget.share = settings.extra_share

    def take_resend(self, service: str, runs: int, max_attempts: int | None) -> bool:
        """Take a token for a call that may have run `runs` times, to run it once more.

        Return whether it may run again.
        """
        limits = self.limits_by_service.get(service)
        if limits is None or runs >= (max_attempts or self.settings.max_attempts):
            return False
        if not limits.budget.has_token():
            return False
        limits.budget.take()
        return True

    def limits_of(
        self, service: str, router: ServiceRouter, now: float
    ) -> ServiceLimits:
        """Return the limits of a service, sized for its usable backend servers."""
        limits = self.limits_by_service.get(service)
        if limits is None:
            limits = make_limits(self.settings)
            self.limits_by_service[service] = limits
        if now - limits.resized_at >= RESIZE_SECONDS:
            limits.resized_at = now
            self._resize(service, limits, router, now)
        limits.load.sweep(now)
        return limits

    def _resize(
        self, service: str, limits: ServiceLimits, router: ServiceRouter, now: float
    ) -> None:
        usable = [each for each in router.loads if router.takes_full_share(each, now)]
        slots = usable[0].slots if usable else 1
        instances = self.count_instances(service)
        limits.load.resize(slots, len(usable), instances, self.settings.queue_depth)
        if self.settings.extra_slack is not None:
            limits.budget.set_reserve(self.settings.extra_slack / max(1, instances))


def make_limits(settings: LimitSettings) -> ServiceLimits:
    """Return the limits of a service that has had no call yet."""
    return ServiceLimits(
        settings,
        DeadlineLimit(settings.queue_depth, settings.deadline_margin),
        ExtraBudget(settings.extra_share, settings.extra_reserve),
        LatencyWindow(settings.hedge_percentile),
    )

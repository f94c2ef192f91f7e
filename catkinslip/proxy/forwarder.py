"""The entry to forwarding: calls are admitted or refused, then attempted."""

from math import inf
from random import Random

from attrs import Factory, define

from catkinslip.admission.kinds import Kind
from catkinslip.admission.repeats import RepeatedCalls
from catkinslip.admission.retries import Urgency
from catkinslip.admission.spent import SpentTimes
from catkinslip.admission.standing import USUAL, Standing
from catkinslip.clock import Clock
from catkinslip.crashes.guard import CrashGuard
from catkinslip.health.base import NoSampler, Sampler
from catkinslip.health.tracker import HealthTracker
from catkinslip.limits.plan import CallPlan
from catkinslip.limits.service import LimitRegistry, ServiceLimits
from catkinslip.proxy.base import CallForwarder
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.exchange import OWN_DIALECT, Call
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.observer import ObserverGroup, RequestObserver
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.runner import CallRunner
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.wire import Wire
from catkinslip.quotas.base import NoQuotas, QuotaGate
from catkinslip.quotas.permits import CallPermits
from catkinslip.routing.directory import Directory
from catkinslip.routing.router import ServiceRouter

#: Operators reopen an evacuated zone after some seconds at the earliest; callers retry
#: within a third of their time in any case.
EVACUATED_RETRY_SECONDS = 1.0
#: Slow instances are ready 0.4 to 1.4 s after all instances start (logs of 22); a
#: caller that retries after 0.05 s is most likely refused by the same instance again.
NOT_READY_RETRY_SECONDS = 0.5
#: Refusals for want of room, after which a caller that returns too early takes the room
#: of others.
CAPACITY_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.DEADLINE_UNMET,
        Reason.OVERLOADED,
        Reason.THROTTLED,
        Reason.COLD,
        Reason.RESTING,
    }
)


@define
class Forwarder(CallForwarder):
    """A forwarder of calls to backend servers."""

    directory: Directory
    pool: BackendPool
    clock: Clock
    limits: LimitRegistry
    health: HealthTracker
    hedges: HedgeTimer
    observer: RequestObserver = ObserverGroup()
    dialect: Dialect = OWN_DIALECT
    sampler: Sampler = Factory(NoSampler)
    random: Random = Factory(Random)
    guard: CrashGuard = Factory(lambda self: CrashGuard(self.clock), takes_self=True)
    repeats: RepeatedCalls = Factory(RepeatedCalls)
    spent: SpentTimes = Factory(
        lambda self: SpentTimes(self.clock.monotonic()), takes_self=True
    )
    quotas: QuotaGate = Factory(NoQuotas)
    stop_gate: StopGate = Factory(StopGate)
    #: Calls in progress, by service.
    running_by_service: dict[str, set[CallRunner]] = Factory(dict)

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward a call within its deadline and return its outcome.

        Capacity is shared by the rules of `admission/fairness.py` among the calls of
        workspaces; without workspaces all calls are admitted alike.
        """
        self._record_spent(call)
        outcome = await self._forward_recognised(call, caller)
        if not isinstance(outcome, Answered):
            self.spent.record_unanswered(self.clock.monotonic())
        return outcome

    async def _forward_recognised(self, call: Call, caller: Wire) -> Outcome:
        """Forward a call and record whether its caller returned too early."""
        name = f'{call.workspace} {call.peer}' if call.workspace else ''
        is_repeated = self.repeats.arrive(name, self.clock.monotonic())
        retry_after = None
        try:
            outcome = await self._forward(call, caller, is_repeated)
            if isinstance(outcome, NotRun) and outcome.reason in CAPACITY_REASONS:
                retry_after = outcome.retry_after
        finally:
            self.repeats.end(name, self.clock.monotonic(), retry_after)
        return outcome

    def divert(self, service: str) -> None:
        """End the calls of a service that another instance may send instead."""
        for runner in tuple(self.running_by_service.get(service, ())):
            runner.divert()

    def _record_spent(self, call: Call) -> None:
        has_times = call.caller_timeout is not None and call.target_latency < inf
        if has_times and self.limits.settings.admission.counts_spent:
            now = self.clock.monotonic()
            call.record_spent(
                self.spent.observe(
                    call.route, call.caller_timeout, call.target_latency, now
                )
            )

    def _assess(
        self, call: Call, limits: ServiceLimits, is_repeated: bool, now: float
    ) -> Standing:
        if not call.workspace:
            return USUAL
        work = limits.work.expect(call.route, 1.0, call.target_latency)
        kind = Kind(call.route, work, call.target_latency, call.priority)
        usage = self.quotas.usage(call.workspace)
        settings = limits.settings.admission
        return limits.fairness.assess(
            settings,
            kind,
            call.workspace,
            usage,
            now,
            is_repeated=is_repeated and settings.ranks_retries,
        )

    async def _forward(self, call: Call, caller: Wire, is_repeated: bool) -> Outcome:
        if not self.directory.is_ready:
            return NotRun(Reason.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS)
        router = self.directory.router_by_service.get(call.service)
        if router is None:
            return NotRun(Reason.UNKNOWN_SERVICE, call.service)
        if router.is_evacuated:
            zones = ', '.join(sorted(router.closed_zones))
            return NotRun(Reason.EVACUATED, zones, retry_after=EVACUATED_RETRY_SECONDS)
        refusal = await self.guard.refuse(call)
        if refusal is not None:
            return refusal
        refusal = await self.quotas.acquire(call)
        if refusal is not None:
            return refusal
        permits = CallPermits(self.quotas, call.workspace, call.permit_expires_at)
        try:
            return await self._run(call, caller, router, permits, is_repeated)
        finally:
            permits.settle()

    async def _run(
        self,
        call: Call,
        caller: Wire,
        router: ServiceRouter,
        permits: CallPermits,
        is_repeated: bool,
    ) -> Outcome:
        self.health.count_call(call.service)
        now = self.clock.monotonic()
        limits = self.limits.limits_of(call.service, router, now)
        refusal = limits.refuse(call.deadline - now)
        if refusal is not None:
            return refusal
        standing = self._assess(call, limits, is_repeated, now)
        runner = self._make_runner(call, caller, router, limits, permits, standing)
        running = self.running_by_service.setdefault(call.service, set())
        running.add(runner)
        try:
            outcome = await runner.run()
        finally:
            running.discard(runner)
        limits.fairness.record(
            call.route,
            call.workspace,
            isinstance(outcome, Answered),
            self.clock.monotonic(),
        )
        return outcome

    def _make_runner(
        self,
        call: Call,
        caller: Wire,
        router: ServiceRouter,
        limits: ServiceLimits,
        permits: CallPermits,
        standing: Standing,
    ) -> CallRunner:
        return CallRunner(
            call=call,
            caller=caller,
            plan=make_plan(call, limits, standing),
            limits=limits,
            router=router,
            health=self.health,
            pool=self.pool,
            clock=self.clock,
            hedges=self.hedges,
            observer=self.observer,
            dialect=self.dialect,
            sampler=self.sampler,
            random=self.random,
            guard=self.guard,
            permits=permits,
            stop_gate=self.stop_gate,
            excluded_by_region=self.directory.servers_outside(
                call.service, call.regions
            ),
            standing=standing,
        )


def make_plan(call: Call, limits: ServiceLimits, standing: Standing) -> CallPlan:
    """Return the plan of the attempts and hedges of a call."""
    max_attempts = call.max_attempts or limits.settings.max_attempts
    return limits.plan(
        call.repeatable and not call.is_suspect,
        call.attempt == 1,
        call.deadline,
        max(1, max_attempts - call.runs),
        Urgency(
            call.priority,
            is_late=call.spent > 0 or standing.is_repeated,
            is_ranked=bool(call.workspace) and limits.settings.admission.ranks_retries,
        ),
    )

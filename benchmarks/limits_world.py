"""Entry instances with the daemon's limits, on the virtual clock."""

import math

from attrs import Factory, define, evolve

from benchmarks.policy_world import Attempt, Instance, Request
from catkinslip.limits.base import Admission
from catkinslip.limits.load import ServiceLoad
from catkinslip.limits.plan import CallPlan, Step
from catkinslip.limits.service import LimitRegistry
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.routing.base import AttemptResult, ResultKind

SERVICE = 'service'


@define(eq=False)
class LimitedCall:
    """A request, its plan and its attempts."""

    request: Request
    plan: CallPlan
    attempts: list['LimitedAttempt'] = Factory(list)
    hedge_delay: float | None = None


@define(eq=False)
class LimitedAttempt(Attempt):
    """An attempt that knows its call."""

    call: LimitedCall | None = None
    is_open: bool = True


@define(eq=False)
class LimitedInstance(Instance):
    """Admit, retry and hedge as the daemon does.

    Workers that ignore deadlines neither check nor hear of a cancelled request.
    """

    book: LimitRegistry | None = None
    ignores_deadlines: bool = False

    def arrive(self, request: Request) -> None:
        """Take a request of a caller, or refuse it at once."""
        now = self.world.now
        limits = self.book.limits_of(SERVICE, self.router, now)
        if limits.refuse(request.deadline - now) is not None:
            request.refused = True
            request.latency = 0.0
            return
        call = LimitedCall(request, limits.plan(True, True, request.deadline))
        self.launch(call, call.plan.start)
        delay = limits.hedge_delay(now)
        if delay is not None:
            self.world.after(delay, self.hedge, call)
        call.hedge_delay = delay
        if request.deadline < math.inf and not self.ignores_deadlines:
            self.world.after(request.deadline - now, self.expire, call)

    def launch(self, call: LimitedCall, count, *, hedge: bool = False) -> None:
        """Send one attempt to the worker that the router chooses."""
        now = self.world.now
        tried = [each.worker.worker_id for each in call.attempts]
        choice = self.router.choose(now, tried)
        if choice is None:
            return
        if hedge and not self.limits.has_idle_slot(choice.backend_id):
            return
        count()
        call.request.attempts += 1
        worker = self.world.worker_by_id[choice.backend_id]
        request = call.request
        if self.ignores_deadlines:
            request = evolve(request, deadline=math.inf)
        attempt = LimitedAttempt(request, self, worker, now, call=call)
        call.attempts.append(attempt)
        self.router.started(choice.backend_id, now)
        self.limits.started(choice.backend_id)
        self.world.after(self.world.hop(self, worker), worker.arrive, attempt)

    @property
    def limits(self):
        """Return the limits of the one service."""
        return self.book.limits_by_service[SERVICE]

    def hedge(self, call: LimitedCall) -> None:
        """Send a second attempt where the plan allows it."""
        if call.request.latency is not None:
            return
        if call.plan.may_hedge(self.world.now):
            self.launch(call, call.plan.hedge, hedge=True)
        if len(call.attempts) == 1:
            self.world.after(call.hedge_delay, self.hedge, call)

    def answered(self, attempt: LimitedAttempt) -> None:
        """Take an answer; try elsewhere where the plan allows it."""
        if self.lost or not attempt.is_open:
            return
        now, call = self.world.now, attempt.call
        self.close(attempt, attempt.kind)
        if attempt.kind is ResultKind.SHED:
            refusal = NotRun(Reason.SHED)
            step = call.plan.ended(refusal, now, is_sent=True)
            if step is Step.RETRY:
                self.launch(call, call.plan.start)
            if step is Step.WAIT or attempt is not call.attempts[-1]:
                return
            call.request.refused = True
        else:
            latency = now - attempt.sent_at
            self.limits.answered(attempt.worker.worker_id, latency)
        self.conclude(call)
        call.request.failed = attempt.kind is ResultKind.FAILED

    def expire(self, call: LimitedCall) -> None:
        """Give a call up at its deadline."""
        if call.request.latency is None:
            self.conclude(call)
            call.request.latency = math.nextafter(math.inf, 0)

    def conclude(self, call: LimitedCall) -> None:
        """End a call and cancel what still runs of it."""
        now = self.world.now
        call.request.latency = now - call.request.arrived_at
        for attempt in call.attempts:
            if attempt.is_open:
                attempt.is_cancelled = True
                self.close(attempt, ResultKind.CANCELLED)
                hop = self.world.hop(self, attempt.worker)
                self.world.after(hop, attempt.worker.cancel, attempt)

    def close(self, attempt: LimitedAttempt, kind: ResultKind) -> None:
        """Count the end of an attempt."""
        now = self.world.now
        attempt.is_open = False
        result = AttemptResult(kind, now - attempt.sent_at, attempt.report)
        self.router.finished(attempt.worker.worker_id, result, now)
        self.limits.ended(attempt.worker.worker_id, result, now)


@define
class AdmitAll(Admission):
    """Admit every call: the baseline."""

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""
        return None


@define
class StaticLimit(Admission):
    """Limit the requests in flight to this instance's own share of the slots."""

    queue_depth: float = 2.0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""
        limit = load.slots * self.queue_depth / load.instances
        return None if load.in_flight < limit else NotRun(Reason.OVERLOADED)


@define
class GradientLimit(Admission):
    """Move a limit by the ratio of the least latency to the recent one."""

    limit: float = 20.0
    least: float = math.inf
    recent: float = 0.0
    tolerance: float = 2.0
    samples: int = 0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""
        return None if load.in_flight < self.limit else NotRun(Reason.OVERLOADED)

    def learn(self, latency: float) -> None:
        """Move the limit by one answer's latency, in seconds."""
        self.samples += 1
        self.recent += (latency - self.recent) / min(self.samples, 50)
        if self.samples >= 50:
            self.least = min(self.least, self.recent)
            gradient = min(1.0, max(0.5, self.tolerance * self.least / self.recent))
            target = self.limit * gradient + math.sqrt(self.limit)
            self.limit = max(1.0, self.limit + (target - self.limit) * 0.02)

"""The attempts of one call: retries, hedges and the answer to the caller."""

import logging
from collections.abc import Collection
from functools import partial
from math import inf
from random import Random

import trio
from attrs import Factory, define

from catkinslip.admission.standing import USUAL, Standing
from catkinslip.clock import Clock
from catkinslip.crashes.guard import CrashGuard
from catkinslip.crashes.hidden_crashes import server_name
from catkinslip.crashes.identity import key_of
from catkinslip.health.base import Sampler
from catkinslip.health.tracker import Headers, HealthTracker
from catkinslip.limits.plan import CallPlan, Step
from catkinslip.limits.service import ServiceLimits
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.exchange import (
    ANSWER_GRACE_SECONDS,
    AnswerHead,
    Attempt,
    Call,
    ConnectionBreak,
)
from catkinslip.proxy.hedges import HedgeTimer
from catkinslip.proxy.launch import Launch
from catkinslip.proxy.observer import RequestObserver
from catkinslip.proxy.outcomes import (
    SERVER_ERRORS,
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    attempt_result,
)
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.race import HedgedCall, Race
from catkinslip.proxy.server_wait import ServerWait
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.wire import Wire
from catkinslip.quotas.permits import CallPermits
from catkinslip.routing.base import BackendLoad, Choice, LoadReport
from catkinslip.routing.gates import release_permits
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.signals import AnswerKind

#: Enough to identify a request; a caller may send a target of 32 kB.
LOGGED_TARGET_BYTES = 200

log = logging.getLogger('routing')


@define(eq=False)
class CallRunner(HedgedCall):
    """The execution of one call's plan; at most one answer reaches the caller."""

    call: Call
    caller: Wire
    plan: CallPlan
    limits: ServiceLimits
    router: ServiceRouter
    health: HealthTracker
    pool: BackendPool
    clock: Clock
    hedges: HedgeTimer
    observer: RequestObserver
    dialect: Dialect
    sampler: Sampler
    random: Random
    guard: CrashGuard
    permits: CallPermits
    stop_gate: StopGate
    #: Servers in regions in which the call must not run.
    excluded_by_region: frozenset[str] = frozenset()
    #: What the sharing of scarce capacity requires of the call.
    standing: Standing = USUAL
    launches: list[Launch] = Factory(list)
    #: Attempt whose answer is passed on to the caller.
    passed_on: Launch | None = None
    began: float = Factory(lambda self: self.clock.monotonic(), takes_self=True)
    scope: trio.CancelScope = Factory(trio.CancelScope)
    wait: ServerWait = Factory(lambda self: self._make_wait(), takes_self=True)

    async def run(self) -> Outcome:
        """Run attempts until an answer, the last allowed attempt or the deadline."""
        try:
            remaining = max(0.0, self.call.deadline - self.clock.monotonic())
            with trio.move_on_after(remaining) as self.scope:
                return self.wait.with_retry_after(await self._run_attempts())
            return self._end_diverted() if self.call.is_diverted else self._expire()
        finally:
            # Counted first: the abandoning may be cancelled.
            self.permits.ran = self._runs()
            self.call.runs += self.permits.ran
            for launch in self.launches:
                await self._abandon(launch)

    def divert(self) -> None:
        """End the attempts if another instance may send the call instead.

        A call that may have run and must not run again waits for its answer. Otherwise
        a further run takes a token of the budget, like any other resend.
        """
        runs = self._runs()
        if self.passed_on is not None or self.scope.cancel_called:
            return
        if runs and not self.plan.may_send_again(runs):
            return
        if runs:
            self.plan.budget.take()
        self.call.is_diverted = True
        self.scope.cancel()

    def _runs(self) -> int:
        """Return how many times the call may have run."""
        return sum(launch.runs for launch in self.launches)

    def _end_diverted(self) -> NotRun | Unknown:
        if self._runs():
            return Unknown(Reason.BROKEN, Reason.UNREACHED.title)
        return NotRun(Reason.UNREACHED)

    async def _run_attempts(self) -> Outcome:
        while True:
            choice = await self.wait.choose(self._tried())
            if isinstance(choice, NotRun):
                self.plan.refused(choice)
                return self.plan.final_outcome()
            # Another call may have used the last token of the budget during the wait.
            if choice is None or not self.plan.may_start():
                return self.plan.final_outcome()
            if self.plan.unknown is not None and not self.permits.take_more():
                return self.plan.final_outcome()
            launch = self._launch(choice, self.plan.start(), self.wait.reason(choice))
            ended = await self._await_head(launch)
            if isinstance(ended.result, AnswerHead):
                return await self._pass_on(ended, ended.result)
            if ended.step is Step.STOP:
                return self.plan.final_outcome()

    def launch_hedge(self) -> Launch | None:
        """Create a second attempt; return None if no server has an idle slot for it."""
        if not self.stop_gate.is_open_to(self.call, self.clock.monotonic()):
            return None
        choice = self.health.choose(self.router, self._tried())
        if choice is None or not self.limits.has_idle_slot(choice.backend_id):
            return None
        if not self.permits.take_more():
            return None
        return self._launch(choice, self.plan.hedge(), f'hedge, {choice.reason}')

    def _launch(self, choice: Choice, number: int, reason: object) -> Launch:
        """Create the attempt with this number at the chosen server."""
        now = self.clock.monotonic()
        # Reserved before the router counts the request as in flight.
        permits = self.router.reserve(choice.backend_id, now)
        load = self.router.started(choice.backend_id, now)
        restriction = self.router.describe_restrictions(load, now)
        if restriction:
            reason = f'{reason} {restriction}'
        log.info(
            'routing: %s %s goes to %s, %s.',
            self.call.request_id,
            self.call.service,
            choice.backend_id,
            reason,
        )
        self.observer.on_server_chosen(self.call, choice, number)
        address = self.health.directory.address_by_backend[choice.backend_id]
        attempt = Attempt(
            call=self.call,
            address=address,
            caller=self.caller,
            pool=self.pool,
            clock=self.clock,
            number=number,
            dialect=self.dialect,
            backend_id=choice.backend_id,
            stop_gate=self.stop_gate,
            on_head=partial(self._handle_head, load),
            on_signals=partial(self._apply_signals, load),
            on_break=partial(self._handle_break, choice.backend_id),
        )
        launch = Launch(choice.backend_id, attempt, now, choice.delay, load, permits)
        attempt.may_send = partial(self._may_send, launch)
        self.launches.append(launch)
        self.limits.started(launch.backend_id)
        return launch

    def _may_send(self, launch: Launch) -> bool:
        """Return whether the first byte may be sent on the open connection now."""
        if not launch.is_open:
            # Its caller left as the connection opened, and its permits are back.
            return False
        load, now = launch.load, self.clock.monotonic()
        if not self.router.may_send(load, launch.permits, now):
            return False
        # A request that is sent again on a new connection may run a second time.
        return launch.attempt.earlier_result is None or self.permits.take_more()

    def _handle_head(
        self, load: BackendLoad | None, headers: Headers, report: LoadReport | None
    ) -> None:
        # An answer from before the server's last start does not describe it now.
        if self.router.is_known(load):
            self.health.record_answer(load.backend_id, headers, report)

    def _apply_signals(
        self,
        load: BackendLoad | None,
        signals: ServerSignals,
        kind: AnswerKind,
        sent_at: float,
    ) -> None:
        if self.router.is_known(load):
            now = self.clock.monotonic()
            self.router.apply_signals(load, signals, kind, sent_at, now)
            if signals.is_leaving:
                self.health.mark_leaving(load.backend_id)

    def _handle_break(self, backend_id: str, connection_break: ConnectionBreak) -> None:
        log.info(
            'routing: %s the connection to %s broke. %s request=%s caller=%s target=%s '
            'detail=%s',
            self.call.request_id,
            backend_id,
            connection_break,
            key_of(self.call),
            self.call.peer,
            self.call.target[:LOGGED_TARGET_BYTES].decode('latin-1'),
            connection_break.detail,
        )
        self.observer.on_connection_broken(self.call, connection_break)

    def _tried(self) -> Collection[str]:
        """Return the servers that must not get the call: tried or in other regions."""
        tried = [launch.backend_id for launch in self.launches]
        return (
            self.excluded_by_region.union(tried) if self.excluded_by_region else tried
        )

    async def _await_head(self, launch: Launch) -> Launch:
        now = self.clock.monotonic()
        delay = self._hedge_delay(launch, now)
        if delay is None or self.call.body_remainder or not self.plan.may_hedge(now):
            await self.start(launch)
            return launch
        return await self._race(launch, delay)

    def _hedge_delay(self, launch: Launch, now: float) -> float | None:
        """Return the seconds until the first check for a hedge; None for no hedge."""
        if self.call.target_deadline == inf:
            return self.limits.hedge_delay(now)
        # By then most servers whose speed did not fall have answered.
        return self.wait.expect(launch.delay)

    def _make_wait(self) -> ServerWait:
        return ServerWait(
            self.call,
            self.limits,
            self.router,
            self.health,
            self.sampler,
            self.clock,
            self.random,
            self.began,
            self.standing,
            self.stop_gate,
        )

    async def _race(self, first: Launch, delay: float) -> Launch:
        race = Race(self, delay, initial_speed=self.reported_speed(first.backend_id))
        self.hedges.add(delay, race)
        try:
            with race.first_scope:
                await self.start(first)
            if first.step is Step.WAIT:
                await race.second_ended.wait()
        finally:
            race.is_over = True
            race.second_scope.cancel()
        if first.step is not Step.WAIT or race.second is None:
            return first
        return race.second

    def reported_speed(self, backend_id: str) -> float | None:
        """Return the speed that a server last reported; None if it reported none."""
        load = self.router.load_by_id.get(backend_id)
        known = load is not None and load.report is not None
        return load.report.speed if known else None

    async def start(self, launch: Launch) -> None:
        """Send an attempt's request and handle the result."""
        await self.handle_result(launch, await launch.attempt.start())

    async def handle_result(
        self, launch: Launch, result: AnswerHead | NotRun | Unknown
    ) -> None:
        """Record the result of an attempt: the head of an answer or why none came."""
        if not launch.is_open:
            # The attempt was abandoned while the answer arrived.
            if isinstance(result, AnswerHead):
                await launch.attempt.discard(result)
            return
        launch.result = result
        now = self.clock.monotonic()
        if isinstance(result, AnswerHead):
            launch.step = Step.STOP
            launch.answered_at = now
            latency = now - launch.began
            self.limits.answered(launch.backend_id, latency)
            call = self.call
            self.limits.work.record(
                call.route, latency, launch.delay, call.target_latency
            )
            return
        is_known = self.router.is_known(launch.load)
        has_crashed = await self._check_for_crash(launch)
        if not launch.is_open:
            # Abandoned, and counted as finished, while its server was checked.
            return
        if (result.reason is Reason.CONNECT_FAILED or has_crashed) and is_known:
            self.health.record_refusal(launch.backend_id)
        if launch.attempt.earlier_result is not None:
            self.plan.record_unknown(launch.attempt.earlier_result)
        launch.step = self.plan.ended(
            result,
            now,
            is_sent=launch.attempt.is_sent,
            is_resendable=self.call.is_resendable,
        )
        if launch.step is Step.RETRY:
            log.info(
                'routing: %s %s may go elsewhere, %s ended as %s.',
                self.call.request_id,
                self.call.service,
                launch.backend_id,
                result,
            )
        self._finish(launch, result)

    async def _check_for_crash(self, launch: Launch) -> bool:
        """Return whether the server crashed during an attempt whose connection broke.

        A leaving server closes the connections of unfinished requests itself, so its
        requests are not suspected.
        """
        load = launch.load
        if launch.attempt.connection_break is None or load is None or load.draining:
            return False
        server = server_name(launch.backend_id, load.incarnation)
        is_cold = load.is_cold(launch.began)
        has_crashed = await self.guard.detect_crash(
            self.call,
            server,
            launch.attempt.address,
            is_cold=is_cold,
            witness=self.health.find_witness(self.router, launch.backend_id),
        )
        if self.call.is_suspect:
            self.plan.repeatable = False
        return has_crashed

    async def _pass_on(self, launch: Launch, head: AnswerHead) -> Outcome:
        if self.scope.cancel_called:
            # The deadline passed as the head arrived; the caller was sent nothing yet.
            await trio.sleep_forever()
        self.scope.deadline += ANSWER_GRACE_SECONDS
        self.passed_on = launch
        for other in self.launches:
            if other is not launch:
                await self._abandon(other)
        outcome = await launch.attempt.pass_on(head)
        if isinstance(outcome, Answered) and outcome.status not in SERVER_ERRORS:
            self.guard.record_answer(self.call)
        elif launch.attempt.connection_break is not None:
            await self._check_for_crash(launch)
        self._finish(launch, outcome)
        return outcome

    def _expire(self) -> Outcome:
        open_attempts = [each.attempt for each in self.launches if each.is_open]
        return self.plan.expired(
            any(attempt.is_sent for attempt in open_attempts),
            answer_started=self.passed_on is not None,
        )

    async def _abandon(self, launch: Launch) -> None:
        if not launch.is_open:
            return
        if isinstance(launch.result, AnswerHead) and launch is not self.passed_on:
            await launch.attempt.discard(launch.result)
        self._finish(launch, Unknown(Reason.DEADLINE))

    def _finish(self, launch: Launch, outcome: Outcome) -> None:
        now = self.clock.monotonic()
        launch.is_open = False
        release_permits(launch.permits)
        # The time that a slow caller takes to read the answer is not counted.
        ended = now if launch.answered_at is None else launch.answered_at
        result = attempt_result(outcome, ended - launch.began)
        if self.router.is_known(launch.load):
            self.router.finished(launch.backend_id, result, now)
        self.limits.ended(launch.backend_id, result, now)
        seconds = now - launch.began
        self.observer.on_attempt_ended(self.call, launch.backend_id, outcome, seconds)

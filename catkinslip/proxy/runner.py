"""Run the attempts of one call: retry, hedge, and pass one answer on."""

import logging
from collections.abc import Collection
from functools import partial
from math import inf
from random import Random

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.crashes.guard import CrashGuard
from catkinslip.crashes.hidden_crashes import server_name
from catkinslip.crashes.identity import key_of
from catkinslip.health.base import Sampler
from catkinslip.health.tracker import Headers, HealthTracker
from catkinslip.limits.plan import CallPlan, Step
from catkinslip.limits.service import ServiceLimits
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.exchange import AnswerHead, Attempt, Break, Call
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
from catkinslip.proxy.race import Race
from catkinslip.proxy.server_wait import ServerWait
from catkinslip.proxy.wire import Wire
from catkinslip.routing.base import BackendLoad, Choice, LoadReport
from catkinslip.routing.gates import give_back
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.words import ServerWords
from catkinslip.throttling.signs import AnswerKind

ANSWER_GRACE_SECONDS = 1.0
#: Enough to find a request again; a caller may send 32 kB.
LOGGED_TARGET_BYTES = 200

log = logging.getLogger('routing')


@define
class CallRunner:
    """Carry out a call's plan; exactly one answer reaches the caller."""

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
    #: Servers in regions where the call must not run.
    outside: frozenset[str] = frozenset()
    launches: list[Launch] = Factory(list)
    passed_on: Launch | None = None
    began: float = Factory(lambda self: self.clock.monotonic(), takes_self=True)
    scope: trio.CancelScope = Factory(trio.CancelScope)
    wait: ServerWait = Factory(lambda self: self._make_wait(), takes_self=True)

    async def run(self) -> Outcome:
        """Run attempts until one answers, none may follow, or the deadline."""
        try:
            left = max(0.0, self.call.deadline - self.clock.monotonic())
            with trio.move_on_after(left) as self.scope:
                return await self._run_attempts()
            return self._expire()
        finally:
            for launch in self.launches:
                await self._give_up(launch)

    async def _run_attempts(self) -> Outcome:
        while True:
            choice = await self.wait.choose(self._tried())
            if isinstance(choice, NotRun):
                self.plan.refused(choice)
                return self.plan.told()
            # Another call may have taken the last token during the wait.
            if choice is None or not self.plan.may_start():
                return self.plan.told()
            launch = self._launch(choice, self.plan.start(), self.wait.reason(choice))
            ended = await self._await_head(launch)
            if isinstance(ended.result, AnswerHead):
                return await self._pass_on(ended, ended.result)
            if ended.step is Step.STOP:
                return self.plan.told()

    def launch_hedge(self) -> Launch | None:
        """Make a second attempt; None when no server has an idle slot for it."""
        choice = self.health.choose(self.router, self._tried())
        if choice is None or not self.limits.has_idle_slot(choice.backend_id):
            return None
        return self._launch(choice, self.plan.hedge(), f'hedge, {choice.reason}')

    def _launch(self, choice: Choice, number: int, reason: object) -> Launch:
        """Make the attempt with a number of a chosen server."""
        now = self.clock.monotonic()
        # Before the request counts as sent, which it is not yet.
        permits = self.router.reserve(choice.backend_id, now)
        load = self.router.started(choice.backend_id, now)
        narrowed = self.router.narrowed(load, now)
        if narrowed:
            reason = f'{reason} {narrowed}'
        log.info(
            'routing: %s %s goes to %s, %s.',
            self.call.request_id,
            self.call.service,
            choice.backend_id,
            reason,
        )
        self.observer.decided(self.call, choice, number)
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
            on_head=partial(self._take_head, load),
            on_words=partial(self._take_words, load),
            on_break=partial(self._take_break, choice.backend_id),
        )
        launch = Launch(choice.backend_id, attempt, now, choice.delay, load, permits)
        attempt.may_send = partial(self._may_send, launch)
        self.launches.append(launch)
        self.limits.started(launch.backend_id)
        return launch

    def _may_send(self, launch: Launch) -> bool:
        """Tell whether the first byte may be sent now, as a connection is there."""
        load, now = launch.load, self.clock.monotonic()
        return self.router.may_send(load, launch.permits, now)

    def _take_head(
        self, load: BackendLoad | None, headers: Headers, report: LoadReport | None
    ) -> None:
        # An answer of before the server's last start says nothing of the one of now.
        if self.router.is_known(load):
            self.health.record_answer(load.backend_id, headers, report)

    def _take_words(
        self,
        load: BackendLoad | None,
        words: ServerWords,
        kind: AnswerKind,
        sent_at: float,
    ) -> None:
        if self.router.is_known(load):
            now = self.clock.monotonic()
            self.router.take_words(load, words, kind, sent_at, now)
            if words.is_leaving:
                self.health.mark_leaving(load.backend_id)

    def _take_break(self, backend_id: str, broken: Break) -> None:
        log.info(
            'routing: %s the connection to %s broke. %s request=%s caller=%s target=%s '
            'detail=%s',
            self.call.request_id,
            backend_id,
            broken,
            key_of(self.call),
            self.call.peer,
            self.call.target[:LOGGED_TARGET_BYTES].decode('latin-1'),
            broken.detail,
        )
        self.observer.broke(self.call, broken)

    def _tried(self) -> Collection[str]:
        """Return the servers that must not get the call: tried or foreign ones."""
        tried = [launch.backend_id for launch in self.launches]
        return self.outside.union(tried) if self.outside else tried

    async def _await_head(self, launch: Launch) -> Launch:
        now = self.clock.monotonic()
        delay = self._hedge_delay(launch, now)
        if delay is None or self.call.rest or not self.plan.may_hedge(now):
            await self.start(launch)
            return launch
        return await self._race(launch, delay)

    def _hedge_delay(self, launch: Launch, now: float) -> float | None:
        """Return after how many seconds to look whether a hedge is due."""
        if self.call.best_until == inf:
            return self.limits.hedge_delay(now)
        # By then most servers that kept their speed have answered.
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
        )

    async def _race(self, first: Launch, delay: float) -> Launch:
        race = Race(self, delay, launched_speed=self.speed_of(first.backend_id))
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

    def speed_of(self, backend_id: str) -> float | None:
        """Return the speed that a server told last; None if it tells none."""
        load = self.router.load_by_id.get(backend_id)
        known = load is not None and load.report is not None
        return load.report.speed if known else None

    async def start(self, launch: Launch) -> None:
        """Send an attempt's request and take what comes of it."""
        await self.settle(launch, await launch.attempt.start())

    async def settle(
        self, launch: Launch, result: AnswerHead | NotRun | Unknown
    ) -> None:
        """Take how an attempt ended, or that its answer began."""
        if not launch.is_open:
            # Given up while the answer came.
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
            self.limits.work.learn(
                call.route, latency, launch.delay, call.target_latency
            )
            return
        is_known = self.router.is_known(launch.load)
        has_ended = await self._examine(launch)
        if not launch.is_open:
            # Given up while its server was looked at: it was counted as ended then.
            return
        if (result.reason is Reason.CONNECT_FAILED or has_ended) and is_known:
            self.health.record_refusal(launch.backend_id)
        if launch.attempt.doubt is not None:
            self.plan.doubted(launch.attempt.doubt)
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

    async def _examine(self, launch: Launch) -> bool:
        """Tell whether the server of a broken attempt ended under the request.

        One that leaves cuts what it did not finish, and is to blame for it itself.
        """
        load = launch.load
        if launch.attempt.broken is None or load is None or load.draining:
            return False
        server = server_name(launch.backend_id, load.incarnation)
        is_cold = load.is_cold(launch.began)
        has_ended = await self.guard.detect_crash(
            self.call, server, launch.attempt.address, is_cold=is_cold
        )
        if self.call.is_suspect:
            self.plan.repeatable = False
        return has_ended

    async def _pass_on(self, launch: Launch, head: AnswerHead) -> Outcome:
        if self.scope.cancel_called:
            # The deadline came with the head; nothing is sent to the caller yet.
            await trio.sleep_forever()
        self.scope.deadline += ANSWER_GRACE_SECONDS
        self.passed_on = launch
        for other in self.launches:
            if other is not launch:
                await self._give_up(other)
        outcome = await launch.attempt.pass_on(head)
        if isinstance(outcome, Answered) and outcome.status not in SERVER_ERRORS:
            self.guard.record_answer(self.call)
        elif launch.attempt.broken is not None:
            await self._examine(launch)
        self._finish(launch, outcome)
        return outcome

    def _expire(self) -> Outcome:
        open_attempts = [each.attempt for each in self.launches if each.is_open]
        return self.plan.expired(
            any(attempt.is_sent for attempt in open_attempts),
            answer_started=self.passed_on is not None,
        )

    async def _give_up(self, launch: Launch) -> None:
        if not launch.is_open:
            return
        if isinstance(launch.result, AnswerHead) and launch is not self.passed_on:
            await launch.attempt.discard(launch.result)
        self._finish(launch, Unknown(Reason.DEADLINE))

    def _finish(self, launch: Launch, outcome: Outcome) -> None:
        now = self.clock.monotonic()
        launch.is_open = False
        give_back(launch.permits)
        # A slow caller's share of the time says nothing of the server.
        ended = now if launch.answered_at is None else launch.answered_at
        result = attempt_result(outcome, ended - launch.began)
        if self.router.is_known(launch.load):
            self.router.finished(launch.backend_id, result, now)
        self.limits.ended(launch.backend_id, result, now)
        seconds = now - launch.began
        self.observer.attempted(self.call, launch.backend_id, outcome, seconds)

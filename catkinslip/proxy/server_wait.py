"""The wait of one call for a server of its service."""

import logging
from collections.abc import Collection
from math import inf
from random import Random

import trio
from attrs import Factory, define, evolve, field

from catkinslip.admission.restricted import restricted_retry_after
from catkinslip.admission.retries import refused_retry_after
from catkinslip.admission.standing import USUAL, Standing
from catkinslip.admission.waiting import Decision, WaitingCall
from catkinslip.clock import Clock
from catkinslip.health.base import Sampler
from catkinslip.health.tracker import HealthTracker
from catkinslip.limits.service import ServiceLimits
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason
from catkinslip.proxy.stopping import StopGate
from catkinslip.routing.base import Choice
from catkinslip.routing.gates import RestrictionReason
from catkinslip.routing.router import ServiceRouter

log = logging.getLogger('limits')

REASON_BY_RESTRICTION = {
    RestrictionReason.RATE: Reason.THROTTLED,
    RestrictionReason.COLD: Reason.COLD,
    RestrictionReason.REST: Reason.RESTING,
}
DETAIL_BY_RESTRICTION = {
    RestrictionReason.RATE: 'servers in need at their rates',
    RestrictionReason.COLD: 'cold servers',
    RestrictionReason.REST: 'servers that asked for rest',
}


@define
class ServerWait:
    """The choice of a server for one call, which is sent, held or refused."""

    call: Call
    limits: ServiceLimits
    router: ServiceRouter
    health: HealthTracker
    sampler: Sampler
    clock: Clock
    random: Random
    began: float
    standing: Standing = USUAL
    stop_gate: StopGate = Factory(StopGate)
    waiting: WaitingCall = field(init=False)
    #: Whether the first decision was counted.
    is_counted: bool = False

    def __attrs_post_init__(self) -> None:
        call = self.call
        self.waiting = WaitingCall(
            settings=self.limits.settings.admission,
            began=self.began,
            best_until=call.target_deadline,
            deadline=call.deadline,
            caller_deadline=call.caller_deadline,
            target=call.target_latency,
            priority=call.priority,
            spent=call.spent,
            standing=self.standing,
        )

    async def choose(self, tried: Collection[str]) -> Choice | NotRun | None:
        """Return the chosen server, or why the call is refused.

        Return None if no server is left to choose.
        """
        self.waiting.update_lateness(self.expect(1.0), self.clock.monotonic())
        while True:
            stop_refusal = self.stop_gate.check(self.call, self.clock.monotonic())
            if stop_refusal is not None:
                return stop_refusal
            if not self.waiting.is_late:
                # Probes are reserved for calls that can still be answered in time.
                await self.sampler.refresh(self.router, tried)
            choice = self.health.choose(self.router, self._excluded(tried))
            if choice is None:
                return self._refuse_restricted()
            if self.call.target_deadline == inf:
                return choice
            now = self.clock.monotonic()
            work = self.expect(1.0)
            is_known = not self.router.is_silent(choice.backend_id)
            decision = self.waiting.decide(choice.delay, work, now, is_known=is_known)
            self._count(decision, now)
            match decision:
                case Decision.SEND:
                    return choice
                case Decision.REFUSE:
                    return self._find_slow(tried, now) or self._refuse(choice, now)
            await trio.sleep(self.waiting.recheck_seconds(now))

    def _count(self, decision: Decision, now: float) -> None:
        if not self.is_counted:
            self.is_counted = True
            has_room = decision is Decision.SEND
            self.limits.fairness.scarcity.record(has_room, now)

    def with_retry_after(self, outcome: Outcome) -> Outcome:
        """Add a time to return to the outcome of a call that servers refused."""
        if not (self.call.workspace and self.limits.settings.admission.ranks_retries):
            return outcome
        if self.call.target_deadline == inf or not isinstance(outcome, NotRun):
            return outcome
        if outcome.reason is not Reason.SHED or outcome.retry_after is not None:
            return outcome
        now = self.clock.monotonic()
        retry_after = refused_retry_after(self.waiting, self.random, now)
        log.info(
            'limits: %s %s was refused by servers, no retry is left. priority=%d '
            'spent_ms=%.0f back_ms=%.0f workspace=%s %s.',
            self.call.request_id,
            self.call.service,
            self.call.priority,
            self.call.spent * 1e3,
            retry_after * 1e3,
            self.call.workspace,
            self.standing.describe(now),
        )
        return evolve(outcome, retry_after=retry_after)

    def _excluded(self, tried: Collection[str]) -> Collection[str]:
        """Return the servers that must not get the call.

        A suspect request is not sent to cold servers, which crash more easily, nor to
        throttled servers.
        """
        if not self.call.is_suspect:
            return tried
        throttled = [
            rate.load.backend_id
            for rate in self.router.throttle.registry.active_rates()
        ]
        return [*tried, *self.router.cold.cold(self.clock.monotonic()), *throttled]

    def _refuse_restricted(self) -> NotRun | None:
        """Return the refusal if only servers are left that can handle no more now."""
        now = self.clock.monotonic()
        closure = self.router.closure(now)
        if closure is None:
            return None
        refusal = NotRun(
            REASON_BY_RESTRICTION[closure.reason],
            f'{closure.servers} {DETAIL_BY_RESTRICTION[closure.reason]}',
            retry_after=restricted_retry_after(closure, self.waiting, self.random, now),
        )
        log.info(
            'limits: %s %s is refused, %s, back_ms=%.0f.',
            self.call.request_id,
            self.call.service,
            refusal.detail,
            refusal.retry_after * 1e3,
        )
        return refusal

    def reason(self, choice: Choice) -> object:
        """Return why a server was chosen, as text for the log."""
        return f'late, {choice.reason}' if self.waiting.is_late else choice.reason

    def expect(self, delay: float) -> float:
        """Return the expected seconds until the answer of a server with this delay."""
        return self.limits.work.expect(self.call.route, delay, self.call.target_latency)

    def _find_slow(self, tried: Collection[str], now: float) -> Choice | None:
        ranked = self.health.rank(self.router, self._excluded(tried))
        estimate = self.waiting.find_slow(ranked, self.expect(1.0), now)
        return None if estimate is None else self.router.choice_of(estimate, now)

    def _refuse(self, choice: Choice, now: float) -> NotRun:
        expected = self.expect(choice.delay)
        refusal = self.waiting.refuse(expected, now, self.random)
        log.info(
            'limits: %s %s is refused, %s, spent_ms=%.0f back_ms=%.0f, at %s, %s, '
            'priority=%d workspace=%s %s.',
            self.call.request_id,
            self.call.service,
            refusal.detail,
            self.call.spent * 1e3,
            refusal.retry_after * 1e3,
            choice.backend_id,
            choice.reason,
            self.call.priority,
            self.call.workspace,
            self.standing.describe(now),
        )
        return refusal

"""The race between the two attempts of a hedged call."""

import logging
from abc import ABC, abstractmethod

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.health.base import Sampler
from catkinslip.limits.plan import CallPlan
from catkinslip.proxy.exchange import AnswerHead
from catkinslip.proxy.hedges import Hedge, HedgeTimer
from catkinslip.proxy.launch import Launch
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.router import ServiceRouter

#: A server counts as slowed down below this share of its speed at the choice.
SLOWED_SHARE = 0.6
#: Time between two probes of the first server, for a call that takes long.
PROBE_AGAIN_SECONDS = 0.03

log = logging.getLogger('routing')


class HedgedCall(ABC):
    """Interface of a call whose first attempt may be hedged."""

    __slots__ = ()

    plan: CallPlan
    router: ServiceRouter
    clock: Clock
    hedges: HedgeTimer
    sampler: Sampler
    launches: list[Launch]

    @abstractmethod
    def launch_hedge(self) -> Launch | None:
        """Create a second attempt; return None if no server has an idle slot for it."""

    @abstractmethod
    def reported_speed(self, backend_id: str) -> float | None:
        """Return the speed that a server last reported; None if it reported none."""

    @abstractmethod
    async def start(self, launch: Launch) -> None:
        """Send an attempt's request and handle the result."""

    @abstractmethod
    async def handle_result(
        self, launch: Launch, result: AnswerHead | NotRun | Unknown
    ) -> None:
        """Record the result of an attempt: the head of an answer or why none came."""


@define(eq=False)
class Race(Hedge):
    """A race of two attempts; the first answer head cancels the other attempt."""

    runner: HedgedCall
    delay: float
    is_over: bool = False
    #: Speed that the first server last reported before the request was sent.
    initial_speed: float | None = None
    second: Launch | None = None
    first_scope: trio.CancelScope = Factory(trio.CancelScope)
    second_scope: trio.CancelScope = Factory(trio.CancelScope)
    second_ended: trio.Event = Factory(trio.Event)

    async def run(self) -> None:
        """Start the second attempt, or reschedule the hedge."""
        try:
            await self._run()
        except Exception:
            # An error in the hedge of one call must not stop the process.
            log.exception('routing: the hedge of a call failed.')
            self.second_ended.set()

    async def _run(self) -> None:
        runner = self.runner
        if self.is_over:
            return
        if self._may_hedge():
            await self._probe_first()
            if self.is_over:
                return
            # Another call may have used the last token of the budget during the probe.
            if self._may_hedge() and self.is_first_slow():
                self.second = runner.launch_hedge()
        if self.second is None:
            delay = self.delay if self.initial_speed is None else PROBE_AGAIN_SECONDS
            runner.hedges.add(delay, self)
            return
        with self.second_scope:
            await self._start_second(self.second)
        if isinstance(self.second.result, AnswerHead):
            self.first_scope.cancel()
        self.second_ended.set()

    def _may_hedge(self) -> bool:
        return self.runner.plan.may_hedge(self.runner.clock.monotonic())

    async def _probe_first(self) -> None:
        if self.initial_speed is not None:
            first = self.runner.launches[0]
            await self.runner.sampler.refresh_one(self.runner.router, first.backend_id)
            await self.runner.sampler.refresh(self.runner.router, [first.backend_id])

    def is_first_slow(self) -> bool:
        """Return whether the first server slowed down, is silent or has no speed."""
        first_id = self.runner.launches[0].backend_id
        if self.initial_speed is None or self.runner.router.is_silent(first_id):
            return True
        speed = self.runner.reported_speed(first_id)
        return speed is not None and speed < SLOWED_SHARE * self.initial_speed

    async def _start_second(self, launch: Launch) -> None:
        try:
            await self.runner.start(launch)
        except Exception as error:
            # An error in the hedge of one call must not stop the process.
            log.exception('routing: the second attempt of a hedged call failed.')
            await self.runner.handle_result(launch, Unknown(Reason.BROKEN, repr(error)))

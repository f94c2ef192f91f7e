"""Forward a call: choose a backend server, attempt, and try elsewhere if not run."""

import logging

import trio
from attrs import define

from catkinslip.clock import Clock
from catkinslip.health.tracker import HealthTracker
from catkinslip.proxy.exchange import Attempt, Call
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown, attempt_result
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import Wire
from catkinslip.routing.directory import Directory

MAX_ATTEMPTS = 3

log = logging.getLogger('routing')


@define
class Forwarder:
    """Forward calls to backend servers."""

    directory: Directory
    pool: BackendPool
    clock: Clock
    health: HealthTracker

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward one call within its deadline."""
        if not self.directory.is_ready:
            return NotRun(Reason.NOT_READY)
        router = self.directory.router_by_service.get(call.service)
        if router is None:
            return NotRun(Reason.UNKNOWN_SERVICE, call.service)
        self.health.count_call(call.service)
        tried: list[str] = []
        outcome: Outcome = NotRun(Reason.NO_BACKEND)
        while len(tried) < MAX_ATTEMPTS:
            choice = self.health.choose(router, tried)
            if choice is None:
                break
            log.info(
                'routing: %s %s goes to %s, %s.',
                call.request_id,
                call.service,
                choice.backend_id,
                choice.reason,
            )
            tried.append(choice.backend_id)
            outcome = await self._attempt(
                call, caller, router, choice.backend_id, len(tried)
            )
            if not isinstance(outcome, NotRun) or not call.is_resendable:
                break
        return outcome

    async def _attempt(
        self, call, caller, router, backend_id: str, number: int
    ) -> Outcome:
        address = self.directory.address_by_backend[backend_id]
        head_times: list[float] = []

        def on_head(headers, report) -> None:
            head_times.append(self.clock.monotonic())
            self.health.answered(backend_id, headers, report)

        attempt = Attempt(call, address, caller, self.pool, self.clock, number, on_head)
        outcome: Outcome = Unknown(Reason.DEADLINE)
        began = self.clock.monotonic()
        router.started(backend_id, began)
        try:
            with trio.move_on_after(call.deadline - self.clock.monotonic()):
                outcome = await attempt.run()
        finally:
            if is_connect_failure(outcome):
                self.health.refused(backend_id)
            ended = self.clock.monotonic()
            # A slow caller's share of the time says nothing of the server.
            latency = (head_times or [ended])[0] - began
            router.finished(backend_id, attempt_result(outcome, latency), ended)
        return outcome


def is_connect_failure(outcome: Outcome) -> bool:
    """Tell whether no connection to the backend server could be opened."""
    return isinstance(outcome, NotRun) and outcome.reason is Reason.CONNECT_FAILED

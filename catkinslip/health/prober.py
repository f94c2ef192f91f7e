"""Probes of backend servers without a recent answer, within the budget."""

import logging

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.health.reports import ObservedReport
from catkinslip.health.schedule import (
    RANK_SECONDS,
    STALE_SECONDS,
    ProbeTarget,
    rank,
    sort_targets,
)
from catkinslip.health.signals import has_drain_header
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.members import MemberTable
from catkinslip.models import Address, BackendKey
from catkinslip.proxy import headers as names
from catkinslip.proxy.answers import drain_body, read_report, receive_response
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import ConnectionErrors, Wire

PROBE_HEADER = b'catkinslip-probe'
#: Every server is checked once a round, in parts so that no part blocks the loop
#: for long.
ROUND_SECONDS = 1.0
#: Number of parts into which a round is divided.
PARTS = 20
#: Seconds that a probe may take, including the wait for a connection.
TIMEOUT_SECONDS = 1.0
#: Maximum number of probes that run at once.
MAX_PROBES_AT_ONCE = 8

log = logging.getLogger('health')


@define
class Prober:
    """Sender of the probes that are due and within the budget."""

    tracker: HealthTracker
    members: MemberTable
    pool: BackendPool
    clock: Clock
    limiter: trio.CapacityLimiter = Factory(
        lambda: trio.CapacityLimiter(MAX_PROBES_AT_ONCE)
    )

    async def run(self) -> None:
        """Send due probes until cancelled, checking a part of the servers at a time."""
        async with trio.open_nursery() as nursery:
            while True:
                self.tracker.budget.record_members(len(self.members.live()))
                for part in range(PARTS):
                    await trio.sleep(ROUND_SECONDS / PARTS)
                    for target in self.due(self.clock.monotonic(), part):
                        nursery.start_soon(self.probe, target)
                self.expire_unproved()

    def due(self, now: float, part: int = 0, parts: int = PARTS) -> list[ProbeTarget]:
        """Return the due probes of one part of the servers, the most urgent first."""
        member_ids = [each.member_id for each in self.members.live()]
        keys = list(self.tracker.key_by_id.values())[part::parts]
        targets = [self.target(key, now, member_ids) for key in keys]
        return sort_targets([target for target in targets if target is not None])

    def target(
        self, key: BackendKey, now: float, member_ids: list[str]
    ) -> ProbeTarget | None:
        """Return a probe target for a server if a probe is due and in the budget."""
        tracker = self.tracker
        proves_return = tracker.drain.is_leaving(key)
        if proves_return:
            waited = tracker.drain.proof_due_for(key, now)
        else:
            waited = tracker.reports.silent_for(key, now) - STALE_SECONDS
        if waited < 0 or not self.is_allowed(key, now, proves_return):
            return None
        service = tracker.document.register.backends[key.backend_id].service
        limits = tracker.probe_limits_by_service[service]
        # Instances with a better rank get their time to probe and to send the result,
        # even when the budget allows a probe to all of them at the same moment.
        waited = min(waited, tracker.budget.allowed_seconds(key.address, limits, now))
        waited -= RANK_SECONDS * rank(key, self.members.own.member_id, member_ids)
        if waited < 0:
            return None
        return ProbeTarget(key, service, proves_return, waited)

    def is_allowed(self, key: BackendKey, now: float, proves_return: bool) -> bool:
        """Return whether a server may be probed now; count probes over the budget."""
        tracker = self.tracker
        backend = tracker.document.register.backends[key.backend_id]
        if backend.draining or tracker.reachability.is_avoided(key, now):
            return False
        if proves_return and not tracker.drain.accepts_proof(key, now):
            return False
        limits = tracker.probe_limits_by_service[backend.service]
        if tracker.budget.allows_probe(key.address, backend.service, limits, now):
            return True
        tracker.counters.probes_held_back += 1
        return False

    async def probe(self, target: ProbeTarget) -> None:
        """Send one probe and apply its answer; log a broken connection."""
        key = target.key
        address = Address.parse(key.address)
        with trio.move_on_after(TIMEOUT_SECONDS):
            async with self.limiter:
                wire = await self.pool.acquire(address)
                if isinstance(wire, NotRun):
                    if wire.reason is Reason.CONNECT_FAILED:
                        self.tracker.record_refusal(key.backend_id)
                    return
                try:
                    await self.exchange(wire, target)
                except (*ConnectionErrors, h11.ProtocolError) as error:
                    log.info(
                        'health: probe failed. backend=%s error=%r',
                        key.backend_id,
                        error,
                    )
                finally:
                    with trio.CancelScope(shield=True):
                        await self.pool.release(address, wire)

    async def exchange(self, wire: Wire, target: ProbeTarget) -> None:
        """Spend a probe from the budget, send the request and read the answer."""
        tracker, key = self.tracker, target.key
        limits = tracker.probe_limits_by_service.get(target.service)
        router = tracker.router(key)
        picks_before = router.selections_since_report(key.backend_id) if router else 0
        sent_at = self.clock.monotonic()
        if limits is None or not tracker.budget.spend(
            key.address, target.service, limits, sent_at
        ):
            return
        tracker.counters.probes_sent += 1
        log.info(
            'health: probe started. backend=%s overdue_s=%.1f',
            key.backend_id,
            target.overdue,
        )
        try:
            await wire.send(self.request(target), h11.EndOfMessage())
            response = await receive_response(wire)
            await drain_body(wire)
        finally:
            tracker.budget.end_probe(key.address, self.clock.monotonic())
        self.apply_answer(response, key, sent_at, picks_before)

    def request(self, target: ProbeTarget) -> h11.Request:
        """Return the request head of a probe."""
        service = self.tracker.document.register.services[target.service]
        headers = [
            (b'host', target.service.encode()),
            (PROBE_HEADER, self.members.own.member_id.encode()),
        ]
        return h11.Request(method='GET', target=service.health_path, headers=headers)

    def apply_answer(
        self, response: h11.Response, key: BackendKey, sent_at: float, picks_before: int
    ) -> None:
        """Apply the answer of a probe, including a proof that the server returned."""
        tracker = self.tracker
        now = self.clock.monotonic()
        tracker.counters.probes_answered += 1
        report = read_report(response.headers)
        if report is not None:
            tracker.apply_report(key, ObservedReport(report, sent_at), picks_before)
        tracker.record_answer(key.backend_id, response.headers, None)
        is_well = response.status_code < 400 and not has_drain_header(response.headers)
        if is_well and names.find(response.headers, names.OUTCOME) is None:
            tracker.drain.prove_return(key, sent_at, now)
            tracker.apply_changes()

    def expire_unproved(self) -> None:
        """Expire the drain states of leaving servers whose services have no probes."""
        now = self.clock.monotonic()
        backends = self.tracker.document.register.backends
        for key in self.tracker.drain.leaving():
            limits = self.tracker.probe_limits_by_service.get(
                backends[key.backend_id].service
            )
            if limits is not None and limits.probes_per_second <= 0:
                self.tracker.drain.expire_unproved(key, now)
        self.tracker.apply_changes()

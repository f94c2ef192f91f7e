"""Probe backend servers without a recent answer, within the budget."""

import logging

import h11
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.health.reports import KnownReport
from catkinslip.health.schedule import (
    RANK_SECONDS,
    STALE_SECONDS,
    ProbeTarget,
    in_order,
    rank,
)
from catkinslip.health.signs import says_drain
from catkinslip.health.tracker import HealthTracker
from catkinslip.membership.members import MemberTable
from catkinslip.models import Address, BackendKey
from catkinslip.proxy import headers as names
from catkinslip.proxy.answers import drain_body, read_report, receive_response
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import ConnectionErrors, Wire

PROBE_HEADER = b'catkinslip-probe'
#: All servers are looked at once in a round, in parts that hold the loop briefly.
ROUND_SECONDS = 1.0
PARTS = 20
TIMEOUT_SECONDS = 1.0
MAX_AT_ONCE = 8

log = logging.getLogger('health')


@define
class Prober:
    """Send the probes that are due and within the budget."""

    tracker: HealthTracker
    members: MemberTable
    pool: BackendPool
    clock: Clock
    limiter: trio.CapacityLimiter = Factory(lambda: trio.CapacityLimiter(MAX_AT_ONCE))

    async def run(self) -> None:
        """Probe until cancelled; look at a part of the servers at a time."""
        async with trio.open_nursery() as nursery:
            while True:
                self.tracker.budget.see_members(len(self.members.live()))
                for part in range(PARTS):
                    await trio.sleep(ROUND_SECONDS / PARTS)
                    for target in self.due(self.clock.monotonic(), part):
                        nursery.start_soon(self.probe, target)
                self.end_unproved()

    def due(self, now: float, part: int = 0, parts: int = PARTS) -> list[ProbeTarget]:
        """Return what to probe of one part of the servers, the most urgent first."""
        member_ids = [each.member_id for each in self.members.live()]
        keys = list(self.tracker.key_by_id.values())[part::parts]
        targets = [self.target(key, now, member_ids) for key in keys]
        return in_order([target for target in targets if target is not None])

    def target(
        self, key: BackendKey, now: float, member_ids: list[str]
    ) -> ProbeTarget | None:
        """Return one server as a target if a probe of it is due and affordable."""
        tracker = self.tracker
        proves_return = tracker.drain.is_leaving(key)
        if proves_return:
            waited = tracker.drain.proof_wanted_for(key, now)
        else:
            waited = tracker.reports.silent_for(key, now) - STALE_SECONDS
        if waited < 0 or not self.is_allowed(key, now, proves_return):
            return None
        service = tracker.document.register.backends[key.backend_id].service
        terms = tracker.terms_by_service[service]
        # Those before this instance get their time to probe and tell, even when the
        # budget allows it to all of them at the same moment.
        waited = min(waited, tracker.budget.allowed_for(key.address, terms, now))
        waited -= RANK_SECONDS * rank(key, self.members.own.member_id, member_ids)
        if waited < 0:
            return None
        return ProbeTarget(key, service, proves_return, waited)

    def is_allowed(self, key: BackendKey, now: float, proves_return: bool) -> bool:
        """Tell whether a silent server may be probed; count what the budget holds."""
        tracker = self.tracker
        backend = tracker.document.register.backends[key.backend_id]
        if backend.draining or tracker.reachability.is_avoided(key, now):
            return False
        if proves_return and not tracker.drain.wants_proof(key, now):
            return False
        terms = tracker.terms_by_service[backend.service]
        if tracker.budget.may_probe(key.address, backend.service, terms, now):
            return True
        tracker.counters.probes_held_back += 1
        return False

    async def probe(self, target: ProbeTarget) -> None:
        """Send one probe and take over what its answer says."""
        key = target.key
        address = Address.parse(key.address)
        with trio.move_on_after(TIMEOUT_SECONDS):
            async with self.limiter:
                wire = await self.pool.acquire(address)
                if isinstance(wire, NotRun):
                    if wire.reason is Reason.CONNECT_FAILED:
                        self.tracker.refused(key.backend_id)
                    return
                try:
                    await self.exchange(wire, target)
                except (*ConnectionErrors, h11.ProtocolError) as error:
                    log.info('health: probe of %s failed, %r.', key.backend_id, error)
                finally:
                    with trio.CancelScope(shield=True):
                        await self.pool.release(address, wire)

    async def exchange(self, wire: Wire, target: ProbeTarget) -> None:
        """Spend from the budget, send the probe, and read its answer."""
        tracker, key = self.tracker, target.key
        terms = tracker.terms_by_service.get(target.service)
        router = tracker.router(key)
        picks_before = router.selections_since_report(key.backend_id) if router else 0
        sent_at = self.clock.monotonic()
        if terms is None or not tracker.budget.spend(
            key.address, target.service, terms, sent_at
        ):
            return
        tracker.counters.probes_sent += 1
        log.info('health: probes %s, due for %.1f s.', key.backend_id, target.overdue)
        try:
            await wire.send(self.request(target), h11.EndOfMessage())
            response = await receive_response(wire)
            await drain_body(wire)
        finally:
            tracker.budget.ended(key.address, self.clock.monotonic())
        self.take(response, key, sent_at, picks_before)

    def request(self, target: ProbeTarget) -> h11.Request:
        """Return the head of a probe."""
        service = self.tracker.document.register.services[target.service]
        headers = [
            (b'host', target.service.encode()),
            (PROBE_HEADER, self.members.own.member_id.encode()),
        ]
        return h11.Request(method='GET', target=service.health_path, headers=headers)

    def take(
        self, response: h11.Response, key: BackendKey, sent_at: float, picks_before: int
    ) -> None:
        """Take over the answer of a probe."""
        tracker = self.tracker
        now = self.clock.monotonic()
        tracker.counters.probes_answered += 1
        report = read_report(response.headers)
        if report is not None:
            tracker.learn_report(key, KnownReport(report, sent_at), picks_before)
        tracker.answered(key.backend_id, response.headers, None)
        is_well = response.status_code < 400 and not says_drain(response.headers)
        if is_well and names.find(response.headers, names.OUTCOME) is None:
            tracker.drain.proved(key, sent_at, now)
            tracker.settle()

    def end_unproved(self) -> None:
        """Let servers of services without probes return by time alone."""
        now = self.clock.monotonic()
        backends = self.tracker.document.register.backends
        for key in self.tracker.drain.leaving():
            terms = self.tracker.terms_by_service.get(backends[key.backend_id].service)
            if terms is not None and terms.probes_per_second <= 0:
                self.tracker.drain.end_unproved(key, now)
        self.tracker.settle()

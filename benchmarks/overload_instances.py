"""Instances under a load: the product's own decisions on the virtual clock."""

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory, define

from benchmarks.overload_callers import Request
from benchmarks.overload_servers import Run, Server
from catkinslip.admission.fairness import ServiceFairness
from catkinslip.admission.kinds import Kind
from catkinslip.admission.repeats import RepeatedCalls
from catkinslip.admission.restricted import restricted_retry_after
from catkinslip.admission.retries import Urgency, refused_retry_after
from catkinslip.admission.spent import SpentTimes
from catkinslip.admission.waiting import GOOD_DELAY, Decision, WaitingCall
from catkinslip.admission.work import WorkTimes
from catkinslip.health.sampler import (
    ANSWER_SECONDS,
    BUDGET_SHARE,
    FRESH_SECONDS,
    PROBED_AT_ONCE,
    ROUNDS,
    SAVED_SECONDS,
    SILENT_SECONDS,
)
from catkinslip.health.sharing import (
    FLUSH_SECONDS,
    MAX_REPORT_AGE_SECONDS,
    REQUEST_TRANSIT_SECONDS,
)
from catkinslip.limits.budget import ExtraBudget
from catkinslip.routing.base import (
    AttemptResult,
    BackendLoad,
    Estimate,
    LoadReport,
    ResultKind,
)
from catkinslip.routing.router import ServiceRouter
from catkinslip.routing.signals import ServerSignals
from catkinslip.store.budget import TokenBucket
from catkinslip.throttling.gossip import REFRESH_SECONDS, report_of
from catkinslip.throttling.messages import RateReport
from catkinslip.throttling.registry import AdvertisedRate
from catkinslip.throttling.signals import AnswerKind
from catkinslip.warmup.senders import SenderPosition

if TYPE_CHECKING:
    from benchmarks.overload_world import World

#: One way between a caller and an instance, and between instances of a zone.
CLIENT_SECONDS = 0.008
NEAR_SECONDS = 0.0002
#: Second sends of an instance: a share of its calls, and so many saved up.
RESEND_SHARE = 0.16
RESEND_RESERVE = 10.0
#: Shortest time that the product tells a caller to wait.
SHED_RETRY_SECONDS = 0.05

KIND_BY_RESULT = {
    ResultKind.ANSWERED: AnswerKind.ANSWER,
    ResultKind.SHED: AnswerKind.REFUSAL,
}


@define(eq=False)
class Call:
    """One attempt of a caller, as the instance that serves it knows it."""

    request: Request
    waiting: WaitingCall
    run: Run | None = None
    is_open: bool = True
    tried: list[str] = Factory(list)
    rounds: int = 0
    #: Whether its first decision was counted.
    is_counted: bool = False


@define(eq=False)
class Desk:
    """What one instance keeps of one service."""

    router: ServiceRouter
    work: WorkTimes = Factory(WorkTimes)
    news: dict[str, BackendLoad] = Factory(dict)
    budget: ExtraBudget = Factory(lambda: ExtraBudget(RESEND_SHARE, RESEND_RESERVE))
    fairness: ServiceFairness = Factory(ServiceFairness)


@define(eq=False)
class Instance:
    """One entry instance: the product's choice, wait and refusal."""

    world: 'World'
    zone: str
    random: Random
    desk_by_service: dict[str, Desk] = Factory(dict)
    bucket_by_id: dict[str, TokenBucket] = Factory(dict)
    spent: SpentTimes = Factory(lambda: SpentTimes(0.0))
    repeats: RepeatedCalls = Factory(RepeatedCalls)
    #: Its place among the senders of its zone to guarded servers.
    place: SenderPosition | None = None
    is_up: bool = True
    #: In the order of their arrival; a set would order them by their addresses.
    open_calls: dict[Call, None] = Factory(dict)

    def arrive(self, request: Request) -> None:
        """Take a caller's attempt."""
        now, kind = self.world.now, request.kind
        if not self.is_up:
            self.world.lost(request)
            return
        if not self.world.workspaces.acquire(request.workspace, now):
            self.world.after(CLIENT_SECONDS, self.world.refused, (request, 1.0))
            return
        given = request.deadline - now + CLIENT_SECONDS
        known = self.spent.observe(kind.name, given, kind.target, now)
        if self.world.knows_spent:
            known = now - CLIENT_SECONDS - request.asked_at
        if not self.world.settings.counts_spent:
            known = 0.0
        waiting = WaitingCall(
            settings=self.world.settings,
            began=now,
            best_until=now + kind.target - known,
            deadline=now + min(given, kind.timeout),
            caller_deadline=now + given,
            target=kind.target,
            priority=kind.priority,
            spent=known,
        )
        desk = self.desk_by_service[kind.service]
        work = desk.work.expect(kind.name, 1.0, kind.target)
        is_repeated = self.repeats.arrive(request.address, now)
        waiting.standing = desk.fairness.assess(
            self.world.settings,
            Kind(kind.name, work, kind.target, kind.priority),
            request.workspace,
            self.world.workspaces.usage(request.workspace, now),
            now,
            is_repeated=is_repeated and self.world.settings.ranks_retries,
        )
        desk.budget.earn()
        call = Call(request, waiting)
        self.open_calls[call] = None
        waiting.update_lateness(work, now)
        left = request.deadline + CLIENT_SECONDS - now
        self.world.after(min(left, kind.timeout), self.expire, call)
        self.look(call)

    def look(self, call: Call) -> None:
        """Refresh what is known, then decide."""
        if call.is_open and call.run is None:
            call.rounds = 0
            self.refresh(call)

    def refresh(self, call: Call) -> None:
        """Ask servers until the choice rests on a fresh report."""
        if not call.is_open or call.run is not None:
            return
        desk = self.desk_by_service[call.request.kind.service]
        may_ask = call.rounds < self.rounds(desk) and not call.waiting.is_late
        may_ask = may_ask and self.world.mechanisms.probes
        asked = self.leaders(desk, call) if may_ask else []
        if not asked:
            self.decide(desk, call)
            return
        call.rounds += 1
        slowest = 0.0
        for load in asked:
            server = self.world.server_by_id[load.backend_id]
            if server.is_dark:
                slowest = ANSWER_SECONDS
                self.world.after(ANSWER_SECONDS, self.silent, load)
                continue
            hop = self.world.hop(self.zone, server.zone)
            slowest = max(slowest, 2 * hop)
            self.world.after(hop, self.probed, (desk, load, server, hop))
        self.world.after(slowest, self.refresh, call)

    def rounds(self, desk: Desk) -> int:
        """Return the rounds of probes before a choice."""
        return ROUNDS

    def probed(self, probe: tuple[Desk, BackendLoad, Server, float]) -> None:
        """Let a server tell its load."""
        desk, load, server, hop = probe
        told = (
            desk,
            load,
            server.report(),
            self.world.now,
            load.selections_since_report,
        )
        self.world.after(hop, self.learn, told)

    def learn(self, told: tuple) -> None:
        """Take the answer to a probe."""
        desk, load, report, at, picks = told
        if load.backend_id in desk.router.load_by_id:
            desk.router.apply_peer_report(load.backend_id, report, at, picks)

    def silent(self, load: BackendLoad) -> None:
        """Take a probe that was not answered."""
        load.is_silent = load.is_irregular = True
        self.world.after(SILENT_SECONDS, self.ask_again, load)

    def ask_again(self, load: BackendLoad) -> None:
        """Ask a silent server beside the calls."""
        server = self.world.server_by_id[load.backend_id]
        if server.is_dark:
            self.world.after(SILENT_SECONDS, self.ask_again, load)
        else:
            load.is_silent = False

    def leaders(self, desk: Desk, call: Call) -> list[BackendLoad]:
        """Return the best servers without a fresh report, within the budget."""
        now = self.world.now
        ranked = desk.router.rank(now, call.tried)
        if not ranked:
            return []
        best = ranked[0]
        if now - best.load.reported_at <= FRESH_SECONDS and best.delay <= GOOD_DELAY:
            return []
        leaders = []
        for load, _, _ in ranked:
            if now - load.reported_at <= FRESH_SECONDS or load.is_silent:
                continue
            if self.take_probe(load.backend_id, now):
                leaders.append(load)
            if len(leaders) == PROBED_AT_ONCE:
                break
        return leaders

    def take_probe(self, backend_id: str, now: float) -> bool:
        """Take one probe from the own share of a server's budget."""
        rate = self.world.load.probes_per_second * BUDGET_SHARE
        rate /= len(self.world.instances)
        bucket = self.bucket_by_id.get(backend_id)
        if bucket is None:
            bucket = TokenBucket(rate, tokens=1.0, filled_at=now)
            bucket.burst = max(1.0, rate * SAVED_SECONDS)
            self.bucket_by_id[backend_id] = bucket
        return bucket.take(now) == 0.0

    def decide(self, desk: Desk, call: Call) -> None:
        """Send, hold or refuse a call."""
        now, kind = self.world.now, call.request.kind
        ranked = desk.router.rank(now, call.tried)
        if not ranked:
            self.refuse_closed(desk, call)
            return
        best = ranked[0]
        work = desk.work.expect(kind.name, 1.0, kind.target)
        waiting, is_known = call.waiting, not best.load.is_silent
        decision = waiting.decide(best.delay, work, now, is_known=is_known)
        if not call.is_counted:
            call.is_counted = True
            desk.fairness.scarcity.record(decision is Decision.SEND, now)
        match decision:
            case Decision.SEND:
                self.send(desk, call, best)
            case Decision.HOLD:
                self.world.after(waiting.recheck_seconds(now), self.look, call)
            case Decision.REFUSE:
                slow = waiting.find_slow(ranked, work, now)
                if slow is None:
                    self.refuse(call, best.delay * work)
                else:
                    self.send(desk, call, slow)

    def send(self, desk: Desk, call: Call, best: Estimate) -> None:
        """Send a call to a server."""
        now = self.world.now
        best.load.expected_in_flight = best.in_flight
        server = self.world.server_by_id[best.load.backend_id]
        permits = desk.router.reserve(server.server_id, now)
        desk.router.gates.may_send(best.load, permits, now)
        run = Run(call, server, self, now, best.delay, call.request.work)
        call.run = run
        call.tried.append(server.server_id)
        desk.router.started(server.server_id, now)
        self.world.after(self.world.hop(self.zone, server.zone), server.arrive, run)

    def refuse(self, call: Call, expected: float) -> None:
        """Refuse a call and tell its caller when to come back."""
        now = self.world.now
        refusal = call.waiting.refuse(expected, now, self.random)
        self.turn_away(call, refusal.retry_after)

    def turn_away(self, call: Call, seconds: float) -> None:
        """End a call without an answer and tell its caller when to come back."""
        now = self.world.now
        self.close(call)
        self.record(call, is_served=False)
        self.repeats.end(call.request.address, now, seconds)
        self.spent.record_unanswered(now)
        self.world.workspaces.record_refused(call.request.workspace, now)
        told = (call.request, seconds)
        self.world.after(CLIENT_SECONDS, self.world.refused, told)

    def refuse_closed(self, desk: Desk, call: Call) -> None:
        """Refuse a call for which no server is left that takes one now."""
        now = self.world.now
        closure = desk.router.closure(now)
        if closure is None:
            retry_after = call.waiting.late_retry_after(now, self.random)
        else:
            retry_after = restricted_retry_after(
                closure, call.waiting, self.random, now
            )
        self.turn_away(call, retry_after)

    def answered(self, told: tuple[Run, ResultKind, LoadReport, ServerSignals]) -> None:
        """Take a server's answer."""
        run, kind, report, words = told
        call, now = run.call, self.world.now
        if run.is_gone or not self.is_up:
            return
        request = call.request
        desk = self.desk_by_service[request.kind.service]
        latency = now - run.sent_at
        result = AttemptResult(kind, latency, report)
        desk.router.finished(run.server.server_id, result, now)
        load = desk.router.load_by_id.get(run.server.server_id)
        if load is not None:
            answer_kind = KIND_BY_RESULT[kind]
            words = self.world.heeded(words)
            desk.router.apply_signals(load, words, answer_kind, run.sent_at, now)
        run.is_gone = True
        if kind is ResultKind.SHED:
            call.run = None
            if self.may_send_again(desk, call):
                self.look(call)
            elif self.world.settings.ranks_retries:
                seconds = refused_retry_after(call.waiting, self.random, now)
                self.turn_away(call, seconds)
            else:
                # The least that the product tells callers.
                self.turn_away(call, SHED_RETRY_SECONDS)
            return
        target = request.kind.target
        desk.work.record(request.kind.name, latency, run.delay, target)
        self.record(call, is_served=True)
        self.repeats.end(request.address, now, None)
        self.close(call)
        self.world.after(CLIENT_SECONDS, self.world.done, request)

    def may_send_again(self, desk: Desk, call: Call) -> bool:
        """Take a token for a second send; tell whether there was one."""
        reserved = 0.0
        if self.world.settings.ranks_retries:
            is_late = call.waiting.is_late or call.waiting.spent > 0
            urgency = Urgency(call.waiting.priority, is_late)
            share = urgency.reserved_share(len(call.tried) - 1)
            reserved = share * desk.budget.reserve
        is_last = len(call.tried) >= call.request.kind.max_attempts
        if is_last or not desk.budget.has_token(reserved):
            return False
        desk.budget.take()
        return True

    def expire(self, call: Call) -> None:
        """Give a call up whose time is over."""
        if not call.is_open:
            return
        desk = self.desk_by_service[call.request.kind.service]
        self.close(call)
        self.record(call, is_served=False)
        self.repeats.end(call.request.address, self.world.now, None)
        if call.run is not None:
            self.give_up(desk, call.run)
        self.world.after(CLIENT_SECONDS, self.world.failed, call.request)

    def give_up(self, desk: Desk, run: Run) -> None:
        """Cancel a run."""
        run.is_gone = True
        result = AttemptResult(ResultKind.CANCELLED, self.world.now - run.sent_at)
        desk.router.finished(run.server.server_id, result, self.world.now)
        hop = self.world.hop(self.zone, run.server.zone)
        self.world.after(hop, run.server.cancel, run)

    def record(self, call: Call, *, is_served: bool) -> None:
        """Record for the sharing of capacity whether a call was answered."""
        request = call.request
        desk = self.desk_by_service[request.kind.service]
        desk.fairness.record(
            request.kind.name, request.workspace, is_served, self.world.now
        )

    def close(self, call: Call) -> None:
        """Note that a call has ended."""
        call.is_open = False
        self.open_calls.pop(call, None)

    def share(self, _: None) -> None:
        """Tell the zone's other instances what is new."""
        now = self.world.now
        if not self.world.mechanisms.shares_reports:
            return
        for service, desk in self.desk_by_service.items():
            loads, desk.news = list(desk.news.values()), {}
            for load in loads:
                if (
                    load.report is None
                    or now - load.reported_at > MAX_REPORT_AGE_SECONDS
                ):
                    continue
                in_flight = load.reported_in_flight + load.selections_since_report
                report = LoadReport(in_flight, load.speed)
                told = (service, load.backend_id, report, load.reported_at)
                for other in self.world.instances:
                    if other is not self and other.zone == self.zone:
                        self.world.after(NEAR_SECONDS, other.hear, told)
        if now < self.world.quiet_at:
            self.world.after(FLUSH_SECONDS, self.share, None)

    def tell_rate(self, service: str, rate: AdvertisedRate, is_change: bool) -> None:
        """Tell the other instances what an answer said of a server's rate."""
        now = self.world.now
        if not is_change and now - rate.gossiped_at < REFRESH_SECONDS:
            return
        rate.gossiped_at = now
        for other in self.world.instances:
            if other is not self:
                told = (service, report_of(rate, now))
                delay = self.world.hop(self.zone, other.zone)
                self.world.after(delay, other.hear_rate, told)

    def hear_rate(self, told: tuple[str, RateReport]) -> None:
        """Take what another instance tells of a server's rate."""
        service, rate = told
        router = self.desk_by_service[service].router
        load = router.load_by_id.get(rate.backend_id)
        if load is not None:
            router.throttle.registry.apply_peer_report(load, rate, self.world.now)

    def hear(self, told: tuple[str, str, LoadReport, float]) -> None:
        """Take a report of another instance."""
        service, backend_id, report, at = told
        router = self.desk_by_service[service].router
        load = router.load_by_id.get(backend_id)
        if load is None:
            return
        in_report = load.selected_at < at - REQUEST_TRANSIT_SECONDS
        picks = load.selections_since_report if in_report else 0
        router.record_report(backend_id, report, at, picks)

    def stop(self) -> None:
        """End without a word: connections break."""
        self.is_up = False
        for call in list(self.open_calls):
            self.close(call)
            if call.run is not None:
                run = call.run
                run.is_gone = True
                hop = self.world.hop(self.zone, run.server.zone)
                self.world.after(hop, run.server.cancel, run)
            self.world.after(CLIENT_SECONDS, self.world.broken, call.request)

    def start(self, _: None) -> None:
        """Begin again and know nothing."""
        self.is_up = True
        self.spent = SpentTimes(self.world.now)
        self.bucket_by_id.clear()
        self.world.furnish(self)

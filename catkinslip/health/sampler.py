"""Load probes of backend servers right before a choice.

The best-ranked servers without a fresh report are probed and the choice is made
again, for a few rounds: a report that is a millisecond old shows a server that slowed
down, filled up or fell silent since its last answer.
"""

import logging
from collections.abc import Callable, Collection, Iterable

import h11
import trio
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.health.base import Sampler
from catkinslip.health.tracker import HealthTracker
from catkinslip.proxy.answers import drain_body, receive_response
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool, Purpose
from catkinslip.proxy.wire import ConnectionErrors, Wire
from catkinslip.routing.base import GOOD_DELAY, BackendLoad
from catkinslip.routing.router import ServiceRouter
from catkinslip.store.budget import TokenBucket
from catkinslip.throttling.signals import AnswerKind

#: Servers with a report younger than this are not probed.
FRESH_SECONDS = 0.01
#: Servers probed at once before a choice.
PROBED_AT_ONCE = 3
#: Servers probed at once on new connections by an instance with little load. A new
#: connection delays the call by a round trip, which is less than a slow server would.
#: More at once would open connections that no request uses.
OPENED_AT_ONCE = 1
#: Maximum rounds of probes before a choice.
ROUNDS = 3
#: Maximum rounds before a choice of an instance with little load, which probes fewer
#: servers at once. A round with an unanswered probe counts as two.
LIGHT_ROUNDS = 6
#: Possibly restarted, hence cold, servers that are probed on each call: a zone of a
#: hundred is covered within some tens of calls, and no call waits for these probes.
POSSIBLY_RESTARTED_AT_ONCE = 4
#: Servers with an advertised rate that are probed on each call.
THROTTLED_AT_ONCE = 2
#: Seconds that a choice waits for answers; most take a few milliseconds.
ANSWER_SECONDS = 0.03
#: Seconds after which a probe is given up. A late answer still shows that the server
#: is alive and how loaded it is.
LATE_ANSWER_SECONDS = 1.0
#: Seconds between two probes of a silent server.
SILENT_SECONDS = 0.5
#: Seconds between two rounds of probes of a service of which no server is reached.
UNREACHED_SECONDS = 0.25
#: Share of the budget that is used; the rest is for instances that others have not
#: yet discovered.
BUDGET_SHARE = 0.8
#: Seconds of a server's budget that may be saved up for a burst.
SAVED_SECONDS = 1.0

log = logging.getLogger('health')


@define
class Probe:
    """A load probe of one server, running or ended."""

    load: BackendLoad
    ended: trio.Event = Factory(trio.Event)
    is_answered: bool = False


@define
class LoadSampler(Sampler):
    """Load probes that refresh the reports on which the next choice would rest."""

    health: HealthTracker
    pool: BackendPool
    clock: Clock
    dialect: Dialect
    #: Probes per second that one server may get from all instances together.
    probes_per_second: float
    #: Returns the number of instances that share this budget.
    count_instances: Callable[[], float]
    #: Seconds that a choice waits for an answer.
    answer_seconds: float = ANSWER_SECONDS
    #: The probe budget of each server, by backend ID.
    bucket_by_id: dict[str, TokenBucket] = Factory(dict)
    #: Backend IDs of servers with a running probe.
    probing_ids: set[str] = Factory(set)
    #: Number of probes started.
    sent: int = 0
    #: Number of probes without an answer in time.
    unanswered: int = 0
    _nursery: trio.Nursery | None = field(default=None, init=False)

    async def run(self) -> None:
        """Probe silent servers periodically and run all probes until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._probe_unreached_services)
            try:
                await self._probe_silent_servers()
            finally:
                # A call that was woken before the cancellation may still start a probe,
                # and the nursery closes as soon as no task runs in it any more.
                self._nursery = None

    async def _probe_silent_servers(self) -> None:
        while True:
            await trio.sleep(SILENT_SECONDS)
            for router in self.health.directory.router_by_service.values():
                self._probe_silent(router)

    async def _probe_unreached_services(self) -> None:
        while True:
            await trio.sleep(UNREACHED_SECONDS)
            for service, router in self.health.directory.router_by_service.items():
                servers = self.health.reach.servers_to_probe(service)
                self._probe_in_background(router, servers, len(servers))

    def _probe_silent(self, router: ServiceRouter) -> None:
        """Probe all silent servers in the background."""
        silent = [each for each in router.loads if each.is_silent and not each.draining]
        # An instance with little load seldom sends to any of them.
        is_light = router.subset.is_light(self.clock.monotonic())
        most = OPENED_AT_ONCE if is_light else len(silent)
        self._probe_in_background(router, silent, most)

    def _probe_possibly_restarted(self, router: ServiceRouter) -> None:
        """Probe some possibly restarted servers in the background."""
        possibly_restarted = map(
            router.load_by_id.get, list(router.cold.possible_restart_at_by_id)
        )
        usable = [each for each in possibly_restarted if router.accepts_requests(each)]
        is_light = router.subset.is_light(self.clock.monotonic())
        most = OPENED_AT_ONCE if is_light else POSSIBLY_RESTARTED_AT_ONCE
        self._probe_in_background(router, usable, most)

    def _probe_throttled(self, router: ServiceRouter) -> None:
        """Probe some servers with a stale advertised rate in the background.

        No instance has had an answer from them since they advertised the rate.
        """
        stale = router.throttle.stale_servers(self.clock.monotonic())
        usable = [each for each in stale if router.accepts_requests(each)]
        self._probe_in_background(router, usable, THROTTLED_AT_ONCE)

    def _probe_in_background(
        self, router: ServiceRouter, loads: list[BackendLoad], most: int
    ) -> None:
        """Probe up to `most` servers within the budget, without waiting for answers."""
        if self._nursery is None or not loads:
            return
        now = self.clock.monotonic()
        for load in self._spend_probes(router, loads, most, now):
            self._start(router, load)

    def _may_probe(self, router: ServiceRouter, load: BackendLoad) -> bool:
        """Return whether a server may be probed and the probe would be sent at once.

        A probe that waits for a connection would make the server look silent.
        """
        address = self.health.directory.address_by_backend.get(load.backend_id)
        if address is None or load.backend_id in self.probing_ids:
            return False
        if not router.may_probe(load, self.clock.monotonic()):
            return False
        return not self.pool.is_full(address)

    async def refresh(self, router: ServiceRouter, tried: Collection[str]) -> None:
        """Probe until the choice rests on a fresh report or the budget is spent."""
        self._probe_possibly_restarted(router)
        self._probe_throttled(router)
        if router.subset.is_light(self.clock.monotonic()):
            await self._refresh_light(router, tried)
            return
        for _ in range(ROUNDS):
            leaders = self._stale_leaders(router, tried)
            if not leaders:
                return
            await self._probe_all(router, leaders)

    async def _refresh_light(
        self, router: ServiceRouter, tried: Collection[str]
    ) -> None:
        """Probe few servers at once, so that few connections are opened."""
        rounds = 0
        while rounds < LIGHT_ROUNDS:
            leaders = self._stale_leaders(router, tried)
            if not leaders:
                return
            await self._probe_all(router, leaders)
            rounds += 2 if any(load.is_silent for load in leaders) else 1

    async def refresh_one(self, router: ServiceRouter, backend_id: str) -> None:
        """Probe one server, unless the budget is spent."""
        load = router.load_by_id.get(backend_id)
        if load is None or not self._may_probe(router, load):
            return
        if self._spend_probe(backend_id, self._probe_rate(), self.clock.monotonic()):
            await self._probe_all(router, [load])

    async def _probe_all(self, router: ServiceRouter, loads: list[BackendLoad]) -> None:
        """Probe servers and wait `answer_seconds`; later answers are still applied."""
        if self._nursery is None:
            return
        started = [self._start(router, load) for load in loads]
        with trio.move_on_after(self.answer_seconds):
            for probe in started:
                await probe.ended.wait()
        for probe in started:
            if not probe.ended.is_set():
                self.health.record_unreached(probe.load.backend_id)
                self._mark_unanswered(router, probe)
        # Where no server answers, the fault may be in this instance: silence is sent to
        # the other instances only if another server answered.
        if any(probe.is_answered for probe in started):
            for probe in started:
                router.publish_silence(probe.load.backend_id)

    def _start(self, router: ServiceRouter, load: BackendLoad) -> Probe:
        probe = Probe(load)
        self.probing_ids.add(load.backend_id)
        self._nursery.start_soon(self._run_probe, router, probe)
        return probe

    def _mark_unanswered(self, router: ServiceRouter, probe: Probe) -> None:
        self.unanswered += 1
        backend_id = probe.load.backend_id
        if not router.is_known(probe.load):
            return
        if not probe.load.is_silent:
            log.info('health: probe unanswered. backend=%s', backend_id)
        router.mark_silent(backend_id)

    def _probe_rate(self) -> float:
        """Return this instance's share of the probes of one server per second."""
        instances = max(1, self.count_instances())
        return self.probes_per_second * BUDGET_SHARE / instances

    def forget_removed(self) -> None:
        """Drop the buckets of servers removed from the register."""
        known = self.health.key_by_id
        for backend_id in list(self.bucket_by_id):
            if backend_id not in known:
                del self.bucket_by_id[backend_id]

    def _stale_leaders(
        self, router: ServiceRouter, tried: Collection[str]
    ) -> list[BackendLoad]:
        """Return servers to probe; none if the best one has a fresh, good report."""
        now = self.clock.monotonic()
        ranked = self.health.rank(router, tried)
        if not ranked:
            return []
        best = ranked[0]
        if now - best.load.reported_at <= FRESH_SECONDS and best.delay <= GOOD_DELAY:
            return []
        stale = [
            each.load
            for each in ranked
            if now - each.load.reported_at > FRESH_SECONDS and not each.load.is_silent
        ]
        if router.subset.is_light(now):
            return self._connected_leaders(router, stale, now)
        return self._spend_probes(router, stale, PROBED_AT_ONCE, now)

    def _connected_leaders(
        self, router: ServiceRouter, stale: list[BackendLoad], now: float
    ) -> list[BackendLoad]:
        """Return servers to probe without, or else with few, new connections."""
        connected = filter(router.is_connected, stale)
        leaders = self._spend_probes(router, connected, PROBED_AT_ONCE, now)
        return leaders or self._spend_probes(router, stale, OPENED_AT_ONCE, now)

    def _spend_probes(
        self, router: ServiceRouter, loads: Iterable[BackendLoad], most: int, now: float
    ) -> list[BackendLoad]:
        """Return the first servers that may be probed, and spend a probe of each."""
        rate = self._probe_rate()
        taken: list[BackendLoad] = []
        for load in loads:
            if self._may_probe(router, load) and self._spend_probe(
                load.backend_id, rate, now
            ):
                taken.append(load)
            if len(taken) == most:
                break
        return taken

    def _spend_probe(self, backend_id: str, rate: float, now: float) -> bool:
        """Spend one probe of a server; return whether the budget allowed the probe."""
        if rate <= 0:
            return False
        bucket = self.bucket_by_id.get(backend_id)
        if bucket is None:
            if len(self.bucket_by_id) > 2 * len(self.health.key_by_id):
                self.forget_removed()
            bucket = TokenBucket(rate, tokens=1.0, filled_at=now)
            self.bucket_by_id[backend_id] = bucket
        bucket.set_rate(rate, now)
        bucket.burst = max(1.0, rate * SAVED_SECONDS)
        return bucket.take(now) == 0.0

    async def _run_probe(self, router: ServiceRouter, probe: Probe) -> None:
        load = probe.load
        self.sent += 1
        try:
            with trio.move_on_after(LATE_ANSWER_SECONDS):
                probe.is_answered = await self._exchange(router, load)
        except Exception:
            # A failed probe must not cancel the others.
            log.exception('health: probe failed. backend=%s', load.backend_id)
        finally:
            self.probing_ids.discard(load.backend_id)
        if not probe.is_answered:
            self.health.record_unreached(load.backend_id)
        if not probe.is_answered and not load.is_silent:
            self._mark_unanswered(router, probe)
        probe.ended.set()

    async def _exchange(self, router: ServiceRouter, load: BackendLoad) -> bool:
        backend_id = load.backend_id
        address = self.health.directory.address_by_backend.get(backend_id)
        if address is None:
            return False
        wire = await self.pool.acquire(address, purpose=Purpose.PROBE)
        if isinstance(wire, NotRun):
            if wire.reason is Reason.CONNECT_FAILED:
                self.health.record_refusal(backend_id)
            return False
        if not wire.is_reused and load.report is None:
            # A server that reports no load may answer a probe only in its turn.
            self.health.record_reached(backend_id)
        is_done = False
        try:
            is_done = await self._probe(router, load, wire)
        except (*ConnectionErrors, h11.ProtocolError) as error:
            log.info('health: probe failed. backend=%s error=%r', backend_id, error)
        finally:
            wire.must_close = wire.must_close or not is_done
            await self.pool.release(address, wire)
        return is_done

    async def _probe(
        self, router: ServiceRouter, load: BackendLoad, wire: Wire
    ) -> bool:
        backend = self.health.document.register.backends.get(load.backend_id)
        if backend is None:
            return False
        service = self.health.document.register.services[backend.service]
        request = self.dialect.probe_request(backend.service, service.health_path)
        picks_before = load.selections_since_report
        sent_at = self.clock.monotonic()
        if not router.may_probe(load, sent_at):
            # A rest period began while the probe waited for a connection.
            return True
        await wire.send(request, h11.EndOfMessage())
        response = await receive_response(wire)
        self.health.record_reached(load.backend_id)
        await drain_body(wire)
        answer = self.dialect.read_probe(response.status_code, list(response.headers))
        if answer is None or answer.backend_id not in (None, load.backend_id):
            return False
        if not router.is_known(load):
            # The server restarted while the probe was running.
            return True
        now = self.clock.monotonic()
        answered_at = (sent_at + now) / 2
        if answer.report is not None:
            router.apply_peer_report(
                load.backend_id, answer.report, answered_at, picks_before
            )
        router.apply_signals(load, answer.signals, AnswerKind.PROBE, sent_at, now)
        if answer.signals.is_leaving:
            self.health.mark_leaving(load.backend_id)
        if answer.cold_seconds is None:
            log.info('health: cold time not readable. backend=%s', load.backend_id)
        else:
            # The way back of the answer may have been long, so it is added: the server
            # is treated as cold for at least as long as the answer states.
            way_back = now - answered_at if answer.cold_seconds > 0 else 0.0
            cold_seconds = answer.cold_seconds + way_back
            router.apply_cold_report(load.backend_id, cold_seconds, answered_at)
        if not answer.is_healthy:
            router.mark_unhealthy(load.backend_id, now)
        return True

"""Ask backend servers for their load right before a choice.

The servers that look best and have no fresh report are asked, the choice is made
again, and so on for a few rounds: a report of a millisecond ago shows a server that
slowed down, filled up or fell silent since its last answer.
"""

import logging
from collections.abc import Callable, Collection

import h11
import trio
from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.health.base import Sampler
from catkinslip.health.tracker import HealthTracker
from catkinslip.proxy.answers import drain_body, receive_response
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.wire import ConnectionErrors, Wire
from catkinslip.routing.base import GOOD_DELAY, BackendLoad
from catkinslip.routing.router import ServiceRouter
from catkinslip.store.budget import TokenBucket
from catkinslip.throttling.signs import AnswerKind

#: Reports younger than this are not asked for again.
FRESH_SECONDS = 0.01
#: Servers asked at once, and how often the choice is made again.
ASKED_AT_ONCE = 3
ROUNDS = 3
#: Servers that may have become cold are asked so many a call: a zone of a hundred is
#: known within some tens of calls, and none of these is held up by it.
DOUBTED_AT_ONCE = 4
#: Servers that name a rate are asked so many a call.
THROTTLED_AT_ONCE = 2
#: A choice waits so long for answers; most take a round trip of few milliseconds.
ANSWER_SECONDS = 0.03
#: A late answer still tells that the server lives and how loaded it is.
LATE_ANSWER_SECONDS = 1.0
#: Between two questions to a server that gave no answer.
SILENT_SECONDS = 0.5
#: A share of the budget stays unused, since instances may know of each other late.
BUDGET_SHARE = 0.8
#: Seconds of a server's budget that may be saved up for a rush.
SAVED_SECONDS = 1.0

log = logging.getLogger('health')


@define
class Probe:
    """One question to a server, under way or ended."""

    load: BackendLoad
    ended: trio.Event = Factory(trio.Event)
    is_answered: bool = False


@define
class LoadSampler(Sampler):
    """Refresh the reports that the next choice would rest on."""

    health: HealthTracker
    pool: BackendPool
    clock: Clock
    dialect: Dialect
    #: Probes of one server per second from all instances, and how many there are.
    probes_per_second: float
    count_instances: Callable[[], float]
    #: Seconds that an answer may take.
    answer_seconds: float = ANSWER_SECONDS
    bucket_by_id: dict[str, TokenBucket] = Factory(dict)
    asking: set[str] = Factory(set)
    sent: int = 0
    unanswered: int = 0
    _nursery: trio.Nursery | None = field(default=None, init=False)

    async def run(self) -> None:
        """Ask silent servers now and then, and take late answers, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            try:
                await self._ask_always()
            finally:
                # A call that was woken before all was cancelled may still want a probe,
                # and the nursery closes as soon as nothing runs in it any more.
                self._nursery = None

    async def _ask_always(self) -> None:
        while True:
            await trio.sleep(SILENT_SECONDS)
            for router in self.health.directory.router_by_service.values():
                self._ask_silent(router)

    def _ask_silent(self, router: ServiceRouter) -> None:
        """Ask servers that gave no answer before; no call waits for them."""
        silent = [each for each in router.loads if each.is_silent and not each.draining]
        self._ask_beside(router, silent, len(silent))

    def _ask_doubted(self, router: ServiceRouter) -> None:
        """Ask some of the servers that may have become cold; no call waits for them."""
        doubted = map(router.load_by_id.get, list(router.cold.doubted_at_by_id))
        usable = [each for each in doubted if router.takes_requests(each)]
        self._ask_beside(router, usable, DOUBTED_AT_ONCE)

    def _ask_throttled(self, router: ServiceRouter) -> None:
        """Ask some of the servers that nobody has heard from since they named a rate.

        No call waits for them.
        """
        unheard = router.throttle.unheard(self.clock.monotonic())
        usable = [each for each in unheard if router.takes_requests(each)]
        self._ask_beside(router, usable, THROTTLED_AT_ONCE)

    def _ask_beside(
        self, router: ServiceRouter, loads: list[BackendLoad], most: int
    ) -> None:
        """Ask so many of some servers, where the budget allows, and do not wait."""
        if self._nursery is None or not loads:
            return
        now = self.clock.monotonic()
        rate = self._rate()
        asked = 0
        for load in loads:
            if asked == most:
                return
            if not self._may_ask(router, load):
                continue
            if self._take_probe(load.backend_id, rate, now):
                self._start(router, load)
                asked += 1

    def _may_ask(self, router: ServiceRouter, load: BackendLoad) -> bool:
        """Tell whether a server may be probed, and a probe would be under way at once.

        One that waits here for a connection would make its server look silent.
        """
        address = self.health.directory.address_by_backend.get(load.backend_id)
        if address is None or load.backend_id in self.asking:
            return False
        if not router.may_probe(load, self.clock.monotonic()):
            return False
        return not self.pool.is_full(address)

    async def refresh(self, router: ServiceRouter, tried: Collection[str]) -> None:
        """Ask until the choice rests on a fresh report, or the budget is spent."""
        self._ask_doubted(router)
        self._ask_throttled(router)
        for _ in range(ROUNDS):
            leaders = self._stale_leaders(router, tried)
            if not leaders:
                return
            await self._ask_all(router, leaders)

    async def look(self, router: ServiceRouter, backend_id: str) -> None:
        """Ask one server, unless the budget is spent."""
        load = router.load_by_id.get(backend_id)
        if load is None or not self._may_ask(router, load):
            return
        if self._take_probe(backend_id, self._rate(), self.clock.monotonic()):
            await self._ask_all(router, [load])

    async def _ask_all(self, router: ServiceRouter, loads: list[BackendLoad]) -> None:
        """Ask servers and wait a moment; later answers still count when they come."""
        if self._nursery is None:
            return
        asked = [self._start(router, load) for load in loads]
        with trio.move_on_after(self.answer_seconds):
            for probe in asked:
                await probe.ended.wait()
        for probe in asked:
            if not probe.ended.is_set():
                self._unanswered(router, probe)
        # Where no server answers, the fault may lie here.
        if any(probe.is_answered for probe in asked):
            for probe in asked:
                router.tell_silence(probe.load.backend_id)

    def _start(self, router: ServiceRouter, load: BackendLoad) -> Probe:
        probe = Probe(load)
        self.asking.add(load.backend_id)
        self._nursery.start_soon(self._ask, router, probe)
        return probe

    def _unanswered(self, router: ServiceRouter, probe: Probe) -> None:
        self.unanswered += 1
        backend_id = probe.load.backend_id
        if not router.is_known(probe.load):
            return
        if not probe.load.is_silent:
            log.info('health: no answer to a probe. backend=%s', backend_id)
        router.unanswered(backend_id)

    def _rate(self) -> float:
        """Return the probes of one server per second that are this instance's own."""
        instances = max(1, self.count_instances())
        return self.probes_per_second * BUDGET_SHARE / instances

    def forget_removed(self) -> None:
        """Drop the buckets of servers that left the register."""
        known = self.health.key_by_id
        for backend_id in list(self.bucket_by_id):
            if backend_id not in known:
                del self.bucket_by_id[backend_id]

    def _stale_leaders(
        self, router: ServiceRouter, tried: Collection[str]
    ) -> list[BackendLoad]:
        """Return the best servers to ask; none if the best one is known and good."""
        now = self.clock.monotonic()
        ranked = self.health.rank(router, tried)
        if not ranked:
            return []
        best = ranked[0]
        if now - best.load.reported_at <= FRESH_SECONDS and best.delay <= GOOD_DELAY:
            return []
        rate = self._rate()
        leaders: list[BackendLoad] = []
        for load, _, _ in ranked:
            if now - load.reported_at <= FRESH_SECONDS or load.is_silent:
                continue
            if not self._may_ask(router, load):
                continue
            if self._take_probe(load.backend_id, rate, now):
                leaders.append(load)
            if len(leaders) == ASKED_AT_ONCE:
                break
        return leaders

    def _take_probe(self, backend_id: str, rate: float, now: float) -> bool:
        """Take one probe of a server from the budget; tell whether there was one."""
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

    async def _ask(self, router: ServiceRouter, probe: Probe) -> None:
        load = probe.load
        self.sent += 1
        try:
            with trio.move_on_after(LATE_ANSWER_SECONDS):
                probe.is_answered = await self._exchange(router, load)
        except Exception:
            # One probe must not stop the others.
            log.exception('health: a probe failed. backend=%s', load.backend_id)
        finally:
            self.asking.discard(load.backend_id)
        if not probe.is_answered and not load.is_silent:
            self._unanswered(router, probe)
        probe.ended.set()

    async def _exchange(self, router: ServiceRouter, load: BackendLoad) -> bool:
        backend_id = load.backend_id
        address = self.health.directory.address_by_backend.get(backend_id)
        if address is None:
            return False
        wire = await self.pool.acquire(address)
        if isinstance(wire, NotRun):
            if wire.reason is Reason.CONNECT_FAILED:
                self.health.refused(backend_id)
            return False
        is_done = False
        try:
            is_done = await self._probe(router, load, wire)
        except (*ConnectionErrors, h11.ProtocolError) as error:
            log.info('health: a probe broke. backend=%s error=%r', backend_id, error)
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
        picks_before = load.picks_since_report
        sent_at = self.clock.monotonic()
        if not router.may_probe(load, sent_at):
            # It asked for rest while this waited for a connection.
            return True
        await wire.send(request, h11.EndOfMessage())
        response = await receive_response(wire)
        await drain_body(wire)
        answer = self.dialect.read_probe(response.status_code, list(response.headers))
        if answer is None or answer.backend_id not in (None, load.backend_id):
            return False
        if not router.is_known(load):
            # The server started again while it was asked.
            return True
        now = self.clock.monotonic()
        answered_at = (sent_at + now) / 2
        if answer.report is not None:
            router.learned(load.backend_id, answer.report, answered_at, picks_before)
        router.take_words(load, answer.words, AnswerKind.PROBE, sent_at, now)
        if answer.words.is_leaving:
            self.health.leaves(load.backend_id)
        if answer.cold_seconds is None:
            log.info('health: unreadable cold time. backend=%s', load.backend_id)
        else:
            # The answer may have been long on its way: the bound holds until the end.
            way_back = now - answered_at if answer.cold_seconds > 0 else 0.0
            cold_seconds = answer.cold_seconds + way_back
            router.told_cold(load.backend_id, cold_seconds, answered_at)
        if not answer.is_well:
            router.unwell(load.backend_id, now)
        return True

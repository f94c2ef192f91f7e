"""The state of the choice for one service."""

from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random

from attrs import Factory, define

from catkinslip.config.documents import Backend, Service
from catkinslip.resting.gate import RestGate
from catkinslip.routing.base import (
    GOOD_DELAY,
    AttemptResult,
    BackendLoad,
    Choice,
    Estimate,
    LoadReport,
    Policy,
)
from catkinslip.routing.evidence import pause
from catkinslip.routing.gates import Closure, Gates, Permits
from catkinslip.routing.sample import Sample
from catkinslip.routing.words import ServerWords
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.signals import AnswerKind
from catkinslip.warmup.gate import ColdGate

UNWELL_PAUSE_SECONDS = 0.2
LONGEST_UNWELL_PAUSE_SECONDS = 2.0
#: Another instance's word counts against a server that was not heard from so long.
HEARSAY_SECONDS = 0.2

#: A server that gets next to nothing is full no longer than a request takes.
FULL_SECONDS = 0.5


def ignore_news(load: BackendLoad) -> None:
    """Take no notice of a change."""


@define
class ServiceRouter:
    """Choose among the backend servers of one service."""

    policy: Policy
    load_by_id: dict[str, BackendLoad] = Factory(dict)
    #: The servers of the open zones.
    loads: list[BackendLoad] = Factory(list)
    sample: Sample = Factory(lambda: Sample(Random()))
    #: Keeps requests from servers that have just started.
    cold: ColdGate = Factory(ColdGate)
    #: Keeps requests from servers that name the rate that they take.
    throttle: ThrottleGate = Factory(ThrottleGate)
    #: Keeps requests from servers that asked for rest.
    rest: RestGate = Factory(RestGate)
    gates: Gates = Factory(
        lambda self: Gates((self.throttle, self.cold, self.rest)), takes_self=True
    )
    #: Learns of each server whose load or own requests changed.
    on_news: Callable[[BackendLoad], None] = ignore_news
    #: What `outside` returned since the servers changed last; a few sets of zones.
    outside_by_zones: dict[frozenset[str], frozenset[str]] = Factory(dict)
    #: Availability zones whose servers get nothing new.
    closed_zones: frozenset[str] = frozenset()

    def update(
        self, service: Service, backend_by_id: Mapping[str, Backend], now: float = 0.0
    ) -> None:
        """Take over all backend servers of a new configuration."""
        gone = dict.fromkeys(self.load_by_id.keys() - backend_by_id.keys())
        self.change(service, {**gone, **backend_by_id}, now)

    def change(
        self,
        service: Service,
        backend_by_id: Mapping[str, Backend | None],
        now: float = 0.0,
    ) -> None:
        """Take over backend servers that changed; None stands for one that is gone."""
        for backend_id, backend in backend_by_id.items():
            load = self.load_by_id.get(backend_id)
            if load is not None and not is_of(load, backend):
                del self.load_by_id[backend_id]
                self.sample.drop(load)
                self.gates.forget(load)
                load = None
            if backend is None:
                continue
            is_new = load is None
            if load is None:
                load = BackendLoad(
                    backend_id,
                    backend.zone,
                    service.slots,
                    incarnation=backend.incarnation,
                )
                self.load_by_id[backend_id] = load
                self.gates.take_back(load)
            load.slots = backend.slots or service.slots
            load.draining = backend.draining
            self._take_cold(load, backend, now, is_new=is_new)
        self._list_loads()

    def _take_cold(
        self, load: BackendLoad, backend: Backend, now: float, *, is_new: bool
    ) -> None:
        seconds = backend.cold_seconds
        if seconds is None:
            # A server tells it only in its second call.
            seconds = self.cold.start_seconds if is_new else 0.0
        self.cold.begin(load, seconds, now, 'its entry')

    def close_zones(self, zones: frozenset[str], now: float) -> None:
        """Give the servers of some zones nothing new, and those of all others work."""
        reopened = self.closed_zones - zones
        back = [it for it in self.load_by_id.values() if it.zone in reopened]
        self.cold.doubt(back, now, 'its zone is back')
        self.closed_zones = zones
        self._list_loads()
        self.sample.redraw()

    def outside(self, zones: frozenset[str]) -> frozenset[str]:
        """Return the servers that stand in none of some zones."""
        known = self.outside_by_zones.get(zones)
        if known is None:
            known = frozenset(
                load.backend_id for load in self.loads if load.zone not in zones
            )
            self.outside_by_zones[zones] = known
        return known

    def _list_loads(self) -> None:
        self.outside_by_zones.clear()
        closed = self.closed_zones
        self.loads = [it for it in self.load_by_id.values() if it.zone not in closed]

    @property
    def is_evacuated(self) -> bool:
        """Tell whether there are servers, but all of them in closed zones."""
        return bool(self.load_by_id) and not self.loads

    def takes_requests(self, load: BackendLoad | None) -> bool:
        """Tell whether a chosen server may still be sent a request."""
        return (
            self.is_known(load)
            and not load.draining
            and load.zone not in self.closed_zones
        )

    def choose(self, now: float, excluded: Collection[str] = ()) -> Choice | None:
        """Choose a backend server that takes new work; None when there is none."""
        excluded = self._with_closed(excluded, now)
        due = self._due(excluded, now)
        if due:
            return self.policy.choice_of(due[0], now)
        sampled = self._sampled(excluded, now)
        if sampled:
            choice = self.policy.choose(sampled, now)
            if choice.delay <= GOOD_DELAY:
                return choice
        candidates = takes_work(self.loads, excluded)
        return self.policy.choose(candidates, now) if candidates else None

    def rank(self, now: float, excluded: Collection[str] = ()) -> list[Estimate]:
        """Return what is expected at backend servers with new work, best first."""
        excluded = self._with_closed(excluded, now)
        due = self._due(excluded, now)
        if due:
            excluded = {*excluded, *(each.load.backend_id for each in due)}
        return [*due, *self._rank(excluded, now)]

    def _rank(self, excluded: Collection[str], now: float) -> list[Estimate]:
        sampled = self._sampled(excluded, now)
        if sampled:
            ranked = self.policy.rank(sampled, now)
            if ranked[0].delay <= GOOD_DELAY:
                return ranked
        candidates = takes_work(self.loads, excluded)
        return self.policy.rank(candidates, now) if candidates else []

    def choice_of(self, place: Estimate, now: float) -> Choice:
        """Return a ranked server as a choice."""
        return self.policy.choice_of(place, now)

    def _with_closed(self, excluded: Collection[str], now: float) -> Collection[str]:
        """Return the excluded servers and those that may get nothing now."""
        # A server in need looks idle to every instance, and what each keeps for itself
        # adds up: its rate is divided among few, and nobody else chooses it.
        closed = self.gates.closed(now)
        return {*excluded, *closed} if closed else excluded

    def closure(self, now: float) -> Closure | None:
        """Return why no server is left, by the first gate that closed some."""
        for gate in self.gates.gates:
            loads = map(self.load_by_id.get, gate.closed(now))
            closed = [load for load in loads if self.takes_requests(load)]
            if closed:
                wait_seconds = min(gate.wait_seconds(load, now) for load in closed)
                return Closure(gate.word, len(closed), wait_seconds)
        return None

    def may_send(self, load: BackendLoad | None, permits: Permits, now: float) -> bool:
        """Tell whether the first byte may be sent now, and count the request."""
        return self.takes_requests(load) and self.gates.may_send(load, permits, now)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server may be probed."""
        return self.gates.may_probe(load, now)

    def carries(self, load: BackendLoad, now: float) -> bool:
        """Tell whether a server of an open zone takes its usual share of the load."""
        return not load.draining and self.gates.carries(load, now)

    def _due(self, excluded: Collection[str], now: float) -> list[Estimate]:
        """Return servers whose need may be over and that are likely idle, best first.

        What other servers report says nothing of them, as they get next to nothing.
        """
        due = self.throttle.due(now)
        if not due:
            return []
        loads = [self.load_by_id[backend_id] for backend_id in due]
        usable = takes_work(list(filter(self.takes_requests, loads)), excluded)
        idle = [each for each in usable if is_likely_idle(each, now)]
        ranked = self.policy.rank(idle, now) if idle else []
        return [each._replace(delay=min(each.delay, GOOD_DELAY)) for each in ranked]

    def _sampled(self, excluded: Collection[str], now: float) -> list[BackendLoad]:
        """Return the servers of the sample; none where it would hold all of them."""
        if len(self.loads) <= self.sample.size:
            return []
        return takes_work(self.sample.take(self.loads, now), excluded)

    def reserve(self, backend_id: str, now: float) -> Permits:
        """Return leave for one request to a chosen server."""
        return self.gates.reserve(self.load_by_id.get(backend_id), now)

    def started(self, backend_id: str, now: float) -> BackendLoad | None:
        """Count a request sent to a backend server; return the server as it is known.

        After a start of the server another value stands for it.
        """
        load = self.load_by_id.get(backend_id)
        if load is None:
            return None
        load.in_flight += 1
        load.picks_since_report += 1
        load.picked_at = now
        load.note_sent(now)
        self.policy.started(load, now)
        self.on_news(load)
        return load

    def is_known(self, load: BackendLoad | None) -> bool:
        """Tell whether a server is still registered, and has not started again."""
        return load is not None and self.load_by_id.get(load.backend_id) is load

    def finished(self, backend_id: str, result: AttemptResult, now: float) -> None:
        """Count a request that ended and take its load report."""
        load = self.load_by_id.get(backend_id)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        if result.report is not None:
            self._end_silence(load, now)
        self.policy.finished(load, result, now)
        if result.report is not None:
            self.policy.reported(load, result.report, now)
            load.report = result.report
            load.reported_at = now
            load.picks_since_report = 0
            self.on_news(load)

    def learned(
        self, backend_id: str, report: LoadReport, at: float, picks_before: int = 0
    ) -> None:
        """Take a report that a peer or a probe observed at an earlier time.

        Only the own picks known to be in the report are taken off their count.
        """
        if self.heard(backend_id, report, at, picks_before):
            self.on_news(self.load_by_id[backend_id])

    def heard(
        self, backend_id: str, report: LoadReport, at: float, picks_before: int
    ) -> bool:
        """Take a report as `learned` does, but tell nobody; tell whether it is new."""
        load = self.load_by_id.get(backend_id)
        is_new = load is not None and at > load.reported_at
        if is_new:
            self._end_silence(load, at)
            self.policy.reported(load, report, at)
            load.report = report
            load.reported_at = at
            load.picks_since_report = max(0, load.picks_since_report - picks_before)
        return is_new

    def _end_silence(self, load: BackendLoad, now: float) -> None:
        """Stop to avoid a server that answers again; it may have started anew."""
        if load.is_silent:
            load.is_silent = False
            self.cold.doubt([load], now, 'it was silent')

    def take_words(
        self,
        load: BackendLoad,
        words: ServerWords,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Take what an answer asks for to a request that was sent at a time."""
        self.throttle.registry.apply_answer(load, words.rate, kind, sent_at, now)
        self.rest.book.told(load, words.rest, kind, sent_at, now)

    def narrowed(self, load: BackendLoad | None, now: float) -> str:
        """Return which words of a server narrow what it may get, for the log."""
        rate = self.throttle.registry.find(load)
        rest = self.rest.book.find(load, now)
        words = []
        if rate is not None:
            words.append(f'rate={rate.per_second:g}')
        if rest is not None:
            words.append(f'rest_s={rest.left(now):.1f}')
        return ' '.join(words)

    def doubt(self, backend_id: str, now: float) -> None:
        """Take that a server, which refused connections, may start anew."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            self.cold.doubt([load], now, 'it refused connections')

    def told_cold(self, backend_id: str, seconds: float, at: float) -> None:
        """Take how long a server says that it stays cold."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            self.cold.told(load, seconds, at)

    def unanswered(self, backend_id: str) -> None:
        """Avoid a server that did not answer a probe in time, until it answers."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            load.is_silent = load.is_irregular = True

    def tell_silence(self, backend_id: str) -> None:
        """Let others know of a server that does not answer."""
        load = self.load_by_id.get(backend_id)
        if load is not None and load.is_silent:
            self.on_news(load)

    def heard_silence(self, backend_id: str, now: float) -> None:
        """Take what another instance tells of a server that nobody here heard from."""
        load = self.load_by_id.get(backend_id)
        if load is not None and now - load.reported_at > HEARSAY_SECONDS:
            self.unanswered(backend_id)

    def unwell(self, backend_id: str, now: float) -> None:
        """Avoid a server that gave no good answer to a probe, for a while."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            pause(load, now, UNWELL_PAUSE_SECONDS, LONGEST_UNWELL_PAUSE_SECONDS)

    def is_silent(self, backend_id: str) -> bool:
        """Tell whether a server has not answered since a probe waited in vain."""
        load = self.load_by_id.get(backend_id)
        return load is not None and load.is_silent

    def picks_since_report(self, backend_id: str) -> int:
        """Return the own picks since the last report of a backend server."""
        load = self.load_by_id.get(backend_id)
        return 0 if load is None else load.picks_since_report


def is_of(load: BackendLoad, backend: Backend | None) -> bool:
    """Tell whether what is known of a server holds for it as it is registered."""
    return backend is not None and load.incarnation == backend.incarnation


def is_likely_idle(load: BackendLoad, now: float) -> bool:
    """Tell whether a server that gets next to nothing would answer at once."""
    is_avoided = load.is_silent or now < load.paused_until
    is_full = (
        now - load.reported_at < FULL_SECONDS and load.reported_in_flight >= load.slots
    )
    return not (is_avoided or is_full or load.in_flight)


def takes_work(
    loads: Sequence[BackendLoad], excluded: Collection[str]
) -> list[BackendLoad]:
    """Return the backend servers that take new work."""
    if not excluded:
        return [load for load in loads if not load.draining]
    return [
        load for load in loads if not load.draining and load.backend_id not in excluded
    ]

"""Selection among the backend servers of one service, and their state."""

from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from math import inf
from random import Random

from attrs import Factory, define, frozen

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
from catkinslip.routing.signals import ServerSignals
from catkinslip.routing.subset import Subset
from catkinslip.throttling.gate import ThrottleGate
from catkinslip.throttling.signals import AnswerKind
from catkinslip.warmup.gate import ColdGate

UNHEALTHY_PAUSE_SECONDS = 0.2
MAX_UNHEALTHY_PAUSE_SECONDS = 2.0
#: Minimum age, in seconds, of a server's last load report for a peer's report of its
#: silence to count.
PEER_SILENCE_MIN_AGE_SECONDS = 0.2

#: Seconds for which a report of a full server holds if the server gets hardly any
#: requests: about as long as a request takes.
FULL_SECONDS = 0.5
#: Maximum age of the report with which a connected server is preferred to others. The
#: speed of a server may change within 0.3 s, and an instance with little load has few
#: probes left to notice it.
CONNECTED_REPORT_SECONDS = 0.03
#: Factor on the usual delay up to which the best server of a subset is accepted.
USUAL_DELAY_FACTOR = 1.1


def ignore_load_change(load: BackendLoad) -> None:
    """Ignore a change of a server's load."""


@frozen
class Candidates:
    """Servers to select among, and the delay up to which the best one is accepted."""

    loads: list[BackendLoad]
    accepted_delay: float


def is_never_connected(load: BackendLoad) -> bool:
    """Return that there is no idle connection to a server."""
    return False


@define
class ServiceRouter:
    """Router that selects among the backend servers of one service."""

    policy: Policy
    load_by_id: dict[str, BackendLoad] = Factory(dict)
    #: Servers of the zones that are not closed.
    loads: list[BackendLoad] = Factory(list)
    sample: Sample = Factory(lambda: Sample(Random()))
    #: Servers that this instance uses of a service with many servers.
    subset: Subset = Factory(Subset)
    #: Function that returns whether a request to a server needs no new connection.
    is_connected: Callable[[BackendLoad], bool] = is_never_connected
    #: Gate that limits requests to servers that have just started.
    cold: ColdGate = Factory(ColdGate)
    #: Gate that limits requests to servers that advertise a request rate.
    throttle: ThrottleGate = Factory(ThrottleGate)
    #: Gate that stops requests to servers in a rest period.
    rest: RestGate = Factory(RestGate)
    gates: Gates = Factory(
        lambda self: Gates((self.throttle, self.cold, self.rest)), takes_self=True
    )
    #: Callback for each server whose load or local requests changed.
    on_load_change: Callable[[BackendLoad], None] = ignore_load_change
    #: Cached results of `servers_outside` since the last change of the servers, for a
    #: few sets of zones.
    servers_outside_by_zones: dict[frozenset[str], frozenset[str]] = Factory(dict)
    #: Availability zones whose servers get no new requests.
    closed_zones: frozenset[str] = frozenset()

    def update(
        self, service: Service, backend_by_id: Mapping[str, Backend], now: float = 0.0
    ) -> None:
        """Replace the backend servers by those of a new configuration."""
        removed = dict.fromkeys(self.load_by_id.keys() - backend_by_id.keys())
        self.change(service, {**removed, **backend_by_id}, now)

    def change(
        self,
        service: Service,
        backend_by_id: Mapping[str, Backend | None],
        now: float = 0.0,
    ) -> None:
        """Apply the changed backend servers; None marks a removed server."""
        for backend_id, backend in backend_by_id.items():
            load = self.load_by_id.get(backend_id)
            if load is not None and not is_same_start(load, backend):
                self._remove(load)
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
                self.gates.restore(load)
            load.slots = backend.slots or service.slots
            load.draining = backend.draining
            self._apply_cold_entry(load, backend, now, is_new=is_new)
            is_open = backend.zone not in self.closed_zones
            if is_new and is_open and self.subset.applies:
                self.sample.add(load)
        self._list_loads()

    def remove_servers(self) -> None:
        """Remove all backend servers: the service is configured no longer."""
        for load in list(self.load_by_id.values()):
            self._remove(load)
        self._list_loads()

    def _remove(self, load: BackendLoad) -> None:
        del self.load_by_id[load.backend_id]
        self.sample.remove(load)
        self.subset.demand.forget(load.in_flight)
        self.gates.forget(load)

    def _apply_cold_entry(
        self, load: BackendLoad, backend: Backend, now: float, *, is_new: bool
    ) -> None:
        seconds = backend.cold_seconds
        if seconds is None:
            # A server reports its cold period only in its second call.
            seconds = self.cold.start_seconds if is_new else 0.0
        self.cold.mark_cold(load, seconds, now, 'entry in the configuration')

    def close_zones(self, zones: frozenset[str], now: float) -> None:
        """Stop new requests to the servers of some zones, and reopen the others."""
        reopened = self.closed_zones - zones
        reopened_servers = [
            it for it in self.load_by_id.values() if it.zone in reopened
        ]
        self.cold.mark_possibly_restarted(reopened_servers, now, 'zone reopened')
        self.closed_zones = zones
        self._list_loads()
        self.sample.redraw()

    def servers_outside(self, zones: frozenset[str]) -> frozenset[str]:
        """Return the IDs of the servers outside some zones."""
        cached = self.servers_outside_by_zones.get(zones)
        if cached is None:
            cached = frozenset(
                load.backend_id for load in self.loads if load.zone not in zones
            )
            self.servers_outside_by_zones[zones] = cached
        return cached

    def _list_loads(self) -> None:
        self.servers_outside_by_zones.clear()
        closed = self.closed_zones
        self.loads = [it for it in self.load_by_id.values() if it.zone not in closed]
        self.subset.arrange(self.loads)

    @property
    def is_evacuated(self) -> bool:
        """Return whether there are servers and all of them are in closed zones."""
        return bool(self.load_by_id) and not self.loads

    def accepts_requests(self, load: BackendLoad | None) -> bool:
        """Return whether a chosen server may still be sent a request."""
        return (
            self.is_known(load)
            and not load.draining
            and load.zone not in self.closed_zones
        )

    def choose(self, now: float, excluded: Collection[str] = ()) -> Choice | None:
        """Return the choice of a server that accepts new requests, or None."""
        excluded = self._with_closed(excluded, now)
        due = self._due(excluded, now)
        if due:
            return self.policy.choice_of(due[0], now)
        for candidates in self._candidates(excluded, now):
            choice = self.policy.choose(candidates.loads, now)
            if choice.delay <= candidates.accepted_delay:
                return choice
        candidates = available_servers(self.loads, excluded)
        return self.policy.choose(candidates, now) if candidates else None

    def rank(self, now: float, excluded: Collection[str] = ()) -> list[Estimate]:
        """Return the estimates of servers that accept new requests, the best first."""
        excluded = self._with_closed(excluded, now)
        due = self._due(excluded, now)
        if due:
            excluded = {*excluded, *(each.load.backend_id for each in due)}
        return [*due, *self._rank(excluded, now)]

    def _rank(self, excluded: Collection[str], now: float) -> list[Estimate]:
        for candidates in self._candidates(excluded, now):
            ranked = self.policy.rank(candidates.loads, now)
            if ranked[0].delay <= candidates.accepted_delay:
                return ranked
        candidates = available_servers(self.loads, excluded)
        return self.policy.rank(candidates, now) if candidates else []

    def choice_of(self, estimate: Estimate, now: float) -> Choice:
        """Return the choice of a ranked server."""
        return self.policy.choice_of(estimate, now)

    def _with_closed(self, excluded: Collection[str], now: float) -> Collection[str]:
        """Return the excluded servers and those that may get no request now."""
        # A throttled server looks idle to every instance, and the requests that each
        # instance allows itself add up. Its rate is therefore divided among few
        # instances, and no other selects it.
        closed = self.gates.closed(now)
        return {*excluded, *closed} if closed else excluded

    def closure(self, now: float) -> Closure | None:
        """Return why no server is available, from the first gate that closed some."""
        for gate in self.gates.gates:
            loads = map(self.load_by_id.get, gate.closed(now))
            closed = [load for load in loads if self.accepts_requests(load)]
            if closed:
                wait_seconds = min(gate.wait_seconds(load, now) for load in closed)
                return Closure(gate.reason, len(closed), wait_seconds)
        return None

    def may_send(self, load: BackendLoad | None, permits: Permits, now: float) -> bool:
        """Return whether the first byte may be sent now; count the request if so."""
        return self.accepts_requests(load) and self.gates.may_send(load, permits, now)

    def may_probe(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server may be probed."""
        return self.gates.may_probe(load, now)

    def takes_full_share(self, load: BackendLoad, now: float) -> bool:
        """Return whether a server of an open zone takes its usual share of the load."""
        return not load.draining and self.gates.takes_full_share(load, now)

    def _due(self, excluded: Collection[str], now: float) -> list[Estimate]:
        """Return servers, likely idle, that may be throttled no longer; best first.

        The means over other servers' reports do not apply to them, as they get few
        requests.
        """
        due = self.throttle.due(now)
        if not due:
            return []
        loads = [self.load_by_id[backend_id] for backend_id in due]
        usable = available_servers(list(filter(self.accepts_requests, loads)), excluded)
        idle = [each for each in usable if is_likely_idle(each, now)]
        ranked = self.policy.rank(idle, now) if idle else []
        return [each._replace(delay=min(each.delay, GOOD_DELAY)) for each in ranked]

    def _candidates(
        self, excluded: Collection[str], now: float
    ) -> Iterator[Candidates]:
        """Yield the groups of servers to select among before all servers."""
        subset = self.subset
        used = self._used(excluded, now) if subset.applies else []
        if not used or len(used) > self.sample.size:
            sampled = self._sampled(excluded, now)
            if sampled:
                yield Candidates(sampled, GOOD_DELAY)
            return
        if subset.demand.is_light(now):
            connected = self._connected(used, now)
            if connected:
                yield Candidates(connected, GOOD_DELAY)
        # A server outside the subset that nothing is known of is no better than usual.
        usual_delay = self.policy.usual_delay(used[0].slots) * USUAL_DELAY_FACTOR
        accepted_delay = max(GOOD_DELAY, usual_delay)
        yield Candidates(used, accepted_delay)
        yield Candidates(self._used(excluded, now, scale=2), accepted_delay)

    def _connected(self, loads: list[BackendLoad], now: float) -> list[BackendLoad]:
        """Return the servers with an idle connection and a recent report."""
        return [
            load
            for load in loads
            if now - load.reported_at <= CONNECTED_REPORT_SECONDS
            and self.is_connected(load)
        ]

    def _used(
        self, excluded: Collection[str], now: float, scale: int = 1
    ) -> list[BackendLoad]:
        """Return the subset, and all cold servers that this instance may send to.

        Only a few senders may, so these must not leave a cold server out.
        """
        used = self.subset.servers(excluded, now, scale)
        if self.cold.bound == inf or not self.cold.server_by_id:
            return used
        used_ids = {load.backend_id for load in used}
        cold = [
            self.load_by_id[backend_id]
            for backend_id in self.cold.cold(now)
            if backend_id not in used_ids
        ]
        open_cold = filter(self.accepts_requests, cold)
        return [*used, *available_servers(list(open_cold), excluded)]

    def _sampled(self, excluded: Collection[str], now: float) -> list[BackendLoad]:
        """Return the sampled servers, or none if the sample would hold all servers."""
        if len(self.loads) <= self.sample.size:
            return []
        return available_servers(self.sample.get(self.loads, now), excluded)

    def reserve(self, backend_id: str, now: float) -> Permits:
        """Return the permits for one request to a chosen server."""
        return self.gates.reserve(self.load_by_id.get(backend_id), now)

    def started(self, backend_id: str, now: float) -> BackendLoad | None:
        """Count a request sent to a backend server, and return the server's state.

        Return None for an unknown server. A restarted server is represented by a new
        object.
        """
        load = self.load_by_id.get(backend_id)
        if load is None:
            return None
        load.in_flight += 1
        self.subset.demand.record_start(now)
        load.selections_since_report += 1
        load.selected_at = now
        load.record_sent(now)
        self.policy.started(load, now)
        self.on_load_change(load)
        return load

    def is_known(self, load: BackendLoad | None) -> bool:
        """Return whether a server is still registered and has not restarted."""
        return load is not None and self.load_by_id.get(load.backend_id) is load

    def finished(self, backend_id: str, result: AttemptResult, now: float) -> None:
        """Count a request that ended, and record its result and load report."""
        load = self.load_by_id.get(backend_id)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        self.subset.demand.record_end(result.latency, now)
        if result.report is not None:
            self._end_silence(load, now)
        self.policy.finished(load, result, now)
        if result.report is not None:
            self.policy.reported(load, result.report, now)
            load.report = result.report
            load.reported_at = now
            load.selections_since_report = 0
            self.on_load_change(load)

    def apply_peer_report(
        self, backend_id: str, report: LoadReport, at: float, selections_before: int = 0
    ) -> None:
        """Apply a load report that a peer or a probe observed, and publish the change.

        Only the local requests known to be included in the report are subtracted from
        the number sent since the last report.
        """
        if self.record_report(backend_id, report, at, selections_before):
            self.on_load_change(self.load_by_id[backend_id])

    def record_report(
        self, backend_id: str, report: LoadReport, at: float, selections_before: int
    ) -> bool:
        """Record a load report without publishing it, and return whether it is new."""
        load = self.load_by_id.get(backend_id)
        is_new = load is not None and at > load.reported_at
        if is_new:
            self._end_silence(load, at)
            self.policy.reported(load, report, at)
            load.report = report
            load.reported_at = at
            load.selections_since_report = max(
                0, load.selections_since_report - selections_before
            )
        return is_new

    def _end_silence(self, load: BackendLoad, now: float) -> None:
        """Mark a silent server as answering again; it may have restarted."""
        if load.is_silent:
            load.is_silent = False
            self.cold.mark_possibly_restarted([load], now, 'answer after silence')

    def apply_signals(
        self,
        load: BackendLoad,
        signals: ServerSignals,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply the signals of an answer to a request that was sent at a given time."""
        self.throttle.registry.apply_answer(load, signals.rate, kind, sent_at, now)
        self.rest.registry.apply_signal(load, signals.rest, kind, sent_at, now)

    def describe_restrictions(self, load: BackendLoad | None, now: float) -> str:
        """Return the advertised rate and rest period of a server, for the log."""
        rate = self.throttle.registry.find(load)
        rest = self.rest.registry.find(load, now)
        texts = []
        if rate is not None:
            texts.append(f'rate={rate.per_second:g}')
        if rest is not None:
            texts.append(f'rest_s={rest.remaining(now):.1f}')
        return ' '.join(texts)

    def mark_possibly_restarted(self, backend_id: str, now: float) -> None:
        """Assume that a server that refused connections may have restarted."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            self.cold.mark_possibly_restarted([load], now, 'connection refused')

    def apply_cold_report(self, backend_id: str, seconds: float, at: float) -> None:
        """Apply the seconds for which a server reported that it stays cold."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            self.cold.apply_report(load, seconds, at)

    def mark_silent(self, backend_id: str) -> None:
        """Mark a server as silent after a timed-out probe, until it answers."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            load.is_silent = load.is_irregular = True

    def publish_silence(self, backend_id: str) -> None:
        """Publish that a server is silent, if it is."""
        load = self.load_by_id.get(backend_id)
        if load is not None and load.is_silent:
            self.on_load_change(load)

    def apply_peer_silence(self, backend_id: str, now: float) -> None:
        """Apply a peer's report that a server without a recent report is silent."""
        load = self.load_by_id.get(backend_id)
        if load is not None and now - load.reported_at > PEER_SILENCE_MIN_AGE_SECONDS:
            self.mark_silent(backend_id)

    def mark_unhealthy(self, backend_id: str, now: float) -> None:
        """Mark a server as unhealthy for a while after a failed probe."""
        load = self.load_by_id.get(backend_id)
        if load is not None:
            pause(load, now, UNHEALTHY_PAUSE_SECONDS, MAX_UNHEALTHY_PAUSE_SECONDS)

    def is_silent(self, backend_id: str) -> bool:
        """Return whether a server has not answered since a probe of it timed out."""
        load = self.load_by_id.get(backend_id)
        return load is not None and load.is_silent

    def selections_since_report(self, backend_id: str) -> int:
        """Return the local requests sent to a server since its last load report."""
        load = self.load_by_id.get(backend_id)
        return 0 if load is None else load.selections_since_report


def is_same_start(load: BackendLoad, backend: Backend | None) -> bool:
    """Return whether the state of a server belongs to the start in its entry."""
    return backend is not None and load.incarnation == backend.incarnation


def is_likely_idle(load: BackendLoad, now: float) -> bool:
    """Return whether a server that gets few requests would likely answer at once."""
    is_avoided = load.is_silent or now < load.paused_until
    is_full = (
        now - load.reported_at < FULL_SECONDS and load.reported_in_flight >= load.slots
    )
    return not (is_avoided or is_full or load.in_flight)


def available_servers(
    loads: Sequence[BackendLoad], excluded: Collection[str]
) -> list[BackendLoad]:
    """Return the backend servers that are neither draining nor excluded."""
    if not excluded:
        return [load for load in loads if not load.draining]
    return [
        load for load in loads if not load.draining and load.backend_id not in excluded
    ]

"""Metrics of requests by service and of attempts by backend server."""

from collections import Counter
from collections.abc import Iterable

from attrs import Factory, define, field

from catkinslip.clock import Clock
from catkinslip.metrics.base import Family, MetricSource, counter, gauge, summary
from catkinslip.metrics.durations import COARSE, FINE, Durations
from catkinslip.proxy.call import Call
from catkinslip.proxy.exchange import ConnectionBreak
from catkinslip.proxy.observer import RequestObserver
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason
from catkinslip.routing.base import Choice
from catkinslip.routing.directory import Directory

UNKNOWN_SERVICE = '(unknown)'


@define
class Tally:
    """Counts and durations of one service or one backend server."""

    durations: Durations
    count_by_outcome: dict[str, int] = Factory(dict)
    retries: int = 0
    #: Number of attempts whose connection closed before the end of the response, by
    #: kind of connection.
    breaks: Counter[str] = Factory(Counter)

    def count(self, outcome: Outcome, seconds: float, now: float) -> None:
        """Record the outcome and the duration in seconds of one request or attempt."""
        label = outcome_label(outcome)
        self.count_by_outcome[label] = self.count_by_outcome.get(label, 0) + 1
        self.durations.record(seconds, now)


@define
class RequestMetrics(RequestObserver, MetricSource):
    """Request and attempt counts, in memory bounded by the register."""

    clock: Clock
    directory: Directory
    tally_by_service: dict[str, Tally] = field(factory=dict)
    tally_by_backend: dict[str, Tally] = field(factory=dict)

    def on_server_chosen(self, call: Call, choice: Choice, number: int) -> None:
        """Count a retry if the attempt number, which starts at 1, is above 1."""
        if number > 1:
            self._service(call.service).retries += 1

    def on_attempt_ended(
        self, call: Call, backend_id: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record the outcome and the duration in seconds of an attempt."""
        tally = self.tally_by_backend.get(backend_id)
        if tally is None:
            tally = Tally(Durations(COARSE))
            self.tally_by_backend[backend_id] = tally
        tally.count(outcome, seconds, self.clock.monotonic())

    def on_connection_broken(self, call: Call, broken: ConnectionBreak) -> None:
        """Count a connection that closed during an attempt."""
        kind = 'kept' if broken.is_reused else 'new'
        self._service(call.service).breaks[kind] += 1

    def on_request_ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Record the outcome that the caller got and the duration in seconds."""
        self._service(call.service).count(outcome, seconds, self.clock.monotonic())

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        self._drop_removed()
        yield from self._latencies()
        yield self._outcomes('service', self.tally_by_service)
        yield self._outcomes('backend', self.tally_by_backend)
        retries = counter(
            'catkinslip_retries_total',
            'Attempts after the first one of a request.',
            'service',
        )
        for service, tally in sorted(self.tally_by_service.items()):
            retries.add(tally.retries, service)
        yield retries
        yield self._breaks()
        yield self._in_flight()

    def _latencies(self) -> Iterable[Family]:
        now = self.clock.monotonic()
        for label, tally_by_name, text in (
            ('service', self.tally_by_service, 'Time from request to whole answer.'),
            ('backend', self.tally_by_backend, 'Time of one attempt.'),
        ):
            family = summary(f'catkinslip_{label}_duration_seconds', text, label)
            for name, tally in sorted(tally_by_name.items()):
                family.summaries.append(tally.durations.summarize(now, name))
            yield family

    def _outcomes(self, label: str, tally_by_name: dict[str, Tally]) -> Family:
        noun = 'Requests' if label == 'service' else 'Attempts'
        family = counter(
            f'catkinslip_{label}_outcomes_total',
            f'{noun} by outcome.',
            label,
            'outcome',
        )
        for name, tally in sorted(tally_by_name.items()):
            for outcome, count in sorted(tally.count_by_outcome.items()):
                family.add(count, name, outcome)
        return family

    def _breaks(self) -> Family:
        family = counter(
            'catkinslip_breaks_total',
            'Connections that ended after a request had been sent on them.',
            'service',
            'connection',
        )
        for service, tally in sorted(self.tally_by_service.items()):
            for kind, count in sorted(tally.breaks.items()):
                family.add(count, service, kind)
        return family

    def _in_flight(self) -> Family:
        family = gauge(
            'catkinslip_in_flight',
            'Requests of this instance in flight.',
            'service',
            'backend',
        )
        for service, router in sorted(self.directory.router_by_service.items()):
            for backend_id, load in sorted(router.load_by_id.items()):
                if load.in_flight or backend_id in self.tally_by_backend:
                    family.add(load.in_flight, service, backend_id)
        return family

    def _service(self, service: str) -> Tally:
        """Return the counts of a service; all unregistered names share one entry."""
        if service not in self.directory.router_by_service:
            service = UNKNOWN_SERVICE
        tally = self.tally_by_service.get(service)
        if tally is None:
            tally = Tally(Durations(FINE))
            self.tally_by_service[service] = tally
        return tally

    def _drop_removed(self) -> None:
        """Drop the counts of services and servers that are no longer registered."""
        services = {*self.directory.router_by_service, UNKNOWN_SERVICE}
        for service in set(self.tally_by_service) - services:
            del self.tally_by_service[service]
        for backend_id in set(self.tally_by_backend) - set(
            self.directory.address_by_backend
        ):
            del self.tally_by_backend[backend_id]


def outcome_label(outcome: Outcome) -> str:
    """Return the metric label of an outcome, for example not-run-shed."""
    if isinstance(outcome, Answered):
        return f'answered-{outcome.status // 100}xx'
    kind = 'not-run' if isinstance(outcome, NotRun) else 'unknown'
    return f'{kind}-{outcome.reason.slug}'


SHED_LABEL = f'not-run-{Reason.SHED.slug}'

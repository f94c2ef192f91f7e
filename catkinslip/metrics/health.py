"""Metrics of health probes and of the states that backend servers report."""

from collections import Counter
from collections.abc import Iterable

from attrs import asdict, define

from catkinslip.health.tracker import HealthTracker
from catkinslip.metrics.base import Family, MetricSource, counter, gauge


@define
class HealthMetrics(MetricSource):
    """Source of probe and drain counts and of cold, throttled and resting servers."""

    health: HealthTracker

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        events = counter(
            'catkinslip_health_events_total',
            'Probes, drain words and reports; held back probes were not sent.',
            'event',
        )
        for event, count in asdict(self.health.counters).items():
            events.add(count, event.replace('_', '-'))
        yield events
        cold = gauge(
            'catkinslip_cold_backends', 'Servers slow after a start.', 'service'
        )
        now = self.health.clock.monotonic()
        routers = self.health.directory.router_by_service
        for service, router in sorted(routers.items()):
            cold.add(len(router.cold.cold(now)), service)
        yield cold
        yield from self._throttling()
        yield from self._resting(now)
        yield from self._reach()
        leaving = gauge('catkinslip_leaving_backends', 'Backend servers that leave.')
        leaving.add(len(self.health.leaving_ids()))
        yield leaving

    def _resting(self, now: float) -> Iterable[Family]:
        """Return the families of resting servers and of rest events."""
        resting = gauge(
            'catkinslip_resting_backends',
            'Servers that asked this instance for rest.',
            'service',
        )
        events = counter(
            'catkinslip_rest_events_total',
            'Rests that servers asked for or named unreadably, and their ends.',
            'event',
        )
        count_by_event = Counter()
        routers = self.health.directory.router_by_service
        for service, router in sorted(routers.items()):
            resting.add(len(router.rest.registry.resting(now)), service)
            count_by_event.update(router.rest.registry.events)
        for event, count in sorted(count_by_event.items()):
            events.add(count, event)
        yield resting
        yield events

    def _reach(self) -> Iterable[Family]:
        """Return the families of the services that this instance does not reach."""
        lost = gauge(
            'catkinslip_lost_services', 'Services of which no server is reached.'
        )
        lost.add(len(self.health.reach.lost_services()))
        yield lost
        losses = counter(
            'catkinslip_service_losses_total',
            'Times that no server of a service was reached any more.',
        )
        losses.add(self.health.reach.losses)
        yield losses

    def _throttling(self) -> Iterable[Family]:
        """Return the families of throttled servers and of rate events."""
        throttled = gauge(
            'catkinslip_throttled_backends',
            'Servers that name the rate that they take.',
            'service',
        )
        events = counter(
            'catkinslip_rate_events_total',
            'Rates that servers began to name, changed, ended, or named unreadably.',
            'event',
        )
        count_by_event = Counter()
        routers = self.health.directory.router_by_service
        for service, router in sorted(routers.items()):
            throttled.add(len(router.throttle.registry.active_rates()), service)
            count_by_event.update(router.throttle.registry.events)
        for event, count in sorted(count_by_event.items()):
            events.add(count, event)
        yield throttled
        yield events

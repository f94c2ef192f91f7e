"""The load on one service, as one instance estimates it."""

import math

from attrs import Factory, define

from catkinslip.routing.base import LoadReport

SERVICE_TIME_WEIGHT = 0.05
REFUSED_WEIGHT = 0.01
# At 1, instances that count an overfull server as just full admit too much; see
# LIMITS.md.
MAX_QUEUE_FACTOR = 1.5
REPORT_LIFETIME_SECONDS = 1.0


@define
class BackendCount:
    """The requests at one backend server: of this instance, and in all (estimated)."""

    local: int = 0
    estimate: float = 0.0
    counted: float = 0.0
    reported_at: float = 0.0


@define
class ServiceLoad:
    """The requests in flight, slots and service time of one service; in seconds."""

    slots_per_backend: int = 1
    backends: int = 0
    instances: int = 1
    max_counted: float = math.inf
    in_flight: int = 0
    reported: float = 0.0
    service_time: float = 0.0
    refused_share: float = 0.0
    count_by_id: dict[str, BackendCount] = Factory(dict)
    swept_at: float = 0.0

    @property
    def slots(self) -> int:
        """Return the slots of all backend servers that accept new work."""
        return max(1, self.slots_per_backend * self.backends)

    @property
    def total(self) -> float:
        """Return the estimated requests in flight from all instances."""
        return max(self.reported, self.in_flight)

    @property
    def wait(self) -> float:
        """Return the expected wait for a slot, in seconds."""
        queued = max(0.0, self.total + 1 - self.slots)
        return queued * self.service_time / self.slots

    def resize(
        self,
        slots_per_backend: int,
        backends: int,
        instances: int,
        queue_depth: float = math.inf,
    ) -> None:
        """Set the size of the service and the number of instances that share it.

        A long queue at one backend server indicates little about the others, so it
        counts only up to a limit.
        """
        self.slots_per_backend = slots_per_backend
        self.backends = backends
        self.instances = max(1, instances)
        self.max_counted = slots_per_backend * queue_depth * MAX_QUEUE_FACTOR

    def record_decision(self, refused: bool) -> None:
        """Count a call that was admitted or refused."""
        self.refused_share += (refused - self.refused_share) * REFUSED_WEIGHT

    def started(self, backend_id: str) -> None:
        """Count a request sent to a backend server."""
        count = self.count_by_id.setdefault(backend_id, BackendCount())
        count.local += 1
        self.in_flight += 1
        self._estimate(count, count.estimate + 1)

    def ended(self, backend_id: str, report: LoadReport | None, now: float) -> None:
        """Count a request that ended, and apply the load report of its answer."""
        count = self.count_by_id[backend_id]
        count.local -= 1
        self.in_flight -= 1
        if report is None:
            self._estimate(count, max(count.estimate - 1, count.local))
        else:
            count.reported_at = now
            self._estimate(count, max(report.in_flight, count.local))

    def update_service_time(self, backend_id: str, latency: float) -> None:
        """Update the mean time in a slot from an answer's latency.

        The latency is divided by the estimated queue at the backend server.
        """
        queue = (self.count_by_id[backend_id].estimate + 1) / self.slots_per_backend
        sample = latency / max(1.0, queue)
        weight = SERVICE_TIME_WEIGHT if self.service_time else 1.0
        self.service_time += (sample - self.service_time) * weight

    def sweep(self, now: float) -> None:
        """Replace estimates from expired reports by this instance's own counts."""
        if now - self.swept_at < REPORT_LIFETIME_SECONDS:
            return
        self.swept_at = now
        for backend_id, count in list(self.count_by_id.items()):
            if now - count.reported_at >= REPORT_LIFETIME_SECONDS:
                self._estimate(count, count.local)
            if not count.local and not count.estimate:
                del self.count_by_id[backend_id]

    def _estimate(self, count: BackendCount, value: float) -> None:
        count.estimate = value
        counted = min(value, self.max_counted)
        self.reported += counted - count.counted
        count.counted = counted

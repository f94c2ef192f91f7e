"""The probe budget: a hard bound that needs no agreement between instances.

Every instance enforces two limits by itself. Per backend server, an instance waits
`max_instances / probes_per_second` seconds between two probes of one server, also
before its first probe, so `max_instances` instances together send at most
`probes_per_second`, whichever members each of them sees. Per service, each probe
uses up `calls_per_probe` calls that this instance itself received.
"""

from collections.abc import Callable

from attrs import Factory, define, frozen

#: Number of unused probes that an instance may save up per service.
MAX_SAVED_PROBES = 5
#: Seconds for which the last probe of an unregistered server is remembered.
KEPT_SECONDS = 3600.0


@frozen
class ProbeLimits:
    """The probes that the configuration allows for one service."""

    probes_per_second: float
    calls_per_probe: int
    max_instances: int


@define
class ProbeBudget:
    """The probe budget of this instance; times are monotonic seconds."""

    started_at: float
    #: Highest number of members seen so far. It never falls, so that this instance's
    #: share does not grow when members only seem to be removed.
    max_members: int = 1
    #: Time at which the last probe of each server was spent or ended.
    ended_at_by_address: dict[str, float] = Factory(dict)
    #: Calls of each service that no probe has used up.
    unspent_calls_by_service: dict[str, int] = Factory(dict)

    def count_call(self, service: str, limits: ProbeLimits) -> None:
        """Count one call from a caller, up to the number that may be saved up."""
        calls = self.unspent_calls_by_service.get(service, 0) + 1
        most = MAX_SAVED_PROBES * limits.calls_per_probe
        self.unspent_calls_by_service[service] = min(calls, most)

    def record_members(self, count: int) -> None:
        """Record the current number of members."""
        self.max_members = max(self.max_members, count)

    def interval(self, limits: ProbeLimits) -> float:
        """Return the minimum seconds between this instance's probes of one server."""
        if limits.probes_per_second <= 0:
            return float('inf')
        divisor = max(limits.max_instances, self.max_members)
        return divisor / limits.probes_per_second

    def allows_probe(
        self, address: str, service: str, limits: ProbeLimits, now: float
    ) -> bool:
        """Return whether a probe of a server is within the budget."""
        has_calls = self.has_calls(service, limits)
        return has_calls and self.allowed_seconds(address, limits, now) >= 0

    def allowed_seconds(self, address: str, limits: ProbeLimits, now: float) -> float:
        """Return the seconds since a server's interval ended; negative before."""
        last = self.ended_at_by_address.get(address, self.started_at)
        return now - last - self.interval(limits)

    def has_calls(self, service: str, limits: ProbeLimits) -> bool:
        """Return whether enough calls of a service arrived for one more probe."""
        return self.unspent_calls_by_service.get(service, 0) >= limits.calls_per_probe

    def spend(
        self, address: str, service: str, limits: ProbeLimits, now: float
    ) -> bool:
        """Spend one probe right before its first byte is sent.

        Returns whether the budget allowed the probe.
        """
        if not self.allows_probe(address, service, limits, now):
            return False
        self.unspent_calls_by_service[service] -= limits.calls_per_probe
        self.ended_at_by_address[address] = now
        return True

    def end_probe(self, address: str, now: float) -> None:
        """Restart a server's interval when its probe ends.

        A paused process may send the probe long after `spend`.
        """
        self.ended_at_by_address[address] = now

    def forget_old(self, registered: Callable[[], set[str]], now: float) -> None:
        """Forget unregistered servers whose last probe is older than `KEPT_SECONDS`.

        A registered server is kept, since its interval may be longer than that.
        """
        old = [
            address
            for address, ended_at in self.ended_at_by_address.items()
            if now - ended_at > KEPT_SECONDS
        ]
        known = registered() if old else set()
        for address in old:
            if address not in known:
                del self.ended_at_by_address[address]

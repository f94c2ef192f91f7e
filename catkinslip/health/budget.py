"""The measuring budget: a hard bound that needs no agreement between instances.

Two limits, each held by every instance alone. Per backend server: an instance lets
`max_instances / probes_per_second` seconds pass between two probes of one server,
also before its first one, so the sum over `max_instances` instances is at most
`probes_per_second`, whatever they believe of each other. Per service: a probe is
paid for with `calls_per_probe` calls that this instance itself received.
"""

from collections.abc import Callable

from attrs import Factory, define, frozen

#: Probes that an instance may save up per service.
MAX_SAVED_PROBES = 5
KEPT_SECONDS = 3600.0


@frozen
class ProbeTerms:
    """What the configuration allows one service."""

    probes_per_second: float
    calls_per_probe: int
    max_instances: int


@define
class ProbeBudget:
    """Decide whether a probe may be sent; times are monotonic seconds."""

    started_at: float
    #: Most members ever known; a share never grows because members seem to be gone.
    most_members: int = 1
    ended_at_by_address: dict[str, float] = Factory(dict)
    unspent_calls_by_service: dict[str, int] = Factory(dict)

    def count_call(self, service: str, terms: ProbeTerms) -> None:
        """Count one call of a caller."""
        calls = self.unspent_calls_by_service.get(service, 0) + 1
        most = MAX_SAVED_PROBES * terms.calls_per_probe
        self.unspent_calls_by_service[service] = min(calls, most)

    def see_members(self, count: int) -> None:
        """Take the number of members known now."""
        self.most_members = max(self.most_members, count)

    def interval(self, terms: ProbeTerms) -> float:
        """Return the least seconds between two probes of one server from here."""
        if terms.probes_per_second <= 0:
            return float('inf')
        divisor = max(terms.max_instances, self.most_members)
        return divisor / terms.probes_per_second

    def may_probe(
        self, address: str, service: str, terms: ProbeTerms, now: float
    ) -> bool:
        """Tell whether a probe of a server is within the budget."""
        has_calls = self.has_calls(service, terms)
        return has_calls and self.allowed_for(address, terms, now) >= 0

    def allowed_for(self, address: str, terms: ProbeTerms, now: float) -> float:
        """Return the seconds since the interval of a server passed; else negative."""
        last = self.ended_at_by_address.get(address, self.started_at)
        return now - last - self.interval(terms)

    def has_calls(self, service: str, terms: ProbeTerms) -> bool:
        """Tell whether enough calls came to pay for a probe."""
        return self.unspent_calls_by_service.get(service, 0) >= terms.calls_per_probe

    def spend(self, address: str, service: str, terms: ProbeTerms, now: float) -> bool:
        """Take a probe from the budget right before its first byte."""
        if not self.may_probe(address, service, terms, now):
            return False
        self.unspent_calls_by_service[service] -= terms.calls_per_probe
        self.ended_at_by_address[address] = now
        return True

    def ended(self, address: str, now: float) -> None:
        """Count the interval from the end, as a paused process may send late."""
        self.ended_at_by_address[address] = now

    def forget_old(self, registered: Callable[[], set[str]], now: float) -> None:
        """Forget servers that left the register long ago.

        One that is registered may be due once in more than the time kept.
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

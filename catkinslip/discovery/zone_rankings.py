"""Home sets, parts of budgets and the rank of senders, by the list of instances."""

from collections import Counter
from collections.abc import Callable

from attrs import define, field

from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.ranking import (
    Tier,
    home_size,
    rank,
    sender_order,
    share_of,
    tier,
)


@define
class ZoneRankings:
    """Rankings of the zones, calculated once for each list of instances."""

    own: InstanceEntry
    #: Function that returns all known instances, this one among them.
    entries: Callable[[], list[InstanceEntry]]
    _ranked_by_zone: dict[str, list[InstanceEntry]] = field(factory=dict, init=False)
    _home_size_by_zone: dict[str, int] = field(factory=dict, init=False)
    #: Cached result of `budget_divisor`, which each probe calls.
    _budget_divisor: float | None = field(default=None, init=False)
    _sender_rank: int | None = field(default=None, init=False)

    def clear(self) -> None:
        """Discard all results, as an instance was added or removed."""
        self._ranked_by_zone.clear()
        self._home_size_by_zone.clear()
        self._budget_divisor = self._sender_rank = None

    def ranked(self, zone: str) -> list[InstanceEntry]:
        """Return the instances of a zone, the preferred ones for callers first."""
        ranked = self._ranked_by_zone.get(zone)
        if ranked is None:
            ranked = rank(zone, self._of_zone(zone))
            self._ranked_by_zone[zone] = ranked
        return ranked

    def home_size(self, zone: str) -> int:
        """Return the number of instances in the home set of a zone."""
        size = self._home_size_by_zone.get(zone)
        if size is None:
            size = home_size(self.ranked(zone))
            self._home_size_by_zone[zone] = size
        return size

    def sender_rank(self) -> int:
        """Return the position of this instance among its zone's senders."""
        if self._sender_rank is None:
            zone = self.own.zone
            order = sender_order(zone, self._of_zone(zone))
            self._sender_rank = order.index(self.own)
        return self._sender_rank

    def budget_divisor(self) -> float:
        """Return the divisor that gives this instance's part of a shared budget.

        The home sets divide most of a budget, the instances next in rank a smaller
        part, and the others a small rest, for callers with an old address answer.
        Silent instances count: they may only be unreachable and still spend their
        parts.
        """
        if self._budget_divisor is None:
            counts = Counter[Tier]()
            for zone in {entry.zone for entry in self.entries()}:
                home = self.home_size(zone)
                counts.update(
                    tier(position, home) for position in range(len(self.ranked(zone)))
                )
            own_zone = self.own.zone
            position = self.ranked(own_zone).index(self.own)
            own = tier(position, self.home_size(own_zone))
            self._budget_divisor = counts[own] / share_of(own, counts)
        return self._budget_divisor

    def _of_zone(self, zone: str) -> list[InstanceEntry]:
        return [entry for entry in self.entries() if entry.zone == zone]

"""The decision which kinds of calls of a service wait for room, and for how long.

Load: a burst of uploads (work 110 ms, answer wanted within 1,734 ms) or of the most
urgent kind (72 ms, 290 ms) on a small service whose full servers turn calls away. A
kind whose target is many times its work can wait for a free slot where others cannot,
so it waits here instead of being sent to a full server or refused after a moment. It
leaves the last slots of servers, at which all calls slow down, to the kinds that cannot
wait, and gives way further where a more urgent kind is served less often.
"""

from attrs import Factory, define, frozen

from catkinslip.admission.served import ServedShares
from catkinslip.routing.base import GOOD_DELAY

#: Ratio of target to work from which a kind is patient; the others are at 2.5 to 5.
PATIENT_RATIO = 6.0
#: Share of its target for which a patient call is held. The rest is for the call itself
#: at a slow server.
PATIENT_HOLD_SHARE = 0.6
#: Delay up to which a patient call is sent while it may wait: a free slot, also at a
#: server that is nearly full then, but no queue.
SLOT_DELAY = 2.0
#: Seconds for which a kind counts after its last call.
SEEN_SECONDS = 3.0
#: Difference of the served shares that is noise.
SERVED_NOISE = 0.02
#: The same for kinds that cannot wait: what they leave often serves nobody, and 0.02
#: lost 0.010 of the overload benchmark after the loss of all instances.
IMPATIENT_SERVED_NOISE = 0.05
#: Difference of the served shares, beyond the noise, at which a kind gives way in full.
FULL_LEAD = 0.1
#: Share of the served share of all calls below which a kind gives way no more.
FLOOR_SHARE = 0.5
#: Maximum number of kinds of a service; the one that was seen longest ago is removed.
MAX_KINDS = 64


@frozen
class KindStanding:
    """How long a call of one kind waits, and for which servers."""

    #: Share of the target for which the call is held; None for the usual one.
    hold_share: float | None = None
    #: Delay up to which the call is sent while it can still wait.
    max_delay: float | None = None
    #: How far the call gives way to a more urgent kind that is served less often, from
    #: 0 to 1.
    gives_way: float = 0.0
    #: Whether the call need not leave time for more urgent ones.
    is_forward: bool = False


@frozen
class Kind:
    """A kind of calls: seconds of work and target, and priority; 0 is most urgent."""

    name: str
    work: float
    target: float
    priority: int

    @property
    def is_patient(self) -> bool:
        """Return whether a call can wait several times as long as it works."""
        return self.target >= PATIENT_RATIO * self.work


@define
class KindShares:
    """The kinds of calls that one instance saw lately in one service."""

    kind_by_name: dict[str, tuple[Kind, float]] = Factory(dict)
    served: ServedShares = Factory(ServedShares)

    def assess(self, kind: Kind, is_scarce: bool, now: float) -> KindStanding:
        """Record a call's kind and return how long and for what the call waits."""
        self._record(kind, now)
        others = [
            other
            for other, seen_at in self.kind_by_name.values()
            if other.name != kind.name and now - seen_at <= SEEN_SECONDS
        ]
        hold_share = PATIENT_HOLD_SHARE if kind.is_patient else None
        max_delay = SLOT_DELAY if kind.is_patient else None
        if not is_scarce:
            return KindStanding(hold_share, max_delay)
        if self.served.relative(kind.name, now) < FLOOR_SHARE:
            return KindStanding(hold_share, max_delay, is_forward=True)
        if kind.is_patient and not all(other.is_patient for other in others):
            max_delay = GOOD_DELAY
        gives_way = self._gives_way(kind, others, now)
        return KindStanding(hold_share, max_delay, gives_way)

    def _gives_way(self, kind: Kind, others: list[Kind], now: float) -> float:
        """Return how far a call gives way to more urgent kinds, from 0 to 1."""
        shares = [
            self.served.share(other.name, now)
            for other in others
            if other.priority < kind.priority
        ]
        if not shares:
            return 0.0
        noise = SERVED_NOISE if kind.is_patient else IMPATIENT_SERVED_NOISE
        ahead = self.served.share(kind.name, now) - min(shares) - noise
        return min(1.0, max(0.0, ahead / FULL_LEAD))

    def _record(self, kind: Kind, now: float) -> None:
        # Moves the kind to the end, as the first one is removed.
        known = self.kind_by_name.pop(kind.name, None)
        if known is None and len(self.kind_by_name) >= MAX_KINDS:
            del self.kind_by_name[next(iter(self.kind_by_name))]
        self.kind_by_name[kind.name] = (kind, now)

"""The decision which kinds of calls of a service wait for room, and for how long.

Load: a burst of uploads (work 110 ms, answer wanted within 1,734 ms) or of the most
urgent kind (72 ms, 290 ms) on a small service whose full servers turn calls away. A
kind whose target is many times its work can wait for a free slot where others cannot,
so it waits here instead of being sent to a full server or refused after a moment. It
leaves the last slots of servers, at which all calls slow down, to the kinds that cannot
wait, and gives way further where a more urgent kind is served less often.
"""

from attrs import Factory, define, frozen

from catkinslip.admission.bounded import put_newest
from catkinslip.admission.served import ServedShares
from catkinslip.routing.base import GOOD_DELAY

#: Ratio of target to work from which a kind is delay-tolerant. Kinds below it, usually
#: at 2.5 to 5, are delay-sensitive.
TOLERANT_RATIO = 6.0
#: Share of its target for which a delay-tolerant call is held. The rest is for the call
#: itself at a slow server.
TOLERANT_HOLD_SHARE = 0.6
#: Delay, in multiples of the work, up to which a delay-tolerant call is sent while it
#: may wait. It admits a free slot at a server that is nearly full, but no queue.
TOLERANT_MAX_DELAY = 2.0
#: Seconds for which a kind counts after its last call.
SEEN_SECONDS = 3.0
#: Difference of the served shares that is noise, for delay-tolerant kinds and for
#: others. The latter is larger, as the capacity that they leave often stays unused.
TOLERANT_SERVED_NOISE = 0.02
SENSITIVE_SERVED_NOISE = 0.05
#: Difference of the served shares, beyond the noise, at which a kind gives way in full.
FULL_LEAD = 0.1
#: Served share, relative to that of all calls, below which a kind no longer gives way.
FLOOR_SHARE = 0.5
#: Maximum number of kinds of a service; the one that was seen longest ago is removed.
MAX_KINDS = 64


@frozen
class KindStanding:
    """How long a call of one kind waits, and for which servers."""

    #: Share of the target for which the call is held; None for the usual one.
    hold_share: float | None = None
    #: Delay, in multiples of the work, up to which the call is sent while it can wait;
    #: None for no bound.
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
    def is_delay_tolerant(self) -> bool:
        """Return whether a call can wait several times as long as it works."""
        return self.target >= TOLERANT_RATIO * self.work


@frozen
class SeenKind:
    """A kind and the monotonic time of its last call in seconds."""

    kind: Kind
    at: float


@define
class KindShares:
    """The kinds of calls that one instance saw lately in one service."""

    seen_by_name: dict[str, SeenKind] = Factory(dict)
    served: ServedShares = Factory(ServedShares)

    def assess(self, kind: Kind, is_scarce: bool, now: float) -> KindStanding:
        """Record a call's kind and return how long and for what the call waits."""
        self._record(kind, now)
        others = [
            seen.kind
            for seen in self.seen_by_name.values()
            if seen.kind.name != kind.name and now - seen.at <= SEEN_SECONDS
        ]
        hold_share = TOLERANT_HOLD_SHARE if kind.is_delay_tolerant else None
        max_delay = TOLERANT_MAX_DELAY if kind.is_delay_tolerant else None
        if not is_scarce:
            return KindStanding(hold_share, max_delay)
        if self.served.relative(kind.name, now) < FLOOR_SHARE:
            return KindStanding(hold_share, max_delay, is_forward=True)
        if kind.is_delay_tolerant and not all(
            other.is_delay_tolerant for other in others
        ):
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
        noise = (
            TOLERANT_SERVED_NOISE if kind.is_delay_tolerant else SENSITIVE_SERVED_NOISE
        )
        ahead = self.served.share(kind.name, now) - min(shares) - noise
        return min(1.0, max(0.0, ahead / FULL_LEAD))

    def _record(self, kind: Kind, now: float) -> None:
        put_newest(self.seen_by_name, kind.name, SeenKind(kind, now), MAX_KINDS)

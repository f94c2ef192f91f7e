"""Which instances of a zone read the store, and how often they try a store that fails.

The load that this answers: 202 instances in three zones, and a store that refuses all
of them for 8 s, or a part of them. Tries of a zone stay at a constant number a second,
however many instances the zone has, and one that the store serves is found within about
a second.
"""

from enum import Enum, auto, unique
from random import Random

from attrs import frozen

from catkinslip.store.backoff import Backoff

#: Number of instances that read the store for their whole zone. It is small because
#: each change wakes every reader and each call has a price.
READERS = 3
#: Bounds of the delay between tries of the first readers. Reads after an outage have to
#: succeed well within the 2 s in which changes apply; the mean delay is half of the
#: longest. Refused calls have a price too.
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
#: Delay between the first tries of two leaders that follow each other in rank. Ten of
#: them try within a second; if the store refuses half of the instances, each chosen at
#: random, it refuses all ten in one of a thousand outages.
FIRST_TRY_SPACING_SECONDS = 0.1
#: Time in which an instance that gets its first list learns which others answer: the
#: interval of polls and one answer.
FIRST_POLL_SECONDS = 0.6
#: Tries a second of all other leaders of a zone together, and of all instances of last
#: resort of a zone together.
LEADER_TRIES_PER_SECOND = 3.0
LAST_RESORT_TRIES_PER_SECOND = 3.0


@unique
class ReaderRole(Enum):
    """The part of an instance among the readers of its zone."""

    #: One of the first READERS in rank: reads and retries without regard to others.
    FIRST = auto()
    #: One of those that poll each other: next to read where a first one lost the store.
    LEADER = auto()
    #: Reads only if all leaders that it knows lost the store.
    LAST_RESORT = auto()


@frozen
class ZoneView:
    """What an instance knows of the readers of its zone; counts are of instances."""

    #: Position of this instance in the ranking of the zone.
    position: int
    #: Number of instances that poll each other.
    leaders: int
    #: Number of instances of the zone.
    size: int
    #: Instances before this one that read the store, or will.
    readers_before: int = 0
    #: Instances before this one that answer but lost the store.
    lost_before: int = 0
    #: Instances of last resort, others than this one, that a leader reports as readers.
    reported_readers: int = 0
    #: Whether the last call of this instance to the store succeeded.
    is_reading: bool = False
    #: Whether the health of any instance before this one is known.
    is_polled: bool = True

    @property
    def role(self) -> ReaderRole:
        """Return the part of this instance among the readers."""
        if self.position < READERS:
            return ReaderRole.FIRST
        if self.position < self.leaders:
            return ReaderRole.LEADER
        return ReaderRole.LAST_RESORT


@frozen
class DelayBounds:
    """The range of a random delay, in seconds."""

    least: float
    most: float


@frozen
class TryPace:
    """How an instance that does not reach the store spreads its tries."""

    #: Whether others lost the store, so that even the first call waits for its turn.
    is_delayed: bool = False
    #: Bounds of the first delay in an outage; None stands for backoff.
    first_delay: DelayBounds | None = None
    #: Upper bound of all later delays, in seconds; None stands for backoff.
    max_delay: float | None = None

    def next_delay(self, backoff: Backoff, random: Random) -> float:
        """Count a try in the backoff and return the delay until it."""
        bounds = self.first_delay
        if backoff.failures and self.max_delay is not None:
            bounds = DelayBounds(0.0, self.max_delay)
        delay = backoff.next_delay(random)
        return delay if bounds is None else random.uniform(bounds.least, bounds.most)


BACKOFF_PACE = TryPace()


def reads_store(view: ZoneView) -> bool:
    """Return whether an instance reads the store itself, not through its peers."""
    if view.role is not ReaderRole.LAST_RESORT:
        return view.readers_before < READERS
    # The health of most instances before this one is not known. Of two readers of last
    # resort the later one stops.
    is_covered = view.reported_readers > 0 and not view.is_reading
    return view.readers_before < 1 and not is_covered


def try_pace(view: ZoneView) -> TryPace:
    """Return how an instance spreads its tries where calls to the store fail."""
    is_delayed = view.lost_before > 0 or not view.is_polled
    wait = 0.0 if view.is_polled else FIRST_POLL_SECONDS
    match view.role:
        case ReaderRole.FIRST:
            return BACKOFF_PACE
        case ReaderRole.LEADER:
            leaders = min(view.leaders, view.size) - READERS
            # Backoff makes two tries in each MAX_RETRY_SECONDS; few leaders keep to it.
            longest = max(MAX_RETRY_SECONDS, 2 * leaders / LEADER_TRIES_PER_SECOND)
            first = wait + (view.position - READERS) * FIRST_TRY_SPACING_SECONDS
            until = first + FIRST_TRY_SPACING_SECONDS
            return TryPace(is_delayed, DelayBounds(first, until), longest)
        case ReaderRole.LAST_RESORT:
            longest = (view.size - view.leaders) / LAST_RESORT_TRIES_PER_SECOND
            longest = max(MAX_RETRY_SECONDS, longest)
            return TryPace(is_delayed, DelayBounds(wait, wait + longest), longest)


def reads_list(view: ZoneView) -> bool:
    """Return whether an instance reads the list of instances for its zone.

    In an outage the list follows the other kinds: whoever waits for its turn to try
    does not read the list meanwhile.
    """
    is_waiting = view.lost_before > 0 and not view.is_reading
    is_first = view.role is ReaderRole.FIRST
    return reads_store(view) and (is_first or not is_waiting)

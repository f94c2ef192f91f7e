"""Where an instance that starts gets its first list of instances from.

The load that this answers: all of 202 instances restart at once, with the store or
without it. If each read the list from the store, that would be 5 calls each, and one
without a list would act as the first reader of its zone. The seeds read
the list, and all others get it from them.
"""

from enum import Enum, auto, unique
from math import inf
from random import Random

from attrs import Factory, define

#: Time for which an instance that starts waits for a seed that does not answer, and the
#: longest additional time, which spreads the reads of the store.
SEED_WAIT_SECONDS = 0.2
SPREAD_SECONDS = 0.4
#: Number of cores from which an instance reads its first list from the store itself. It
#: starts sooner than weaker ones, callers are sent to it first, and large fleets have
#: few such instances.
DIRECT_READ_CORES = 0.5
#: Time after an answer of a seed in which it counts as alive.
SEED_ALIVE_SECONDS = 1.0
#: Time for which a seed may be without a list before others try the store.
SEED_READ_SECONDS = 0.5
#: Tries of the store a second of all instances together that wait for one seed.
TRIES_PER_SECOND = 3.0
#: Bounds of the interval of requests to the seeds.
FIRST_REQUEST_SECONDS = 0.1
MAX_REQUEST_SECONDS = 0.5
#: Time for which an instance counts as waiting after its request, and the most of them.
WAITING_SECONDS = 2.0
MAX_WAITING = 5_000


@unique
class ListSource(Enum):
    """Where to read the list next."""

    SEED = auto()
    #: One try of the store, then the seeds again.
    STORE_ONCE = auto()
    #: The store from now on, as no seed answers.
    STORE = auto()


@define
class FirstList:
    """The wait of one instance for its first list; times are monotonic seconds."""

    random: Random
    started_at: float
    #: When a seed that had no list last answered.
    answered_at: float = -inf
    #: When to try the store although a seed answers.
    try_at: float = inf
    requests: int = 0
    #: Seconds without an answer of a seed after which the store is read.
    _max_silence: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Choose how long this instance waits for seeds that do not answer."""
        spread = self.random.uniform(0, SPREAD_SECONDS)
        self._max_silence = SEED_WAIT_SECONDS + spread

    def record_answer(self, now: float, waiting: int) -> None:
        """Record the answer of a seed without a list, for which `waiting` wait."""
        self.answered_at = now
        if self.try_at == inf:
            delay = SEED_READ_SECONDS + self._spread(waiting)
            self.try_at = now + delay

    def record_try(self, now: float, waiting: int) -> None:
        """Record a failed try of the store."""
        self.try_at = now + 2 * self._spread(waiting)

    def _spread(self, waiting: int) -> float:
        return self.random.uniform(0, max(1.0, waiting / TRIES_PER_SECOND))

    def next_source(self, now: float) -> ListSource:
        """Return where to read the list next."""
        if now - self.answered_at <= SEED_ALIVE_SECONDS:
            return ListSource.STORE_ONCE if now >= self.try_at else ListSource.SEED
        silent_since = max(self.started_at, self.answered_at)
        is_waiting = now - silent_since < self._max_silence or not self.requests
        return ListSource.SEED if is_waiting else ListSource.STORE

    def next_delay(self) -> float:
        """Return the delay until the next request to the seeds."""
        self.requests += 1
        bound = FIRST_REQUEST_SECONDS * 2 ** min(self.requests // 4, 8)
        return min(bound, MAX_REQUEST_SECONDS) * self.random.uniform(0.8, 1.2)


@define
class WaitingInstances:
    """The instances that asked this seed for the list while it had none."""

    asked_at_by_id: dict[str, float] = Factory(dict)

    def record(self, instance_id: str, now: float) -> int:
        """Record a request; return the number of instances that wait."""
        expired = [
            each
            for each, at in self.asked_at_by_id.items()
            if now - at > WAITING_SECONDS
        ]
        for each in expired:
            del self.asked_at_by_id[each]
        if len(self.asked_at_by_id) < MAX_WAITING:
            self.asked_at_by_id[instance_id] = now
        return len(self.asked_at_by_id)

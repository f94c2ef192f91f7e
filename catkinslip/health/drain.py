"""Which backend servers are leaving: one pure state merged from all signs.

The state of a backend server is a word: a generation and the signs of leaving seen
in it. Words merge by the higher generation, then by the union of signs, so leaving
wins within a generation. A generation ends only by proof of a return.
"""

from enum import Enum, unique

import xxhash
from attrs import Factory, define, evolve, frozen

from catkinslip.health.listing import ListView
from catkinslip.models import BackendKey

RETURN_HOLD_SECONDS = 5.0
CLOSE_HOLD_SECONDS = 30.0
LIST_HOLD_SECONDS = 10.0
#: The age of a word misses the time it was under way, at most a peer's timeout.
TRANSIT_SECONDS = 1.0
FLAP_WINDOW_SECONDS = 60.0
MAX_FLAP_DOUBLINGS = 4
#: A return is remembered this long, to override words of peers cut off meanwhile.
RETURNED_KEPT_SECONDS = 3600.0
#: Leaving ends by time alone only where probes are turned off.
UNPROVED_SECONDS = 600.0
#: Entries lapse in outages of the store, those of many servers at once.
MOST_GONE = 1000


@unique
class DrainSign(Enum):
    """What said that a backend server is leaving."""

    #: Its own answer carried the drain header.
    OWN = 'own'
    #: It closes its connections, which it did not do before.
    CLOSE = 'close'
    #: The platform's list shows it as leaving.
    LIST = 'list'


@frozen
class DrainWord:
    """What is known of one backend server: signs of leaving, or none."""

    generation: int
    signs: frozenset[DrainSign] = frozenset()

    @property
    def leaving(self) -> bool:
        """Tell whether the server is leaving."""
        return bool(self.signs)

    def merge(self, other: 'DrainWord') -> 'DrainWord':
        """Return the join of two words."""
        if self.generation != other.generation:
            return max(self, other, key=lambda word: word.generation)
        return DrainWord(self.generation, self.signs | other.signs)


@define
class HeldWord:
    """A word with what this instance saw itself; times are monotonic seconds."""

    word: DrainWord
    learned_at: float
    changed_at: float
    seen_at_by_sign: dict[DrainSign, float] = Factory(dict)
    flaps: int = 0

    def hold(self) -> float:
        """Return the seconds after the last sign before a return may be proved."""
        only_close = self.word.signs == {DrainSign.CLOSE}
        base = CLOSE_HOLD_SECONDS if only_close else RETURN_HOLD_SECONDS
        return base * 2 ** min(self.flaps, MAX_FLAP_DOUBLINGS)

    def last_sign_at(self) -> float:
        """Return when this instance last saw or learned of a sign."""
        return max([self.learned_at, *self.seen_at_by_sign.values()])

    def signs_since(self, at: float) -> frozenset[DrainSign]:
        """Return the signs that this instance saw itself since a time."""
        return frozenset(
            sign for sign, seen_at in self.seen_at_by_sign.items() if seen_at >= at
        )


@frozen
class GoneWord:
    """The word on a server whose entry is gone, and since when; monotonic seconds."""

    held: HeldWord
    at: float


@define
class DrainTable:
    """Merge the signs of all backend servers."""

    held_by_key: dict[BackendKey, HeldWord] = Factory(dict)
    list_view_by_key: dict[BackendKey, ListView] = Factory(dict)
    #: Leaving servers whose entries are gone, the oldest first.
    gone_by_key: dict[BackendKey, GoneWord] = Factory(dict)
    #: Servers whose word changed since they were last taken.
    changed: set[BackendKey] = Factory(set)

    def is_leaving(self, key: BackendKey) -> bool:
        """Tell whether a backend server takes no new work."""
        held = self.held_by_key.get(key)
        return held is not None and held.word.leaving

    def leaving(self) -> dict[BackendKey, DrainWord]:
        """Return the words on all leaving servers."""
        return {
            key: held.word
            for key, held in self.held_by_key.items()
            if held.word.leaving
        }

    def sign(self, key: BackendKey, sign: DrainSign, now: float) -> None:
        """Take a sign of leaving that this instance saw itself."""
        held = self.held_by_key.get(key)
        if held is None:
            word = DrainWord(1, frozenset({sign}))
        elif held.word.leaving:
            word = evolve(held.word, signs=held.word.signs | {sign})
        else:
            word = DrainWord(held.word.generation + 1, frozenset({sign}))
        self._hold(key, word, now).seen_at_by_sign[sign] = now

    def listed(self, key: BackendKey, leaving: bool, now: float) -> None:
        """Take one line of the platform's list; live only permits a return."""
        view = self.list_view_by_key.setdefault(key, ListView())
        view.read(leaving, now)
        if leaving:
            self.sign(key, DrainSign.LIST, now)

    def merge(
        self, key: BackendKey, word: DrainWord, now: float, age: float = 0.0
    ) -> None:
        """Take a peer's word; contradict a return by signs seen after its proof."""
        held = self.held_by_key.get(key)
        before = held.word if held else DrainWord(0)
        joined = before.merge(word)
        if joined == before:
            return
        newer = held.signs_since(now - age - TRANSIT_SECONDS) if held else frozenset()
        if newer and not joined.leaving:
            joined, age = DrainWord(joined.generation + 1, newer), 0.0
        self._hold(key, joined, now, age)

    def proof_wanted_for(self, key: BackendKey, now: float) -> float:
        """Return the seconds since a return may be proved; negative before."""
        held = self.held_by_key[key]
        return now - held.last_sign_at() - held.hold()

    def wants_proof(self, key: BackendKey, now: float) -> bool:
        """Tell whether an answered probe would prove that a server returned."""
        if not self.is_leaving(key) or self.proof_wanted_for(key, now) < 0:
            return False
        if DrainSign.LIST not in self.held_by_key[key].word.signs:
            return True
        view = self.list_view_by_key.get(key)
        return view is not None and view.clear_for() >= LIST_HOLD_SECONDS

    def proved(self, key: BackendKey, sent_at: float, now: float) -> None:
        """End leaving by a probe answered without a sign, sent at a given time."""
        if self.wants_proof(key, sent_at) and self.wants_proof(key, now):
            self._end(key, now, now - sent_at)

    def end_unproved(self, key: BackendKey, now: float) -> None:
        """End leaving by time alone, for a service without probes."""
        if not self.wants_proof(key, now):
            return
        if now - self.held_by_key[key].last_sign_at() >= UNPROVED_SECONDS:
            self._end(key, now)

    def forget(self, key: BackendKey, now: float) -> None:
        """Forget a server that left the register, but for a word of its leaving.

        Entries lapse while the platform's store is away, and are back.
        """
        self.list_view_by_key.pop(key, None)
        held = self.held_by_key.pop(key, None)
        if held is None or not held.word.leaving:
            return
        if len(self.gone_by_key) >= MOST_GONE:
            del self.gone_by_key[next(iter(self.gone_by_key))]
        self.gone_by_key[key] = GoneWord(held, now)

    def take_back(self, key: BackendKey, now: float) -> None:
        """Take a server that is new here; one that was here before may be leaving."""
        gone = self.gone_by_key.pop(key, None)
        if gone is not None and now - gone.at < UNPROVED_SECONDS:
            self.held_by_key[key] = gone.held
            self.changed.add(key)

    def forget_old(self, now: float) -> None:
        """Forget returns of long ago."""
        for key, held in list(self.held_by_key.items()):
            is_old = now - held.changed_at > RETURNED_KEPT_SECONDS
            if is_old and not held.word.leaving:
                del self.held_by_key[key]

    def digest(self) -> str:
        """Return a hash of all words that say leaving."""
        lines = sorted(
            f'{key.backend_id} {key.address} {word.generation} '
            + ','.join(sorted(sign.value for sign in word.signs))
            for key, word in self.leaving().items()
        )
        return xxhash.xxh3_64_hexdigest('\n'.join(lines).encode())

    def take_changed(self) -> set[BackendKey]:
        """Return the servers whose word changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def _end(self, key: BackendKey, now: float, age: float = 0.0) -> None:
        held = self.held_by_key[key]
        self._hold(key, DrainWord(held.word.generation + 1), now, age)

    def _hold(
        self, key: BackendKey, word: DrainWord, now: float, age: float = 0.0
    ) -> HeldWord:
        held = self.held_by_key.get(key)
        if held is None:
            held = HeldWord(DrainWord(0), now, now)
            self.held_by_key[key] = held
        if word == held.word:
            return held
        if word.generation != held.word.generation:
            held.flaps = next_flaps(held, word, now)
            held.learned_at = now
        if not word.leaving:
            held.seen_at_by_sign.clear()
        held.word = word
        held.changed_at = now - age
        self.changed.add(key)
        return held


def next_flaps(held: HeldWord, word: DrainWord, now: float) -> int:
    """Return how often in a row a server left again soon after it returned."""
    if not word.leaving or held.word.leaving:
        return held.flaps
    soon = now - held.learned_at < FLAP_WINDOW_SECONDS
    return held.flaps + 1 if soon and held.word.generation else 0

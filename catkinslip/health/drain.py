"""Drain states of backend servers, merged from signals and from peers without I/O.

The drain state of a backend server is a generation and the signals of leaving seen
in that generation. The higher generation wins a merge; within one generation the
signals are united, so leaving wins. Only a proof that the server returned starts a
new generation without signals.
"""

from enum import Enum, unique

import xxhash
from attrs import Factory, define, evolve, frozen

from catkinslip.health.listing import ListView
from catkinslip.models import BackendKey

#: Seconds without a signal before a probe may prove that a server returned.
RETURN_HOLD_SECONDS = 5.0
#: The same where closed connections are the only signal.
CLOSE_HOLD_SECONDS = 30.0
#: Seconds for which the platform's list has to show a server as live before a
#: probe may prove its return.
LIST_HOLD_SECONDS = 10.0
#: The age in a peer's message does not include the transit time, which is at most
#: the timeout of a peer request.
TRANSIT_SECONDS = 1.0
#: A server that leaves again this soon after a return is flapping.
FLAP_WINDOW_SECONDS = 60.0
#: Each flap in a row doubles the hold, up to this many times.
MAX_FLAP_DOUBLINGS = 4
#: Seconds for which a return is remembered, to override the older states of peers
#: that were disconnected meanwhile.
RETURNED_KEPT_SECONDS = 3600.0
#: Seconds without a signal after which a server of a service without probes counts
#: as returned. Also the longest time for which a removed server's state is kept.
UNPROVED_SECONDS = 600.0
#: Maximum number of removed servers remembered as leaving. In an outage of the
#: store the entries of many servers expire at once.
MAX_REMOVED = 1000


@unique
class DrainSignal(Enum):
    """A signal that a backend server is leaving, by its source."""

    #: One of the server's own answers carried the drain header.
    OWN = 'own'
    #: The server began to close connections that it kept open before.
    CLOSE = 'close'
    #: The platform's list shows the server as leaving.
    LIST = 'list'


@frozen
class DrainState:
    """The drain state of one backend server: a generation and its signals."""

    generation: int
    signals: frozenset[DrainSignal] = frozenset()

    @property
    def leaving(self) -> bool:
        """Return whether the server is leaving."""
        return bool(self.signals)

    def merge(self, other: 'DrainState') -> 'DrainState':
        """Return the higher generation; unite the signals of equal ones."""
        if self.generation != other.generation:
            return max(self, other, key=lambda state: state.generation)
        return DrainState(self.generation, self.signals | other.signals)


@define
class HeldState:
    """A drain state and the signals seen by this instance; monotonic seconds."""

    state: DrainState
    #: Time at which this instance first applied the current generation.
    applied_at: float
    #: Time at which the state changed, less the age given by the peer or probe.
    changed_at: float
    #: Time at which this instance itself last saw each signal.
    seen_at_by_signal: dict[DrainSignal, float] = Factory(dict)
    #: Number of times in a row that the server left again soon after a return.
    flaps: int = 0

    def hold_seconds(self) -> float:
        """Return the seconds after the last signal before a return may be proved."""
        only_close = self.state.signals == {DrainSignal.CLOSE}
        base = CLOSE_HOLD_SECONDS if only_close else RETURN_HOLD_SECONDS
        return base * 2 ** min(self.flaps, MAX_FLAP_DOUBLINGS)

    def last_signal_at(self) -> float:
        """Return when this instance last saw a signal or applied a new generation."""
        return max([self.applied_at, *self.seen_at_by_signal.values()])

    def signals_since(self, at: float) -> frozenset[DrainSignal]:
        """Return the signals that this instance itself has seen since a given time."""
        return frozenset(
            signal
            for signal, seen_at in self.seen_at_by_signal.items()
            if seen_at >= at
        )


@frozen
class RemovedState:
    """The drain state of a removed server and its removal time; monotonic seconds."""

    held: HeldState
    #: Time of the removal.
    at: float


@define
class DrainTable:
    """The drain states of all backend servers, merged from every source."""

    held_by_key: dict[BackendKey, HeldState] = Factory(dict)
    list_view_by_key: dict[BackendKey, ListView] = Factory(dict)
    #: Leaving servers whose entries were removed, the earliest removal first.
    removed_by_key: dict[BackendKey, RemovedState] = Factory(dict)
    #: Servers whose state changed since the last `pop_changed`.
    changed: set[BackendKey] = Factory(set)

    def is_leaving(self, key: BackendKey) -> bool:
        """Return whether a backend server is leaving and must get no new requests."""
        held = self.held_by_key.get(key)
        return held is not None and held.state.leaving

    def leaving(self) -> dict[BackendKey, DrainState]:
        """Return the drain states of all leaving servers."""
        return {
            key: held.state
            for key, held in self.held_by_key.items()
            if held.state.leaving
        }

    def add_signal(self, key: BackendKey, signal: DrainSignal, now: float) -> None:
        """Record a signal of leaving that this instance itself saw."""
        held = self.held_by_key.get(key)
        if held is None:
            state = DrainState(1, frozenset({signal}))
        elif held.state.leaving:
            state = evolve(held.state, signals=held.state.signals | {signal})
        else:
            state = DrainState(held.state.generation + 1, frozenset({signal}))
        self._set_state(key, state, now).seen_at_by_signal[signal] = now

    def record_listed(self, key: BackendKey, leaving: bool, now: float) -> None:
        """Record one server's entry in the platform's list.

        An entry that shows the server as live does not end leaving by itself: a
        probe still has to prove the return.
        """
        view = self.list_view_by_key.setdefault(key, ListView())
        view.record_read(leaving, now)
        if leaving:
            self.add_signal(key, DrainSignal.LIST, now)

    def merge(
        self, key: BackendKey, state: DrainState, now: float, age: float = 0.0
    ) -> None:
        """Merge a drain state from a peer, which is `age` seconds old.

        If this instance saw signals after the proof of a return, a new generation
        with these signals overrides the return.
        """
        held = self.held_by_key.get(key)
        before = held.state if held else DrainState(0)
        joined = before.merge(state)
        if joined == before:
            return
        newer = held.signals_since(now - age - TRANSIT_SECONDS) if held else frozenset()
        if newer and not joined.leaving:
            joined, age = DrainState(joined.generation + 1, newer), 0.0
        self._set_state(key, joined, now, age)

    def proof_due_for(self, key: BackendKey, now: float) -> float:
        """Return for how many seconds a proof has been due; negative before."""
        held = self.held_by_key[key]
        return now - held.last_signal_at() - held.hold_seconds()

    def accepts_proof(self, key: BackendKey, now: float) -> bool:
        """Return whether an answered probe would prove that a server returned."""
        if not self.is_leaving(key) or self.proof_due_for(key, now) < 0:
            return False
        if DrainSignal.LIST not in self.held_by_key[key].state.signals:
            return True
        view = self.list_view_by_key.get(key)
        return view is not None and view.live_seconds() >= LIST_HOLD_SECONDS

    def prove_return(self, key: BackendKey, sent_at: float, now: float) -> None:
        """Mark a server as returned after a probe answered without a signal.

        The return has to be provable both when the probe was sent and now.
        """
        if self.accepts_proof(key, sent_at) and self.accepts_proof(key, now):
            self._mark_returned(key, now, now - sent_at)

    def expire_unproved(self, key: BackendKey, now: float) -> None:
        """Mark a server without probes as returned after `UNPROVED_SECONDS`."""
        if not self.accepts_proof(key, now):
            return
        if now - self.held_by_key[key].last_signal_at() >= UNPROVED_SECONDS:
            self._mark_returned(key, now)

    def forget(self, key: BackendKey, now: float) -> None:
        """Forget a server removed from the register, but keep its state if leaving.

        Entries expire during an outage of the platform's store and come back after
        it.
        """
        self.list_view_by_key.pop(key, None)
        held = self.held_by_key.pop(key, None)
        if held is None or not held.state.leaving:
            return
        if len(self.removed_by_key) >= MAX_REMOVED:
            del self.removed_by_key[next(iter(self.removed_by_key))]
        self.removed_by_key[key] = RemovedState(held, now)

    def restore(self, key: BackendKey, now: float) -> None:
        """Restore the drain state of a server that was removed while leaving."""
        removed = self.removed_by_key.pop(key, None)
        if removed is not None and now - removed.at < UNPROVED_SECONDS:
            self.held_by_key[key] = removed.held
            self.changed.add(key)

    def forget_old(self, now: float) -> None:
        """Forget returned servers whose state is older than `RETURNED_KEPT_SECONDS`."""
        for key, held in list(self.held_by_key.items()):
            is_old = now - held.changed_at > RETURNED_KEPT_SECONDS
            if is_old and not held.state.leaving:
                del self.held_by_key[key]

    def digest(self) -> str:
        """Return a hash of the drain states of all leaving servers."""
        lines = sorted(
            f'{key.backend_id} {key.address} {state.generation} '
            + ','.join(sorted(signal.value for signal in state.signals))
            for key, state in self.leaving().items()
        )
        return xxhash.xxh3_64_hexdigest('\n'.join(lines).encode())

    def pop_changed(self) -> set[BackendKey]:
        """Return and clear the servers whose state changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def _mark_returned(self, key: BackendKey, now: float, age: float = 0.0) -> None:
        held = self.held_by_key[key]
        self._set_state(key, DrainState(held.state.generation + 1), now, age)

    def _set_state(
        self, key: BackendKey, state: DrainState, now: float, age: float = 0.0
    ) -> HeldState:
        held = self.held_by_key.get(key)
        if held is None:
            held = HeldState(DrainState(0), now, now)
            self.held_by_key[key] = held
        if state == held.state:
            return held
        if state.generation != held.state.generation:
            held.flaps = next_flaps(held, state, now)
            held.applied_at = now
        if not state.leaving:
            held.seen_at_by_signal.clear()
        held.state = state
        held.changed_at = now - age
        self.changed.add(key)
        return held


def next_flaps(held: HeldState, state: DrainState, now: float) -> int:
    """Return how many times in a row a server left soon after a return.

    The new state is counted, but not yet applied.
    """
    if not state.leaving or held.state.leaving:
        return held.flaps
    soon = now - held.applied_at < FLAP_WINDOW_SECONDS
    return held.flaps + 1 if soon and held.state.generation else 0

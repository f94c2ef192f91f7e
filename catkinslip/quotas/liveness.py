"""Which pools answer, by the messages to them and their answers.

Load: a pool is killed, frozen or cut off in one direction while polls still count it
as ready. It is avoided after some messages without an answer and until it answers a
message that leases nothing, as every try with a dead pool would cost the permits of
its slots.
"""

from math import inf

from attrs import Factory, define

#: Messages without an answer, and seconds since the first of them, after which a pool
#: is avoided. With 3 of 100 datagrams lost, 1 of 5,000 such series is by chance.
MISSED_MESSAGES = 3
SILENT_SECONDS = 0.3
#: Seconds between two messages to a pool that is avoided.
PING_SECONDS = 0.5
#: A longer time between two checks means that this instance was stopped itself. Without
#: leases it checks each second, and more often only while asks wait.
STALL_SECONDS = 1.6


@define
class PoolState:
    """Messages to one pool since its last answer."""

    missed: int = 0
    since: float = inf
    is_avoided: bool = False
    pinged_at: float = -inf


@define
class PoolHealth:
    """The pools that messages were sent to; times are monotonic seconds."""

    state_by_id: dict[str, PoolState] = Factory(dict)
    #: Number of times that a pool was avoided.
    avoided: int = 0
    _checked_at: float = inf

    def record_sent(self, pool_id: str, now: float) -> None:
        """Record a message that the pool answers if it runs."""
        state = self.state_by_id.setdefault(pool_id, PoolState())
        if not state.missed:
            state.since = now
        state.missed += 1

    def record_answer(self, pool_id: str) -> bool:
        """Record an answer; return whether the pool had been avoided."""
        state = self.state_by_id.setdefault(pool_id, PoolState())
        was_avoided = state.is_avoided
        state.missed, state.since, state.is_avoided = 0, inf, False
        return was_avoided

    def is_avoided(self, pool_id: str) -> bool:
        """Return whether a pool is avoided."""
        state = self.state_by_id.get(pool_id)
        return state is not None and state.is_avoided

    def check(self, now: float) -> list[str]:
        """Return the pools that are avoided from now on."""
        was_stalled = now - self._checked_at > STALL_SECONDS
        self._checked_at = now
        found = []
        for pool_id, state in self.state_by_id.items():
            if was_stalled:
                # The answers are still in the socket's buffer.
                state.missed, state.since = 0, inf
            elif not state.is_avoided and is_silent(state, now):
                state.is_avoided = True
                found.append(pool_id)
        self.avoided += len(found)
        return found

    def to_ping(self, now: float) -> list[str]:
        """Return the avoided pools to send a message to now."""
        due = [
            pool_id
            for pool_id, state in self.state_by_id.items()
            if state.is_avoided and now - state.pinged_at >= PING_SECONDS
        ]
        for pool_id in due:
            self.state_by_id[pool_id].pinged_at = now
        return due

    def forget(self, known_ids: frozenset[str]) -> None:
        """Forget the pools that are no longer in the list of instances."""
        for pool_id in self.state_by_id.keys() - known_ids:
            del self.state_by_id[pool_id]


def is_silent(state: PoolState, now: float) -> bool:
    """Return whether a pool left enough messages unanswered for long enough."""
    return state.missed >= MISSED_MESSAGES and now - state.since >= SILENT_SECONDS

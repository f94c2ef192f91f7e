"""Senders to cold servers: of three instances in a zone, two may send at a time.

Each instance reads a list of instances, which may be old, and decides from it alone.
Instances join and leave. Each may be partitioned from the store for any time. Of each
pair, the instance with the smaller number comes first.
"""

from collections.abc import Iterator

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

INSTANCES = range(3)
SENDERS = 2
#: Maximum time in ticks for which a list is used after it was requested, and maximum
#: age of a list when it was requested.
VALID, STALE = 3, 2
WAIT = VALID + STALE
END = 40
FEW_SENDERS = f'at most {SENDERS} senders'
OLD_POSITIONS = f'more than {SENDERS} positions only after an instance joined'


@define
class SenderSpecification(Specification):
    """Instances that decide independently whether they send to cold servers."""

    name = 'senders'
    bounds = f'{len(INSTANCES)} instances, {END} ticks, any partitions and stale reads'
    guard_by_name = {
        'waits': Guard('a new instance is not on the lists of others yet', FEW_SENDERS),
        'recent-list': Guard('an old list lacks a new instance', FEW_SENDERS),
        'stops-when-leaving': Guard('a leaving instance is not listed', FEW_SENDERS),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {'now': 0}
        for index in INSTANCES:
            values[indexed('listed', index)] = False
            values[indexed('runs', index)] = False
            values[indexed('listed_at', index)] = 0
            values[indexed('has_seen', index)] = False
            values[indexed('seen_at', index)] = 0
            values[indexed('read_at', index)] = 0
            values[indexed('ahead', index)] = 0
        return values

    def is_sender(self, state: State, index: int) -> z3.BoolRef:
        """Return whether an instance considers itself a sender."""
        now = state['now']
        facts = [
            state[indexed('has_seen', index)],
            state[indexed('runs', index)],
            state[indexed('ahead', index)] < SENDERS,
        ]
        if self.has('waits'):
            facts.append(now - state[indexed('seen_at', index)] >= WAIT)
        if self.has('recent-list'):
            facts.append(now - state[indexed('read_at', index)] <= VALID)
        return z3.And(*facts)

    def has_position(self, state: State, index: int) -> z3.BoolRef:
        """Return whether an instance had a sender position when it last read a list.

        With a position it sends to throttled servers, however old that list is now.
        """
        waited = state[indexed('read_at', index)] - state[indexed('seen_at', index)]
        return z3.And(
            state[indexed('has_seen', index)],
            state[indexed('runs', index)],
            state[indexed('ahead', index)] < SENDERS,
            waited >= WAIT,
        )

    def joined_since(self, state: State) -> z3.BoolRef:
        """Return whether another instance joined after the last one's list was made."""
        last = INSTANCES[-1]
        oldest = state[indexed('read_at', last)] - STALE
        return z3.Or(
            *(state[indexed('listed_at', index)] > oldest for index in INSTANCES[:-1])
        )

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        senders = [self.is_sender(state, index) for index in INSTANCES]
        positions = [self.has_position(state, index) for index in INSTANCES]
        return {
            FEW_SENDERS: z3.Not(z3.And(*senders)),
            OLD_POSITIONS: z3.Implies(z3.And(*positions), self.joined_since(state)),
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        return {
            'two senders': z3.And(self.is_sender(state, 0), self.is_sender(state, 1)),
            'three positions': z3.And(
                *(self.has_position(state, it) for it in INSTANCES)
            ),
        }

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        now = state['now']
        facts = {'time': z3.And(now >= 0, now <= END)}
        for index in INSTANCES:
            listed = state[indexed('listed', index)]
            listed_at = state[indexed('listed_at', index)]
            seen_at = state[indexed('seen_at', index)]
            read_at = state[indexed('read_at', index)]
            has_seen = state[indexed('has_seen', index)]
            facts[f'times {index}'] = z3.And(
                listed_at >= 0, listed_at <= now, read_at >= 0, read_at <= now
            )
            facts[f'seen {index}'] = z3.Implies(
                has_seen, z3.And(listed, seen_at >= listed_at, seen_at <= now)
            )
        last = INSTANCES[-1]
        # The list of the last instance names those that were listed at its creation.
        oldest = state[indexed('read_at', last)] - STALE
        for index in INSTANCES[:-1]:
            known = z3.And(
                state[indexed('listed', index)],
                state[indexed('listed_at', index)] <= oldest,
            )
            facts[f'named {index}'] = z3.Implies(
                z3.And(known, state[indexed('has_seen', last)]),
                state[indexed('ahead', last)] >= 1,
            )
        both = [
            z3.And(
                state[indexed('listed', index)],
                state[indexed('listed_at', index)] <= oldest,
            )
            for index in INSTANCES[:-1]
        ]
        facts['both named'] = z3.Implies(
            z3.And(*both, state[indexed('has_seen', last)]),
            state[indexed('ahead', last)] >= len(both),
        )
        return facts

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        now = state['now']
        yield Action('tick', now < END, {'now': now + 1})
        for index in INSTANCES:
            listed = state[indexed('listed', index)]
            yield Action(
                f'join {index}',
                z3.Not(listed),
                {
                    indexed('listed', index): True,
                    indexed('runs', index): True,
                    indexed('listed_at', index): now,
                    indexed('has_seen', index): False,
                },
            )
            # An instance that was asked to stop still serves for a while.
            leaves: dict[str, bool] = {indexed('listed', index): False}
            if self.has('stops-when-leaving'):
                leaves[indexed('runs', index)] = False
                leaves[indexed('has_seen', index)] = False
            yield Action(f'leave {index}', listed, leaves)
            for age in (0, STALE):
                yield self._read(state, index, age)

    def _read(self, state: State, index: int, age: int) -> Action:
        """Return the action that reads a list of the given age."""
        now = state['now']
        made_at = now - age

        def names(other: int) -> z3.BoolRef:
            return z3.And(
                state[indexed('listed', other)],
                state[indexed('listed_at', other)] <= made_at,
            )

        has_seen = state[indexed('has_seen', index)]
        one, none = z3.BitVecVal(1, now.size()), z3.BitVecVal(0, now.size())
        ahead = [z3.If(names(other), one, none) for other in range(index)]
        return Action(
            f'read {index} {age}',
            z3.And(names(index), now >= age),
            {
                indexed('read_at', index): now,
                indexed('ahead', index): sum(ahead, none),
                indexed('has_seen', index): True,
                indexed('seen_at', index): z3.If(
                    has_seen, state[indexed('seen_at', index)], now
                ),
            },
        )

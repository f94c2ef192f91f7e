"""A lease with fencing: two holders, of which either may pause between check and act.

No part of the system holds a lease at present. The specification shows what a lease
would need: the platform grants it by a conditional update with a new number each
time, and the receiver refuses numbers below the greatest one that it has seen.
"""

from collections.abc import Iterator
from enum import IntEnum

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

HOLDERS = range(2)
MAX_GRANTS = 4
ONE_HOLDER = 'one holder per number'
NO_STALE_ACT = 'no act after a newer holder acted'


class Stage(IntEnum):
    """The stage of a holder, which may pause in any stage."""

    IDLE = 0
    HAS_READ = 1
    HOLDS = 2
    CHECKED = 3


@define
class LeaseSpecification(Specification):
    """A lease that may expire while its holder is paused."""

    name = 'lease'
    bounds = f'{len(HOLDERS)} holders, {MAX_GRANTS} grants, any pauses and expirations'
    guard_by_name = {
        'fencing': Guard('a holder paused after its check acts late', NO_STALE_ACT),
        'new-number': Guard('old and new holder look the same', ONE_HOLDER),
        'conditional-grant': Guard('two read the same expired lease', ONE_HOLDER),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'number': 0,
            'lapsed': True,
            'greatest_acted': 0,
            'stale_act': False,
            'shared': False,
        }
        for index in HOLDERS:
            values[indexed('stage', index)] = int(Stage.IDLE)
            values[indexed('read', index)] = 0
            values[indexed('held', index)] = 0
        return values

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        return {
            ONE_HOLDER: z3.Not(state['shared']),
            NO_STALE_ACT: z3.Not(state['stale_act']),
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        return {'a second holder acted': state['greatest_acted'] == 2}

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        held = [state[indexed('held', index)] for index in HOLDERS]
        number = state['number']
        facts = {
            **self.properties(state),
            'numbers grow': z3.And(number >= 0, number <= MAX_GRANTS),
            'holders differ': z3.Or(held[0] != held[1], held[0] == 0),
        }
        for index, each in enumerate(held):
            facts[f'granted {index}'] = z3.And(each >= 0, each <= state['number'])
        return facts

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        yield Action('lapse', z3.Not(state['lapsed']), {'lapsed': True})
        for index in HOLDERS:
            yield from self._acquire(state, index)

    def _acquire(self, state: State, index: int) -> Iterator[Action]:
        stage, read = indexed('stage', index), indexed('read', index)
        held, other = indexed('held', index), indexed('held', 1 - index)
        may_request = z3.And(state['lapsed'], state[stage] <= Stage.HOLDS)
        yield Action(
            f'read {index}',
            may_request,
            {stage: Stage.HAS_READ.value, read: state['number']},
        )
        requests = z3.And(state[stage] == Stage.HAS_READ, state['number'] < MAX_GRANTS)
        if self.has('conditional-grant'):
            requests = z3.And(requests, state[read] == state['number'])
        other_holds = state[indexed('stage', 1 - index)] >= Stage.HOLDS
        number = state[read]
        if self.has('new-number'):
            number = number + 1
        grant = {
            stage: Stage.HOLDS.value,
            held: number,
            'number': number,
            'lapsed': False,
            'shared': z3.Or(
                state['shared'], z3.And(other_holds, state[other] == number)
            ),
        }
        yield Action(f'grant {index}', requests, grant)
        holds = z3.And(state[stage] == Stage.HOLDS, z3.Not(state['lapsed']))
        checked = z3.And(holds, state[held] == state['number'])
        yield Action(f'check {index}', checked, {stage: Stage.CHECKED.value})
        yield self._act(state, index)

    def _act(self, state: State, index: int) -> Action:
        stage, held = indexed('stage', index), state[indexed('held', index)]
        may_act = state[stage] == Stage.CHECKED
        stale = held < state['greatest_acted']
        if self.has('fencing'):
            may_act = z3.And(may_act, z3.Not(stale))
        greatest = z3.If(stale, state['greatest_acted'], held)
        updates = {
            stage: Stage.HOLDS.value,
            'greatest_acted': greatest,
            'stale_act': z3.Or(state['stale_act'], stale),
        }
        return Action(f'act {index}', may_act, updates)

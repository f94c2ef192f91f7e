"""Operators change the configuration: races, lost answers, stale reads, late writes.

Each operator makes one change. The object on the platform has a version, which every
write increments, and the number of its last change. Its head lists the changes, so a
reader can find its own change there. Writes may be late and delivered twice.
"""

from collections.abc import Iterator
from enum import IntEnum

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

OPERATORS = range(3)
MAX_WRITES = 20

ANSWERS_TRUE = 'answers to operators stay true'
ONE_CHANGE = 'one change per number'
ONCE = 'a change is accepted once'


class Answer(IntEnum):
    """The answer that an operator received for the change."""

    NOTHING = 0
    ACCEPTED = 1
    CONFLICT = 2
    NOT_MADE = 3
    UNKNOWN = 4


@define
class ConfigChangeSpecification(Specification):
    """Conditional writes, with reads that find out the result of a lost answer."""

    name = 'config changes'
    bounds = f'{len(OPERATORS)} operators, up to {MAX_WRITES} writes'
    guard_by_name = {
        'conditional-write': Guard('two changes on one base', ONE_CHANGE),
        'history-decides': Guard(
            'a later change follows an accepted one', ANSWERS_TRUE
        ),
        'unknown-after-lost-answer': Guard('the write took effect', ANSWERS_TRUE),
        'fence-before-not-made': Guard('the write is still in flight', ANSWERS_TRUE),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'version': 0,
            'number': 0,
            'earlier_version': 0,
            'earlier_number': 0,
            'accepted_twice': False,
        }
        for index in OPERATORS:
            values[indexed('writes', index)] = False
            values[indexed('base_version', index)] = 0
            values[indexed('base_number', index)] = 0
            values[indexed('accepted_at', index)] = 0
            values[indexed('told', index)] = int(Answer.NOTHING)
        return values

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        operators = [Operator(state, index) for index in OPERATORS]
        numbers = [each.accepted_at for each in operators]
        shared = [
            z3.And(numbers[one] == numbers[other], numbers[one] > 0)
            for one in OPERATORS
            for other in range(one)
        ]
        return {
            ANSWERS_TRUE: z3.And(*(each.is_answer_right() for each in operators)),
            ONE_CHANGE: z3.Not(z3.Or(*shared)),
            ONCE: z3.Not(state['accepted_twice']),
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        answers = [state[indexed('told', index)] for index in OPERATORS]
        return {
            'two accepted, one conflict': z3.And(
                answers[0] == Answer.ACCEPTED,
                answers[1] == Answer.ACCEPTED,
                answers[2] == Answer.CONFLICT,
            ),
            'not made': answers[0] == Answer.NOT_MADE,
        }

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        facts = {
            **self.properties(state),
            'counters': z3.And(
                state['earlier_version'] >= 0,
                state['earlier_version'] <= state['version'],
                state['version'] <= MAX_WRITES,
                state['earlier_number'] >= 0,
                state['earlier_number'] <= state['number'],
                state['number'] <= state['version'],
            ),
            'same version, same number': z3.Implies(
                state['earlier_version'] == state['version'],
                state['earlier_number'] == state['number'],
            ),
        }
        for index in OPERATORS:
            operator = Operator(state, index)
            facts[f'base {index}'] = operator.is_base_right()
            facts[f'accepted {index}'] = operator.is_accepted_right()
            facts[f'answer {index}'] = operator.is_answer_final()
        return facts

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        for index in OPERATORS:
            operator = Operator(state, index)
            yield from self._write(operator)
            yield from self._receive_answer(operator)
            for view in ('', 'earlier_'):
                yield from self._read_back(operator, view)

    def _write(self, operator: 'Operator') -> Iterator[Action]:
        state, index = operator.state, operator.index
        for view in ('', 'earlier_'):
            base = {
                indexed('writes', index): True,
                indexed('base_version', index): state[f'{view}version'],
                indexed('base_number', index): state[f'{view}number'],
            }
            yield operator.act(f'write_on_{view}base', z3.Not(operator.writes), base)
        may = z3.And(operator.writes, state['version'] < MAX_WRITES)
        if self.has('conditional-write'):
            may = z3.And(may, state['version'] == operator.base_version)
        number = operator.base_number + 1
        updates = {
            **next_version(state),
            'number': number,
            indexed('accepted_at', index): number,
            'accepted_twice': z3.Or(state['accepted_twice'], operator.accepted_at > 0),
        }
        yield operator.act('write_applies', may, updates)

    def _receive_answer(self, operator: 'Operator') -> Iterator[Action]:
        waits = z3.And(operator.writes, operator.told == Answer.NOTHING)
        accepted = z3.And(waits, operator.accepted_at > 0)
        yield operator.act(
            'receive_success', accepted, operator.record_answer(Answer.ACCEPTED)
        )
        answer = Answer.UNKNOWN
        if not self.has('unknown-after-lost-answer'):
            answer = Answer.NOT_MADE
        yield operator.act('answer_lost', waits, operator.record_answer(answer))
        state = operator.state
        may = z3.And(
            waits,
            state['version'] == operator.base_version,
            state['version'] < MAX_WRITES,
        )
        updates = {**next_version(state), **operator.record_answer(Answer.NOT_MADE)}
        yield operator.act('fence', may, updates)

    def _read_back(self, operator: 'Operator', view: str) -> Iterator[Action]:
        version, number = (
            operator.state[f'{view}version'],
            operator.state[f'{view}number'],
        )
        waits = z3.And(operator.writes, operator.told == Answer.NOTHING)
        own_version = operator.base_version + 1
        shown = z3.And(operator.accepted_at > 0, own_version <= version)
        if not self.has('history-decides'):
            shown = z3.And(shown, operator.accepted_at == number)
        name = f'read_{view}'
        yield operator.act(
            f'{name}own', z3.And(waits, shown), operator.record_answer(Answer.ACCEPTED)
        )
        other = z3.And(waits, z3.Not(shown), version > operator.base_version)
        later = number > operator.base_number
        yield operator.act(
            f'{name}other',
            z3.And(other, later),
            operator.record_answer(Answer.CONFLICT),
        )
        yield operator.act(
            f'{name}fenced',
            z3.And(other, z3.Not(later)),
            operator.record_answer(Answer.NOT_MADE),
        )
        if not self.has('fence-before-not-made'):
            unseen = z3.And(waits, z3.Not(shown))
            yield operator.act(
                f'{name}unseen', unseen, operator.record_answer(Answer.NOT_MADE)
            )


def next_version(state: State) -> dict:
    """Return the updates of a write; they keep the previous state for stale reads."""
    return {
        'version': state['version'] + 1,
        'earlier_version': state['version'],
        'earlier_number': state['number'],
    }


@define
class Operator:
    """The variables of one operator and its change in one state."""

    state: State
    index: int

    def __getattr__(self, name: str) -> z3.ExprRef:
        return self.state[indexed(name, self.index)]

    def act(self, name: str, guard: z3.BoolRef, updates) -> Action:
        """Return an action of this operator."""
        return Action(f'{name} {self.index}', guard, updates)

    def record_answer(self, answer: Answer) -> dict:
        """Return the updates that record an answer to the operator."""
        return {indexed('told', self.index): answer.value}

    def is_answer_right(self) -> z3.BoolRef:
        """Return whether the answer to the operator matches the accepted changes."""
        refused = z3.Or(self.told == Answer.CONFLICT, self.told == Answer.NOT_MADE)
        return z3.And(
            z3.Implies(refused, self.accepted_at == 0),
            z3.Implies(self.told == Answer.ACCEPTED, self.accepted_at > 0),
        )

    def is_answer_final(self) -> z3.BoolRef:
        """Return whether a refused change can no longer be accepted."""
        refused = z3.Or(self.told == Answer.CONFLICT, self.told == Answer.NOT_MADE)
        passed = self.state['version'] > self.base_version
        return z3.Implies(z3.Or(refused, self.accepted_at > 0), passed)

    def is_base_right(self) -> z3.BoolRef:
        """Return whether the base of the change is one that was read."""
        state = self.state
        same = self.base_version == state['version']
        return z3.And(
            self.base_version >= 0,
            self.base_version <= state['version'],
            self.base_number >= 0,
            self.base_number <= state['number'],
            z3.Implies(z3.And(self.writes, same), self.base_number == state['number']),
        )

    def is_accepted_right(self) -> z3.BoolRef:
        """Return whether an accepted change has the number that follows its base."""
        number = self.accepted_at
        return z3.And(
            number >= 0,
            number <= self.state['number'],
            z3.Implies(number > 0, number == self.base_number + 1),
            z3.Implies(z3.Not(self.writes), number == 0),
            z3.Implies(z3.Not(self.writes), self.told == Answer.NOTHING),
        )

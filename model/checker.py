"""Check specifications with z3.

An inductive invariant proves the properties for runs of any length; a bounded
search finds a shortest run in which a mutant violates a property.
https://z3prover.github.io/papers/programmingz3.html
"""

from collections.abc import Callable
from typing import Any

import z3
from attrs import frozen

from model.specification import Action, Specification, State

MAX_STEPS = 18
#: Width in bits of all numbers, which are signed and small.
BITS = 8
Values = dict[str, Any]


@frozen
class Step:
    """One step of a run, with the values of all variables after the step."""

    action: str
    values: Values


@frozen
class Run:
    """A run from the initial state to a state that satisfies a condition."""

    steps: tuple[Step, ...]

    def actions(self) -> tuple[str, ...]:
        """Return the names of the actions of all steps."""
        return tuple(step.action for step in self.steps)


def find_gaps(specification: Specification) -> list[str]:
    """Return the gaps in the inductive proof of the properties; empty if it holds."""
    values = specification.initial_values()
    before, later = make_state(values, 'before'), make_state(values, 'later')
    first = [before[name] == value for name, value in values.items()]
    invariant = specification.invariant(before)
    gaps = [
        f'{name} does not hold in the initial state'
        for name, holds in invariant.items()
        if not follows(first, holds)
    ]
    gaps.extend(
        f'{name} does not follow from the invariant'
        for name, holds in specification.properties(before).items()
        if not follows(list(invariant.values()), holds)
    )
    for action in specification.actions(before):
        reached = apply_action(before, action)
        step = [later[name] == reached[name] for name in later]
        facts = [*invariant.values(), action.guard, *step]
        gaps.extend(
            f'{action.name} does not preserve {name}'
            for name, holds in specification.invariant(later).items()
            if not follows(facts, holds)
        )
    return gaps


def follows(facts: list[z3.BoolRef], conclusion: z3.BoolRef) -> bool:
    """Return whether a conclusion follows from facts."""
    solver = z3.SolverFor('QF_FD')
    solver.add(*facts, z3.Not(conclusion))
    return solver.check() == z3.unsat


def find_counterexample(specification: Specification) -> Run | None:
    """Return a shortest run of a mutant that violates the guarded property."""
    violated = specification.guard_by_name[specification.without].violates
    return find_run(
        specification, lambda state: z3.Not(specification.properties(state)[violated])
    )


def find_run(
    specification: Specification, reached: Callable[[State], z3.BoolRef]
) -> Run | None:
    """Return a shortest run to a state where a condition holds, up to `MAX_STEPS`."""
    solver = z3.SolverFor('QF_FD')
    values = specification.initial_values()
    states = [make_state(values, 'at0')]
    solver.add(*(states[0][name] == value for name, value in values.items()))
    names: list[list[str]] = []
    for length in range(MAX_STEPS + 1):
        if solver.check(reached(states[-1])) == z3.sat:
            return read_run(solver.model(), states, names)
        states.append(make_state(values, f'at{length + 1}'))
        names.append(add_step(solver, specification, states[-2], states[-1], length))
    return None


def add_step(solver, specification, before, later, length: int) -> list[str]:
    """Add the constraints of one step to a solver; return the names of the actions."""
    chosen = z3.BitVec(f'action{length}', BITS)
    actions = list(specification.actions(before))
    for index, action in enumerate(actions):
        reached = apply_action(before, action)
        effect = [later[name] == reached[name] for name in later]
        solver.add(z3.Implies(chosen == index, z3.And(action.guard, *effect)))
    solver.add(chosen >= 0, chosen < len(actions))
    return [action.name for action in actions]


def read_run(model, states, names) -> Run:
    """Return the run that a model of the solver describes."""
    steps = []
    for index, action_names in enumerate(names):
        chosen = model.eval(z3.BitVec(f'action{index}', BITS)).as_long()
        values = {
            name: to_python(model.eval(variable, model_completion=True))
            for name, variable in states[index + 1].items()
        }
        steps.append(Step(action_names[chosen], values))
    return Run(tuple(steps))


def make_state(values: Values, suffix: str) -> dict[str, z3.ExprRef]:
    """Return the solver variables of one state."""
    return {
        name: z3.Bool(f'{name}_{suffix}')
        if isinstance(value, bool)
        else z3.BitVec(f'{name}_{suffix}', BITS)
        for name, value in values.items()
    }


def apply_action(state, action: Action) -> dict[str, z3.ExprRef]:
    """Return all values after an action; variables without an update keep theirs."""
    unknown = set(action.updates) - set(state)
    if unknown:
        raise KeyError(f'{action.name} sets {sorted(unknown)}')
    return {
        name: to_expression(action.updates.get(name, value))
        for name, value in state.items()
    }


def to_expression(value: Any) -> z3.ExprRef:
    """Return a value as a solver expression."""
    if isinstance(value, bool):
        return z3.BoolVal(value)
    return z3.BitVecVal(value, BITS) if isinstance(value, int) else value


def to_python(value: z3.ExprRef) -> int | bool:
    """Return a value of a solver model as a Python value."""
    return value.as_long() if z3.is_bv_value(value) else z3.is_true(value)

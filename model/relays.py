"""A request that may run once, at an instance that may lose its paths to the servers.

The sender sends it on its own path or relays it to a receiver. Any connection may break
at any time, and what was sent may still run after that.
"""

from collections.abc import Iterator
from enum import IntEnum

import z3
from attrs import define

from model.checker import BITS
from model.specification import Action, Guard, Specification, State, indexed

RECEIVERS = range(2)
NONE, ONE = z3.BitVecVal(0, BITS), z3.BitVecVal(1, BITS)
ONCE = 'the request runs at most once'
TRUE_REFUSAL = 'a request that was told not run has not run and never will'
ONE_HOP = 'the request is relayed over one hop at most'


class Stage(IntEnum):
    """The stage of the request at the sender."""

    #: Nothing is sent that may still run.
    UNSENT = 0
    #: Sent to a server on the own path.
    SENT = 1
    #: Sent to a receiver.
    RELAYED = 2
    TOLD_NOT_RUN = 3
    TOLD_UNKNOWN = 4


@define
class RelaySpecification(Specification):
    """Relays of a request that must not run twice."""

    name = 'relays'
    bounds = f'1 sender, {len(RECEIVERS)} receivers, any losses and broken connections'
    guard_by_name = {
        'sent-is-unknown': Guard('a request that was sent is relayed as well', ONCE),
        'broken-is-unknown': Guard('a second receiver gets what the first has', ONCE),
        'refusal-is-final': Guard('a receiver runs what it refused', TRUE_REFUSAL),
        'one-hop': Guard('a receiver that has lost the service relays again', ONE_HOP),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'stage': int(Stage.UNSENT),
            'runs': 0,
            'hops': 0,
            'pending': False,
        }
        for index in RECEIVERS:
            values[indexed('pending', index)] = False
            values[indexed('refused', index)] = False
        return values

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        told = state['stage'] == Stage.TOLD_NOT_RUN
        return {
            ONCE: state['runs'] <= 1,
            TRUE_REFUSAL: z3.Implies(told, state['runs'] == 0),
            ONE_HOP: state['hops'] <= 1,
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        stage = state['stage']
        refused = z3.And(*(state[indexed('refused', index)] for index in RECEIVERS))
        return {
            'it ran at a receiver': z3.And(state['hops'] == 1, state['runs'] == 1),
            'both receivers refused': z3.And(refused, stage == Stage.TOLD_NOT_RUN),
        }

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        pending = [state['pending']]
        pending += [state[indexed('pending', index)] for index in RECEIVERS]
        stage, runs = state['stage'], state['runs']
        copies = runs + sum(z3.If(each, ONE, NONE) for each in pending)
        is_clear = z3.Or(stage == Stage.UNSENT, stage == Stage.TOLD_NOT_RUN)
        return {
            **self.properties(state),
            'runs are counted': z3.And(runs >= 0, runs <= 1),
            'hops are counted': state['hops'] >= 0,
            'there is one copy': copies <= 1,
            'what is not sent is nowhere': z3.Implies(is_clear, copies == 0),
            'a refusal is of the only copy': z3.And(
                *(
                    z3.Implies(
                        z3.And(stage == Stage.RELAYED, state[indexed('refused', each)]),
                        z3.Not(state[indexed('pending', each)]),
                    )
                    for each in RECEIVERS
                )
            ),
        }

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        stage = state['stage']
        is_unsent = stage == Stage.UNSENT
        yield Action('send', is_unsent, {'stage': Stage.SENT.value, 'pending': True})
        run = {'pending': False, 'runs': state['runs'] + 1}
        yield Action('run', state['pending'], run)
        after = Stage.TOLD_UNKNOWN if self.has('sent-is-unknown') else Stage.UNSENT
        yield Action('break', stage == Stage.SENT, {'stage': after.value})
        yield Action('refuse', is_unsent, {'stage': Stage.TOLD_NOT_RUN.value})
        after = Stage.TOLD_UNKNOWN if self.has('broken-is-unknown') else Stage.UNSENT
        is_relayed = stage == Stage.RELAYED
        yield Action('lose the receiver', is_relayed, {'stage': after.value})
        for index in RECEIVERS:
            yield from self._relay(state, index)

    def _relay(self, state: State, index: int) -> Iterator[Action]:
        stage = state['stage']
        pending, refused = indexed('pending', index), indexed('refused', index)
        others = [indexed('refused', each) for each in RECEIVERS if each != index]
        yield Action(
            f'relay {index}',
            z3.And(stage == Stage.UNSENT, z3.Not(state[refused])),
            {'stage': Stage.RELAYED.value, pending: True, 'hops': 1},
        )
        run = {pending: False, 'runs': state['runs'] + 1}
        yield Action(f'run {index}', state[pending], run)
        # A refused request is no longer there to be run.
        kept = {} if not self.has('refusal-is-final') else {pending: False}
        has_request = z3.And(stage == Stage.RELAYED, state[pending])
        yield Action(
            f'refusal {index}',
            z3.And(has_request, z3.Not(state[refused])),
            {refused: True, 'stage': Stage.UNSENT.value, **kept},
        )
        if not self.has('one-hop'):
            target = indexed('pending', 1 - index)
            yield Action(
                f'relay again {index}',
                z3.And(state[pending], *(z3.Not(state[each]) for each in others)),
                {pending: False, target: True, 'hops': state['hops'] + 1},
            )

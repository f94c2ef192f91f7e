"""Gossip of the configuration between instances: stale reads, outage, restarts.

A version is settled once it was active on a majority of the instances at one time. A
fresh instance without the platform queries its peers and waits for enough answers.
"""

from collections.abc import Iterator

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

INSTANCES = range(3)
MAX_CHANGES = 6
FRESH = 0

FORWARD = 'a running instance never goes back'
NOT_OLDER = 'a fresh instance adopts nothing older than settled'


@define
class ConfigGossipSpecification(Specification):
    """Instances that adopt only newer versions, and query a majority when fresh."""

    name = 'config gossip'
    bounds = f'{len(INSTANCES)} instances, {MAX_CHANGES} changes, any restarts'
    guard_by_name = {
        'only-forward': Guard('peers and reads may be behind', FORWARD),
        'majority-answers': Guard('one peer may be behind', NOT_OLDER),
        'only-ready-answer': Guard('a fresh peer has no version', NOT_OLDER),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'accepted': 1,
            'settled': 1,
            'went_back': False,
            'adopted_old': False,
        }
        for index in INSTANCES:
            values[indexed('version', index)] = 1
            values[indexed('best', index)] = FRESH
            values[indexed('started_after', index)] = 1
            for other in others(index):
                values[answer_variable(index, other)] = False
        return values

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        return {
            FORWARD: z3.Not(state['went_back']),
            NOT_OLDER: z3.Not(state['adopted_old']),
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        adopted = z3.And(state['version0'] == 2, state['best0'] == 2)
        return {'adopted from peers': adopted}

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        facts = {
            **self.properties(state),
            'settled was accepted': z3.And(
                state['settled'] >= 1,
                state['settled'] <= state['accepted'],
                state['accepted'] <= MAX_CHANGES,
            ),
        }
        settled = state['settled']
        for index in INSTANCES:
            one, other = others(index)
            facts[f'one behind but {index}'] = z3.Or(
                is_current(state, one, settled), is_current(state, other, settled)
            )
            facts[f'range {index}'] = self._is_in_range(state, index)
            facts[f'all answers received {index}'] = z3.Implies(
                self._is_querying(state, index, one, other),
                state[indexed('best', index)] >= started_after(state, index),
            )
            for known, missing in ((one, other), (other, one)):
                behind = z3.And(
                    self._is_querying(state, index, known),
                    state[indexed('best', index)] < started_after(state, index),
                )
                facts[f'received one behind {index} {known}'] = z3.Implies(
                    behind, is_current(state, missing, started_after(state, index))
                )
        return facts

    def _is_querying(self, state: State, index: int, *known: int) -> z3.BoolRef:
        fresh = state[indexed('version', index)] == FRESH
        return z3.And(fresh, *(state[answer_variable(index, other)] for other in known))

    def _is_in_range(self, state: State, index: int) -> z3.BoolRef:
        version, best = state[indexed('version', index)], state[indexed('best', index)]
        return z3.And(
            version >= FRESH,
            version <= state['accepted'],
            best >= FRESH,
            best <= state['accepted'],
            started_after(state, index) >= 1,
            started_after(state, index) <= state['settled'],
        )

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        accepted = state['accepted']
        yield Action('accept', accepted < MAX_CHANGES, {'accepted': accepted + 1})
        for index in INSTANCES:
            yield from self._run(state, index)
            yield from self._start(state, index)
            one, other = others(index)
            versions = [state[indexed('version', each)] for each in (one, other)]
            common = z3.If(versions[0] < versions[1], versions[0], versions[1])
            yield Action(
                f'settle {one} {other}', common > state['settled'], {'settled': common}
            )

    def _run(self, state: State, index: int) -> Iterator[Action]:
        version = indexed('version', index)
        yield Action(
            f'read_platform {index}',
            state[version] < state['accepted'],
            {version: state['accepted']},
        )
        sources = {f'stale_read {index}': state['accepted'] - 1}
        for other in others(index):
            sources[f'receive {index} {other}'] = state[indexed('version', other)]
        for name, offered in sources.items():
            may = z3.And(state[version] != FRESH, offered != FRESH)
            if self.has('only-forward'):
                may = z3.And(may, offered > state[version])
            back = z3.Or(state['went_back'], offered < state[version])
            yield Action(name, may, {version: offered, 'went_back': back})

    def _start(self, state: State, index: int) -> Iterator[Action]:
        version, best = indexed('version', index), indexed('best', index)
        fresh = state[version] == FRESH
        restart = {
            version: FRESH,
            best: FRESH,
            indexed('started_after', index): state['settled'],
        }
        restart.update(
            {answer_variable(index, other): False for other in others(index)}
        )
        yield Action(f'restart {index}', z3.Not(fresh), restart)
        for other in others(index):
            peer_version = state[indexed('version', other)]
            may = fresh
            if self.has('only-ready-answer'):
                may = z3.And(may, peer_version != FRESH)
            better = z3.If(peer_version > state[best], peer_version, state[best])
            yield Action(
                f'query {index} {other}',
                may,
                {best: better, answer_variable(index, other): True},
            )
        answers = [state[answer_variable(index, other)] for other in others(index)]
        enough = z3.Or(*answers)
        if self.has('majority-answers'):
            enough = z3.And(*answers)
        old = state[best] < started_after(state, index)
        adopt = {
            version: state[best],
            'adopted_old': z3.Or(state['adopted_old'], old),
        }
        may = z3.And(fresh, enough, state[best] != FRESH)
        yield Action(f'adopt {index}', may, adopt)


def others(index: int) -> list[int]:
    """Return the indices of the other instances."""
    return [each for each in INSTANCES if each != index]


def answer_variable(index: int, other: int) -> str:
    """Return the variable for whether a fresh instance has an answer from a peer."""
    return f'heard{index}_{other}'


def started_after(state: State, index: int) -> z3.ExprRef:
    """Return the version that was settled when an instance started."""
    return state[indexed('started_after', index)]


def is_current(state: State, index: int, settled: z3.ExprRef) -> z3.BoolRef:
    """Return whether an instance has a version at least as new, or must adopt one."""
    version = state[indexed('version', index)]
    starts_later = z3.And(version == FRESH, started_after(state, index) >= settled)
    return z3.Or(version >= settled, starts_later)

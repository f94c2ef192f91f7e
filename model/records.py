"""At most once with platform records: one key, attempts through several instances.

Writes may be delayed, delivered twice, or applied although their answer was lost. An
instance may stop or be frozen at any point, and then performs no action.
"""

from collections.abc import Iterator
from enum import IntEnum

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

ATTEMPTS = range(3)
NOBODY = 0
MAX_RUNS = 2

ONCE = 'at most once'
TRUE = 'not run is true when sent'


class Stage(IntEnum):
    """The stage of an attempt."""

    IDLE = 0
    CREATING = 1
    TAKING_OVER = 2
    SENT = 3
    ENDED = 4


class Backend(IntEnum):
    """The state of an attempt at a backend server."""

    NOTHING = 0
    IN_FLIGHT = 1
    RAN = 2
    REFUSED = 3


@define
class RecordSpecification(Specification):
    """At most once, by a record that is created before the first byte is sent."""

    name = 'records'
    bounds = f'1 key, {len(ATTEMPTS)} attempts, lost, late and duplicated writes'
    guard_by_name = {
        'conditional-create': Guard('two attempts create the record', ONCE),
        'conditional-takeover': Guard('two attempts take a released record', ONCE),
        'conditional-release': Guard('a duplicated release frees another one', ONCE),
        'own-attempt-decides': Guard('a lost answer does not mean success', ONCE),
        'release-only-not-run': Guard('a request that may have run runs again', ONCE),
        'unknown-without-platform': Guard('an earlier attempt may have run', TRUE),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'version': 0,
            'owner': NOBODY,
            'held': False,
            'runs': 0,
            'false_not_run': False,
        }
        for index in ATTEMPTS:
            values[indexed('stage', index)] = int(Stage.IDLE)
            values[indexed('backend', index)] = int(Backend.NOTHING)
            values[indexed('create', index)] = False
            values[indexed('takeover', index)] = False
            values[indexed('release', index)] = False
            values[indexed('seen', index)] = 0
            values[indexed('version_held', index)] = 0
        return values

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        return {ONCE: state['runs'] <= 1, TRUE: z3.Not(state['false_not_run'])}

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        taken_over = z3.And(state['runs'] == 1, state['version'] == 3)
        return {'ran after a release': taken_over}

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        attempts = [Attempt(state, index) for index in ATTEMPTS]
        some_ran = z3.Or(*(each.backend == Backend.RAN for each in attempts))
        facts = {
            'runs are counted': z3.If(some_ran, state['runs'] == 1, state['runs'] == 0),
            'no answer was false': z3.Not(state['false_not_run']),
            'version counts': z3.And(state['version'] >= 0, state['version'] < 100),
            'no record, no owner': z3.Implies(
                state['version'] == 0,
                z3.And(state['owner'] == NOBODY, z3.Not(state['held'])),
            ),
        }
        for each in attempts:
            facts[f'live holds {each.index}'] = z3.Implies(
                each.is_live(), each.is_owner()
            )
            facts[f'order {each.index}'] = each.is_ordered()
            facts[f'held version {each.index}'] = each.is_version_right()
        return facts

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        for index in ATTEMPTS:
            attempt = Attempt(state, index)
            yield from self._create(attempt)
            yield from self._read_record(attempt)
            yield from self._take_over(attempt)
            yield from self._run(attempt)
            yield from self._release(attempt)

    def _create(self, attempt: 'Attempt') -> Iterator[Action]:
        state, index = attempt.state, attempt.index
        yield attempt.act(
            'create',
            attempt.stage == Stage.IDLE,
            {**attempt.to(Stage.CREATING), indexed('create', index): True},
        )
        may = z3.And(attempt.create, state['version'] < 99)
        if self.has('conditional-create'):
            may = z3.And(may, state['version'] == 0)
        yield attempt.act('create_applies', may, attempt.own())
        if not self.has('own-attempt-decides'):
            yield attempt.act('trust', attempt.is_unsure(), attempt.send())

    def _read_record(self, attempt: 'Attempt') -> Iterator[Action]:
        state, index = attempt.state, attempt.index
        unsure = attempt.is_unsure()
        own = z3.And(unsure, attempt.is_owner())
        yield attempt.act(
            'read_own',
            own,
            {
                **attempt.send(),
                indexed('version_held', index): state['version'],
            },
        )
        ended = attempt.to(Stage.ENDED)
        other = z3.And(unsure, z3.Not(attempt.is_owner()))
        yield attempt.act('read_other', other, ended)
        answer = (
            {} if self.has('unknown-without-platform') else attempt.answer_not_run()
        )
        yield attempt.act('platform_down', unsure, {**ended, **answer})
        released = z3.And(other, state['version'] > 0, z3.Not(state['held']))
        seen = indexed('seen', index)
        yield attempt.act(
            'read_released',
            z3.And(released, attempt.seen == 0),
            {
                **attempt.to(Stage.TAKING_OVER),
                seen: state['version'],
                indexed('takeover', index): True,
            },
        )

    def _take_over(self, attempt: 'Attempt') -> Iterator[Action]:
        state = attempt.state
        may = z3.And(attempt.takeover, state['version'] < 99)
        if self.has('conditional-takeover'):
            may = z3.And(may, state['version'] == attempt.seen)
        yield attempt.act('takeover_applies', may, attempt.own())

    def _run(self, attempt: 'Attempt') -> Iterator[Action]:
        state, index = attempt.state, attempt.index
        backend = indexed('backend', index)
        in_flight = attempt.backend == Backend.IN_FLIGHT
        runs = z3.If(state['runs'] < MAX_RUNS, state['runs'] + 1, MAX_RUNS)
        ran = {backend: Backend.RAN.value, 'runs': runs}
        yield attempt.act('backend_runs', in_flight, ran)

    def _release(self, attempt: 'Attempt') -> Iterator[Action]:
        state, index = attempt.state, attempt.index
        sent = attempt.stage == Stage.SENT
        not_run = z3.And(sent, attempt.backend == Backend.IN_FLIGHT)
        refused = {indexed('backend', index): Backend.REFUSED.value}
        end = attempt.to(Stage.ENDED)
        release = {indexed('release', index): True}
        yield attempt.act(
            'receive_refusal',
            not_run,
            {**end, **refused, **release, **attempt.answer_not_run()},
        )
        if self.has('release-only-not-run'):
            release = {}
        yield attempt.act('lose_answer', sent, {**end, **release})
        may = z3.And(attempt.release, state['version'] < 99)
        if self.has('conditional-release'):
            may = z3.And(may, state['version'] == attempt.version_held)
        released = {'version': state['version'] + 1, 'held': False, 'owner': NOBODY}
        yield attempt.act('release_applies', may, released)


@define
class Attempt:
    """The variables of one attempt in one state."""

    state: State
    index: int

    def __getattr__(self, name: str) -> z3.ExprRef:
        return self.state[indexed(name, self.index)]

    def act(self, name: str, guard: z3.BoolRef, updates) -> Action:
        """Return an action of this attempt."""
        return Action(f'{name} {self.index}', guard, updates)

    def to(self, stage: Stage) -> dict:
        """Return the updates that set the stage of the attempt."""
        return {indexed('stage', self.index): stage.value}

    def send(self) -> dict:
        """Return the updates that send the first byte."""
        backend = {indexed('backend', self.index): Backend.IN_FLIGHT.value}
        return {**self.to(Stage.SENT), **backend}

    def own(self) -> dict:
        """Return the updates of a write that gives this attempt the record."""
        return {
            'version': self.state['version'] + 1,
            'owner': self.index + 1,
            'held': True,
        }

    def answer_not_run(self) -> dict:
        """Return the updates that answer the caller with "not run"."""
        false = z3.Or(self.state['false_not_run'], self.state['runs'] > 0)
        return {'false_not_run': false}

    def is_unsure(self) -> z3.BoolRef:
        """Return whether the result of a write by this attempt is unknown."""
        return z3.Or(self.stage == Stage.CREATING, self.stage == Stage.TAKING_OVER)

    def is_owner(self) -> z3.BoolRef:
        """Return whether this attempt owns and holds the record."""
        return z3.And(self.state['owner'] == self.index + 1, self.state['held'])

    def is_live(self) -> z3.BoolRef:
        """Return whether the attempt has run or may still run."""
        return z3.Or(
            self.stage == Stage.SENT,
            self.backend == Backend.IN_FLIGHT,
            self.backend == Backend.RAN,
        )

    def is_ordered(self) -> z3.BoolRef:
        """Return whether nothing reached a backend server before the first byte."""
        before = self.stage < Stage.SENT
        return z3.And(
            z3.Implies(before, self.backend == Backend.NOTHING),
            z3.Implies(before, z3.Not(self.release)),
            z3.Implies(self.release, self.backend == Backend.REFUSED),
            z3.Implies(self.release, self.stage == Stage.ENDED),
            z3.Implies(self.stage == Stage.IDLE, z3.Not(self.create)),
            z3.Implies(self.takeover, self.seen > 0),
        )

    def is_version_right(self) -> z3.BoolRef:
        """Return whether the attempt has the version at which it holds the record."""
        current = self.state['version']
        known = z3.Or(self.is_live(), self.release)
        holds = z3.And(self.version_held > 0, self.version_held == current)
        saw = z3.And(self.seen > 0, self.seen == current)
        return z3.And(
            z3.Implies(self.is_live(), self.version_held == current),
            z3.Implies(known, self.version_held > 0),
            z3.Implies(holds, self.is_owner()),
            z3.Implies(saw, z3.Not(self.state['held'])),
            self.version_held <= current,
            self.seen <= current,
        )

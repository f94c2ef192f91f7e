"""At most once with tickets: one key, its home, several sendings of one request.

The home may crash and restart with another incarnation, be slow, or be frozen, and
then performs no action. Messages may be late. Each sending may go to the home or to
another instance that forwards it to the home. A backend server may run a request whose
sender no longer waits. The home may read a sending after its connection was closed, and
after it read a later sending.
"""

from collections.abc import Iterator
from enum import IntEnum
from itertools import combinations

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

SENDINGS = range(3)
MAX_RUNS = 2

ONCE = 'at most once'
TRUE = 'not run is true when sent'
STAYS_TRUE = 'not run stays true'
KEY_STAYS_TRUE = 'not run stays true of sendings that were closed'
ANSWERED = 'answered means ran'
IN_TIME = 'no run after the deadline'


class Entry(IntEnum):
    """The entry for the key in the table of the home."""

    NONE = 0
    RUNNING = 1
    UNKNOWN = 2
    ANSWERED = 3


class Place(IntEnum):
    """The place of a sending on its way from the caller to a backend server."""

    CALLER = 0
    OTHER = 1
    TO_HOME = 2
    ADMITTED = 3
    CHECKED = 4
    SENT = 5
    ENDED = 6


class Backend(IntEnum):
    """The state of a sending at a backend server."""

    NOTHING = 0
    IN_FLIGHT = 1
    RAN = 2
    REFUSED = 3


class Answer(IntEnum):
    """The answer that the caller received for a sending."""

    NOTHING = 0
    NOT_RUN = 1
    UNKNOWN = 2
    ANSWERED = 3


@define
class TicketSpecification(Specification):
    """At most once, by a key that contains its home and the incarnation of the home."""

    name = 'tickets'
    bounds = f'1 key, {len(SENDINGS)} sendings, any number of crashes'
    guard_by_name = {
        'compare-incarnation': Guard('a restarted home lost its table', ONCE),
        'refuse-expired': Guard('the home forgets expired keys', ONCE),
        'own-clock': Guard('a clock that goes back makes removed keys valid', ONCE),
        'keep-until-expiry': Guard('a forgotten key runs again', ONCE),
        'record-before-first-byte': Guard('two sendings pass the look-up', ONCE),
        'keep-unknown': Guard('a request that may have run runs again', ONCE),
        'never-run-elsewhere': Guard('only the home sees its table', ONCE),
        'look-up-before-refusal': Guard('an earlier sending may have run', TRUE),
        'refuse-left-callers': Guard(
            'a sending is read after a later one was refused', KEY_STAYS_TRUE
        ),
        'unknown-when-unreachable': Guard('an earlier sending may have run', TRUE),
        'unknown-when-silent': Guard('the home may still run it', STAYS_TRUE),
        'no-retry-after-first-byte': Guard('the first server may run it', ONCE),
        'backend-checks-deadline': Guard('a home freezes after its check', IN_TIME),
        'backend-refusal-is-true': Guard('assumed of backend servers', ONCE),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'restarted': False,
            'expired': False,
            'entry': Entry.NONE,
            'runs': 0,
            'false_not_run': False,
            'broken_not_run': False,
            'late_run': False,
        }
        for index in SENDINGS:
            values[indexed('closed', index)] = False
            values[indexed('void', index)] = False
            values[indexed('place', index)] = Place.CALLER
            values[indexed('backend', index)] = Backend.NOTHING
            values[indexed('second_copy', index)] = False
            values[indexed('late', index)] = False
            values[indexed('told', index)] = Answer.NOTHING
        return {k: v if isinstance(v, bool) else int(v) for k, v in values.items()}

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        answers = [state[indexed('told', index)] for index in SENDINGS]
        ran = [state[indexed('backend', i)] == Backend.RAN for i in SENDINGS]
        return {
            ONCE: state['runs'] <= 1,
            TRUE: z3.Not(state['false_not_run']),
            STAYS_TRUE: z3.And(
                *(
                    z3.Implies(each == Answer.NOT_RUN, z3.Not(here))
                    for each, here in zip(answers, ran, strict=True)
                )
            ),
            KEY_STAYS_TRUE: z3.Not(state['broken_not_run']),
            ANSWERED: z3.And(
                *(z3.Implies(e == Answer.ANSWERED, state['runs'] == 1) for e in answers)
            ),
            IN_TIME: z3.Not(state['late_run']),
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        first, second = (state[indexed('told', index)] for index in (0, 1))
        return {
            'answered': first == Answer.ANSWERED,
            'answered after not run': z3.And(
                first == Answer.NOT_RUN, second == Answer.ANSWERED
            ),
        }

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        sendings = [Sending(state, index) for index in SENDINGS]
        used_up = z3.Or(
            state['restarted'], state['expired'], state['entry'] != Entry.NONE
        )
        some_ran = z3.Or(*(each.has_run() for each in sendings))
        facts = {
            'runs are counted': z3.If(some_ran, state['runs'] == 1, state['runs'] == 0),
            'no answer was false': z3.Not(state['false_not_run']),
            'no run was late': z3.Not(state['late_run']),
            'no answer was broken': z3.Not(state['broken_not_run']),
        }
        for each in sendings:
            facts[f'held is recorded {each.index}'] = z3.Implies(
                each.is_held(),
                z3.And(
                    z3.Not(state['restarted']),
                    z3.Or(state['expired'], state['entry'] != Entry.NONE),
                ),
            )
            facts[f'live is used up {each.index}'] = z3.Implies(each.is_live(), used_up)
            facts[f'order {each.index}'] = each.is_ordered()
            facts[f'answer {each.index}'] = each.is_answer_right()
            facts[f'void {each.index}'] = z3.Implies(
                each.void,
                z3.And(
                    each.closed,
                    z3.Not(each.is_held()),
                    each.backend != Backend.IN_FLIGHT,
                ),
            )
        for one, other in combinations(sendings, 2):
            facts[f'one lives {one.index} {other.index}'] = z3.Not(
                z3.And(one.is_live(), other.is_live())
            )
        return facts

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        yield Action('expire', z3.Not(state['expired']), {'expired': True})
        if not self.has('own-clock'):
            yield Action('clock_back', state['expired'], {'expired': False})
        may_forget = state['expired']
        if not self.has('keep-until-expiry'):
            may_forget = z3.BoolVal(True)
        yield Action('forget', may_forget, {'entry': Entry.NONE.value})
        yield self._crash(state)
        for index in SENDINGS:
            sending = Sending(state, index)
            yield from self._forward(sending)
            yield from self._admit(sending)
            yield from self._send(sending)
            yield from self._backend(sending)
            yield from self._finish(sending)

    def _crash(self, state: State) -> Action:
        updates = {'restarted': True, 'entry': Entry.NONE.value}
        for index in SENDINGS:
            sending = Sending(state, index)
            held = sending.is_held()
            updates[indexed('place', index)] = z3.If(
                held, Place.ENDED.value, sending.place
            )
            answer = sending.record_answer(Answer.UNKNOWN)[indexed('told', index)]
            updates[indexed('told', index)] = z3.If(held, answer, sending.told)
        return Action('crash', z3.BoolVal(True), updates)

    def _forward(self, sending: 'Sending') -> Iterator[Action]:
        at_caller = sending.place == Place.CALLER
        at_other = sending.place == Place.OTHER
        yield sending.act('send_home', at_caller, sending.at(Place.TO_HOME))
        yield sending.act('send_other', at_caller, sending.at(Place.OTHER))
        yield sending.act('pass_home', at_other, sending.at(Place.TO_HOME))
        answer = Answer.UNKNOWN
        if not self.has('unknown-when-unreachable'):
            answer = Answer.NOT_RUN
        yield sending.act('home_unreachable', at_other, sending.end(answer))
        if not self.has('never-run-elsewhere'):
            yield sending.act('run_elsewhere', at_other, sending.at(Place.CHECKED))
        answer = Answer.UNKNOWN
        if not self.has('unknown-when-silent'):
            answer = Answer.NOT_RUN
        in_transit = sending.place == Place.TO_HOME
        yield sending.act('give_up', in_transit, sending.record_answer(answer))
        gave_up = sending.told != Answer.NOTHING
        yield sending.act('close', gave_up, {indexed('closed', sending.index): True})
        yield sending.act('lose', in_transit, sending.end(Answer.UNKNOWN))
        passes = z3.Not(sending.late)
        yield sending.act('deadline', passes, {indexed('late', sending.index): True})

    def _admit(self, sending: 'Sending') -> Iterator[Action]:
        state = sending.state
        refused = z3.BoolVal(False)
        if self.has('compare-incarnation'):
            refused = z3.Or(refused, state['restarted'])
        if self.has('refuse-expired'):
            refused = z3.Or(refused, state['expired'])
        seen = state['entry'] != Entry.NONE
        here = sending.place == Place.TO_HOME
        yield sending.act(
            'refuse', z3.And(here, z3.Or(refused, seen)), sending.end(Answer.UNKNOWN)
        )
        new = z3.And(here, z3.Not(refused), z3.Not(seen))
        yield sending.act('full', new, sending.end(Answer.NOT_RUN))
        may_refuse = new if self.has('look-up-before-refusal') else here
        refuse = z3.And(may_refuse, sending.late)
        yield sending.act('refuse_late', refuse, sending.end(Answer.NOT_RUN))
        if self.has('refuse-left-callers'):
            new = z3.And(new, z3.Not(sending.closed))
        updates = sending.at(Place.ADMITTED)
        if self.has('record-before-first-byte'):
            updates['entry'] = Entry.RUNNING.value
        yield sending.act('admit', new, updates)

    def _send(self, sending: 'Sending') -> Iterator[Action]:
        admitted = sending.place == Place.ADMITTED
        in_time = z3.And(admitted, z3.Not(sending.late))
        yield sending.act('check', in_time, sending.at(Place.CHECKED))
        too_late = z3.And(admitted, sending.late)
        release = {'entry': Entry.NONE.value}
        yield sending.act(
            'too_late', too_late, {**sending.end(Answer.NOT_RUN), **release}
        )
        updates = {**sending.at(Place.SENT), **sending.backend_is(Backend.IN_FLIGHT)}
        if not self.has('record-before-first-byte'):
            updates['entry'] = Entry.RUNNING.value
        yield sending.act('first_byte', sending.place == Place.CHECKED, updates)

    def _backend(self, sending: 'Sending') -> Iterator[Action]:
        state = sending.state
        in_flight = sending.backend == Backend.IN_FLIGHT
        in_time = z3.BoolVal(True)
        if self.has('backend-checks-deadline'):
            in_time = z3.Not(sending.late)
        run = {
            'runs': z3.If(state['runs'] < MAX_RUNS, state['runs'] + 1, MAX_RUNS),
            'late_run': z3.Or(state['late_run'], sending.late),
            'broken_not_run': z3.Or(state['broken_not_run'], sending.void),
        }
        ran = {**run, **sending.backend_is(Backend.RAN)}
        yield sending.act('backend_runs', z3.And(in_flight, in_time), ran)
        may_refuse = in_flight
        if not self.has('backend-refusal-is-true'):
            may_refuse = z3.Or(in_flight, sending.backend == Backend.RAN)
        yield sending.act(
            'backend_refuses', may_refuse, sending.backend_is(Backend.REFUSED)
        )
        name = indexed('second_copy', sending.index)
        yield sending.act(
            'second_copy_runs', z3.And(state[name], in_time), {**run, name: False}
        )

    def _finish(self, sending: 'Sending') -> Iterator[Action]:
        sent = sending.place == Place.SENT
        refused = z3.And(sent, sending.backend == Backend.REFUSED)
        in_flight = sending.backend_is(Backend.IN_FLIGHT)
        yield sending.act('try_another', refused, in_flight)
        release = {'entry': Entry.NONE.value}
        yield sending.act(
            'receive_refusal', refused, {**sending.end(Answer.NOT_RUN), **release}
        )
        yield sending.act(
            'receive_answer',
            z3.And(sent, sending.backend == Backend.RAN),
            {**sending.end(Answer.ANSWERED), **sending.keep(Entry.ANSWERED)},
        )
        kept = sending.keep(Entry.UNKNOWN)
        if not self.has('keep-unknown'):
            kept = release
        yield sending.act('lose_answer', sent, {**sending.end(Answer.UNKNOWN), **kept})
        if not self.has('no-retry-after-first-byte'):
            copy = {indexed('second_copy', sending.index): True}
            yield sending.act('retry', sent, copy)


@define
class Sending:
    """The variables of one sending of the request in one state."""

    state: State
    index: int

    def __getattr__(self, name: str) -> z3.ExprRef:
        return self.state[indexed(name, self.index)]

    def is_held(self) -> z3.BoolRef:
        """Return whether the home has admitted the sending and not ended it."""
        return z3.And(self.place >= Place.ADMITTED, self.place < Place.ENDED)

    def has_run(self) -> z3.BoolRef:
        """Return whether a backend server ran the sending."""
        return self.backend == Backend.RAN

    def is_live(self) -> z3.BoolRef:
        """Return whether the sending has run or may run without another admission."""
        return z3.Or(self.is_held(), self.backend == Backend.IN_FLIGHT, self.has_run())

    def is_ordered(self) -> z3.BoolRef:
        """Return whether nothing reached a backend server before the first byte."""
        return z3.And(
            z3.Implies(self.place < Place.SENT, self.backend == Backend.NOTHING),
            z3.Not(self.second_copy),
        )

    def is_answer_right(self) -> z3.BoolRef:
        """Return whether the answer to the caller matches the state of the sending."""
        ended = z3.And(self.place == Place.ENDED, z3.Not(self.is_live()))
        return z3.And(
            z3.Implies(self.told == Answer.NOT_RUN, ended),
            z3.Implies(self.told == Answer.ANSWERED, self.has_run()),
        )

    def act(self, name: str, guard: z3.BoolRef, updates) -> Action:
        """Return an action of this sending."""
        return Action(f'{name} {self.index}', guard, updates)

    def at(self, place: Place) -> dict:
        """Return the updates that move the sending to a place."""
        return {indexed('place', self.index): place.value}

    def backend_is(self, backend: Backend) -> dict:
        """Return the updates that set the state of the sending at a backend server."""
        return {indexed('backend', self.index): backend.value}

    def record_answer(self, answer: Answer) -> dict:
        """Return the updates that answer the caller, who keeps the first answer."""
        first = self.told == Answer.NOTHING
        updates = {indexed('told', self.index): z3.If(first, answer.value, self.told)}
        if answer is Answer.NOT_RUN:
            false = z3.And(first, self.state['runs'] > 0)
            updates['false_not_run'] = z3.Or(self.state['false_not_run'], false)
            updates.update(self.void_closed(first))
        return updates

    def void_closed(self, refused: z3.BoolRef) -> dict:
        """Return the updates that forbid a run of other sendings that were closed."""
        others = (Sending(self.state, i) for i in SENDINGS if i != self.index)
        return {
            indexed('void', each.index): z3.Or(each.void, z3.And(refused, each.closed))
            for each in others
        }

    def end(self, answer: Answer) -> dict:
        """Return the updates that end the sending with an answer to the caller."""
        return {**self.at(Place.ENDED), **self.record_answer(answer)}

    def keep(self, entry: Entry) -> dict:
        """Return the updates that change the entry unless the table has removed it."""
        forgotten = self.state['entry'] == Entry.NONE
        return {'entry': z3.If(forgotten, self.state['entry'], entry.value)}

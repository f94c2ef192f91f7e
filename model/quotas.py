"""Quotas of a workspace: one generator, two pools, and permits spent in a window.

The generator leases its share to one pool at a time. Messages are delayed, lost and
duplicated for any time, the generator restarts at any time, and a pool that does
nothing for some time is a frozen one. The generator chooses pools at will, as under any
view of the list. All clocks run at the same speed; the guards compare only times that
one instance read itself.
"""

from collections.abc import Iterator

import z3
from attrs import define

from model.specification import Action, Guard, Specification, State, indexed

POOLS = range(2)
NO_POOL = 2
#: Ticks of a lease and of a window, permits in a full bucket, and the last tick.
LEASE, WINDOW, CAP = 2, 3, 1
END = 40
ONE_LEASE = 'at most one pool generates at a time'
ONE_CAP = 'the buckets of all pools hold at most one cap'
WINDOW_BOUND = 'at most the cap and the generated permits are spent in a window'


@define
class QuotaSpecification(Specification):
    """Leases of a generator's share to pools, and the permits that these grant."""

    name = 'quotas'
    bounds = f'{len(POOLS)} pools, {END} ticks, any delays, losses and duplicates'
    guard_by_name = {
        'ends-with-stamp': Guard('a message is delayed', ONE_LEASE),
        'waits-for-end': Guard('the pool is unreachable and still leases', ONE_LEASE),
        'in-order': Guard('a message arrives after a newer one', ONE_LEASE),
        'waits-after-start': Guard('a lease of the last start still runs', ONE_LEASE),
        'clears-with-all': Guard('a silent pool leases on', ONE_LEASE),
        'cut-at-end': Guard('a frozen pool resumes with its bucket', ONE_CAP),
        'deduct-first': Guard('a grant is sent and not deducted', WINDOW_BOUND),
    }

    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""
        values: dict[str, int | bool] = {
            'now': 0,
            'began': 0,
            # Whether all pools confirmed that they hold no lease of an earlier start.
            'cleared': False,
            'holder': NO_POOL,
            'has_window': False,
            'window_at': 0,
            'spent': 0,
        }
        for index in POOLS:
            # Newest stamp of the pool, and when the generator got it; -LEASE for none.
            values[indexed('issued', index)] = -LEASE
            values[indexed('stamp', index)] = -LEASE
            values[indexed('stamped_at', index)] = -LEASE
            # Newest stamp in a lease message, and the end that the generator assumes.
            values[indexed('sent', index)] = -LEASE
            values[indexed('bound', index)] = 0
            # Whether the pool processed the end of the lease, and has confirmed it.
            values[indexed('closed', index)] = False
            values[indexed('confirmed', index)] = False
            values[indexed('lease', index)] = 0
            values[indexed('level', index)] = 0
        return values

    def is_leased(self, state: State, index: int) -> z3.BoolRef:
        """Return whether a pool generates permits."""
        return state['now'] < state[indexed('lease', index)]

    def stock(self, state: State, index: int) -> z3.BitVecRef:
        """Return the permits that a pool would grant now."""
        level = state[indexed('level', index)]
        if not self.has('cut-at-end'):
            return level
        return z3.If(self.is_leased(state, index), level, z3.BitVecVal(0, level.size()))

    def in_window(self, state: State) -> z3.BoolRef:
        """Return whether the window that is counted runs now."""
        now, began = state['now'], state['window_at']
        return z3.And(state['has_window'], now < began + WINDOW)

    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""
        leased = [self.is_leased(state, index) for index in POOLS]
        return {
            ONE_LEASE: z3.Not(z3.And(*leased)),
            ONE_CAP: sum(self.stock(state, index) for index in POOLS) <= CAP,
            WINDOW_BOUND: state['spent'] <= CAP + WINDOW,
        }

    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""
        return {
            'second pool': z3.And(self.is_leased(state, 1), state['bound0'] > 0),
            'more than a bucket spent': state['spent'] > CAP,
        }

    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""
        now, spent = state['now'], state['spent']
        stocks = sum(self.stock(state, index) for index in POOLS)
        elapsed = now - state['window_at']
        longest = z3.BitVecVal(WINDOW, now.size())
        facts = {
            'time': z3.And(now >= 0, now <= END, state['began'] >= 0),
            'began': z3.And(state['began'] <= now, state['holder'] >= 0),
            'holder': state['holder'] <= NO_POOL,
            'window': z3.And(state['window_at'] >= 0, state['window_at'] <= now),
            'no window': z3.Implies(z3.Not(state['has_window']), spent == 0),
            'spent': z3.And(
                spent >= 0, spent <= CAP + z3.If(elapsed < longest, elapsed, longest)
            ),
            'spent and in stock': z3.Implies(
                self.in_window(state), spent + stocks <= CAP + elapsed
            ),
        }
        for index in POOLS:
            facts.update(self._pool_facts(state, index))
        facts['one open'] = z3.Or(*(self._has_ended(state, index) for index in POOLS))
        return facts

    def _has_ended(self, state: State, index: int) -> z3.BoolRef:
        """Return whether no message under way can make a pool generate."""
        now = state['now']
        return z3.Or(
            state[indexed('closed', index)],
            z3.And(
                state[indexed('bound', index)] <= now,
                state[indexed('sent', index)] + LEASE <= now,
                state[indexed('lease', index)] <= now,
            ),
        )

    def _pool_facts(self, state: State, index: int) -> dict[str, z3.BoolRef]:
        now, began = state['now'], state['began']
        issued, stamp = state[indexed('issued', index)], state[indexed('stamp', index)]
        stamped_at = state[indexed('stamped_at', index)]
        sent, lease = state[indexed('sent', index)], state[indexed('lease', index)]
        bound, level = state[indexed('bound', index)], state[indexed('level', index)]
        closed = state[indexed('closed', index)]
        confirmed = state[indexed('confirmed', index)]
        is_holder = state['holder'] == index
        # What the pool may hold now or get by a message under way ends by these times.
        ends = z3.And(lease <= sent + LEASE, sent + LEASE <= now + LEASE)
        is_covered = z3.Or(sent + LEASE <= bound, sent + LEASE <= began + LEASE)
        return {
            f'stamps {index}': z3.And(
                issued >= -LEASE, issued <= now, stamp >= -LEASE, stamp <= issued
            ),
            f'received {index}': z3.And(stamp <= stamped_at, stamped_at <= now),
            f'newest {index}': z3.Or(stamped_at == -LEASE, stamp >= sent),
            f'sent {index}': z3.And(sent >= -LEASE, sent <= issued, ends),
            f'bound {index}': z3.And(bound >= 0, bound <= now + LEASE),
            f'lease {index}': z3.And(lease >= 0, is_covered),
            f'level {index}': z3.And(level >= 0, level <= CAP),
            f'closed {index}': z3.Implies(closed, lease == 0),
            f'confirmed {index}': z3.Implies(confirmed, closed),
            f'open {index}': z3.Implies(is_holder, z3.Not(closed)),
            f'only holder {index}': z3.Implies(
                z3.And(state['holder'] != NO_POOL, z3.Not(is_holder)),
                self._has_ended(state, index),
            ),
            f'started {index}': z3.Implies(
                state['holder'] != NO_POOL,
                z3.Or(state['cleared'], now >= began + LEASE),
            ),
            f'cleared {index}': z3.Implies(
                state['cleared'], z3.Or(closed, sent + LEASE <= bound)
            ),
        }

    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""
        now = state['now']
        yield Action('tick', now < END, {'now': now + 1, **self._generated(state)})
        yield Action(
            'restart',
            z3.BoolVal(True),
            {
                'began': now,
                'cleared': False,
                'holder': NO_POOL,
                **{indexed('stamp', index): -LEASE for index in POOLS},
                **{indexed('stamped_at', index): -LEASE for index in POOLS},
                **{indexed('bound', index): 0 for index in POOLS},
                **{indexed('confirmed', index): False for index in POOLS},
            },
        )
        confirmed = [state[indexed('confirmed', index)] for index in POOLS]
        is_clear = z3.And if self.has('clears-with-all') else z3.Or
        yield Action(
            'clear',
            z3.And(state['holder'] == NO_POOL, is_clear(*confirmed)),
            {'cleared': True},
        )
        yield Action(
            'window',
            z3.Not(state['has_window']),
            {'has_window': True, 'window_at': now},
        )
        for index in POOLS:
            yield from self._generator_actions(state, index)
            yield from self._pool_actions(state, index)

    def _generated(self, state: State) -> dict[str, z3.ExprRef]:
        """Return the buckets after a tick."""
        updates = {}
        for index in POOLS:
            level = state[indexed('level', index)]
            grown = z3.If(level < CAP, level + 1, level)
            stock = self.stock(state, index)
            updates[indexed('level', index)] = z3.If(
                self.is_leased(state, index), grown, stock
            )
        return updates

    def _generator_actions(self, state: State, index: int) -> Iterator[Action]:
        now, is_holder = state['now'], state['holder'] == index
        stamped_at = state[indexed('stamped_at', index)]
        yield Action(
            f'receive stamp {index}',
            state[indexed('issued', index)] > state[indexed('stamp', index)],
            {
                indexed('stamp', index): state[indexed('issued', index)],
                indexed('stamped_at', index): now,
            },
        )
        yield Action(
            f'send lease {index}',
            z3.And(is_holder, now < stamped_at + LEASE),
            {
                indexed('sent', index): state[indexed('stamp', index)],
                indexed('bound', index): stamped_at + LEASE,
            },
        )
        yield Action(f'end {index}', is_holder, {'holder': NO_POOL})
        others = [other for other in POOLS if other != index]
        free = [
            z3.Or(
                state[indexed('confirmed', other)],
                now >= state[indexed('bound', other)],
            )
            for other in others
        ]
        allowed = [state['holder'] == NO_POOL]
        if self.has('waits-for-end'):
            allowed.extend(free)
        if self.has('waits-after-start'):
            has_waited = now >= state['began'] + LEASE
            allowed.append(z3.Or(state['cleared'], has_waited))
        yield Action(
            f'choose {index}',
            z3.And(*allowed),
            {
                'holder': index,
                indexed('closed', index): False,
                indexed('confirmed', index): False,
                # Older messages to a pool that closed are no longer applied.
                indexed('sent', index): z3.If(
                    state[indexed('closed', index)],
                    z3.BitVecVal(-LEASE, now.size()),
                    state[indexed('sent', index)],
                ),
            },
        )

    def _pool_actions(self, state: State, index: int) -> Iterator[Action]:
        now, sent = state['now'], state[indexed('sent', index)]
        lease, closed = state[indexed('lease', index)], state[indexed('closed', index)]
        stock = self.stock(state, index)
        yield Action(f'stamp {index}', now > 0, {indexed('issued', index): now})
        is_applied = [sent >= 0]
        ends_at = now + LEASE
        if self.has('ends-with-stamp'):
            is_applied.append(now < sent + LEASE)
            ends_at = sent + LEASE
        if self.has('in-order'):
            is_applied.append(z3.Not(closed))
        yield Action(
            f'apply lease {index}',
            z3.And(*is_applied),
            {indexed('lease', index): ends_at, indexed('level', index): stock},
        )
        yield Action(
            f'close {index}',
            state['holder'] != index,
            {
                indexed('closed', index): True,
                indexed('lease', index): z3.BitVecVal(0, lease.size()),
                indexed('level', index): z3.BitVecVal(0, lease.size())
                if self.has('cut-at-end')
                else stock,
            },
        )
        yield Action(
            f'confirm {index}',
            z3.And(closed, state['holder'] != index),
            {indexed('confirmed', index): True},
        )
        spent = state['spent'] + z3.If(
            self.in_window(state),
            z3.BitVecVal(1, now.size()),
            z3.BitVecVal(0, now.size()),
        )
        left = stock - 1 if self.has('deduct-first') else stock
        yield Action(
            f'grant {index}', stock > 0, {'spent': spent, indexed('level', index): left}
        )

"""The bound under arbitrary failures, and protocols without one guard that break it."""

import unittest
from collections import Counter
from collections.abc import Callable
from random import Random
from unittest import mock

from attrs import define, evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.quotas.bounds import (
    STARTS_IN_WINDOW,
    QuotaBounds,
    WorkspaceLimit,
)
from catkinslip.quotas.buckets import Slot
from catkinslip.quotas.holders import Holder
from catkinslip.quotas.leases import Generator, Stamp
from catkinslip.quotas.pools import Pool, SenderState
from catkinslip.quotas.slots import key_of, slot_of
from tests.quota_builders import (
    BOUNDS,
    Fleet,
    config_of,
    home_names,
    limited,
    make_fleet,
)

HOMES = home_names()
#: The bound leaves the least room for a workspace without a burst.
RATE, BURST = 300.0, 0.0
STEP_SECONDS = 0.35
STEPS = 30
OBSERVATIONS = 7


def slow_delay(random: Random) -> float:
    """Return a delay of milliseconds, and for a fifth of the datagrams of seconds."""
    return random.uniform(0, 3) if random.random() < 0.2 else random.uniform(0, 0.01)


def disorder(random: Random) -> float:
    """Return a delay of none, or one between a renewal and a lease."""
    return random.choice((0.002, 0.002, 0.4))


def freeze(fleet: Fleet) -> None:
    """Freeze an instance, or resume one that is frozen."""
    node = fleet.node_by_name[fleet.random.choice(HOMES)]
    if node.is_frozen:
        node.resume()
    else:
        node.is_frozen = True


def resume(fleet: Fleet) -> None:
    """Resume all instances."""
    for node in fleet.node_by_name.values():
        if node.is_frozen:
            node.resume()


def restart(fleet: Fleet) -> None:
    """Restart an instance with empty memory."""
    fleet.node_by_name[fleet.random.choice(HOMES)].start()


def restart_with_other_view(fleet: Fleet) -> None:
    """Restart an instance that then uses another pool."""
    node = fleet.node_by_name[fleet.random.choice(HOMES)]
    node.view = evolve(node.view, pool_ids=(fleet.random.choice(HOMES),))
    node.start()


def cut(fleet: Fleet) -> None:
    """Cut a part of the instances off, in one direction or both."""
    side = set(fleet.random.sample(HOMES, 3))
    fleet.cut = {(a, b) for a in side for b in HOMES if b not in side}
    if fleet.random.random() < 0.5:
        fleet.cut |= {(b, a) for a, b in fleet.cut}


def heal(fleet: Fleet) -> None:
    """End the partition."""
    fleet.cut = set()


def change_views(fleet: Fleet) -> None:
    """Give each instance another view of which instances may be pools."""
    for node in fleet.node_by_name.values():
        known = fleet.random.sample(HOMES, fleet.random.randint(0, len(HOMES)))
        node.view = evolve(node.view, pool_ids=tuple(known))


def wait(fleet: Fleet) -> None:
    """Do nothing."""


FAULTS = (freeze, resume, restart, cut, heal, change_views, wait)


@define
class Peaks:
    """The largest values of one run."""

    #: Requests that passed in one window.
    window: int = 0
    #: Number of pools at which one generator's lease of the slot runs at a time.
    pools: int = 0
    #: Sum of the buckets of the workspace at all pools.
    level: float = 0.0

    def observe(self, fleet: Fleet) -> None:
        """Observe the pools; those that are frozen as they would resume now."""
        key = key_of('a')
        level = 0.0
        senders: Counter[str] = Counter()
        for node in fleet.node_by_name.values():
            slot = node.quotas.pool.slot_by_number.get(slot_of(key))
            if slot is not None:
                now = node.quotas.clock.monotonic()
                slot.advance(now)
                # Levels are brought up to date by a request for no permits.
                slot.grant(key, 0, now)
                senders.update(slot.lease_by_sender.keys())
                level += slot.bucket_by_key[key].level
        self.pools = max(self.pools, *senders.values(), 0)
        self.level = max(self.level, level)


def play(
    seed: int, faults: tuple[Callable[[Fleet], None], ...] = FAULTS, **fields: object
) -> Peaks:
    """Overload a workspace while faults come in a random order."""
    fleet = make_fleet(config_of(a=limited(RATE, BURST)), others=0, seed=seed, **fields)
    peaks = Peaks()
    fleet.load('a', 3 * RATE, list(HOMES), STEPS * STEP_SECONDS)
    for _ in range(STEPS):
        fleet.random.choice(faults)(fleet)
        for _ in range(OBSERVATIONS):
            fleet.run(STEP_SECONDS / OBSERVATIONS)
            peaks.observe(fleet)
    resume(fleet)
    fleet.run(2.0)
    peaks.window = fleet.largest_window('a')
    return peaks


class BoundTest(unittest.TestCase):
    """No failure lets more than the bound pass in any window."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(
        seed=st.integers(0, 10**6),
        loss=st.sampled_from((0.0, 0.05, 0.5)),
        duplicates=st.sampled_from((0.0, 0.5)),
        is_slow=st.booleans(),
    )
    def test_bound_holds_under_all_faults(self, seed, loss, duplicates, is_slow):
        fields = {'delay': slow_delay} if is_slow else {}
        peaks = play(seed, loss=loss, duplicates=duplicates, **fields)
        self.assertLessEqual(peaks.window, BOUNDS.largest(RATE, BURST))
        self.assertLessEqual(peaks.pools, 1)
        self.assertLessEqual(peaks.level, BOUNDS.limit(RATE, BURST).cap + 1e-6)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        rate=st.floats(0.01, 1e4),
        burst=st.floats(0, 1e5),
        window=st.floats(0.1, 60),
        excess=st.floats(0, 1),
        slack=st.floats(0, 100),
    )
    def test_cap_and_rate_stay_within_the_bound(
        self, rate, burst, window, excess, slack
    ):
        bounds = QuotaBounds(window, excess, slack)
        limit: WorkspaceLimit = bounds.limit(rate, burst)
        seconds = window + 0.6
        starts = STARTS_IN_WINDOW * limit.start_level
        total = limit.cap + limit.rate * seconds + starts
        self.assertLessEqual(total, bounds.largest(rate, burst) * (1 + 1e-9))
        self.assertLessEqual(limit.rate, rate)
        self.assertGreaterEqual(limit.cap, 0)

    def test_limits_of_the_requirements_get_their_full_rate_and_burst(self):
        for rate, burst in ((0.5, 0), (2, 2), (100, 0), (300, 300), (160, 50)):
            limit = BOUNDS.limit(rate, burst)
            self.assertGreaterEqual(limit.cap, burst, (rate, burst))
            self.assertEqual(limit.rate, rate, (rate, burst))


def lease_from_arrival(pool: Pool, lease, now: float):
    """Apply a lease as if it had been sent just now, however old it is."""
    if lease.stamp is not None:
        lease = evolve(lease, stamp=Stamp(pool.start, now))
    return APPLY_LEASE(pool, lease, now)


def cut_without_share(slot: Slot, bucket) -> None:
    """Limit a bucket to the whole cap, whatever is leased here."""
    bucket.level = min(bucket.level, bucket.limit.cap)


def apply_again(holder: Holder, answer, now: float) -> bool:
    """Apply an answer each time that it arrives."""
    sent = holder.sent_by_number.get(answer.number)
    is_applied = APPLY_ANSWER(holder, answer, now)
    if sent is not None:
        holder.sent_by_number[answer.number] = evolve(sent, waiters_by_key={})
    return is_applied


APPLY_LEASE = Pool.apply_lease
APPLY_ANSWER = Holder.apply_answer


class GuardTest(unittest.TestCase):
    """Without one of its guards the protocol breaks the bound."""

    def peaks(
        self, faults: tuple[Callable[[Fleet], None], ...] = FAULTS, **fields: object
    ) -> list[Peaks]:
        """Return the peaks of some runs, of which delays are part by default."""
        fields = {'delay': slow_delay, **fields}
        return [play(seed, faults, **fields) for seed in range(12)]

    def test_leases_that_count_from_their_arrival(self):
        with mock.patch.object(Pool, 'apply_lease', lease_from_arrival):
            peaks = self.peaks(duplicates=1.0)
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_messages_that_are_applied_out_of_order(self):
        with mock.patch.object(SenderState, 'supersedes', lambda *_: False):
            peaks = self.peaks((change_views, wait), delay=disorder, duplicates=1.0)
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_slots_that_move_before_the_lease_has_ended(self):
        with mock.patch.object(
            Generator,
            '_has_ended',
            lambda _, holding, now: holding.ended_by is not None,
        ):
            peaks = self.peaks()
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_start_without_a_wait_for_the_leases_of_the_last_one(self):
        with mock.patch('catkinslip.quotas.leases.START_SECONDS', 0.0):
            peaks = self.peaks((restart_with_other_view,), delay=disorder)
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_start_that_some_instances_have_not_confirmed(self):
        with mock.patch.object(Generator, '_are_all_confirmed', lambda _: True):
            peaks = self.peaks((restart_with_other_view,), delay=disorder)
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_messages_of_an_earlier_start_that_are_applied(self):
        with mock.patch.object(SenderState, 'ended_by', lambda *_: frozenset()):
            peaks = self.peaks((restart_with_other_view,), delay=disorder)
        self.assertGreater(max(each.pools for each in peaks), 1)

    def test_full_caps_at_each_pool(self):
        with mock.patch.object(Slot, '_limit_level', cut_without_share):
            peaks = self.peaks()
        cap = BOUNDS.limit(RATE, BURST).cap
        self.assertGreater(max(each.level for each in peaks), 1.1 * cap)

    def test_answers_that_are_applied_twice(self):
        with mock.patch.object(Holder, 'apply_answer', apply_again):
            peaks = [play(seed, (wait,), duplicates=1.0) for seed in range(2)]
        allowed = BOUNDS.largest(RATE, BURST)
        self.assertGreater(max(each.window for each in peaks), allowed)

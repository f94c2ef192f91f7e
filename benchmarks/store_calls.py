"""Count the calls to the store around its outages, at several fleet sizes.

    python -m benchmarks.store_calls

Each row is one replay on a mock clock; the last line is JSON.
"""

import json
import logging
from collections.abc import Awaitable, Callable
from math import inf

import trio
import trio.testing
from attrs import asdict, frozen

from benchmarks.store_calls_world import ReplayFleet, make_fleet, rules_at
from catkinslip.discovery.ranking import HOME_INSTANCES

#: Instances and zones of the replayed deployments.
SIZES = ((14, 3), (118, 3), (202, 3), (313, 5))
SETTLE_SECONDS = 12.0
OUTAGE_SECONDS = 8.0
RETURN_SECONDS = 2.0
RESTART_SECONDS = 5.0
#: Time in which a change has to be in force; a replay waits no longer.
MAX_WAIT_SECONDS = 8.0


@frozen
class Outcome:
    """What one replay measured; a time is None where none applies."""

    calls: int
    calls_after: int = 0
    in_force_seconds: float | None = None
    #: After a restart, the time until the whole home set of each zone was ready.
    home_seconds: float | None = None
    #: Number of instances that were not ready, or lacked the change, at the end.
    missing: int = 0


async def play_outage(fleet: ReplayFleet) -> Outcome:
    """Take the store away from all, change the rules meanwhile, and bring it back."""
    store = fleet.store
    start = trio.current_time()
    store.refuse(lambda _: True)
    await trio.sleep(OUTAGE_SECONDS)
    store.change('rules', 'rules', rules_at(2))
    back_at = trio.current_time()
    store.refuse(lambda _: False)
    in_force = await fleet.until_version(2, MAX_WAIT_SECONDS)
    await trio.sleep(max(0.0, back_at + RETURN_SECONDS - trio.current_time()))
    return Outcome(
        store.calls_between(start, back_at),
        store.calls_between(back_at, back_at + RETURN_SECONDS),
        in_force,
        missing=missing_version(fleet, 2),
    )


async def play_refusal(fleet: ReplayFleet, refused: set[str]) -> Outcome:
    """Refuse some instances; change the rules 1 s later, and again 4 s later."""
    store = fleet.store
    start = trio.current_time()
    store.refuse(refused.__contains__)
    slowest = 0.0
    for version, at in ((2, 1.0), (3, 5.0)):
        await trio.sleep(max(0.0, start + at - trio.current_time()))
        store.change('rules', 'rules', rules_at(version))
        slowest = max(slowest, await fleet.until_version(version, MAX_WAIT_SECONDS))
    await trio.sleep(max(0.0, start + OUTAGE_SECONDS - trio.current_time()))
    calls = store.calls_between(start, start + OUTAGE_SECONDS)
    return Outcome(calls, 0, slowest, missing=missing_version(fleet, 3))


def refusal_of_share(share: float) -> Callable[[ReplayFleet], Awaitable[Outcome]]:
    """Return a replay that refuses a share, the first in rank of each zone included."""

    async def play(fleet: ReplayFleet) -> Outcome:
        names = [each.instance_id for each in fleet.entries]
        refused = {
            each.instance_id
            for zone in fleet.zones()
            for each in fleet.ranked(zone)[:1]
        }
        fleet.random.shuffle(names)
        for name in names:
            if len(refused) < share * len(names):
                refused.add(name)
        return await play_refusal(fleet, refused)

    return play


def refusal_of_first(count: int) -> Callable[[ReplayFleet], Awaitable[Outcome]]:
    """Return a replay that refuses the first instances in rank of each zone."""

    async def play(fleet: ReplayFleet) -> Outcome:
        refused = {
            each.instance_id
            for zone in fleet.zones()
            for each in fleet.ranked(zone)[:count]
        }
        return await play_refusal(fleet, refused)

    return play


async def play_restart(
    fleet: ReplayFleet, refused: Callable[[str], bool] = lambda _: False
) -> Outcome:
    """Kill all instances and start them again, some of them refused for 5 s."""
    store = fleet.store
    fleet.stop()
    await trio.sleep(0.2)
    start = trio.current_time()
    store.refuse(refused)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(RESTART_SECONDS)
        calls = store.calls_between(start, start + RESTART_SECONDS)
        back_at = trio.current_time()
        store.refuse(lambda _: False)
        await trio.sleep(RETURN_SECONDS)
        after = store.calls_between(back_at, back_at + RETURN_SECONDS)
        ready_at_by_id = {
            each.table.own.instance_id: each.ready_at or inf
            for each in fleet.instance_by_address.values()
        }
        nursery.cancel_scope.cancel()
    home = [
        ready_at_by_id[each.instance_id]
        for zone in fleet.zones()
        for each in fleet.ranked(zone)[:HOME_INSTANCES]
        if each.instance_id in ready_at_by_id
    ]
    known = [each for each in ready_at_by_id.values() if each < inf]
    return Outcome(
        calls,
        after,
        max(known, default=inf) - start,
        max(home) - start,
        len(ready_at_by_id) - len(known),
    )


async def play_restart_with_store(fleet: ReplayFleet) -> Outcome:
    """Restart all while the store answers."""
    return await play_restart(fleet)


async def play_restart_without_store(fleet: ReplayFleet) -> Outcome:
    """Restart all while the store refuses everybody, for five seconds."""
    return await play_restart(fleet, lambda _: True)


async def play_restart_seeds_refused(fleet: ReplayFleet) -> Outcome:
    """Restart all while the store refuses the seeds, for five seconds."""
    seeds = {each.instance_id for each in fleet.seeds()}
    return await play_restart(fleet, seeds.__contains__)


async def play_restart_seeds_dead(fleet: ReplayFleet) -> Outcome:
    """Restart all but the seeds while the store answers."""
    fleet.dead = {each.instance_id for each in fleet.seeds()}
    return await play_restart(fleet)


async def play_partition(fleet: ReplayFleet) -> Outcome:
    """Cut all zones from each other while the store refuses the first zone."""
    fleet.connects = lambda one, other: one == other
    zone = fleet.zones()[0]
    first = {each.instance_id for each in fleet.entries if each.zone == zone}
    start = trio.current_time()
    fleet.store.refuse(first.__contains__)
    await trio.sleep(OUTAGE_SECONDS)
    calls = fleet.store.calls_between(start, trio.current_time())
    fleet.store.change('rules', 'rules', rules_at(2))
    fleet.connects = lambda _, __: True
    in_force = await fleet.until_version(2, MAX_WAIT_SECONDS)
    return Outcome(calls, 0, in_force, missing=missing_version(fleet, 2))


def missing_version(fleet: ReplayFleet, version: int) -> int:
    """Return the number of instances that lack a version of the rules."""
    instances = fleet.instance_by_address.values()
    return sum(each.assembler.rules_version < version for each in instances)


PLAYS: dict[str, Callable[[ReplayFleet], Awaitable[Outcome]]] = {
    'whole outage': play_outage,
    'a third refused': refusal_of_share(1 / 3),
    'a half refused': refusal_of_share(1 / 2),
    'first 3 refused': refusal_of_first(3),
    'first 13 refused': refusal_of_first(13),
    'restart': play_restart_with_store,
    'restart, no store': play_restart_without_store,
    'restart, seeds refused': play_restart_seeds_refused,
    'restart, seeds dead': play_restart_seeds_dead,
    'partition': play_partition,
}


def replay(
    play: Callable[[ReplayFleet], Awaitable[Outcome]],
    count: int,
    zones: int,
    seed: int = 1,
) -> Outcome:
    """Return the outcome of a replay after the fleet has settled."""

    async def run() -> Outcome:
        fleet = make_fleet(count, zones, seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            await trio.sleep(SETTLE_SECONDS)
            outcome = await play(fleet)
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def main() -> None:
    """Play everything and print one row each."""
    logging.disable(logging.CRITICAL)
    rows = []
    for name, play in PLAYS.items():
        for count, zones in SIZES:
            outcome = replay(play, count, zones)
            seconds = outcome.in_force_seconds
            shown = '-' if seconds is None else f'{seconds:.2f}'
            home = outcome.home_seconds
            shown += '' if home is None else f' ({home:.2f} home set)'
            print(
                f'{name:22} {count:4} {outcome.calls:6} calls {outcome.calls_after:5}'
                f' after, {shown:>6} s, missing {outcome.missing}',
                flush=True,
            )
            rows.append({'replay': name, 'instances': count, **asdict(outcome)})
    print(json.dumps({'bench': 'store_calls', 'rows': rows}))


if __name__ == '__main__':
    main()

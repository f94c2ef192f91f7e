"""Tests of discovery after a restore of the store from a backup, without any I/O."""

import unittest
from random import Random

import trio
import trio.testing
from attrs import Factory, define, evolve

from catkinslip.crashes.registry import CrashRegistry
from catkinslip.crashes.suspect import Verdict
from catkinslip.discovery.assembly import EXPIRY_GRACE_SECONDS, Assembler
from catkinslip.discovery.base import BackendEntry, Changes, Listing
from catkinslip.discovery.follower import Follower
from catkinslip.discovery.restored import RESTORED_GRACE_SECONDS
from catkinslip.discovery.revisions import era_of, number_of, revision_of, text_of
from tests.discovery_builders import (
    HISTORY_REMOVED,
    ScriptedSource,
    backend_entry,
    changes_at,
    listing,
    rule_set,
)
from tests.test_crashes_registry import KEY, NOW, registry_with, stored
from tests.test_discovery_assembly import run, started
from tests.test_discovery_follower import follow

ONE, TWO = backend_entry('one'), backend_entry('two', port=81)
SIZES = (17, 118, 313)
READERS = 3
#: Rounds of polls; in each round every instance polls one other.
ROUNDS = 12


def at(era: int, number: int) -> int:
    """Return a revision of one era of the store."""
    return revision_of(era, number)


class RevisionTest(unittest.TestCase):
    """The order of revisions over eras."""

    def test_era_goes_before_number(self):
        self.assertLess(at(1, 999), at(2, 1))
        self.assertLess(at(0, 999), at(1, 0))
        self.assertEqual((era_of(at(3, 7)), number_of(at(3, 7))), (3, 7))
        self.assertEqual((text_of(at(3, 7)), text_of(7)), ('3/7', '7'))

    def test_invalid_number_is_refused(self):
        for wrong in (-1, 1.0, '7', None, True, 1 << 40):
            with self.assertRaises(ValueError):
                revision_of(1, wrong)


class FollowerTest(unittest.TestCase):
    """Values and change log of a follower over eras of the store."""

    def test_lower_number_of_a_later_era_is_applied(self):
        script = [listing(at(1, 71), ONE), listing(at(2, 60), TWO)]
        follower, source = follow(script, [HISTORY_REMOVED])
        self.assertEqual(follower.value_by_name, {'two': TWO})
        self.assertEqual(follower.revision, at(2, 60))
        self.assertEqual(source.calls[-1], f'wait {at(2, 60)}')

    def test_two_losses_in_a_row(self):
        script = [listing(at(era, 9 - era), ONE) for era in (1, 2, 3)]
        follower, _ = follow(script, [HISTORY_REMOVED, HISTORY_REMOVED])
        self.assertEqual(follower.revision, at(3, 6))

    def test_peer_of_an_earlier_era_gets_everything(self):
        script = [listing(at(1, 70), ONE), listing(at(2, 60), ONE)]
        follower, _ = follow(script, [HISTORY_REMOVED])
        # The peer may have a change at 71 that this instance never received.
        self.assertIsNone(follower.changes_after(at(1, 71)))
        self.assertIsNone(follower.part_after(at(1, 71), 10))
        self.assertEqual(follower.changes_after(at(2, 60)), ())

    def test_changes_of_another_era_are_not_applied(self):
        follower, _ = follow([listing(at(1, 71), ONE)], [])
        self.assertFalse(
            follower.apply_peer_changes(changes_at(at(2, 3), ('two', TWO)), at(1, 71))
        )
        self.assertEqual(follower.value_by_name, {'one': ONE})

    def test_earlier_era_of_a_peer_replaces_nothing(self):
        follower, _ = follow([listing(at(2, 5), ONE)], [])
        self.assertFalse(follower.offer(listing(at(1, 900), TWO), 'peer'))
        self.assertEqual(follower.value_by_name, {'one': ONE})

    def test_history_that_is_lost_again_is_read_after_a_pause(self):
        source = ScriptedSource(
            [listing(71, ONE), *[listing(60, ONE)] * 9], [HISTORY_REMOVED] * 9
        )
        follower = Follower('backends', source, Random(1))

        async def check():
            source.ended = trio.Event()
            with trio.move_on_after(1.5):
                await follower.run()
            # The first round has no delay, each later one waits for its turn.
            self.assertLess(source.calls.count('read'), 9)

        run(check)


class ServersTest(unittest.TestCase):
    """Servers that the backup shows in an earlier state."""

    def play(self, before: list, backup: list) -> tuple[Assembler, dict, dict]:
        """Return the servers at the restore, after the expiry and after the grace."""
        assembler = started()
        known = []

        async def check():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(assembler.run)
                assembler.offer_rules(rule_set(1))
                for number, entries in enumerate(before, 1):
                    assembler.backends.offer(listing(at(1, number), *entries), 'x')
                assembler.backends.offer(listing(at(2, 1), *backup), 'x')
                known.append(dict(assembler.current_backends))
                await trio.sleep(EXPIRY_GRACE_SECONDS + 0.1)
                known.append(dict(assembler.current_backends))
                await trio.sleep(RESTORED_GRACE_SECONDS)
                known.append(dict(assembler.current_backends))
                nursery.cancel_scope.cancel()

        run(check)
        return known

    def test_leaving_server_does_not_become_ready_again(self):
        leaving = evolve(ONE, is_draining=True)
        at_once, later, last = self.play([[leaving]], [ONE])
        self.assertTrue(at_once['one'].is_draining and later['one'].is_draining)
        self.assertEqual(last, {'one': ONE})

    def test_removed_server_is_not_there_again(self):
        at_once, later, last = self.play([[ONE, TWO], [TWO]], [ONE, TWO])
        self.assertEqual((at_once, later), ({'two': TWO}, {'two': TWO}))
        self.assertEqual(last, {'one': ONE, 'two': TWO})

    def test_earlier_start_is_not_applied_again(self):
        first, second = (evolve(ONE, incarnation=n) for n in (1, 2))
        at_once, later, _ = self.play([[first], [second]], [first])
        self.assertEqual((at_once, later), ({'one': second}, {'one': second}))

    def test_server_newer_than_the_backup_is_kept_until_it_writes_again(self):
        at_once, later, _ = self.play([[ONE, TWO]], [ONE])
        self.assertEqual(at_once, {'one': ONE, 'two': TWO})
        self.assertEqual(later, {'one': ONE})

    def test_entry_that_the_backup_lacks_expires_beside_a_longer_grace(self):
        assembler = started()

        async def check():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(assembler.run)
                assembler.offer_rules(rule_set(1))
                assembler.backends.offer(listing(at(1, 1), ONE, TWO), 'x')
                assembler.hold_evacuations()
                await trio.sleep(0.05)
                assembler.backends.offer(listing(at(2, 1), ONE), 'x')
                await trio.sleep(EXPIRY_GRACE_SECONDS + 0.1)
                self.assertEqual(assembler.current_backends, {'one': ONE})
                nursery.cancel_scope.cancel()

        run(check)

    def test_entry_that_is_written_again_is_applied(self):
        moved = evolve(ONE, slots=7)
        at_once, _, _ = self.play([[ONE]], [moved])
        self.assertEqual(at_once, {'one': moved})


class OrdersTest(unittest.TestCase):
    """Evacuations, rules and records that the backup lacks."""

    def test_zone_stays_evacuated_until_the_order_is_back_or_the_grace_over(self):
        assembler = started()

        async def check():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(assembler.run)
                assembler.evacuate(['zone-a', 'zone-b'])
                assembler.hold_evacuations()
                assembler.evacuate([])
                await trio.sleep(RESTORED_GRACE_SECONDS - 0.1)
                self.assertEqual(assembler.evacuated_zones, {'zone-a', 'zone-b'})
                assembler.evacuate(['zone-b'])
                await trio.sleep(0.2)
                self.assertEqual(assembler.evacuated_zones, {'zone-b'})
                nursery.cancel_scope.cancel()

        run(check)

    def test_older_rules_of_the_backup_replace_nothing(self):
        async def check():
            assembler = started()
            assembler.rules.offer(Listing({'main': rule_set(9)}, at(1, 70)), 'x')
            assembler.rules.offer(Listing({'main': rule_set(7)}, at(2, 60)), 'x')
            self.assertEqual(assembler.rules_version, 9)
            assembler.rules.offer(Listing({'main': rule_set(10)}, at(2, 61)), 'x')
            self.assertEqual(assembler.rules_version, 10)

        run(check)

    def test_verdict_that_the_backup_lacks_stays_and_is_written_again(self):
        book = registry_with(0)
        book.apply_listing({'a': stored(3, at(1, 71))}, NOW)
        book.mark_records_unsaved()
        book.apply_listing({}, NOW)
        self.assertEqual(book.decide(KEY, 'q', NOW).verdict, Verdict.REFUSED)
        self.assertEqual([it.record.revision for it in book.list_unsaved()], [0])

    def test_trials_that_the_backup_lacks_are_not_repeated(self):
        book = CrashRegistry()
        book.apply_listing({'a': stored(3, at(1, 71), trials=2)}, NOW)
        book.mark_records_unsaved()
        book.apply_listing({'a': stored(3, at(2, 60), trials=1)}, NOW)
        self.assertEqual(book.suspect_by_key[KEY].record.trials, 2)
        self.assertEqual(book.suspect_by_key[KEY].record.revision, at(2, 60))


@define
class RestorableStore:
    """A store that can be restored from a backup, with a new era each time."""

    entry_by_id: dict[str, BackendEntry] = Factory(dict)
    era: int = 1
    number: int = 0
    log: list[tuple[int, str, BackendEntry | None]] = Factory(list)

    def put(self, name: str, entry: BackendEntry | None) -> None:
        """Write or remove an entry."""
        self.number += 1
        self.log.append((self.number, name, entry))
        if entry is None:
            self.entry_by_id.pop(name, None)
        else:
            self.entry_by_id[name] = entry

    def restore(self, entry_by_id: dict[str, BackendEntry], number: int) -> None:
        """Restore the entries and the number of a backup."""
        self.entry_by_id = dict(entry_by_id)
        self.log = [each for each in self.log if each[0] <= number]
        self.number, self.era = number, self.era + 1

    def send_to(self, follower: Follower) -> None:
        """Send the missing values or changes to a follower."""
        now = at(self.era, self.number)
        if era_of(follower.revision) < self.era:
            follower.offer(Listing(dict(self.entry_by_id), now), 'store')
            return
        known = number_of(follower.revision)
        changes = tuple((name, it) for n, name, it in self.log if n > known)
        follower.apply_peer_changes(Changes(changes, now), follower.revision)


def poll(follower: Follower, peer: Follower) -> None:
    """Fetch newer values from another follower, as a poll of a peer does."""
    if peer.changed_at <= follower.revision:
        return
    changes = peer.changes_after(follower.revision)
    if changes is None:
        follower.offer(Listing(dict(peer.value_by_name), peer.changed_at), 'peer')
    else:
        follower.apply_peer_changes(
            Changes(changes, peer.changed_at), follower.revision
        )


class FleetTest(unittest.TestCase):
    """A fleet whose instances have various revisions when the store is restored."""

    def play(self, size: int, seed: int, losses: int) -> None:
        random = Random(seed)
        store = RestorableStore()
        followers = [Follower('backends', None, Random(n)) for n in range(size)]
        for _ in range(losses):
            for number in range(10):
                store.put(f'i-{number}', backend_entry(f'i-{number}', port=80 + number))
            backup, backup_number = dict(store.entry_by_id), store.number
            for number in range(10, 20):
                store.put(f'i-{number}', backend_entry(f'i-{number}', port=80 + number))
                store.put(f'i-{number - 10}', None)
                # Some instances have all of the changes that will be lost, some a part,
                # some none.
                self.exchange(store, random.sample(followers, size // 3), random)
            store.restore(backup, backup_number)
            if random.random() < 0.5:
                # The numbers exceed the old ones before any instance reads.
                for number in range(30, 60):
                    entry = backend_entry(f'i-{number}', port=80 + number)
                    store.put(f'i-{number}', entry)
            self.exchange(store, followers[: size // 2], random)
        store.put('i-99', backend_entry('i-99', port=99))
        for _ in range(ROUNDS):
            self.exchange(store, followers, random)
        for follower in followers:
            self.assertEqual(follower.value_by_name, store.entry_by_id)

    def exchange(self, store: RestorableStore, reached: list, random: Random) -> None:
        """Make the first instances read the store, and each poll another one."""
        for follower in reached[:READERS]:
            store.send_to(follower)
        for follower in reached:
            poll(follower, random.choice(reached))

    def test_all_followers_match_the_store_after_one_loss_and_after_several(self):
        async def check():
            for size in SIZES:
                for seed in range(3):
                    self.play(size, seed, losses=1 + seed)

        run(check)


if __name__ == '__main__':
    unittest.main()

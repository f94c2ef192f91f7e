"""A server ended, and its port did not show it.

A supervisor holds the socket while the process behind it starts again: connections are
taken and cut for a second, none is refused. Only a refused port counted as an end, so
nothing was counted: 24 copies of one request ended 37 servers, 27 of them later than
three seconds after the third, and the caller was told 502 each time. The server that
follows has another start; that it followed right after the connection broke is what
shows that the one before ended under the request.
"""

import unittest

import trio

from catkinslip.config.documents import Backend
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.unseen import (
    MOST_BREAKS,
    BrokenRequest,
    BrokenRequests,
    StartWatch,
)
from catkinslip.wiring.entry import Entry
from standins.workers import Fault
from tests.small_platform import SmallPlatform, on_platform, wait_for

SERVERS = 12
INSTANCES = 3
CRASHING = '/q/crashes'
#: The time for which the socket is held, and until the next server is registered.
HELD_SECONDS = 0.3
#: Later than this after the third end, few more may follow. The bound is 3 s; a start
#: is known after the time for which its socket is held, a watch and a poll.
WINDOW_SECONDS = 2.0
PLAY_SECONDS = 6.0
PAUSE_SECONDS = 0.08
BOUND = 3


async def held_fleet(platform: SmallPlatform, **fields) -> None:
    """Start servers whose sockets outlive their processes, and instances."""
    platform.held_seconds = HELD_SECONDS
    for number in range(SERVERS):
        await platform.add_worker(f'i-{number}', work_seconds=0.02, **fields)
    # The other part of the split route.
    await platform.add_worker('j-1', 'two')
    for _ in range(INSTANCES):
        await platform.add_entry()


async def ask_often(platform: SmallPlatform, path: str, seconds: float) -> list[float]:
    """Send copies of a request for a while; return when servers ended."""
    end = trio.current_time() + seconds
    ended_at: list[float] = []
    number = 0
    while trio.current_time() < end:
        number += 1
        await platform.get(path, number % INSTANCES, request_id=f'c{number}')
        new = platform.crashes(path) - len(ended_at)
        ended_at += [trio.current_time()] * new
        await trio.sleep(PAUSE_SECONDS)
    return ended_at


def knows_leaving(entry: Entry) -> bool:
    """Tell whether an instance knows that all servers leave."""
    return all(it.is_draining for it in entry.assembler.current_backends.values())


class HeldSocketTest(unittest.TestCase):
    """Servers that end behind a socket that stays open."""

    def test_few_servers_end_once_three_did(self):
        async def check(platform):
            await held_fleet(platform, crashing_paths={CRASHING})
            ended_at = await ask_often(platform, CRASHING, PLAY_SECONDS)
            self.assertGreaterEqual(len(ended_at), 3)
            late = [at for at in ended_at if at > ended_at[2] + WINDOW_SECONDS]
            self.assertLessEqual(len(late), BOUND)

        on_platform(check)

    def test_servers_that_live_and_reset_condemn_no_request(self):
        async def check(platform):
            await held_fleet(platform)
            workers = list(platform.worker_by_id.values())
            for worker in workers:
                worker.fault = Fault.RESET
            await ask_often(platform, '/q/a', 1.0)
            for worker in workers:
                worker.fault = Fault.NONE
            for entry in platform.entries:
                self.assertEqual(entry.crash_registry.suspect_by_key, {})
            answer = await platform.get('/q/a', request_id='after')
            self.assertEqual(answer.status_code, 200)

        on_platform(check)

    def test_innocent_beside_servers_that_end_by_themselves_is_served(self):
        async def check(platform):
            await held_fleet(platform)
            statuses = []
            for number in range(12):
                if number % 4 == 0:
                    # One server ends for a cause of its own.
                    name = next(iter(platform.worker_by_id))
                    platform.worker_by_id.pop(name).process.cancel()
                answer = await platform.get(
                    f'/q/{number}', number % INSTANCES, request_id=f'r{number}'
                )
                statuses.append(answer.status_code)
                await trio.sleep(0.05)
            self.assertEqual(set(statuses), {200})

        on_platform(check)

    def test_server_that_leaves_is_no_end(self):
        async def check(platform):
            await held_fleet(platform)
            for worker in platform.worker_by_id.values():
                worker.fault = Fault.RESET
            await ask_often(platform, '/q/a', 0.5)
            store = platform.store
            for name in list(platform.worker_by_id):
                item = store.item_by_key['servers', name]
                status = {**item['status'], 'state': 'draining'}
                store.put('servers', name, item['spec'], status)
            entries = platform.entries
            # A server leaves for seconds: each instance learns of it.
            await wait_for(lambda: all(map(knows_leaving, entries)))
            for name in list(platform.worker_by_id):
                item = store.item_by_key['servers', name]
                born = {**item['spec'], 'born': 7}
                store.put('servers', name, born, {**item['status'], 'state': 'ready'})
            await wait_for(lambda: not any(map(knows_leaving, entries)))
            for entry in entries:
                self.assertEqual(entry.crash_registry.suspect_by_key, {})

        on_platform(check)


def broken(server: str, at: float) -> BrokenRequest:
    """Return a request whose connection broke at a server."""
    return BrokenRequest(server, RequestKey('t', 'c'), 'q', False, at)


def backend(port: int, **fields: object) -> Backend:
    """Return a server at a port."""
    return Backend('limits', 'zone-a', '10.0.0.1', port, **fields)


class BrokenRequestsTest(unittest.TestCase):
    """What is remembered of connections that broke."""

    def test_breaks_are_forgotten_with_time_and_number(self):
        known = BrokenRequests()
        for _ in range(2 * MOST_BREAKS):
            known.add(broken('i-1/1', 10.0))
        self.assertEqual(len(known.take('i-1/1', 10.5)), MOST_BREAKS)
        self.assertEqual(known.take('i-1/1', 10.6), [])
        known.add(broken('i-1/1', 10.0))
        self.assertEqual(known.take('i-1/1', 100.0), [])

    def test_breaks_of_another_start_say_nothing(self):
        known = BrokenRequests()
        known.add(broken('i-1/1', 10.0))
        self.assertEqual(known.take('i-1/2', 10.1), [])
        self.assertEqual(len(known.take('i-1/1', 10.1)), 1)


class StartWatchTest(unittest.TestCase):
    """Which servers are known to have ended."""

    def setUp(self):
        self.watch = StartWatch()
        self.watch.update({'i-1': backend(80, incarnation=1)}, 10.0)

    def test_another_start_shows_the_end_of_the_one_before(self):
        ended = self.watch.update({'i-1': backend(80, incarnation=2)}, 11.0)
        self.assertEqual(ended, ['i-1/1'])

    def test_another_server_at_the_address_does_too(self):
        self.assertEqual(self.watch.update({}, 11.0), [])
        self.assertEqual(self.watch.update({'i-2': backend(80)}, 12.0), ['i-1/1'])

    def test_who_is_only_gone_may_be_out_of_reach(self):
        self.assertEqual(self.watch.update({}, 11.0), [])
        self.assertEqual(self.watch.update({'i-2': backend(81)}, 12.0), [])
        self.assertEqual(self.watch.update({'i-3': backend(80)}, 99.0), [])

    def test_who_leaves_or_changes_otherwise_has_not_ended(self):
        slower = backend(80, incarnation=1, slots=1)
        self.assertEqual(self.watch.update({'i-1': slower}, 11.0), [])
        leaving = backend(80, incarnation=1, draining=True)
        self.assertEqual(self.watch.update({'i-1': leaving}, 12.0), [])
        again = backend(80, incarnation=2)
        self.assertEqual(self.watch.update({'i-1': again}, 13.0), [])


if __name__ == '__main__':
    unittest.main()

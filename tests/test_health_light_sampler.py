"""Connections that load probes open at an instance with little or no load."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

import trio
import trio.testing

from catkinslip.health.sampler import ANSWER_SECONDS, ROUNDS, LoadSampler
from catkinslip.platform.dialect import PlatformDialect
from catkinslip.routing.base import BackendLoad, LoadReport
from catkinslip.routing.router import ServiceRouter
from tests.builders import ignored_reach
from tests.subset_builders import SLOTS, backends_of_zones, end, subset_router

#: Seconds after which the servers close idle connections.
IDLE_SECONDS = 10.0
SECONDS = 30
SERVERS = 220
INSTANCES = 121
#: An instance outside the home sets may send one probe to each server in 21 s.
BUDGET_DIVISOR = 1000.0


class CountingPool:
    """Pool that counts the connections that it would open; each carries one probe."""

    def __init__(self, clock: Callable[[], float]):
        """Remember the clock."""
        self.clock = clock
        self.opened = 0
        self.used_at: dict[str, float] = {}

    def is_full(self, address: str) -> bool:
        """Return that there is no limit."""
        return False

    def has_idle(self, address: str) -> bool:
        """Return whether a connection was used in the last seconds."""
        return self.clock() - self.used_at.get(address, -100.0) < IDLE_SECONDS

    def use(self, address: str) -> None:
        """Use an idle connection, or open one."""
        self.opened += not self.has_idle(address)
        self.used_at[address] = self.clock()


class OneProbe(LoadSampler):
    """Sampler whose probes are answered at once, half of them by full servers."""

    async def _exchange(self, router: ServiceRouter, load: BackendLoad) -> bool:
        self.pool.use(load.backend_id)
        now = self.clock.monotonic()
        is_full = (hash_of(load.backend_id) + int(now / 0.3)) % 2
        report = LoadReport(SLOTS if is_full else 0, 1.0)
        router.apply_peer_report(load.backend_id, report, now)
        return True


class NoAnswer(OneProbe):
    """Sampler whose probes are not answered."""

    async def _exchange(self, router: ServiceRouter, load: BackendLoad) -> bool:
        await trio.sleep(IDLE_SECONDS)
        return False


def hash_of(backend_id: str) -> int:
    """Return a number that is odd for half of the servers."""
    return int(backend_id.split('-')[1]) // 3


class LittleLoadTest(unittest.TestCase):
    """An instance with one request a second opens few connections.

    It probed up to nine servers for each request, each time others, and opened 40 to
    100 connections in 10 s for 10 to 20 requests.
    """

    def setUp(self):
        self.make = OneProbe
        self.waited = 0.0

    def play(
        self, *, uses_subset: bool, seconds: int, calls_per_second: int = 1
    ) -> int:
        """Return the connections that the requests of some seconds open."""

        async def run() -> int:
            router = subset_router(0, SERVERS, INSTANCES)
            router.subset.is_enabled = uses_subset
            clock = SimpleNamespace(monotonic=trio.current_time)
            pool = CountingPool(trio.current_time)
            router.is_connected = lambda load: pool.has_idle(load.backend_id)
            names = backends_of_zones(SERVERS)
            health = SimpleNamespace(
                directory=SimpleNamespace(
                    address_by_backend={name: name for name in names},
                    router_by_service={'limits': router},
                ),
                key_by_id=names,
                rank=lambda router, tried: router.rank(trio.current_time(), tried),
                **ignored_reach(),
            )
            sampler = self.make(
                health, pool, clock, PlatformDialect(), 60.0, lambda: BUDGET_DIVISOR
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                await trio.testing.wait_all_tasks_blocked()
                for _ in range(seconds * calls_per_second):
                    await trio.sleep(1 / calls_per_second)
                    began = trio.current_time()
                    await sampler.refresh(router, ())
                    self.waited = max(self.waited, trio.current_time() - began)
                    chosen = router.choose(trio.current_time()).backend_id
                    router.started(chosen, trio.current_time())
                    pool.use(chosen)
                    end(router, [chosen], trio.current_time())
                nursery.cancel_scope.cancel()
            return pool.opened

        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_one_request_a_second_opens_few_connections(self):
        # Half of the servers are full: two probes find a server with room, and the
        # request uses the connection of the second.
        opened = self.play(uses_subset=True, seconds=SECONDS)
        self.assertLessEqual(opened, 2 * SECONDS)
        before = self.play(uses_subset=False, seconds=SECONDS)
        self.assertLess(opened, 0.6 * before)

    def test_silent_servers_delay_a_call_no_longer_than_before(self):
        # One server at a time: six rounds without an answer would take 0.18 s of the
        # 0.34 s in which some answers are wanted.
        self.make = NoAnswer
        self.play(uses_subset=True, seconds=1)
        self.assertLess(self.waited, (ROUNDS + 0.5) * ANSWER_SECONDS)

    def test_restarted_instances_open_few_connections_in_two_seconds(self):
        # All instances restart at once, without any report or connection.
        opened = self.play(uses_subset=True, seconds=2, calls_per_second=3)
        before = self.play(uses_subset=False, seconds=2, calls_per_second=3)
        self.assertLessEqual(opened, 2 * 6)
        self.assertLess(opened, 0.6 * before)


if __name__ == '__main__':
    unittest.main()

"""Sequential and overlapping faults, drawn from a seeded generator."""

import signal
from collections.abc import Awaitable, Callable

import trio
from attrs import Factory, define

from soak.links import Link, LinkFault
from soak.world import STOP_SECONDS, Instance, World
from soak.zones import STABLE_SECONDS
from standins.workers import Fault

RESTART_SECONDS = 0.3
SHORT_SECONDS = (0.2, 2.0)
#: Startup time of the interpreter, in seconds. A program cannot ignore a signal that
#: ends it by default before its first line runs.
INTERPRETER_SECONDS = 0.05
#: Maximum number of faults that are active at the same time.
MAX_ACTIVE_FAULTS = 3
#: Faults that make the store unreachable or slow, or stop an instance. They excuse
#: late reactions.
DISTURBING = frozenset(
    {
        'pause',
        'cut_store',
        'refuse_store',
        'slow_store',
        'forget_history',
        'stop',
        'kill',
    }
)
#: Faults after which an instance has to receive the advertised rates of servers again.
RESTARTING = frozenset({'pause', 'stop', 'kill'})


@define
class FaultPlayer:
    """Injector of random faults into links, servers, instances and the store."""

    world: World
    played: list[str] = Factory(list)
    violations: list[str] = Factory(list)
    limiter: trio.CapacityLimiter = Factory(
        lambda: trio.CapacityLimiter(MAX_ACTIVE_FAULTS)
    )

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait until all have ended."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                fault = self.world.random.choice(self._faults())
                nursery.start_soon(self._play, fault)
                await trio.sleep(self.world.random.uniform(0.1, 0.8))

    def _faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return (
            self.kill,
            self.stop,
            self.pause,
            self.hang_up,
            self.cut_store,
            self.cut_worker,
            self.break_worker,
            self.slow_worker,
            self.drain_worker,
            self.refuse_store,
            self.slow_store,
            self.forget_history,
            self.change_config,
        )

    async def _play(self, fault: Callable[[], Awaitable[None]]) -> None:
        async with self.limiter:
            self.played.append(fault.__name__)
            began = trio.current_time()
            await fault()
            if fault.__name__ in DISTURBING:
                ended = trio.current_time() + STABLE_SECONDS
                self.world.disturbances.append((began, ended))
                if fault.__name__ in RESTARTING:
                    self.world.restarts.append((began, ended))

    def _instance(self) -> Instance | None:
        free = [each for each in self.world.instances if not each.exit_reason]
        # At least one instance keeps running.
        return self.world.random.choice(free) if len(free) > 1 else None

    async def _wait_for_short_time(self) -> None:
        await trio.sleep(self.world.random.uniform(*SHORT_SECONDS))

    async def kill(self) -> None:
        """Kill an instance with SIGKILL and restart it."""
        instance = self._instance()
        if instance is not None:
            instance.send(signal.SIGKILL, 'killed')
            await self._restart(instance)

    async def stop(self) -> None:
        """Stop an instance with SIGTERM, check its exit, and restart it."""
        instance = self._instance()
        if instance is None:
            return
        expected = {0, -signal.SIGKILL}
        if not await self._is_listening(instance):
            # The instance has accepted no request yet, so the default action of the
            # signal interrupts none.
            expected.add(-signal.SIGTERM)
        instance.send(signal.SIGTERM, 'stopped')
        with trio.move_on_after(2 * STOP_SECONDS) as scope:
            await self._wait_for_end(instance)
        if scope.cancelled_caught:
            self.violations.append(f'{instance.name} did not exit after SIGTERM')
            instance.send(signal.SIGKILL)
        elif instance.process.returncode not in expected:
            code = instance.process.returncode
            self.violations.append(f'{instance.name} exited with {code} after SIGTERM')
        await self._restart(instance)

    async def _is_listening(self, instance: Instance) -> bool:
        try:
            stream = await trio.open_tcp_stream(
                '127.0.0.1', instance.port_by_name['ready']
            )
        except OSError:
            return False
        await stream.aclose()
        return True

    async def _wait_for_end(self, instance: Instance) -> None:
        while instance.process.poll() is None:
            await trio.sleep(0.05)

    async def _restart(self, instance: Instance) -> None:
        await self._wait_for_end(instance)
        await trio.sleep(RESTART_SECONDS)
        instance.start()

    async def pause(self) -> None:
        """Suspend an instance with SIGSTOP for a while, then resume it."""
        instance = self._instance()
        if instance is None or instance.is_paused:
            return
        instance.is_paused = True
        instance.send(signal.SIGSTOP)
        await self._wait_for_short_time()
        instance.send(signal.SIGCONT)
        instance.is_paused = False

    async def hang_up(self) -> None:
        """Send SIGHUP to an instance, which makes it reload its settings."""
        instance = self._instance()
        if instance is None or instance.process.poll() is not None:
            return
        if trio.current_time() - instance.started_at >= INTERPRETER_SECONDS:
            instance.send(signal.SIGHUP)

    async def _break_link(self, link: Link) -> None:
        faults = [each for each in LinkFault if each is not LinkFault.NONE]
        await link.set_fault(self.world.random.choice(faults))
        await self._wait_for_short_time()
        await link.set_fault(LinkFault.NONE)

    async def cut_store(self) -> None:
        """Break the link between one instance and the store for a while."""
        await self._break_link(
            self.world.random.choice(self.world.instances).store_link
        )

    async def cut_worker(self) -> None:
        """Break the link between all instances and one server for a while."""
        links = list(self.world.link_by_worker.values())
        await self._break_link(self.world.random.choice(links))

    async def break_worker(self) -> None:
        """Make a server shed, reset, truncate, mix up or drop requests for a while."""
        worker = self.world.random.choice(list(self.world.worker_by_id.values()))
        worker.fault = self.world.random.choice(list(Fault))
        await self._wait_for_short_time()
        worker.fault = Fault.NONE

    async def slow_worker(self) -> None:
        """Slow a server down by a factor of 2, 4 or 20 for a while."""
        worker = self.world.random.choice(list(self.world.worker_by_id.values()))
        worker.percent = self.world.random.choice((200, 400, 2000))
        await self._wait_for_short_time()
        worker.percent = 100

    async def drain_worker(self) -> None:
        """Register a server as draining, remove it, and register it as ready again."""
        server_id = self.world.random.choice(list(self.world.worker_by_id))
        self.world.register(server_id, 'draining')
        await self._wait_for_short_time()
        self.world.store.remove('servers', server_id)
        await self._wait_for_short_time()
        self.world.register(server_id, 'ready')

    async def refuse_store(self) -> None:
        """Make the store refuse all calls for a while."""
        faults = self.world.store.faults
        faults.refuse_with = self.world.random.choice((429, 503))
        await self._wait_for_short_time()
        faults.refuse_with = 0

    async def slow_store(self) -> None:
        """Delay the answers of the store for a while."""
        self.world.store.faults.delay = self.world.random.uniform(0.1, 1.5)
        await self._wait_for_short_time()
        self.world.store.faults.delay = 0.0

    async def forget_history(self) -> None:
        """Make the store drop its history."""
        self.world.store.forget_history()

    async def change_config(self) -> None:
        """Write a newer configuration into the store."""
        self.world.put_config()

"""Faults in series and overlapping, drawn from a seed."""

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
#: Before its first line no program can ignore a signal whose default ends it.
INTERPRETER_SECONDS = 0.05
#: Faults that run at the same time.
MOST_AT_ONCE = 3
#: Faults of the store or of an instance's time, which excuse what is late.
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
#: Faults after which an instance learns anew what servers named.
RESTARTING = frozenset({'pause', 'stop', 'kill'})


@define
class FaultPlayer:
    """Play faults until told to end, then wait until all are over."""

    world: World
    played: list[str] = Factory(list)
    violations: list[str] = Factory(list)
    limiter: trio.CapacityLimiter = Factory(lambda: trio.CapacityLimiter(MOST_AT_ONCE))

    async def run(self, seconds: float) -> None:
        """Play faults for some seconds."""
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
        free = [each for each in self.world.instances if not each.may_end]
        # One instance at least goes on.
        return self.world.random.choice(free) if len(free) > 1 else None

    async def _for_a_while(self) -> None:
        await trio.sleep(self.world.random.uniform(*SHORT_SECONDS))

    async def kill(self) -> None:
        """Kill an instance and start it again."""
        instance = self._instance()
        if instance is not None:
            instance.send(signal.SIGKILL, 'killed')
            await self._start_again(instance)

    async def stop(self) -> None:
        """Stop an instance as planned; it must end by itself in time."""
        instance = self._instance()
        if instance is None:
            return
        expected = {0, -signal.SIGKILL}
        if not await self._listens(instance):
            # Nothing was taken on yet, so the signal's default cuts nothing.
            expected.add(-signal.SIGTERM)
        instance.send(signal.SIGTERM, 'stopped')
        with trio.move_on_after(2 * STOP_SECONDS) as scope:
            await self._wait_for_end(instance)
        if scope.cancelled_caught:
            self.violations.append(f'{instance.name} did not end after SIGTERM')
            instance.send(signal.SIGKILL)
        elif instance.process.returncode not in expected:
            code = instance.process.returncode
            self.violations.append(f'{instance.name} ended with {code} after SIGTERM')
        await self._start_again(instance)

    async def _listens(self, instance: Instance) -> bool:
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

    async def _start_again(self, instance: Instance) -> None:
        await self._wait_for_end(instance)
        await trio.sleep(RESTART_SECONDS)
        instance.start()

    async def pause(self) -> None:
        """Freeze an instance and let it go on."""
        instance = self._instance()
        if instance is None or instance.is_paused:
            return
        instance.is_paused = True
        instance.send(signal.SIGSTOP)
        await self._for_a_while()
        instance.send(signal.SIGCONT)
        instance.is_paused = False

    async def hang_up(self) -> None:
        """Tell an instance that its settings changed."""
        instance = self._instance()
        if instance is None or instance.process.poll() is not None:
            return
        if trio.current_time() - instance.started_at >= INTERPRETER_SECONDS:
            instance.send(signal.SIGHUP)

    async def _break_link(self, link: Link) -> None:
        faults = [each for each in LinkFault if each is not LinkFault.NONE]
        await link.set_fault(self.world.random.choice(faults))
        await self._for_a_while()
        await link.set_fault(LinkFault.NONE)

    async def cut_store(self) -> None:
        """Break the link of one instance to the store."""
        await self._break_link(
            self.world.random.choice(self.world.instances).store_link
        )

    async def cut_worker(self) -> None:
        """Break the link of all instances to one server."""
        links = list(self.world.link_by_worker.values())
        await self._break_link(self.world.random.choice(links))

    async def break_worker(self) -> None:
        """Let a server shed, reset, cut, mix up or swallow requests."""
        worker = self.world.random.choice(list(self.world.worker_by_id.values()))
        worker.fault = self.world.random.choice(list(Fault))
        await self._for_a_while()
        worker.fault = Fault.NONE

    async def slow_worker(self) -> None:
        """Let a server take some times as long."""
        worker = self.world.random.choice(list(self.world.worker_by_id.values()))
        worker.percent = self.world.random.choice((200, 400, 2000))
        await self._for_a_while()
        worker.percent = 100

    async def drain_worker(self) -> None:
        """Let a server announce that it leaves, go, and come back as ready."""
        server_id = self.world.random.choice(list(self.world.worker_by_id))
        self.world.register(server_id, 'draining')
        await self._for_a_while()
        self.world.store.remove('servers', server_id)
        await self._for_a_while()
        self.world.register(server_id, 'ready')

    async def refuse_store(self) -> None:
        """Let the store refuse all calls."""
        faults = self.world.store.faults
        faults.refuse_with = self.world.random.choice((429, 503))
        await self._for_a_while()
        faults.refuse_with = 0

    async def slow_store(self) -> None:
        """Let the store take its time."""
        self.world.store.faults.delay = self.world.random.uniform(0.1, 1.5)
        await self._for_a_while()
        self.world.store.faults.delay = 0.0

    async def forget_history(self) -> None:
        """Let the store drop its history."""
        self.world.store.forget_history()

    async def change_config(self) -> None:
        """Write a newer configuration."""
        self.world.put_config()

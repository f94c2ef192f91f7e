"""Running of the daemon: its listeners, its tasks and its shutdown."""

import gc
from functools import partial

import orjson
import trio

from catkinslip.environment import Environment
from catkinslip.lifecycle import Lifecycle, StopRequest
from catkinslip.listeners import Listeners, open_listeners, serve_control
from catkinslip.logs.buffer import LogBuffer
from catkinslip.membership.members import Member
from catkinslip.settings.daemon import DaemonSettings
from catkinslip.wiring.daemon import Daemon, wire
from catkinslip.wiring.shared import Dependencies, open_clients


async def serve(
    settings: DaemonSettings, environment: Environment, log_buffer: LogBuffer
) -> None:
    """Serve callers, peers and operators until a signal stops the daemon."""
    listeners = await open_listeners(settings)
    own = own_member(settings, environment, listeners)
    async with open_clients(settings) as clients:
        daemon = wire(settings, own, Dependencies(environment, clients, log_buffer))
        await run(daemon, listeners, environment)
        await daemon.pool.close()


async def run(daemon: Daemon, listeners: Listeners, environment: Environment) -> None:
    """Run the daemon's tasks until its graceful shutdown has ended."""
    async with trio.open_nursery() as nursery:
        stop = StopRequest()
        await nursery.start(stop.listen)
        nursery.start_soon(serve_control, daemon.control, listeners.control)
        for task in daemon.tasks():
            nursery.start_soon(task)
        freeze_startup_objects()
        announce_ready(daemon.members.own, environment)
        lifecycle = make_lifecycle(daemon, stop)
        await lifecycle.run(daemon.callers.serve, listeners.callers)
        await daemon.peers.announce_stopped()
        nursery.cancel_scope.cancel()


def own_member(
    settings: DaemonSettings, environment: Environment, listeners: Listeners
) -> Member:
    """Return the member record of this instance that its peers receive."""
    return Member(
        settings.instance_id,
        new_incarnation(environment),
        settings.zone,
        listeners.caller_address,
        listeners.control_address,
        region=settings.region,
    )


def new_incarnation(environment: Environment) -> int:
    """Return an incarnation number above those of earlier runs of this instance."""
    microseconds = int(environment.clock.wall() * 1_000_000)
    return microseconds << 10 | environment.random.getrandbits(10)


def make_lifecycle(daemon: Daemon, stop: StopRequest) -> Lifecycle:
    """Return the lifecycle that serves a daemon's callers until a stop request."""
    return Lifecycle(
        stop=stop,
        drain=daemon.callers.drain,
        stop_gate=daemon.callers.stop_gate,
        clock=daemon.callers.environment.clock,
        address_lifetime=daemon.settings.address_lifetime,
        peer_interval=daemon.settings.peer_interval,
        drain_timeout=daemon.settings.drain_timeout,
        leave=partial(leave, daemon),
    )


async def leave(daemon: Daemon) -> None:
    """Notify peers and the platform's list that this instance is leaving."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.peers.announce_leaving)
        nursery.start_soon(daemon.instances.announce)


def freeze_startup_objects() -> None:
    """Exclude the objects created at start from later garbage collections."""
    gc.collect()
    gc.freeze()


def announce_ready(own: Member, environment: Environment) -> None:
    """Print a line of JSON with the addresses that this daemon listens on."""
    line = {
        'event': 'ready',
        'instance': own.member_id,
        'address': own.address,
        'control_address': own.control_address,
    }
    print(orjson.dumps(line).decode(), file=environment.stdout, flush=True)

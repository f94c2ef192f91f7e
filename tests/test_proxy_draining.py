"""Tests of closing idle connections of callers when an instance drains."""

import os
import unittest
from contextlib import asynccontextmanager

import trio
from attrs import define

from catkinslip.proxy.caller_watch import POLL_INTERVAL_SECONDS
from catkinslip.proxy.callers import CallerServer
from catkinslip.proxy.draining import CLOSED_AT_ONCE
from tests.pipeline_builders import (
    CallerConnection,
    get,
    post,
    running_proxy,
)

MANY = 20 * CLOSED_AT_ONCE


@define(eq=False)
class StepHook(trio.abc.Instrument):
    """Instrument that calls a function after each step of one task."""

    task: trio.lowlevel.Task | None = None
    after_step: object = None

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        if task is self.task and self.after_step is not None:
            self.after_step()


@asynccontextmanager
async def idle_callers(count: int, **limits):
    """Run a caller server with idle connections that have carried a request each."""
    async with running_proxy(**limits) as proxy:
        callers = [await proxy.connect() for _ in range(count)]
        for number, caller in enumerate(callers):
            await caller.send(get(f'/first-{number}'))
            proxy.forwarder.release(f'/first-{number}')
        for caller in callers:
            await caller.read()
        await wait_until_idle(proxy.server, count)
        yield proxy, callers


async def wait_until_idle(server: CallerServer, count: int) -> None:
    """Wait until this many connections wait for a request."""
    while sum(wire.idle_scope is not None for wire in server.drain.open_wires) < count:
        await trio.sleep(0.001)


async def close_idle_beside(server: CallerServer, after_step) -> None:
    """Close idle connections and call a function after each step of the close.

    The function runs before any task of a connection that is closed.
    """
    server.drain.start_closing()
    hook = StepHook(trio.lowlevel.current_task(), after_step)
    trio.lowlevel.add_instrument(hook)
    try:
        await server.drain.close_idle()
    finally:
        trio.lowlevel.remove_instrument(hook)


def send_now(caller: CallerConnection, data: bytes) -> None:
    """Write bytes to a connection without a task switch."""
    os.write(caller.stream.socket.fileno(), data)


def run(check):
    """Return a test method that runs an async one."""

    def test(self):
        trio.run(check, self)

    test.__doc__ = check.__doc__
    return test


class CloseIdleTest(unittest.TestCase):
    """Idle connections are closed when an instance stops."""

    # Guards against an instance that takes its own shutdown of a connection for its
    # caller's, and resets the connection under a request that a server runs.

    @run
    async def test_request_that_crosses_the_close_is_not_cut_as_if_its_caller_left(
        self,
    ):
        await self.check_crossing(max_pipelined_requests=1)

    @run
    async def test_request_that_crosses_the_close_is_answered_also_with_pipelining(
        self,
    ):
        await self.check_crossing(max_pipelined_requests=8)

    async def check_crossing(self, **limits: int) -> None:
        """Send requests between the end of each wait and the last read."""
        async with idle_callers(CLOSED_AT_ONCE, **limits) as (proxy, callers):
            paths = [f'/late-{number}' for number in range(len(callers))]
            unsent = dict(zip(paths, callers, strict=True))

            def send_all() -> None:
                while unsent:
                    path, caller = unsent.popitem()
                    send_now(caller, post(path))

            await close_idle_beside(proxy.server, send_all)
            with trio.fail_after(5.0):
                await proxy.forwarder.wait_for_start(*paths)
            # The watch of callers looks at each connection meanwhile.
            await trio.sleep(4 * POLL_INTERVAL_SECONDS)
            self.assertEqual(proxy.forwarder.cancelled, set())
            proxy.forwarder.release(*paths)
            for path, caller in zip(paths, callers, strict=True):
                status, headers, body = await caller.read()
                self.assertEqual((status, body), (200, path.encode()))
                self.assertEqual(headers[b'connection'], b'close')

    @run
    async def test_idle_connections_end_without_a_reset(self):
        async with idle_callers(MANY) as (proxy, callers):
            proxy.server.drain.start_closing()
            await proxy.server.drain.close_idle()
            for caller in callers:
                self.assertEqual(await caller.stream.receive_some(1), b'')
                await caller.stream.aclose()
            with trio.fail_after(5.0):
                await proxy.server.drain.wait_until_closed()

    @run
    async def test_connection_that_is_being_closed_does_no_harm(self):
        # Guards against an error of a closed socket that ends the instance.
        async with idle_callers(2) as (proxy, callers):
            first, _ = proxy.server.drain.open_wires
            proxy.server.drain.start_closing()
            # Its task still waits, so it is closed but still registered.
            await trio.aclose_forcefully(first.stream)
            await proxy.server.drain.close_idle()
            for caller in callers:
                self.assertEqual(await caller.stream.receive_some(1), b'')

    @run
    async def test_other_tasks_run_while_thousands_of_connections_are_closed(self):
        # Guards against ready answers that wait until all connections are closed.
        async with idle_callers(MANY) as (proxy, _):
            scopes = [wire.idle_scope for wire in proxy.server.drain.open_wires]
            ended_by_step = []

            def count() -> None:
                ended = sum(scope.cancel_called for scope in scopes)
                ended_by_step.append(ended - sum(ended_by_step))

            await close_idle_beside(proxy.server, count)
            self.assertEqual(sum(ended_by_step), MANY)
            self.assertLessEqual(max(ended_by_step), CLOSED_AT_ONCE)

    @run
    async def test_connections_that_are_idle_for_longest_are_closed_first(self):
        async with idle_callers(3 * CLOSED_AT_ONCE) as (proxy, callers):
            newest = callers[:CLOSED_AT_ONCE]
            for number, caller in enumerate(newest):
                await caller.send(get(f'/second-{number}'))
                proxy.forwarder.release(f'/second-{number}')
                await caller.read()
            await wait_until_idle(proxy.server, len(callers))
            open_ports = []
            port_by_wire = {
                wire: wire.stream.socket.getpeername()[1]
                for wire in proxy.server.drain.open_wires
            }

            def record() -> None:
                open_ports.append(
                    {
                        port
                        for wire, port in port_by_wire.items()
                        if wire.idle_scope is not None
                        and not wire.idle_scope.cancel_called
                    }
                )

            await close_idle_beside(proxy.server, record)
            newest_ports = {each.stream.socket.getsockname()[1] for each in newest}
            last = [ports for ports in open_ports if ports][-1]
            self.assertLessEqual(last, newest_ports)

    @run
    async def test_connection_that_becomes_idle_during_the_close_ends(self):
        # Guards against a connection that stays open until the end of the stop and is
        # cut there under a request.
        async with running_proxy() as proxy:
            proxy.server.drain.is_closing_idle = True
            caller = await proxy.connect()
            with trio.fail_after(5.0):
                self.assertEqual(await caller.stream.receive_some(1), b'')


class IdleTimeoutTest(unittest.TestCase):
    """Connections that are idle for too long are closed."""

    @run
    async def test_request_that_crosses_the_idle_timeout_is_answered(self):
        # Guards against a reset of a request that arrived before the close.
        async with idle_callers(1) as (proxy, (caller,)):
            (wire,) = proxy.server.drain.open_wires
            wire.idle_scope.deadline = trio.current_time() - 1.0
            send_now(caller, get('/late'))
            await proxy.forwarder.wait_for_start('/late')
            proxy.forwarder.release('/late')
            self.assertEqual((await caller.read())[2], b'/late')


if __name__ == '__main__':
    unittest.main()

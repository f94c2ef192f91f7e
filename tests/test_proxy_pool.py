"""Tests of acquiring idle connections while the pool is trimmed."""

import unittest

import trio

from catkinslip.models import Address
from catkinslip.page_client import PageClient
from catkinslip.proxy.pool import BackendPool
from standins.raw import RawBackend

GENEROUS_SECONDS = 20.0
#: trio runs the tasks of one step in random order, so each check is repeated.
TRIES = 20


class ClosableServer:
    """A server that records its connections, so that a test can close each."""

    def __init__(self) -> None:
        self.backend = RawBackend()
        self.streams: list[trio.SocketStream] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.streams.append(stream)
        await self.backend.serve(stream)


async def make_pool_with_two_idle(
    nursery: trio.Nursery,
) -> tuple[BackendPool, Address, ClosableServer]:
    """Return a pool with two idle connections, their address and their server."""
    pool, server = BackendPool(), ClosableServer()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
    client = PageClient(pool)
    async with trio.open_nursery() as requests:
        for _ in range(2):
            requests.start_soon(client.send, address, '/', GENEROUS_SECONDS)
    return pool, address, server


def run(check) -> None:
    """Run an async check TRIES times."""

    async def run_checks():
        with trio.fail_after(GENEROUS_SECONDS):
            for _ in range(TRIES):
                async with trio.open_nursery() as nursery:
                    await check(nursery)
                    nursery.cancel_scope.cancel()

    trio.run(run_checks)


class TrimTest(unittest.TestCase):
    """A connection belongs to one request, even while the pool is trimmed."""

    async def _acquire_and_trim(self, pool, address):
        acquired = []

        async def acquire():
            acquired.append(await pool.acquire(address))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(acquire)
            nursery.start_soon(pool.trim)
        return acquired[0]

    def test_connection_that_trimming_closed_is_not_used(self):
        async def check(nursery):
            pool, address, server = await make_pool_with_two_idle(nursery)
            for stream in server.streams:
                await stream.send_eof()
            await trio.sleep(0.01)
            wire = await self._acquire_and_trim(pool, address)
            self.assertFalse(wire.is_reused)

        run(check)

    def test_connection_is_not_given_to_two_requests(self):
        async def check(nursery):
            pool, address, server = await make_pool_with_two_idle(nursery)
            idle = pool.connections_by_address[address].idle
            last = idle[-1].wire.stream.socket.getsockname()
            for stream in server.streams:
                if stream.socket.getpeername() == last:
                    await stream.send_eof()
            await trio.sleep(0.01)
            first = await self._acquire_and_trim(pool, address)
            second = await pool.acquire(address)
            self.assertIsNot(first, second)

        run(check)

"""Tests of the reason in the log for requests that end without an answer."""

import unittest
from unittest import mock

import trio

from catkinslip.proxy import read_ahead
from catkinslip.proxy.outcomes import Reason, Unknown
from tests.builders import caller_server
from tests.pipeline_builders import (
    GENEROUS_SECONDS,
    CallerConnection,
    PipeliningProxy,
    ScriptedForwarder,
    get,
    running_proxy,
)


def named(number: int) -> bytes:
    """Return a request with a number as its path and in its ID."""
    return get(f'/{number}', f'Catkinslip-Request-Id: id-{number}')


async def wait_until_closed(proxy: PipeliningProxy) -> None:
    """Wait until all connections are closed."""
    while proxy.server.connections:
        await trio.sleep(0.01)


def run(check):
    """Return a test method that runs an async one."""

    def test(self):
        trio.run(check, self)

    test.__doc__ = check.__doc__
    return test


class CallerLeftTest(unittest.TestCase):
    """The log says that a caller left only if the caller closed first."""

    def check_reasons(self, output: list[str], *reasons: Reason) -> None:
        """Check the reasons with which the requests 1, 2 and so on ended."""
        for number, reason in enumerate(reasons, 1):
            lines = [each for each in output if f' id-{number} ' in each]
            self.assertEqual(len(lines), 1, output)
            self.assertIn(f' ended as unknown, {reason.slug}.', lines[0])

    # Guards against lines that name a caller's leaving, which nobody saw, for what this
    # instance closed itself.

    @run
    async def test_request_cut_at_the_end_of_a_stop_is_not_logged_as_caller_left(self):
        forwarder = ScriptedForwarder()
        server = caller_server(forwarder)
        with self.assertLogs('request', 'INFO') as logs:
            with trio.fail_after(GENEROUS_SECONDS):
                async with trio.open_nursery() as nursery:
                    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
                    port = listeners[0].socket.getsockname()[1]
                    caller = CallerConnection(
                        await trio.open_tcp_stream('127.0.0.1', port)
                    )
                    await caller.send(named(1))
                    await forwarder.wait_for_start('/1')
                    nursery.cancel_scope.cancel()
            await caller.stream.aclose()
        self.check_reasons(logs.output, Reason.CONNECTION_CLOSED)

    @run
    async def test_requests_behind_a_broken_answer_are_not_logged_as_caller_left(self):
        async with running_proxy() as proxy:
            proxy.forwarder.cut_paths = {'/1'}
            proxy.forwarder.outcome_by_path['/1'] = Unknown(Reason.BROKEN)
            caller = await proxy.connect()
            with self.assertLogs('request', 'INFO') as logs:
                await caller.send(named(1), named(2), named(3))
                await proxy.forwarder.wait_for_start('/1', '/2', '/3')
                proxy.forwarder.release('/1')
                await wait_until_closed(proxy)
            self.check_reasons(
                logs.output,
                Reason.BROKEN,
                Reason.CONNECTION_CLOSED,
                Reason.CONNECTION_CLOSED,
            )

    @run
    async def test_held_answer_that_is_not_read_is_not_logged_as_caller_left(self):
        limits = dict.fromkeys(
            ('max_pipelined_bytes', 'max_instance_pipelined_bytes'), 1 << 30
        )
        async with running_proxy(**limits) as proxy:
            proxy.forwarder.body_by_path['/2'] = bytes(64 << 20)
            caller = await proxy.connect()
            with self.assertLogs('request', 'INFO') as logs:
                await caller.send(get('/1'), named(2))
                proxy.forwarder.release('/2')
                await proxy.forwarder.wait_for_end('/2')
                with mock.patch.object(read_ahead, 'HELD_SEND_SECONDS', 0.1):
                    proxy.forwarder.release('/1')
                    await wait_until_closed(proxy)
            lines = [each for each in logs.output if ' id-2 ' in each]
            self.assertIn(' ended as unknown, connection-closed.', lines[-1])

    @run
    async def test_each_request_of_a_caller_that_left_is_logged_as_caller_left(self):
        async with running_proxy() as proxy:
            caller = await proxy.connect()
            with self.assertLogs('request', 'INFO') as logs:
                await caller.send(named(1), named(2), named(3))
                await proxy.forwarder.wait_for_start('/1', '/2', '/3')
                await caller.stream.aclose()
                await wait_until_closed(proxy)
            self.check_reasons(logs.output, *[Reason.CALLER_LEFT] * 3)

    @run
    async def test_caller_that_closes_its_sending_half_counts_as_left(self):
        # The one place that decides is CallerWatch; REQUESTS.md says so to callers.
        async with running_proxy() as proxy:
            caller = await proxy.connect()
            with self.assertLogs('request', 'INFO') as logs:
                await caller.send(named(1))
                await proxy.forwarder.wait_for_start('/1')
                await caller.stream.send_eof()
                await wait_until_closed(proxy)
            self.check_reasons(logs.output, Reason.CALLER_LEFT)


if __name__ == '__main__':
    unittest.main()

"""Tests of connections that an instance closes while its callers still send."""

import json
import signal
import unittest

import trio

from catkinslip.cli.application import run
from catkinslip.models import Address
from standins.processes import Process
from standins.raw import RawAnswer, RawBackend, ok
from tests.builders import document_plain
from tests.small_fleet import new_process_group

TIMEOUT_SECONDS = 30
CALLERS = 20
#: More than the buffers of a caller, so that the rest waits in those of the instance.
BODY = b'x' * (2 << 20)
CHANGE = b'POST /a HTTP/1.1\r\nHost: limits\r\nContent-Length: 2\r\n\r\nhi'
GET = b'GET /a HTTP/1.1\r\nHost: limits\r\n\r\n'
READ_BYTES = 64 << 10
#: Pause of a slow reader after each part, in seconds; it reads all in a second.
READ_SECONDS = 0.02


class DrainCloseTest(unittest.TestCase):
    """An instance stops while callers have sent a request behind a change."""

    def setUp(self):
        self.group = new_process_group(self)

    def start_daemon(self, port: int, pipelined: int) -> Process:
        platform_url = f'http://{self.group.start_platform().address}'
        path = self.group.folder / 'document.json'
        plain = document_plain({'limits-1': f'127.0.0.1:{port}'}, slots=CALLERS)
        path.write_text(json.dumps(plain))
        run(['apply', str(path), '--platform-url', platform_url, '--quiet'])
        return self.group.start_daemon(
            'entry-1',
            'zone-a',
            platform_url=platform_url,
            max_pipelined_requests=pipelined,
        )

    # Guards against a close with unread bytes: it resets the connection, and what waits
    # to be sent of a ready answer is lost.

    def test_slow_readers_get_their_whole_answer_from_an_instance_that_stops(self):
        self.check(max_pipelined_requests=1)

    def test_slow_readers_get_their_whole_answer_also_with_pipelining(self):
        self.check(max_pipelined_requests=8)

    def check(self, max_pipelined_requests: int) -> None:
        lengths = trio.run(self.stop_under_changes, max_pipelined_requests)
        self.assertEqual(lengths, [len(BODY)] * CALLERS)

    async def stop_under_changes(self, pipelined: int) -> list[int]:
        backend = RawBackend()
        lengths = []
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                daemon = await trio.to_thread.run_sync(
                    self.start_daemon, port, pipelined
                )
                address = Address.parse(daemon.address)
                await wait_until_served(address)
                backend.answers = [RawAnswer(ok(BODY).data, waits=True)] * CALLERS
                backend.heads = []
                async with trio.open_nursery() as callers:
                    for _ in range(CALLERS):
                        callers.start_soon(read_slowly, address, backend, lengths)
                    while len(backend.heads) < CALLERS:
                        await trio.sleep(0.01)
                    daemon.send_signal(signal.SIGINT)
                    while 'lifecycle: ending' not in daemon.log_path.read_text():
                        await trio.sleep(0.01)
                    backend.resumed.set()
                nursery.cancel_scope.cancel()
        return lengths


async def wait_until_served(address: Address) -> None:
    """Send requests until one is answered by the backend server."""
    answer = b''
    while not answer.startswith(b'HTTP/1.1 200'):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(GET)
            answer = await stream.receive_some()
        await trio.sleep(0.02)


async def read_slowly(address: Address, backend: RawBackend, lengths: list) -> None:
    """Send a change and a request behind it; record the length of the first body."""
    data = b''
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(CHANGE)
        await backend.resumed.wait()
        try:
            data = await stream.receive_some(READ_BYTES)
            await stream.send_all(GET)
            async for part in stream:
                data += part
                await trio.sleep(READ_SECONDS)
        except trio.BrokenResourceError:
            pass
    lengths.append(len(data.partition(b'\r\n\r\n')[2]))

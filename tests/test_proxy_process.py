"""Tests of the request path of a daemon process with a faulty backend server."""

import json
import unittest

import trio

from catkinslip.cli.application import run
from catkinslip.models import Address
from standins.raw import CLOSE, WAIT, RawAnswer, RawBackend, ok
from tests.builders import document_plain
from tests.small_fleet import new_process_group

TIMEOUT_SECONDS = 30
GET = b'GET /a HTTP/1.1\r\nHost: limits\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nHost: limits\r\nContent-Length: 2\r\n\r\nhi'
CUT = RawAnswer(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc', closes=True)


class DaemonPathTest(unittest.TestCase):
    """Callers that disconnect, truncated answers and connections closed when idle."""

    def setUp(self):
        self.group = new_process_group(self)

    def start_daemon(self, backend_address: str) -> Address:
        platform_url = f'http://{self.group.start_platform().address}'
        # Long timeouts, so that only the caller watch can end a request here.
        daemon = self.group.start_daemon(
            'entry-1',
            'zone-a',
            platform_url=platform_url,
            request_timeout=600,
            drain_timeout=600,
        )
        path = self.group.folder / 'document.json'
        path.write_text(
            json.dumps(document_plain({'limits-1': backend_address}, timeout=600))
        )
        run(['apply', str(path), '--platform-url', platform_url, '--quiet'])
        return Address.parse(daemon.address)

    def test_faults_of_a_backend_and_a_caller(self):
        trio.run(self.check_faults, RawBackend())

    async def check_faults(self, backend: RawBackend):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, backend.serve, 0)
            port = listeners[0].socket.getsockname()[1]
            address = await trio.to_thread.run_sync(
                self.start_daemon, f'127.0.0.1:{port}'
            )
            with trio.fail_after(TIMEOUT_SECONDS):
                while not (await self.send_request(address, GET)).startswith(
                    b'HTTP/1.1 200'
                ):
                    await trio.sleep(0.05)
                await self.check_cut_answer(backend, address)
                await self.check_closed_connection(backend, address)
                await self.check_disconnecting_caller(backend, address)
            nursery.cancel_scope.cancel()

    async def send_request(self, address: Address, request: bytes) -> bytes:
        """Return the answer's bytes, followed by RESET if the connection was reset."""
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(
            request.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        )
        data = b''
        try:
            async for part in stream:
                data += part
        except trio.BrokenResourceError:
            data += b'RESET'
        await stream.aclose()
        return data

    async def check_cut_answer(self, backend: RawBackend, address: Address):
        backend.answers = [CUT]
        self.assertTrue((await self.send_request(address, POST)).endswith(b'RESET'))

    async def check_closed_connection(self, backend: RawBackend, address: Address):
        for request, status in ((GET, b'200'), (POST, b'502')):
            backend.answers = [ok(), CLOSE, ok()]
            await self.send_request(address, GET)
            answer = await self.send_request(address, request)
            self.assertEqual(answer.split(b' ')[1], status)
            self.assertEqual(b'catkinslip-outcome: unknown' in answer, status == b'502')

    async def check_disconnecting_caller(self, backend: RawBackend, address: Address):
        backend.answers, backend.disconnected, backend.request_received = (
            [WAIT],
            trio.Event(),
            trio.Event(),
        )
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(POST)
        await backend.request_received.wait()
        await stream.aclose()
        await backend.disconnected.wait()

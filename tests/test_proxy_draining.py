"""Tests of closing idle connections of callers when an instance drains."""

import unittest

import trio

from catkinslip.proxy.draining import CallerDrain


async def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return the client and the server end of one connection."""
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    client_end = await trio.open_tcp_stream('127.0.0.1', port)
    server_end = await listener.accept()
    await listener.aclose()
    return client_end, server_end


class CloseIdleTest(unittest.TestCase):
    """Idle connections are closed when an instance stops."""

    def test_idle_connection_is_ended(self):
        async def check():
            client_end, server_end = await open_pair()
            drain = CallerDrain()
            drain.open(server_end)
            drain.close_idle()
            self.assertEqual(await server_end.receive_some(1), b'')
            await client_end.aclose()
            await server_end.aclose()

        trio.run(check)

    def test_connection_that_is_being_closed_does_no_harm(self):
        async def check():
            client_end, server_end = await open_pair()
            other_client_end, other_server_end = await open_pair()
            drain = CallerDrain()
            # The task of the connection still waits for its end, so that the connection
            # is closed but still registered.
            drain.open(server_end)
            drain.open(other_server_end)
            await trio.aclose_forcefully(server_end)
            drain.close_idle()
            self.assertEqual(await other_server_end.receive_some(1), b'')
            for stream in (client_end, other_client_end, other_server_end):
                await stream.aclose()

        trio.run(check)


if __name__ == '__main__':
    unittest.main()

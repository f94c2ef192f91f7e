"""Tests of closing idle connections of callers when an instance drains."""

import unittest

import trio

from catkinslip.proxy.draining import CallerDrain


async def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return the client and the server end of one connection."""
    (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    near = await trio.open_tcp_stream('127.0.0.1', port)
    far = await listener.accept()
    await listener.aclose()
    return near, far


class CloseIdleTest(unittest.TestCase):
    """Idle connections are closed when an instance stops."""

    def test_idle_connection_is_ended(self):
        async def check():
            near, far = await open_pair()
            drain = CallerDrain()
            drain.open(far)
            drain.close_idle()
            self.assertEqual(await far.receive_some(1), b'')
            await near.aclose()
            await far.aclose()

        trio.run(check)

    def test_connection_that_is_being_closed_does_no_harm(self):
        async def check():
            near, far = await open_pair()
            other_near, other_far = await open_pair()
            drain = CallerDrain()
            # The task of the connection still waits for its end, so that the connection
            # is closed but still registered.
            drain.open(far)
            drain.open(other_far)
            await trio.aclose_forcefully(far)
            drain.close_idle()
            self.assertEqual(await other_far.receive_some(1), b'')
            for stream in (near, other_near, other_far):
                await stream.aclose()

        trio.run(check)


if __name__ == '__main__':
    unittest.main()

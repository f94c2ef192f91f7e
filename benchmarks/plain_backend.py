"""A backend server that costs little, so that a proxy's own cost shows."""

import json

import trio

HEAD_END = b'\r\n\r\n'
BODY = b'{"answer": "a buyer limit of 40000 is open"}'
ANSWER = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: %d\r\n\r\n%s' % (len(BODY), BODY)
)


async def serve(stream: trio.SocketStream) -> None:
    """Answer every request without a body with the same bytes."""
    data = b''
    try:
        while True:
            data += await stream.receive_some()
            if not data:
                break
            count = data.count(HEAD_END)
            if count:
                data = data[data.rindex(HEAD_END) + len(HEAD_END) :]
                await stream.send_all(ANSWER * count)
    except trio.BrokenResourceError:
        pass
    finally:
        await trio.aclose_forcefully(stream)


async def main() -> None:
    """Serve on a port that the kernel chooses, printed as JSON."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1', backlog=256)
    host, port = listeners[0].socket.getsockname()
    print(json.dumps({'event': 'ready', 'address': f'{host}:{port}'}), flush=True)
    await trio.serve_listeners(serve, listeners)


if __name__ == '__main__':
    trio.run(main)

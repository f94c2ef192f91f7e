"""Stand-in backend server that answers with raw bytes, valid or not."""

import trio
from attrs import Factory, define, frozen

HEAD_END = b'\r\n\r\n'
POLL_SECONDS = 0.01


@frozen
class RawAnswer:
    """Raw answer to a request and whether it is delayed or closes the connection."""

    data: bytes = b''
    waits: bool = False
    closes: bool = False


def ok(body: bytes = b'ok', headers: bytes = b'') -> RawAnswer:
    """Return a valid 200 answer."""
    length = b'%d' % len(body)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n' + headers
    return RawAnswer(head + b'\r\n' + body)


CLOSE = RawAnswer(closes=True)
WAIT = RawAnswer(ok().data, waits=True)


@define
class RawBackend:
    """Server that sends the given answers in order, then valid answers."""

    answers: list[RawAnswer] = Factory(list)
    heads: list[bytes] = Factory(list)
    bodies: list[bytes] = Factory(list)
    connections: int = 0
    request_received: trio.Event = Factory(trio.Event)
    disconnected: trio.Event = Factory(trio.Event)
    resumed: trio.Event = Factory(trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            data = b''
            while True:
                data = await self._serve_request(stream, data)
        except (OSError, trio.BrokenResourceError, EOFError):
            self.disconnected.set()
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, stream, data: bytes) -> bytes:
        while HEAD_END not in data:
            data += await receive(stream)
        head, _, data = data.partition(HEAD_END)
        self.heads.append(head)
        answer = self.answers.pop(0) if self.answers else ok()
        self.request_received.set()
        if answer.waits:
            await self._wait(stream)
        if not answer.data.startswith(b'HTTP/1.1 413'):
            data = await self._receive_body(stream, head.lower(), data)
        await stream.send_all(answer.data)
        if answer.closes:
            raise EOFError
        return data

    async def _wait(self, stream) -> None:
        while not self.resumed.is_set():
            with trio.move_on_after(POLL_SECONDS):
                await receive(stream)

    async def _receive_body(self, stream, head: bytes, data: bytes) -> bytes:
        if b'transfer-encoding: chunked' in head:
            while not data.endswith(b'0' + HEAD_END):
                data += await receive(stream)
            self.bodies.append(data)
            return b''
        _, _, remainder = head.partition(b'content-length:')
        length = int(remainder.partition(b'\r')[0] or b'0')
        while len(data) < length:
            data += await receive(stream)
        self.bodies.append(data[:length])
        return data[length:]


async def receive(stream) -> bytes:
    """Return the next bytes of a stream; raise EOFError at its end."""
    data = await stream.receive_some()
    if not data:
        raise EOFError
    return data

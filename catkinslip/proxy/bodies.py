"""Request bodies: small ones are buffered, large ones are streamed."""

import h11
import trio
from attrs import define, frozen

from catkinslip.proxy import headers as names
from catkinslip.proxy.head_checks import fault_text
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.wire import ConnectionErrors, Wire

MAX_BUFFERED_BODY_BYTES = 64 << 10


@define
class BodyRemainder:
    """The part of a request body that is read only while it is being forwarded."""

    caller: Wire
    remaining_bytes: int
    length: int | None = None
    nursery: trio.Nursery | None = None
    is_started: bool = False
    fault: Reason | None = None

    async def receive(self) -> h11.Data | h11.EndOfMessage | None:
        """Return the next event of the body; None after setting `fault`."""
        self.is_started = True
        try:
            event = await self.caller.receive()
        except h11.RemoteProtocolError:
            self.fault = Reason.BAD_REQUEST
            return None
        except ConnectionErrors:
            self.fault = Reason.CALLER_LEFT
            return None
        if type(event) is h11.Data:
            self.remaining_bytes -= len(event.data)
        if self.remaining_bytes < 0:
            self.fault = Reason.BODY_TOO_LARGE
            return None
        return event


@frozen
class Body:
    """The buffered start of a request body, and the remainder of a large one."""

    start: bytes = b''
    remainder: BodyRemainder | None = None


NO_BODY = Body()


@frozen
class BodyReader:
    """Reader of the starts of request bodies; the timeout is in seconds."""

    max_bytes: int
    timeout: float

    async def read(self, caller: Wire, request: names.RequestHead) -> Body | NotRun:
        """Return a small body whole, a large one with its remainder, or a refusal."""
        length = declared_length(request)
        if length is not None and length > self.max_bytes:
            return too_large(self.max_bytes)
        if length is not None and length > MAX_BUFFERED_BODY_BYTES:
            return Body(remainder=BodyRemainder(caller, self.max_bytes, length))
        if not has_body(request):
            await caller.receive()
            return NO_BODY
        try:
            with trio.move_on_after(self.timeout):
                return await self._read_start(caller)
        except h11.RemoteProtocolError as error:
            return NotRun(Reason.BAD_REQUEST, fault_text(error))
        return NotRun(
            Reason.SLOW_REQUEST,
            f'no whole body in {self.timeout:g} s',
        )

    async def _read_start(self, caller: Wire) -> Body | NotRun:
        parts = []
        size = 0
        while size <= MAX_BUFFERED_BODY_BYTES:
            event = await caller.receive()
            if type(event) is not h11.Data:
                return Body(b''.join(parts))
            parts.append(bytes(event.data))
            size += len(event.data)
        if size > self.max_bytes:
            return too_large(self.max_bytes)
        return Body(b''.join(parts), BodyRemainder(caller, self.max_bytes - size))


def has_whole_body(caller: Wire, request: names.RequestHead) -> bool:
    """Return whether the whole body of a request has arrived, if it has one."""
    if names.find(request.headers, b'transfer-encoding') is not None:
        return False
    return len(caller.codec.trailing_data[0]) >= (declared_length(request) or 0)


def has_body(request: names.RequestHead) -> bool:
    """Return whether a request has a body."""
    length = declared_length(request)
    if length is not None:
        return length > 0
    return names.find(request.headers, b'transfer-encoding') is not None


def declared_length(request: names.RequestHead) -> int | None:
    """Return the content-length of a request in bytes; None if there is none."""
    length = names.find(request.headers, b'content-length')
    return None if length is None else int(length)


def too_large(max_bytes: int) -> NotRun:
    """Return the refusal of a body that is larger than allowed."""
    return NotRun(Reason.BODY_TOO_LARGE, f'at most {max_bytes} bytes are taken')

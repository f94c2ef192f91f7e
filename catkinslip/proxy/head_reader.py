"""Reader of callers' request heads that refuses malformed ones before parsing."""

import h11
import trio
from attrs import frozen

from catkinslip.proxy import head_checks
from catkinslip.proxy import headers as names
from catkinslip.proxy.chunk_checks import ChunkCheck
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason
from catkinslip.proxy.wire import Wire

HEAD_END = b'\r\n\r\n'
MAX_HEAD_BYTES = 32 << 10


@frozen
class HeadReader:
    """Reader of request heads; both timeouts are in seconds."""

    idle_timeout: float
    head_timeout: float

    async def read(self, wire: Wire) -> RequestHead | NotRun | None:
        """Return the next request head, a refusal, or None if no request arrives."""
        head = await self._read_raw(wire)
        if not isinstance(head, bytes):
            wire.refused_head = wire.codec.trailing_data[0]
            return head
        request = parse_head(wire.codec, head)
        if isinstance(request, RequestHead):
            request = await self._start_chunk_check(wire, request)
        if isinstance(request, NotRun):
            wire.refused_head = head
        return request

    async def _start_chunk_check(
        self, wire: Wire, request: RequestHead
    ) -> RequestHead | NotRun:
        if names.find(request.headers, b'transfer-encoding') is not None:
            wire.chunk_check = ChunkCheck()
            try:
                await wire.check_chunks(wire.codec.trailing_data[0])
            except h11.RemoteProtocolError as error:
                return NotRun(Reason.BAD_REQUEST, head_checks.fault_text(error))
        return request

    async def _read_raw(self, wire: Wire) -> bytes | NotRun | None:
        data, is_closed = wire.codec.trailing_data
        if not data and not is_closed:
            await wire.wait_for_request(self.idle_timeout)
            data, is_closed = wire.codec.trailing_data
        if not data:
            return None
        head = extract_head(data)
        if head is not None:
            return head
        with trio.move_on_after(self.head_timeout):
            head = await self._read_more(wire)
            wire.arrived_at = None
            return head
        return NotRun(
            Reason.SLOW_REQUEST,
            f'no whole head in {self.head_timeout:g} s',
        )

    async def _read_more(self, wire: Wire) -> bytes | NotRun | None:
        while True:
            data, is_closed = wire.codec.trailing_data
            head = extract_head(data)
            if head is not None:
                return head
            if is_closed:
                return None
            await wire.read_into_codec()


def parse_head(codec: h11.Connection, head: bytes) -> RequestHead | NotRun | None:
    """Return the request head that the codec received as `head`, or its refusal.

    None if the connection was closed.
    """
    refusal = head_checks.check_framing(head)
    if refusal is not None:
        return refusal
    try:
        request = codec.next_event()
    except h11.RemoteProtocolError as error:
        return NotRun(Reason.BAD_REQUEST, head_checks.fault_text(error))
    if type(request) is not h11.Request:
        return None
    plain = RequestHead(
        request.method, request.target, request.http_version, list(request.headers)
    )
    return head_checks.check_request(plain) or plain


def extract_head(data: bytes) -> bytes | NotRun | None:
    """Return the head at the start of the data, a refusal, or None if incomplete."""
    end = data.find(HEAD_END)
    is_whole = end >= 0
    size = end + len(HEAD_END) if is_whole else len(data)
    if size > MAX_HEAD_BYTES:
        return NotRun(Reason.HEAD_TOO_LARGE, f'at most {MAX_HEAD_BYTES} bytes')
    lines = data[:size] if is_whole else data[: data.rfind(b'\n') + 1]
    fault = head_checks.find_line_fault(lines)
    if fault is not None:
        return head_checks.malformed(fault)
    return lines if is_whole else None

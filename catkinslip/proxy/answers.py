"""Reading and checking of response heads from backend servers."""

import h11
import trio

from catkinslip.proxy import headers as names
from catkinslip.proxy.outcomes import Reason, Unknown
from catkinslip.proxy.wire import ConnectionErrors, Wire
from catkinslip.routing import reports

STATUS_WITHOUT_BODY = (204, 304)
MAX_DISCARDED_BYTES = 64 << 10
#: Time for the rest of an answer that is not forwarded, for which its call waits.
DISCARD_SECONDS = 0.1


async def receive_response(wire: Wire) -> h11.Response:
    """Return the final response head of the exchange, skipping 1xx responses.

    Raises h11.RemoteProtocolError when the connection closes before one arrives.
    """
    # The codec holds no bytes of the answer yet, so read before parsing.
    await wire.read_into_codec()
    while True:
        event = await wire.receive()
        if type(event) is h11.Response:
            return event
        if type(event) is h11.ConnectionClosed:
            raise h11.RemoteProtocolError('closed before an answer')


async def drain_body(wire: Wire, seconds: float = DISCARD_SECONDS) -> None:
    """Read and discard the rest of a message, so that its connection may be kept.

    A connection whose message is cut off, takes more than `seconds` or exceeds
    MAX_DISCARDED_BYTES is marked as spoiled, so that it is not reused.
    """
    remaining = MAX_DISCARDED_BYTES
    with trio.move_on_after(seconds):
        try:
            while remaining > 0:
                event = await wire.receive()
                if type(event) is h11.EndOfMessage:
                    return
                remaining -= len(event.data)
        except (*ConnectionErrors, h11.RemoteProtocolError):
            pass
    wire.must_close = True


def has_begun(wire: Wire) -> bool:
    """Return whether any byte of an answer was received."""
    return wire.codec.their_state is h11.SEND_BODY or bool(wire.codec.trailing_data[0])


def find_framing_fault(headers: list[names.Header]) -> Unknown | None:
    """Return the fault in how headers frame an answer; None if there is none."""
    length = names.find(headers, b'content-length')
    coding = names.find(headers, b'transfer-encoding')
    if length is not None and coding is not None:
        return Unknown(Reason.BROKEN, 'two headers frame the answer')
    return None


def is_unframed(status: int, headers: list[names.Header], method: bytes) -> bool:
    """Return whether only the end of the connection marks the end of an answer."""
    if not may_have_body(status, method):
        return False
    length = names.find(headers, b'content-length')
    return length is None and names.find(headers, b'transfer-encoding') is None


def may_have_body(status: int, method: bytes) -> bool:
    """Return whether a body may follow the head of an answer."""
    return method != b'HEAD' and status not in STATUS_WITHOUT_BODY


def read_report(headers: list[names.Header]) -> reports.LoadReport | None:
    """Return the load report in an answer's headers; None if there is none."""
    value = names.find(headers, reports.HEADER)
    return None if value is None else reports.parse_report(value)

"""Read and judge the heads of backend servers' answers."""

import h11

from catkinslip.proxy import headers as names
from catkinslip.proxy.outcomes import Reason, Unknown
from catkinslip.proxy.wire import ConnectionErrors, Wire
from catkinslip.routing import reports

STATUS_WITHOUT_BODY = (204, 304)
MAX_REFUSAL_BYTES = 64 << 10


async def receive_response(wire: Wire) -> h11.Response:
    """Return the final response head."""
    # Nothing of the answer can be in the codec yet.
    await wire.read_into_codec()
    while True:
        event = await wire.receive()
        if type(event) is h11.Response:
            return event
        if type(event) is h11.ConnectionClosed:
            raise h11.RemoteProtocolError('closed before an answer')


async def drain_body(wire: Wire) -> None:
    """Read the rest of a short answer that is not passed on."""
    left = MAX_REFUSAL_BYTES
    try:
        while left > 0:
            event = await wire.receive()
            if type(event) is h11.EndOfMessage:
                return
            left -= len(event.data)
    except (*ConnectionErrors, h11.RemoteProtocolError):
        pass
    wire.must_close = True


def has_begun(wire: Wire) -> bool:
    """Tell whether any byte of an answer came."""
    return wire.codec.their_state is h11.SEND_BODY or bool(wire.codec.trailing_data[0])


def find_framing_fault(headers: list[names.Header]) -> Unknown | None:
    """Return what is wrong with how an answer is framed; None when nothing is."""
    length = names.find(headers, b'content-length')
    coding = names.find(headers, b'transfer-encoding')
    if length is not None and coding is not None:
        return Unknown(Reason.BROKEN, 'two headers frame the answer')
    return None


def is_unframed(status: int, headers: list[names.Header], method: bytes) -> bool:
    """Tell whether only the end of the connection ends an answer."""
    if not may_have_body(status, method):
        return False
    length = names.find(headers, b'content-length')
    return length is None and names.find(headers, b'transfer-encoding') is None


def may_have_body(status: int, method: bytes) -> bool:
    """Tell whether a body may follow an answer's head."""
    return method != b'HEAD' and status not in STATUS_WITHOUT_BODY


def read_report(headers: list[names.Header]) -> reports.LoadReport | None:
    """Return the load report of an answer."""
    value = names.find(headers, reports.HEADER)
    return None if value is None else reports.parse_report(value)

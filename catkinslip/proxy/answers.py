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
    await wire.fill()
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
    wire.is_spoiled = True


def has_begun(wire: Wire) -> bool:
    """Tell whether any byte of an answer came."""
    return wire.codec.their_state is h11.SEND_BODY or bool(wire.codec.trailing_data[0])


def find_fault(
    status: int, headers: list[names.Header], method: bytes, request_id: str
) -> Unknown | None:
    """Return why an answer must not reach the caller; None when it may."""
    echo = names.find(headers, names.REQUEST_ID)
    if echo is not None and echo != request_id.encode():
        return Unknown(Reason.CROSSED)
    length = names.find(headers, b'content-length')
    coding = names.find(headers, b'transfer-encoding')
    if length is not None and coding is not None:
        return Unknown(Reason.BROKEN, 'two headers frame the answer')
    if length is None and coding is None and may_have_body(status, method):
        # Cut or whole, such an answer looks the same.
        return Unknown(Reason.BROKEN, 'no header tells where the answer ends')
    return None


def may_have_body(status: int, method: bytes) -> bool:
    """Tell whether a body may follow an answer's head."""
    return method != b'HEAD' and status not in STATUS_WITHOUT_BODY


def is_refusal(status: int, headers: list[names.Header]) -> bool:
    """Tell whether the backend server says that the request did not run."""
    return status == 503 and names.find(headers, names.OUTCOME) == names.NOT_RUN


def read_report(headers: list[names.Header]) -> reports.LoadReport | None:
    """Return the load report of an answer."""
    value = names.find(headers, reports.HEADER)
    return None if value is None else reports.parse_report(value)

"""Answers that are read whole before any byte of them is sent.

A caller of HTTP/1.0 sees the end of an answer without a length only by the end of its
connection. While it uploads, a write may take the reset that stands for a broken
answer, and its next read sees an end of stream.
"""

import h11
import trio
from attrs import define

from catkinslip.proxy import headers as names
from catkinslip.proxy.answer_checks import VERSION_WITHOUT_CHUNKS
from catkinslip.proxy.answers import is_unframed
from catkinslip.proxy.outcomes import Reason, Unknown
from catkinslip.proxy.wire import Wire

MAX_WHOLE_ANSWER_BYTES = 1 << 20
#: Of all answers that are read at a time, so that servers cannot take all memory.
MAX_HELD_BYTES = 16 << 20


def must_be_whole(caller: Wire, head: h11.Response, method: bytes) -> bool:
    """Return whether a caller may take a broken answer with this head for complete."""
    if not is_uploading(caller):
        return False
    if caller.codec.their_http_version != VERSION_WITHOUT_CHUNKS:
        return False
    return is_unframed(head.status_code, head.headers, method)


def is_uploading(caller: Wire) -> bool:
    """Return whether a caller may still write to its connection."""
    return caller.codec.their_state is h11.SEND_BODY


@define
class HeldAnswers:
    """The bytes of all answers that are being read whole."""

    total: int = 0


HELD_ANSWERS: trio.lowlevel.RunVar[HeldAnswers] = trio.lowlevel.RunVar('held_answers')


def held_answers() -> HeldAnswers:
    """Return the count of the running loop."""
    held = HELD_ANSWERS.get(None)
    if held is None:
        held = HeldAnswers()
        HELD_ANSWERS.set(held)
    return held


async def read_whole(
    wire: Wire, caller: Wire, head: h11.Response
) -> list[h11.Event] | Unknown:
    """Return the events of an answer, whose head then states its length.

    If the upload of the caller ends first, return what was read so far. An answer above
    a limit is not read on. Raise what Wire.wait_for_more raises.
    """
    body = bytearray()
    held = held_answers()
    try:
        while is_uploading(caller):
            if take_body(wire, body, held):
                start = with_length(head, len(body))
                return [start, h11.Data(data=body), h11.EndOfMessage()]
            if len(body) > MAX_WHOLE_ANSWER_BYTES or held.total > MAX_HELD_BYTES:
                detail = f'no length, and not whole after {len(body)} bytes'
                return Unknown(Reason.BROKEN, detail)
            await wire.wait_for_more()
        return [head, h11.Data(data=body)]
    finally:
        held.total -= len(body)


def take_body(wire: Wire, body: bytearray, held: HeldAnswers) -> bool:
    """Add the parts of a body that have arrived; return whether it is whole."""
    for event in wire.take_arrived():
        if type(event) is h11.EndOfMessage:
            return True
        body += event.data
        held.total += len(event.data)
    return False


def with_length(head: h11.Response, length: int) -> h11.Response:
    """Return the head of an answer with the length of its body, in bytes."""
    headers: list[names.Header] = [*head.headers, (b'content-length', b'%d' % length)]
    return h11.Response(status_code=head.status_code, headers=headers)
